//! The two kinds of gateway process: entry instances and storage instances.
//!
//! An entry instance accepts callers' requests and forwards each one to an endpoint. A
//! storage instance has a disk and stores the state that must survive process restarts
//! (`jayreel-ledger`). The storage instances that vote on this state form the group, and
//! each of them is a member of it; the others are spares. Both kinds of process run a single
//! event loop on one thread, since they get a fraction of a core and each wake-up costs CPU
//! time.
//!
//! Platform differences are behind two traits: [`MetadataStore`], the store of the
//! configuration, the endpoint registry and the group record, and [`CallProtocol`], the
//! headers that callers and endpoints use.

mod backoff;
mod balance;
mod clock;
mod config;
mod contact;
mod directory;
mod durations;
pub mod edge;
mod endpoint_view;
mod evacuation_view;
mod events;
mod fair_stream;
mod freshness;
mod home_regions;
pub mod http_connection;
mod limit_gate;
mod limit_view;
mod link;
mod log_fields;
mod log_queue;
mod loop_monitor;
mod membership;
mod metered;
mod metrics;
mod presence;
mod protocol;
mod quota_buffer;
mod renewals;
mod retry;
mod segmented_body;
mod settings;
pub mod storage;
mod suspect_table;
mod turn_cache;
mod urgency;
mod zone_state;

pub use backoff::Backoff;
pub use balance::{
    Balancer, EndpointKey, ExplainedEndpoint, MemoryBound, Pick, PickReason, PickRequest,
};
pub use clock::now_ms;
pub use config::{
    CallKind, Configuration, Customer, Engine, Limits, Route, Service, ServiceShare,
};
pub use contact::GroupContact;
pub use directory::{
    ConfigurationRead, EndpointChange, EndpointChanges, EndpointEntry, EndpointSnapshot,
    Evacuations, InternalRecord, MetadataError, MetadataStore, Retirement,
    RetirementState, StoreFuture,
};
pub use durations::Durations;
pub use endpoint_view::{EndpointRead, EndpointUpdate, EndpointView};
pub use evacuation_view::EvacuationView;
pub use events::{EventReader, StreamEvent};
pub use freshness::Freshness;
pub use home_regions::{HomeZones, Target, ZoneRegions};
pub use jayreel_hedging::HedgingSettings;
pub use link::{LinkError, MemberClient, ResponseFuture};
pub use log_queue::{LineBudget, LogQueue, MAX_QUEUED_LINES, batch_lines};
pub use membership::{MemberMonitor, Proposal};
pub use presence::{PRESENCE_INTERVAL_MS, PresenceTracker, is_majority_absent};
pub use protocol::{
    BadRequest, CallHead, CallProtocol, EndpointHeaders, EndpointResponseHead, Load,
    ProgramCall,
};
pub use quota_buffer::{BufferedToken, QuotaBuffer};
pub use renewals::RenewalQueue;
pub use retry::{Attempt, Outcome, RetryPolicy, Step};
pub use settings::{Bounds, Features, NodeSettings, ProcessLimits};
pub use suspect_table::SuspectTable;
pub use urgency::engine_priority;
pub use zone_state::ZoneChange;
