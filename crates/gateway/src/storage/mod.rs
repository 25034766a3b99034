//! The storage instance: keeps charges of programs and turns of conversations on its disk,
//! and grants its share of customers' request rates.
//!
//! All decisions are made by [`Node`], a reducer without I/O: it turns an [`Event`] into
//! [`Effect`]s. The other modules connect it to the network, the disk and the metadata store.

mod cleaning;
mod disk;
mod log_state;
mod maintenance;
mod node;
mod reads;
mod recovery;
mod replies;
mod requests;
mod serve;

pub use disk::{Disk, DiskError};
pub use log_state::StorageLimits;
pub use node::{
    ConfigurationUpdate, ConnectionKey, Effect, Event, Node, NodeOptions, StorageUsage,
};
pub(crate) use reads::MAX_RESPONSE_BYTES;
pub use reads::ReadKey;
pub use recovery::RecoveredLog;
pub use serve::run;
