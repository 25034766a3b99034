//! Tests of the etcd client with [`StoreGateway`] in place of the etcd gateway:
//! operations, deadlines and errors.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jayreel_standin::{Down, Faults, StoreGateway};
use jayreel_store::{
    Change, Condition, EtcdSettings, EtcdStore, LeaseId, MemoryStore, Store, StoreError,
    Transaction, Watch, Write,
};
use test_case::test_case;

/// Far more than any step takes; reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A loopback address with a port that the operating system chooses.
fn any_local_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn gateway() -> StoreGateway {
    StoreGateway::start(any_local_port(), MemoryStore::new()).unwrap()
}

fn client(gateway: &StoreGateway) -> EtcdStore {
    let settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    EtcdStore::new(settings).unwrap()
}

/// A transaction that writes `key` if it is at `revision`, where 0 means absent.
fn put(key: &str, revision: u64, value: &str, lease: Option<LeaseId>) -> Transaction {
    Transaction {
        conditions: vec![Condition::ModRevision {
            key: key.into(),
            revision,
        }],
        writes: vec![Write::Put {
            key: key.into(),
            value: value.into(),
            lease,
        }],
    }
}

/// The next changes, or an empty list if none arrive within [`TEST_TIMEOUT`].
fn next_changes(watch: &mut dyn Watch) -> Result<Vec<Change>, StoreError> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let changes = watch.next(Duration::from_millis(50))?;
        if !changes.is_empty() || Instant::now() > deadline {
            return Ok(changes);
        }
    }
}

/// Guards against a compare-and-swap that succeeds on an old version.
#[test]
fn commit_with_old_version_changes_nothing() {
    let gateway = gateway();
    let store = client(&gateway);
    let first = store.commit(put("a", 0, "1", None)).unwrap();
    let second = store.commit(put("a", 0, "2", None)).unwrap();
    let entry = store.get("a").unwrap().unwrap();
    assert!(first.succeeded && !second.succeeded);
    assert_eq!(
        (entry.value, entry.mod_revision),
        (b"1".to_vec(), first.revision)
    );
    gateway.close();
}

/// Guards against range reads that miss keys or return keys next to the prefix.
#[test]
fn range_returns_exactly_the_prefix() {
    let gateway = gateway();
    let store = client(&gateway);
    for key in ["config.", "config/b", "config/a", "config0"] {
        assert!(store.commit(put(key, 0, "v", None)).unwrap().succeeded);
    }
    let range = store.range("config/").unwrap();
    let keys: Vec<&str> = range.entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["config/a", "config/b"]);
    let newest = range.entries.iter().map(|e| e.mod_revision).max();
    assert_eq!(store.newest_revision("config/").ok(), newest);
    assert!(range.revision > newest.unwrap());
    assert_eq!(store.newest_revision("none/"), Ok(0));
    gateway.close();
}

/// Guards against keys that outlive their lease, and against renewals and writes that
/// succeed with a revoked lease.
#[test]
fn revoking_a_lease_deletes_its_keys() {
    let gateway = gateway();
    let store = client(&gateway);
    let lease = store.grant_lease(10).unwrap();
    assert!(
        store
            .commit(put("i/a", 0, "v", Some(lease)))
            .unwrap()
            .succeeded
    );
    assert_eq!(store.get("i/a").unwrap().unwrap().lease, Some(lease));
    assert_eq!(store.renew_lease(lease), Ok(true));
    store.revoke_lease(lease).unwrap();
    assert_eq!(store.revoke_lease(lease), Ok(()));
    assert_eq!(store.renew_lease(lease), Ok(false));
    assert_eq!(store.get("i/a"), Ok(None));
    let rejected = store.commit(put("i/a", 0, "v", Some(lease)));
    assert!(
        matches!(rejected, Err(StoreError::Rejected(_))),
        "{rejected:?}"
    );
    gateway.close();
}

/// Guards against a watch that skips or reorders changes, or misses deletions.
#[test]
fn watch_delivers_changes_in_order() {
    let gateway = gateway();
    let store = client(&gateway);
    let first = store.commit(put("w/a", 0, "1", None)).unwrap().revision;
    let mut watch = store.watch("w/", first).unwrap();
    store.commit(put("other", 0, "x", None)).unwrap();
    let delete = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Delete { key: "w/a".into() }],
    };
    let deleted = store.commit(delete).unwrap().revision;
    let mut seen = Vec::new();
    while seen.len() < 2 {
        let changes = next_changes(watch.as_mut()).unwrap();
        assert!(!changes.is_empty(), "no change before the timeout");
        seen.extend(changes);
    }
    assert_eq!(seen[0].revision(), first);
    assert!(matches!(&seen[1], Change::Delete { key, revision }
        if key == "w/a" && *revision == deleted));
    watch.close();
    gateway.close();
}

/// Guards against a watch that silently skips the changes that were compacted.
#[test]
fn watch_from_compacted_revision_fails() {
    let gateway = gateway();
    let store = client(&gateway);
    store.commit(put("w/a", 0, "1", None)).unwrap();
    let now = store.commit(put("w/b", 0, "1", None)).unwrap().revision;
    gateway.store().compact(now);
    let result = store
        .watch("w/", 2)
        .and_then(|mut watch| next_changes(watch.as_mut()));
    assert_eq!(result, Err(StoreError::Compacted));
    gateway.close();
}

/// Guards against reporting a change as not made although only its response was lost.
#[test]
fn lost_response_leaves_the_outcome_unknown() {
    let gateway = gateway();
    let store = client(&gateway);
    gateway.faults().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let result = store.commit(put("a", 0, "1", None));
    assert!(
        matches!(result, Err(StoreError::OutcomeUnknown(_))),
        "{result:?}"
    );
    assert_eq!(gateway.runs().paths["POST /v3/kv/txn"], 1);
    assert!(store.get("a").unwrap().is_some(), "the change was made");
    gateway.close();
}

/// Guards against calls that wait without limit on a connection that stays open but does
/// not respond, and against reusing that connection.
#[test_case(false; "connections open at that time")]
#[test_case(true; "all connections")]
fn call_on_an_unresponsive_connection_fails(freeze: bool) {
    let gateway = gateway();
    let mut settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    settings.first_byte_timeout_ms = 500;
    let store = EtcdStore::new(settings).unwrap();
    store.get("a").unwrap();
    gateway.faults().set(Faults {
        freeze,
        silence_open_connections: !freeze,
        ..Faults::default()
    });
    let result = store.commit(put("a", 0, "1", None));
    assert!(
        matches!(result, Err(StoreError::OutcomeUnknown(_))),
        "{result:?}"
    );
    gateway.faults().clear();
    assert_eq!(store.get("a"), Ok(None));
    gateway.close();
}

/// Guards against reporting an unknown outcome, or counting a call, although the
/// connection was refused and nothing was sent.
#[test]
fn refused_connection_means_that_nothing_was_changed() {
    let gateway = gateway();
    let store = client(&gateway);
    let address = gateway.address();
    gateway.close();
    let change = store.commit(put("a", 0, "1", None));
    assert!(
        matches!(change, Err(StoreError::Unavailable(_))),
        "{change:?}"
    );
    let read = store.get("a");
    assert!(matches!(read, Err(StoreError::Unavailable(_))), "{read:?}");
    let watch = store.watch("a", 1).err();
    assert!(
        matches!(watch, Some(StoreError::Unavailable(_))),
        "{watch:?}"
    );
    assert_eq!(
        store.calls(),
        Default::default(),
        "no call reached {address}"
    );
}

/// Guards against a client that fails when one member of the cluster is down.
#[test]
fn next_address_is_used_if_a_connection_is_refused() {
    let down = gateway();
    let up = gateway();
    let addresses = vec![down.address().to_string(), up.address().to_string()];
    down.close();
    let store = EtcdStore::new(EtcdSettings::new(addresses)).unwrap();
    assert!(store.commit(put("a", 0, "1", None)).unwrap().succeeded);
    up.close();
}

/// Guards against reporting a change as not made because the connection was closed after
/// the change was sent.
#[test]
fn closed_connection_leaves_the_outcome_unknown() {
    let gateway = gateway();
    let store = client(&gateway);
    gateway.faults().set(Faults {
        down: Down::Close,
        ..Faults::default()
    });
    let result = store.commit(put("a", 0, "1", None));
    assert!(
        matches!(result, Err(StoreError::OutcomeUnknown(_))),
        "{result:?}"
    );
    gateway.close();
}

/// Guards against a watch that waits without limit on a connection that stays open but
/// delivers nothing.
#[test]
fn watch_without_received_bytes_fails_after_the_time_limit() {
    let gateway = gateway();
    let mut settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    settings.watch_progress_ms = 400;
    let store = EtcdStore::new(settings).unwrap();
    let mut watch = store.watch("w/", 1).unwrap();
    gateway.faults().set(Faults {
        silence_open_connections: true,
        ..Faults::default()
    });
    store.commit(put("w/a", 0, "1", None)).err();
    let result = next_changes(watch.as_mut());
    assert!(
        matches!(result, Err(StoreError::Unavailable(_))),
        "{result:?}"
    );
    gateway.close();
}

/// Guards against calls that the platform charges for but the client does not count.
#[test]
fn calls_are_counted_by_kind() {
    let gateway = gateway();
    let store = client(&gateway);
    store.get("a").unwrap();
    store.newest_revision("a").unwrap();
    store.commit(put("a", 0, "1", None)).unwrap();
    store.grant_lease(5).unwrap();
    store.watch("a", 1).unwrap().close();
    let calls = store.calls();
    let counted = (calls.reads, calls.writes, calls.leases, calls.watches);
    assert_eq!(counted, (2, 1, 1, 1));
    gateway.close();
}
