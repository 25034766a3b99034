//! An instance with a disk: keeps charges and turns, and hands out its part of customers'
//! rates.

mod answers;
mod care;
mod disk;
mod node;
mod serve;

pub use disk::{Disk, DiskError};
pub use node::{ConfigurationFacts, ConnectionKey, Effect, Event, Node};
pub use serve::run;
