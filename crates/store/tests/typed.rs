//! Tests of typed records: concurrent writers and lost responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use jayreel_model::Incarnation;
use jayreel_standin::{Faults, StoreGateway};
use jayreel_store::{
    Claim, EtcdSettings, EtcdStore, MemoryStore, Record, RecordError, Store,
    home_weights_record, takeover_record,
};
use test_case::test_case;

type Weights = BTreeMap<String, u32>;

fn memory() -> Arc<dyn Store> {
    Arc::new(MemoryStore::new())
}

fn incarnation(instance: &str) -> Incarnation {
    Incarnation {
        instance: instance.into(),
        number: 7,
    }
}

/// Guards against overwriting a version that the writer has not read.
#[test]
fn write_with_old_version_is_a_conflict() {
    let record: Record<Weights> = home_weights_record(&memory());
    assert_eq!(record.read(), Ok(None));
    let weights: Weights = [("i1".to_string(), 1_000_000)].into();
    let version = record.write(&weights, 0).unwrap();
    assert_eq!(record.write(&weights, 0), Err(RecordError::Conflict));
    assert_eq!(record.read().unwrap().unwrap().version, version);
    assert_eq!(record.delete(version + 1), Err(RecordError::Conflict));
}

/// Guards against concurrent updates that overwrite each other. Four threads make five
/// updates each.
#[test]
fn concurrent_updates_are_all_kept() {
    let store = memory();
    thread::scope(|scope| {
        for writer in 0..4 {
            let record: Record<Weights> = home_weights_record(&store);
            scope.spawn(move || {
                for step in 0..5 {
                    let add = |old: Option<&Weights>| {
                        let mut new = old.cloned().unwrap_or_default();
                        new.insert(format!("{writer}-{step}"), 1);
                        Some(new)
                    };
                    while record.update(add).is_err() {}
                }
            });
        }
    });
    let weights: Record<Weights> = home_weights_record(&store);
    assert_eq!(weights.read().unwrap().unwrap().value.len(), 20);
}

/// Guards against two successors of one incarnation, and against a claimant that takes
/// its own claim for that of another after a lost request or response.
#[test_case(Faults { lose_answers: 1, ..Faults::default() }; "lost response")]
#[test_case(Faults { lose_requests: 1, ..Faults::default() }; "lost request")]
fn claim_is_acquired_once(faults: Faults) {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let gateway = StoreGateway::start(address, MemoryStore::new()).unwrap();
    let settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    let store: Arc<dyn Store> = Arc::new(EtcdStore::new(settings).unwrap());
    gateway.faults().set(Faults {
        lose_path: "/v3/kv/txn".into(),
        ..faults
    });
    let record = takeover_record::<String>(&store, &incarnation("dead"));
    let first = record.claim("i1.1".into()).unwrap();
    let second = record.claim("i2.1".into()).unwrap();
    assert!(
        matches!(&first, Claim::Acquired(record) if record.value == "i1.1"),
        "{first:?}"
    );
    assert!(
        matches!(&second, Claim::AlreadyHeld(record) if record.value == "i1.1"),
        "{second:?}"
    );
    gateway.close();
}
