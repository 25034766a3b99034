//! The process of a storage instance: accepts connections, feeds events to the reducer and
//! carries out its effects on connections and the disk thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use eyre::OptionExt;
use futures::StreamExt;
use jayreel_ledger::{Member, Reply, encode_frame};
use slotmap::SlotMap;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::clock::now_ms;
use crate::directory::MetadataStore;
use crate::edge::listen::{accept, listen, serve_text, wait_for_shutdown_signal};
use crate::link::{LinkPool, accept as split, decode_request, write_messages};
use crate::settings::NodeSettings;
use crate::storage::disk::Disk;
use crate::storage::maintenance;
use crate::storage::node::{ConnectionKey, Effect, Event, Node};

/// The log is compacted once it fills the disk's limit divided by this.
const COMPACTION_DIVISOR: u64 = 4;

/// State of the process, shared by its tasks.
pub(crate) struct StorageProcess {
    pub settings: NodeSettings,
    pub store: Box<dyn MetadataStore>,
    pub node: RefCell<Node>,
    disk: Disk,
    /// Bytes appended to the log since the start or the last compaction.
    logged_bytes: Cell<u64>,
    /// Whether the group was read from the store since the start. Groups that other instances
    /// announced do not count.
    pub has_read_group: Cell<bool>,
    /// Reply queues of the open connections from other instances.
    connections: RefCell<SlotMap<ConnectionKey, mpsc::UnboundedSender<Reply>>>,
    /// Connections to other storage instances.
    pub links: LinkPool,
}

/// Runs a storage instance until it receives a shutdown signal.
///
/// # Errors
///
/// If the settings name no data folder, if the disk or an address cannot be used, or if the
/// disk fails later.
pub async fn run(
    settings: NodeSettings,
    store: Box<dyn MetadataStore>,
) -> eyre::Result<()> {
    let folder = settings.data_dir.clone();
    let folder = folder.ok_or_eyre("the settings name no data folder")?;
    let (disk, records, synced) = Disk::open(&folder)?;
    let node = Node::new(
        &settings.name,
        settings.is_first_start,
        now_ms(),
        settings.bounds.rate_tolerance,
        &records,
    );
    log::info!(
        "event=started role=storage name={} facts={}",
        settings.name,
        records.len()
    );
    drop(records);
    let listener = listen(settings.internal)?;
    let metrics = listen(settings.metrics)?;
    let process = Rc::new(StorageProcess {
        settings,
        store,
        node: RefCell::new(node),
        disk,
        logged_bytes: Cell::new(0),
        has_read_group: Cell::new(false),
        connections: RefCell::default(),
        links: LinkPool::default(),
    });
    maintenance::start(&process);
    let disk_failed = tokio::task::spawn_local(follow_disk(Rc::clone(&process), synced));
    let for_metrics = Rc::clone(&process);
    tokio::task::spawn_local(serve_text(metrics, move || for_metrics.metrics_text()));
    let for_connections = Rc::clone(&process);
    tokio::task::spawn_local(async move {
        loop {
            let stream = accept(&listener).await;
            let process = Rc::clone(&for_connections);
            tokio::task::spawn_local(serve_connection(process, stream));
        }
    });
    tokio::select! {
        stopped = wait_for_shutdown_signal() => stopped?,
        _ = disk_failed => eyre::bail!("the disk failed"),
    }
    log::info!("event=stopped");
    Ok(())
}

/// Reports to the reducer how far the log is on disk, which releases replies. Ends if the disk
/// fails.
async fn follow_disk(
    process: Rc<StorageProcess>,
    mut synced: mpsc::UnboundedReceiver<u64>,
) {
    while let Some(through) = synced.recv().await {
        process.apply(Event::Synced { through });
    }
}

/// Handles the requests of one connection until it ends or sends a malformed request.
async fn serve_connection(process: Rc<StorageProcess>, stream: TcpStream) {
    let (mut frames, write) = split(stream);
    let (sender, queue) = mpsc::unbounded_channel();
    let key = process.connections.borrow_mut().insert(sender);
    let writer = tokio::task::spawn_local(write_messages(write, queue));
    while let Some(Ok(frame)) = frames.next().await {
        let Some(request) = decode_request(&frame) else {
            log::warn!("event=request_unreadable");
            break;
        };
        process.apply(Event::RequestReceived {
            connection: key,
            request,
        });
    }
    process.connections.borrow_mut().remove(key);
    writer.abort();
}

impl StorageProcess {
    /// Describes this instance as a member, for the group and the metadata store.
    pub(crate) fn as_member(&self) -> Member {
        Member {
            name: self.settings.name.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            address: self.settings.advertised,
        }
    }

    /// Applies an event to the reducer and carries out its effects.
    pub(crate) fn apply(&self, event: Event) {
        let effects = self.node.borrow_mut().apply(now_ms(), event);
        for effect in effects {
            match effect {
                Effect::Append {
                    number,
                    must_sync,
                    frames,
                } => {
                    let bytes = u64::try_from(frames.len()).unwrap_or(u64::MAX);
                    self.logged_bytes.set(self.logged_bytes.get() + bytes);
                    self.disk.append(number, must_sync, frames);
                }
                Effect::Reply { connection, reply } => {
                    let connections = self.connections.borrow();
                    // The connection may have closed since, and the reply is dropped.
                    let _ = connections.get(connection).map(|sender| sender.send(reply));
                }
            }
        }
        self.compact_if_large();
    }

    /// Replaces the log by the present records once it has grown too large.
    fn compact_if_large(&self) {
        let max_bytes = (self.settings.limits.disk_mb << 20) / COMPACTION_DIVISOR;
        if self.logged_bytes.get() < max_bytes {
            return;
        }
        let mut frames = Vec::new();
        for record in self.node.borrow().records() {
            if let Err(error) = encode_frame(&record, &mut frames) {
                log::error!("event=fact_unwritable reason={error:?}");
                return;
            }
        }
        self.logged_bytes.set(0);
        self.disk.replace(frames);
    }

    fn metrics_text(&self) -> String {
        let node = self.node.borrow();
        format!(
            "# TYPE jayreel_storage_voting gauge\njayreel_storage_voting {}\n\
             # TYPE jayreel_storage_group_version gauge\njayreel_storage_group_version {}\n",
            u8::from(node.is_voting()),
            node.group().version
        )
    }
}
