//! Entry instances and instances with disks as small single-threaded processes.
//!
//! An entry instance takes callers' requests and sends each to an endpoint; an instance
//! with a disk keeps what must outlive processes (`jayreel-ledger`). Both run one event
//! loop on one thread: they get a fraction of a core, and each wake-up costs.
//!
//! What differs between platforms is behind two traits: [`MetadataStore`], the store that
//! holds configuration, endpoints and the group's membership, and [`CallProtocol`], the
//! headers that callers and endpoints use.

mod backoff;
mod balance;
mod clock;
mod config;
mod contact;
mod directory;
pub mod edge;
mod endpoint_view;
mod events;
mod freshness;
pub mod http_link;
mod link;
mod log_queue;
mod membership;
mod metrics;
mod presence;
mod protocol;
mod quota_stock;
mod retry;
mod settings;
pub mod storage;
mod urgency;

pub use backoff::Backoff;
pub use balance::{Balancer, EndpointKey, Pick};
pub use clock::now_ms;
pub use config::{
    CallKind, Configuration, Customer, Engine, Limits, Route, Service, ServiceShare,
};
pub use contact::Contact;
pub use directory::{
    ConfigurationRead, EndpointChange, EndpointChanges, EndpointEntry, EndpointSnapshot,
    MetadataError, MetadataStore, OwnRecord, Retirement, RetirementState, StoreFuture,
};
pub use endpoint_view::{EndpointNews, EndpointRead, EndpointView};
pub use events::{EventReader, StreamEvent};
pub use freshness::Freshness;
pub use link::{AnswerFuture, LinkError, MemberLinks};
pub use log_queue::{LineBudget, LogQueue, MOST_WAITING_LINES, batch_lines};
pub use presence::{PRESENCE_INTERVAL_MS, PresenceBook, is_mostly_away};
pub use protocol::{
    BadRequest, CallHead, CallProtocol, EndpointHeaders, EndpointReply, Load, ProgramCall,
};
pub use quota_stock::{QuotaStock, StockToken};
pub use retry::{Attempt, Outcome, RetryPolicy, Step};
pub use settings::{Bounds, NodeSettings, ProcessLimits};
pub use urgency::engine_priority;
