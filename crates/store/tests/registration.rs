//! Tests of the registration of an instance: renewal, lost leases and lost responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use jayreel_standin::{Faults, StoreGateway};
use jayreel_store::{
    EtcdSettings, EtcdStore, ManualClock, MemoryStore, Registration,
    RegistrationSettings, Store, SystemClock, registrations, remove_registration,
};

/// Far more than any step takes; reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const TTL_MS: u64 = 10_000;

/// Value of `check_every` with which the record is never read back. A read would repair
/// the faults that a test looks for.
const NEVER: u64 = u64::MAX;

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A gateway to a store whose leases expire by the returned clock.
fn gateway() -> (StoreGateway, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::default());
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let store = MemoryStore::with_clock(clock.clone());
    (StoreGateway::start(address, store).unwrap(), clock)
}

fn register(gateway: &StoreGateway, check_every: u64) -> Registration {
    let settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    let store = Arc::new(EtcdStore::new(settings).unwrap());
    let clock = Arc::new(SystemClock::new());
    let settings = RegistrationSettings {
        ttl_s: TTL_MS / 1_000,
        renew_interval_ms: 30,
        check_every,
    };
    Registration::start(store, clock, "i1", &"here", settings).unwrap()
}

/// Name and value of each registered instance.
fn listed(gateway: &StoreGateway) -> Vec<(String, String)> {
    let list = registrations::<String>(gateway.store()).unwrap();
    list.into_iter()
        .map(|entry| (entry.name, entry.record.value))
        .collect()
}

fn is_listed(gateway: &StoreGateway) -> bool {
    listed(gateway) == [("i1".to_string(), "here".to_string())]
}

/// Number of lease renewals that the gateway has received.
fn renewals(gateway: &StoreGateway) -> u64 {
    gateway
        .runs()
        .paths
        .get("POST /v3/lease/keepalive")
        .copied()
        .unwrap_or(0)
}

/// Guards against a registration that is not written, not updated by `set_value`, or
/// still listed after the instance has closed it.
#[test]
fn registration_is_listed_until_closed() {
    let (gateway, _) = gateway();
    let registration = register(&gateway, NEVER);
    wait_until("registration", || is_listed(&gateway));
    registration.set_value(&"leaving").unwrap();
    wait_until("the update", || listed(&gateway)[0].1 == "leaving");
    assert!(registration.renewal_age_ms().is_some());
    registration.close();
    assert_eq!(listed(&gateway), []);
    gateway.close();
}

/// Guards against a running instance that stays unregistered after its lease has expired.
/// The clock of the store jumps past the time to live between two renewals.
#[test]
fn expired_lease_leads_to_a_new_registration() {
    let (gateway, clock) = gateway();
    let registration = register(&gateway, NEVER);
    wait_until("registration", || is_listed(&gateway));
    clock.advance(TTL_MS + 1);
    wait_until("the new registration", || is_listed(&gateway));
    registration.close();
    gateway.close();
}

/// Guards against an instance that stays unregistered after its record was deleted by
/// mistake. The lease is still renewed, so only reading the record back finds the loss.
#[test]
fn deleted_record_is_written_again() {
    let (gateway, _) = gateway();
    let registration = register(&gateway, 2);
    wait_until("registration", || is_listed(&gateway));
    let version = registrations::<String>(gateway.store()).unwrap()[0]
        .record
        .version;
    remove_registration(gateway.store(), "i1", version).unwrap();
    wait_until("the new registration", || is_listed(&gateway));
    registration.close();
    gateway.close();
}

/// Guards against a record attached to a lease that is not renewed. The first write is
/// delayed by 400 ms and reported as lost. If the write were repeated with a new lease,
/// the delayed one would replace it and attach the record to the first lease.
#[test]
fn record_keeps_the_renewed_lease_after_a_lost_response() {
    let (gateway, clock) = gateway();
    gateway.faults().set(Faults {
        lose_requests: 1,
        late_ms: 400,
        lose_path: "/v3/kv/txn".into(),
        ..Faults::default()
    });
    let registration = register(&gateway, NEVER);
    wait_until("registration", || is_listed(&gateway));
    let transactions = || gateway.runs().paths["POST /v3/kv/txn"];
    let before = transactions();
    wait_until("the delayed write", || transactions() > before);
    for _ in 0..4 {
        let before = renewals(&gateway);
        wait_until("renewals", || renewals(&gateway) > before + 2);
        clock.advance(TTL_MS * 6 / 10);
        assert!(
            is_listed(&gateway),
            "the record was deleted with another lease"
        );
    }
    registration.close();
    gateway.close();
}

/// Guards against a lease that outlives its time to live without renewal, with which the
/// registration of a dead process would never be deleted.
#[test]
fn lease_without_renewal_expires() {
    let clock = Arc::new(ManualClock::default());
    let store = MemoryStore::with_clock(clock.clone());
    let lease = store.grant_lease(10).unwrap();
    clock.advance(TTL_MS - 1);
    assert_eq!(store.renew_lease(lease), Ok(true));
    clock.advance(TTL_MS);
    assert_eq!(store.renew_lease(lease), Ok(false));
}
