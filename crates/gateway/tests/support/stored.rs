//! A storage instance with a log on disk, whose effects are carried out one after another.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::path::{Path, PathBuf};

use jayreel_gateway::storage::{
    Disk, Effect, Event, Node, NodeOptions, RecoveredLog, StorageLimits,
};
use jayreel_ledger::{ColdTolerance, MemberRequest, MemberResponse, Request};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::support::TOLERANCE;

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let name = format!("jayreel-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder for the test");
        Folder(path)
    }

    /// Path of a segment.
    pub fn segment(&self, number: u32) -> PathBuf {
        self.0.join(format!("segment-{number:08}.log"))
    }

    /// Numbers of the segments.
    pub fn segments(&self) -> Vec<u32> {
        let files = std::fs::read_dir(&self.0).expect("the folder can be read");
        let names = files.map(|file| file.expect("a file").file_name());
        let mut numbers: Vec<u32> = names
            .filter_map(|name| {
                let name = name.to_str()?.strip_prefix("segment-")?;
                name.strip_suffix(".log")?.parse().ok()
            })
            .collect();
        numbers.sort_unstable();
        numbers
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // An error only leaves the folder behind, which does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An instance with its disk.
pub struct StoredInstance {
    pub node: Node,
    disk: Disk,
    synced: UnboundedReceiver<u64>,
    /// Time of the next event, in milliseconds.
    pub now_ms: u64,
}

impl StoredInstance {
    /// Starts an instance with the log in a folder.
    pub fn open(
        name: &str,
        folder: &Path,
        is_first_start: bool,
        limits: StorageLimits,
    ) -> StoredInstance {
        let (disk, log, synced) =
            Disk::open(folder, 0, limits.segment_bytes).expect("the folder can be used");
        StoredInstance::with_log(name, is_first_start, limits, (disk, log, synced))
    }

    fn with_log(
        name: &str,
        is_first_start: bool,
        limits: StorageLimits,
        (disk, log, synced): (Disk, RecoveredLog, UnboundedReceiver<u64>),
    ) -> StoredInstance {
        let options = NodeOptions {
            name: name.to_string(),
            is_first_start,
            cold_tolerance: ColdTolerance::default(),
            tolerance: TOLERANCE,
            limits,
        };
        StoredInstance {
            node: Node::new(options, 0, log),
            disk,
            synced,
            now_ms: 1,
        }
    }

    /// Applies an event, carries out its effects, and returns the responses among them.
    pub async fn apply(&mut self, event: Event) -> Vec<MemberResponse> {
        let mut responses = Vec::new();
        let mut effects = self.node.apply(self.now_ms, event);
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Append {
                        number,
                        segment,
                        must_sync,
                        frames,
                    } => {
                        self.disk.append(number, segment, must_sync, frames);
                        next.extend(self.wait_synced(number, must_sync).await);
                    }
                    Effect::Read { key, locations } => {
                        let turns = self.disk.read(locations).await.expect("a disk");
                        let event = Event::TurnsRead { key, turns };
                        next.extend(self.node.apply(self.now_ms, event));
                    }
                    Effect::DropSegment { segment } => self.disk.drop_segment(segment),
                    Effect::Reply { reply, .. } => responses.push(reply.body),
                }
            }
            effects = next;
        }
        responses
    }

    async fn wait_synced(&mut self, number: u64, must_sync: bool) -> Vec<Effect> {
        if !must_sync {
            return Vec::new();
        }
        loop {
            let through = self.synced.recv().await.expect("the disk works");
            let effects = self.node.apply(self.now_ms, Event::Synced { through });
            if through >= number {
                return effects;
            }
        }
    }

    /// Sends a request in version 1 of the group, and returns the response.
    pub async fn send(&mut self, body: MemberRequest) -> MemberResponse {
        let request = Request {
            id: 1,
            group_version: 1,
            body,
        };
        let connection = Default::default();
        let event = Event::RequestReceived {
            connection,
            request,
        };
        let mut responses = self.apply(event).await;
        assert_eq!(responses.len(), 1, "{responses:?}");
        responses.remove(0)
    }

    /// Waits until the disk has carried out all that was queued before, and ends it.
    pub async fn close(self) {
        // A read is answered before segments of the same batch are removed.
        for _ in 0..2 {
            self.disk.read(Vec::new()).await.expect("the disk works");
        }
        self.disk.close();
    }
}
