//! The process of an instance with a disk: connections, the disk's thread, the effects of
//! the reducer.

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
use crate::storage::care;
use crate::storage::disk::Disk;
use crate::storage::node::{ConnectionKey, Effect, Event, Node};

/// Part of the disk that the log may fill before it is written anew.
const LOG_PART: u64 = 4;

/// All state of the process.
pub(crate) struct Storage {
    pub settings: NodeSettings,
    pub store: Box<dyn MetadataStore>,
    pub node: RefCell<Node>,
    disk: Disk,
    logged_bytes: Cell<u64>,
    /// The group was read from the store since the start.
    pub has_read_group: Cell<bool>,
    connections: RefCell<SlotMap<ConnectionKey, mpsc::UnboundedSender<Reply>>>,
    pub links: LinkPool,
}

/// Runs an instance with a disk until it is told to stop.
///
/// # Errors
///
/// If its disk or its address cannot be used.
pub async fn run(
    settings: NodeSettings,
    store: Box<dyn MetadataStore>,
) -> eyre::Result<()> {
    let folder = settings.data_dir.clone();
    let folder = folder.ok_or_eyre("the settings name no data folder")?;
    let (disk, facts, synced) = Disk::open(&folder)?;
    let node = Node::new(
        &settings.name,
        settings.is_first_start,
        now_ms(),
        settings.bounds.rate_tolerance,
        &facts,
    );
    log::info!(
        "event=started role=storage name={} facts={}",
        settings.name,
        facts.len()
    );
    drop(facts);
    let listener = listen(settings.internal)?;
    let metrics = listen(settings.metrics)?;
    let storage = Rc::new(Storage {
        settings,
        store,
        node: RefCell::new(node),
        disk,
        logged_bytes: Cell::new(0),
        has_read_group: Cell::new(false),
        connections: RefCell::default(),
        links: LinkPool::default(),
    });
    care::start(&storage);
    let disk_lost = tokio::task::spawn_local(follow_disk(Rc::clone(&storage), synced));
    let for_metrics = Rc::clone(&storage);
    tokio::task::spawn_local(serve_text(metrics, move || for_metrics.text()));
    let accepting = Rc::clone(&storage);
    tokio::task::spawn_local(async move {
        loop {
            let stream = accept(&listener).await;
            tokio::task::spawn_local(serve_instance(Rc::clone(&accepting), stream));
        }
    });
    tokio::select! {
        stopped = wait_for_shutdown_signal() => stopped?,
        _ = disk_lost => eyre::bail!("the disk failed"),
    }
    log::info!("event=stopped");
    Ok(())
}

/// Releases replies as their facts reach the disk. Ends if the disk fails.
async fn follow_disk(storage: Rc<Storage>, mut synced: mpsc::UnboundedReceiver<u64>) {
    while let Some(through) = synced.recv().await {
        storage.apply(Event::Synced { through });
    }
}

async fn serve_instance(storage: Rc<Storage>, stream: TcpStream) {
    let (mut frames, write) = split(stream);
    let (sender, queue) = mpsc::unbounded_channel();
    let key = storage.connections.borrow_mut().insert(sender);
    let writer = tokio::task::spawn_local(write_messages(write, queue));
    while let Some(Ok(frame)) = frames.next().await {
        let Some(request) = decode_request(&frame) else {
            log::warn!("event=question_unreadable");
            break;
        };
        storage.apply(Event::Asked {
            connection: key,
            request,
        });
    }
    storage.connections.borrow_mut().remove(key);
    writer.abort();
}

impl Storage {
    /// This instance as a member.
    pub(crate) fn me(&self) -> Member {
        Member {
            name: self.settings.name.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            address: self.settings.advertised,
        }
    }

    /// Applies an event and does what follows from it.
    pub(crate) fn apply(&self, event: Event) {
        let effects = self.node.borrow_mut().apply(now_ms(), event);
        for effect in effects {
            match effect {
                Effect::Append {
                    number,
                    is_synced,
                    frames,
                } => {
                    let bytes = u64::try_from(frames.len()).unwrap_or(u64::MAX);
                    self.logged_bytes.set(self.logged_bytes.get() + bytes);
                    self.disk.append(number, is_synced, frames);
                }
                Effect::Reply { connection, reply } => {
                    let connections = self.connections.borrow();
                    // A connection that is gone needs no reply.
                    let _ = connections.get(connection).map(|sender| sender.send(reply));
                }
            }
        }
        self.compact_if_large();
    }

    fn compact_if_large(&self) {
        let most_bytes = (self.settings.limits.disk_mb << 20) / LOG_PART;
        if self.logged_bytes.get() < most_bytes {
            return;
        }
        let mut frames = Vec::new();
        for fact in self.node.borrow().facts() {
            if let Err(error) = encode_frame(&fact, &mut frames) {
                log::error!("event=fact_unwritable reason={error:?}");
                return;
            }
        }
        self.logged_bytes.set(0);
        self.disk.replace(frames);
    }

    fn text(&self) -> String {
        let node = self.node.borrow();
        format!(
            "# TYPE jayreel_storage_voting gauge\njayreel_storage_voting {}\n\
             # TYPE jayreel_storage_group_version gauge\njayreel_storage_group_version {}\n",
            u8::from(node.is_voting()),
            node.group().version
        )
    }
}
