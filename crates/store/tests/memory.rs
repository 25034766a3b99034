//! Tests of the in-process store: expiry of leases, watches and compaction.

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use jayreel_store::{
    Change, LeaseId, ManualClock, MemoryStore, Store, StoreError, Transaction, Write,
};

/// Far more than any step takes; reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn put(key: &str, lease: Option<LeaseId>) -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Put {
            key: key.into(),
            value: b"v".to_vec(),
            lease,
        }],
    }
}

/// Guards against a waiting watch that reports the expiry of a lease only when its own
/// timeout is over. No other call reaches the store during the wait.
#[test]
fn waiting_watch_reports_the_expiry_of_a_lease() {
    let clock = Arc::new(ManualClock::default());
    let store = MemoryStore::with_clock(clock.clone());
    let lease = store.grant_lease(10).unwrap();
    store.commit(put("i/a", Some(lease))).unwrap();
    let mut watch = store.watch("i/", 3).unwrap();
    let (sender, results) = mpsc::channel();
    thread::spawn(move || {
        sender.send(Vec::new()).unwrap();
        sender
            .send(watch.next(TEST_TIMEOUT * 100).unwrap())
            .unwrap();
    });
    assert_eq!(results.recv_timeout(TEST_TIMEOUT), Ok(Vec::new()));
    // Gives the watch time to begin its wait.
    thread::sleep(Duration::from_millis(200));
    clock.advance(10_000);
    let changes = results
        .recv_timeout(TEST_TIMEOUT)
        .expect("a change during the wait");
    assert!(matches!(&changes[..], [Change::Delete { key, .. }] if key == "i/a"));
}

/// Guards against a key that is deleted with a lease from which a later write detached
/// it.
#[test]
fn write_moves_a_key_to_its_new_lease() {
    let store = MemoryStore::new();
    let old = store.grant_lease(10).unwrap();
    let new = store.grant_lease(10).unwrap();
    store.commit(put("i/a", Some(old))).unwrap();
    store.commit(put("i/a", Some(new))).unwrap();
    store.revoke_lease(old).unwrap();
    assert_eq!(store.get("i/a").unwrap().unwrap().lease, Some(new));
    store.revoke_lease(new).unwrap();
    assert_eq!(store.get("i/a"), Ok(None));
}

/// Guards against a watch that silently skips changes that were compacted before it read
/// them.
#[test]
fn watch_fails_if_unread_changes_are_compacted() {
    let store = MemoryStore::new();
    let mut watch = store.watch("a", 2).unwrap();
    let revision = store.commit(put("a", None)).unwrap().revision;
    store.compact(revision);
    assert_eq!(watch.next(Duration::ZERO), Err(StoreError::Compacted));
}
