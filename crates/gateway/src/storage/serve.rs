//! The process of a storage instance: accepts connections, feeds events to the reducer and
//! carries out its effects on connections and the disk thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use eyre::{OptionExt, ensure};
use futures::StreamExt;
use hyper::{StatusCode, Uri};
use jayreel_ledger::{
    FrameLocation, Member, MemberResponse, Reply, TurnDigest, TurnRecord,
};
use slotmap::SlotMap;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

use crate::clock::now_ms;
use crate::directory::MetadataStore;
use crate::edge::listen::{accept, listen, serve_text, wait_for_shutdown_signal};
use crate::link::{LinkPool, accept as split, decode_request, write_messages};
use crate::metered::{Activity, Metered};
use crate::settings::NodeSettings;
use crate::storage::disk::Disk;
use crate::storage::log_state::StorageLimits;
use crate::storage::maintenance;
use crate::storage::node::{ConnectionKey, Effect, Event, Node, NodeOptions};
use crate::storage::reads::ReadKey;
use crate::storage::replies::{QueuedReply, ReplyBudget};

/// Least memory of a storage instance, in megabytes: the process, its connections, and one turn
/// of the largest size in each of its buffers.
const MIN_MEMORY_MB: u64 = 48;

/// Least disk space of a storage instance, in megabytes.
const MIN_DISK_MB: u64 = 16;

/// State of the process, shared by its tasks.
pub(crate) struct StorageProcess {
    pub settings: NodeSettings,
    pub store: Box<dyn MetadataStore>,
    pub node: RefCell<Node>,
    disk: Disk,
    /// Notified after each sync of the log.
    synced: Notify,
    /// Whether the group was read from the store since the start. Groups that other instances
    /// announced do not count.
    pub has_read_group: Cell<bool>,
    /// The open connections from other instances.
    connections: RefCell<SlotMap<ConnectionKey, ReplyQueue>>,
    /// Memory of the replies in their queues.
    reply_budget: Rc<ReplyBudget>,
    /// Records copied from other members since the start.
    pub copied_records: Cell<u64>,
    /// Connections to other storage instances.
    pub links: LinkPool,
    /// Connections for copies from other storage instances, so that requests which must be
    /// answered at once do not wait behind long turns.
    pub copy_links: LinkPool,
}

/// Where the replies of one connection wait.
struct ReplyQueue {
    sender: mpsc::UnboundedSender<QueuedReply>,
    budget: Rc<ReplyBudget>,
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
    let space = settings.limits;
    ensure!(
        space.memory_mb >= MIN_MEMORY_MB,
        "limits: the memory of {} MB is below {MIN_MEMORY_MB} MB",
        space.memory_mb
    );
    ensure!(
        space.disk_mb >= MIN_DISK_MB,
        "limits: the disk of {} MB is below {MIN_DISK_MB} MB",
        space.disk_mb
    );
    let limits = StorageLimits::new(space.disk_mb, space.memory_mb);
    let (disk, log, synced) = Disk::open(&folder, now_ms(), limits.segment_bytes)?;
    log::info!(
        "event=started role=storage name={} facts={} damaged={}",
        settings.name,
        log.records(),
        log.is_damaged()
    );
    let options = NodeOptions {
        name: settings.name.clone(),
        is_first_start: settings.is_first_start,
        tolerance: settings.bounds.rate_tolerance,
        cold_tolerance: settings.bounds.cold_tolerance,
        limits,
    };
    let node = Node::new(options, now_ms(), log);
    let listener = listen(settings.internal)?;
    let metrics = listen(settings.metrics)?;
    let process = Rc::new(StorageProcess {
        settings,
        store,
        node: RefCell::new(node),
        disk,
        synced: Notify::new(),
        has_read_group: Cell::new(false),
        connections: RefCell::default(),
        reply_budget: Rc::new(ReplyBudget::new(limits.reply_bytes)),
        copied_records: Cell::new(0),
        links: LinkPool::default(),
        copy_links: LinkPool::default(),
    });
    maintenance::start(&process);
    let disk_failed = tokio::task::spawn_local(follow_disk(Rc::clone(&process), synced));
    let for_metrics = Rc::clone(&process);
    let report = move |_: &Uri| (StatusCode::OK, for_metrics.metrics_text());
    tokio::task::spawn_local(serve_text(metrics, report));
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
        process.synced.notify_waiters();
    }
}

/// Handles the requests of one connection until it ends or sends a malformed request.
async fn serve_connection(process: Rc<StorageProcess>, stream: TcpStream) {
    let (mut frames, write) = split(stream);
    let (sender, queue) = mpsc::unbounded_channel();
    let budget = Rc::new(ReplyBudget::of_connection(&process.reply_budget));
    let reply_queue = ReplyQueue {
        sender,
        budget: Rc::clone(&budget),
    };
    let key = process.connections.borrow_mut().insert(reply_queue);
    let sending = Activity::new();
    let write = Metered::new(write, &sending);
    let writer = tokio::task::spawn_local(write_messages(write, queue));
    while let Some(Ok(frame)) = frames.next().await {
        let Some(request) = decode_request(&frame) else {
            log::warn!("event=request_unreadable");
            break;
        };
        if process.reply_budget.is_exceeded() && request.body.asks_for_turns() {
            let (id, body) = (request.id, MemberResponse::Unavailable);
            process.send(key, Reply { id, body });
            continue;
        }
        process.apply(Event::RequestReceived {
            connection: key,
            request,
        });
        if !budget.wait_for_room(&sending).await {
            log::warn!(
                "event=connection_cut reason=unsent_replies used_bytes={}",
                budget.used_bytes()
            );
            break;
        }
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
    pub(crate) fn apply(self: &Rc<Self>, event: Event) {
        let effects = self.node.borrow_mut().apply(now_ms(), event);
        for effect in effects {
            match effect {
                Effect::Append {
                    number,
                    segment,
                    must_sync,
                    frames,
                } => self.disk.append(number, segment, must_sync, frames),
                Effect::Read { key, locations } => self.start_read(key, locations),
                Effect::DropSegment { segment } => self.disk.drop_segment(segment),
                Effect::Reply { connection, reply } => self.send(connection, reply),
            }
        }
    }

    /// Queues a reply. Drops it if the connection has closed.
    fn send(&self, connection: ConnectionKey, reply: Reply) {
        let connections = self.connections.borrow();
        let Some(queue) = connections.get(connection) else {
            return;
        };
        let reply = QueuedReply::new(reply, &queue.budget);
        // Fails only if the writer has ended, because the connection is closed.
        let _ = queue.sender.send(reply);
    }

    /// Reads turns and passes them to the reducer.
    fn start_read(self: &Rc<Self>, key: ReadKey, locations: Vec<FrameLocation>) {
        let process = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let count = locations.len();
            let turns = process.disk.read(locations).await;
            // The process ends if the disk has failed.
            let turns = turns.unwrap_or_else(|_| vec![None; count]);
            process.apply(Event::TurnsRead { key, turns });
        });
    }

    /// Positions of the first turns that fit into a message, and how many of `turns` these cover.
    pub(crate) fn next_locations(
        &self,
        turns: &[TurnDigest],
    ) -> (Vec<FrameLocation>, usize) {
        let (found, covered) = self.node.borrow().next_locations(turns);
        let locations = found.into_iter().map(|(_, location)| location);
        (locations.collect(), covered)
    }

    /// Reads turns from the disk. `None` if one of them is damaged or the disk has failed.
    pub(crate) async fn read_turns(
        &self,
        locations: Vec<FrameLocation>,
    ) -> Option<Vec<TurnRecord>> {
        let turns = self.disk.read(locations).await.ok()?;
        turns.into_iter().collect()
    }

    /// Waits until all records that the instance has now are on disk.
    pub(crate) async fn wait_synced(&self) {
        let number = self.node.borrow().last_sync_required();
        loop {
            let synced = self.synced.notified();
            if self.node.borrow().last_synced() >= number {
                return;
            }
            synced.await;
        }
    }

    fn metrics_text(&self) -> String {
        let node = self.node.borrow();
        let usage = node.usage();
        let gauges = [
            ("voting", u64::from(node.is_voting())),
            ("group_version", node.group().version),
            ("turns", usage.turns),
            ("log_bytes", usage.log_bytes),
            ("live_bytes", usage.live_bytes),
            ("cache_bytes", usage.cache_bytes),
            ("queued_bytes", usage.queued_bytes),
            ("read_bytes", usage.read_bytes),
            ("reply_bytes", self.reply_budget.used_bytes() as u64),
            ("evacuated_zones", node.evacuations().zones().len() as u64),
            ("endpoint_limits", node.endpoint_limits().len() as u64),
            (
                "cold_endpoints",
                node.endpoint_limits().cold(now_ms()) as u64,
            ),
            ("crash_suspects", node.crash_suspects().len() as u64),
            ("given_up_requests", node.crash_suspects().given_up() as u64),
        ];
        let counters = [
            ("copied_records", self.copied_records.get()),
            ("evicted_endpoint_limits", node.endpoint_limits().evicted()),
            ("evicted_crash_suspects", node.crash_suspects().evicted()),
            ("rejected_disk_full", usage.rejected_disk_full),
            ("rejected_queue_full", usage.rejected_queue_full),
            ("rejected_reads_full", usage.rejected_reads_full),
        ];
        let gauges = gauges.iter().map(|(name, value)| {
            let name = format!("jayreel_storage_{name}");
            format!("# TYPE {name} gauge\n{name} {value}\n")
        });
        let counters = counters.iter().map(|(name, value)| {
            let name = format!("jayreel_storage_{name}_total");
            format!("# TYPE {name} counter\n{name} {value}\n")
        });
        gauges.chain(counters).collect()
    }
}
