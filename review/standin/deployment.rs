//! The deployment of all cases: a few zones, each with an entry and a storage machine.

use std::sync::Arc;

use crate::fleet::Case;
use crate::worker::{Behaviour, Worker};

/// Routes: `/kept/` keeps turns, `/stream/` is resumable. One service of model workers, and one
/// tenant without a rate limit.
pub fn configuration(retention_s: u64, is_resumable: bool) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"kept\",\"host\":\"host.example\",\
         \"prefix\":\"/kept/\",\"type\":\"streaming\",\"timeoutMs\":3000,\"goalMs\":250,\
         \"priority\":0,\"service\":\"engines\",\"maxAttempts\":2,\"retained\":true,\
         \"retentionS\":{retention_s}.0,\"public\":false,\"sticky\":true,\
         \"resumable\":{is_resumable},\"gapTargetMs\":150}},\
         {{\"name\":\"plain\",\"host\":\"host.example\",\"prefix\":\"/stream/\",\
         \"type\":\"streaming\",\"timeoutMs\":3000,\"goalMs\":250,\"priority\":0,\
         \"service\":\"engines\",\"maxAttempts\":2,\"retained\":false,\"retentionS\":60.0,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":150}}],\
         \"services\":[{{\"name\":\"engines\",\"healthPath\":\"/healthz\",\"maxConns\":150,\
         \"protocol\":\"h1\",\"tlsEnabled\":false,\"engine\":{{\"slots\":12,\
         \"kvCapacity\":124240,\"chunkTokens\":13}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"ratePerS\":0,\
         \"burst\":0}}]}}"
    )
}

/// Starts three zones with one machine of each class, and `workers` workers.
pub fn start(case: &mut Case, configuration: &str, workers: u32, behaviour: &Behaviour) -> Vec<Worker> {
    start_zones(case, configuration, &["zone-a", "zone-b", "zone-c"], workers, behaviour)
}

/// The same for any zones. The entry instances come first, then the storage instances.
pub fn start_zones(
    case: &mut Case,
    configuration: &str,
    zones: &[&str],
    workers: u32,
    behaviour: &Behaviour,
) -> Vec<Worker> {
    case.store.put("op/config", configuration);
    for zone in zones {
        case.add("edge", zone, 1);
    }
    for zone in zones {
        case.add("storage", zone, 1);
    }
    let started = (0..workers)
        .map(|number| {
            let ip = case.new_ip();
            let zone = zones[number as usize % zones.len()];
            Worker::start(&format!("w-{number}"), ip, zone, &case.store, &case.record, Arc::clone(behaviour))
        })
        .collect();
    case.start_all();
    started
}
