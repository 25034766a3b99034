//! Tests of the configuration feed: watches that stop delivering, outages of the store,
//! configurations from peers, and revisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use jayreel_model::{Configuration, Customer, CustomerKey, KeyHash, Route};
use jayreel_standin::{Down, Faults, StoreGateway};
use jayreel_store::configuration::FeedState;
use jayreel_store::{
    ConfigurationEditor, ConfigurationFeed, EditorSettings, EtcdSettings, EtcdStore,
    FeedSettings, ManualClock, MemoryStore, Store, SystemClock,
};

/// Far more than any step takes; reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const HOUR_MS: u64 = 3_600_000;

/// A gateway to an empty store.
fn gateway() -> StoreGateway {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    StoreGateway::start(address, MemoryStore::new()).unwrap()
}

/// A feed with a short timeout for silent connections, which does not replace its watch
/// for lack of changes during a test.
fn feed(gateway: &StoreGateway, poll_interval_ms: u64) -> ConfigurationFeed {
    let mut settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    settings.first_byte_timeout_ms = 500;
    let store = Arc::new(EtcdStore::new(settings).unwrap());
    let settings = FeedSettings {
        poll_interval_ms,
        watch_replace_ms: HOUR_MS,
    };
    ConfigurationFeed::start(store, Arc::new(SystemClock::new()), settings).unwrap()
}

/// Edits the store behind the gateway directly, so that it works while the gateway is
/// down.
fn editor(gateway: &StoreGateway) -> ConfigurationEditor {
    let store: Arc<dyn Store> = Arc::new(gateway.store().clone());
    ConfigurationEditor::new(store, EditorSettings::default())
}

fn customer() -> Customer {
    Customer {
        rate_mreq_per_s: 5_000,
        burst_mreq: 10_000,
        weight: 1,
    }
}

fn route() -> Route {
    Route {
        path_prefix: "/files".into(),
        group: "records-office".into(),
        repeatable: false,
        open: false,
    }
}

/// A configuration at `revision` with the key `k`.
fn at_revision(revision: u64, withdrawn: bool) -> Configuration {
    let key = CustomerKey {
        customer: "acme".into(),
        withdrawn,
    };
    Configuration {
        revision,
        keys: [(KeyHash::of_key("k"), key)].into(),
        ..Configuration::default()
    }
}

fn is_withdrawn(configuration: &Configuration) -> bool {
    configuration.keys[&KeyHash::of_key("k")].withdrawn
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::sleep(Duration::from_millis(5));
    }
}

fn wait_for_customer(feed: &ConfigurationFeed, name: &str) {
    wait_until(name, || {
        feed.current()
            .is_some_and(|copy| copy.customers.contains_key(name))
    });
}

fn wait_for_copy(feed: &ConfigurationFeed) {
    wait_until("the first copy", || feed.current().is_some());
}

/// Waits until the feed delivers a new customer `name`, so that its watch is open, and
/// then makes the gateway stop sending on all open connections without closing them.
fn silence_watch(gateway: &StoreGateway, feed: &ConfigurationFeed, name: &str) {
    wait_for_copy(feed);
    editor(gateway).create(name, &customer()).unwrap();
    wait_for_customer(feed, name);
    gateway.faults().set(Faults {
        silence_open_connections: true,
        ..Faults::default()
    });
}

/// Guards against a feed that notices changes only by polling. It polls once an hour
/// here.
#[test]
fn watch_delivers_changes() {
    let gateway = gateway();
    editor(&gateway).create("first", &customer()).unwrap();
    let feed = feed(&gateway, HOUR_MS);
    wait_for_customer(&feed, "first");
    editor(&gateway).create("second", &customer()).unwrap();
    wait_for_customer(&feed, "second");
    let revisions: Vec<u64> = feed.updates().try_iter().map(|c| c.revision).collect();
    assert!(revisions.is_sorted(), "{revisions:?}");
    feed.close();
    gateway.close();
}

/// Guards against a feed that never learns of changes and deletions because its watch
/// stops delivering while the connection stays open.
#[test]
fn polling_replaces_a_watch_that_stopped_delivering() {
    let gateway = gateway();
    let editor = editor(&gateway);
    let created = editor.create("files", &route()).unwrap();
    let feed = feed(&gateway, 100);
    silence_watch(&gateway, &feed, "first");
    editor.create("acme", &customer()).unwrap();
    wait_for_customer(&feed, "acme");
    silence_watch(&gateway, &feed, "second");
    editor.delete_route("files", created.revision).unwrap();
    wait_until("the deletion", || feed.current().unwrap().routes.is_empty());
    feed.close();
    gateway.close();
}

/// Guards against a feed that does not recover from an outage, or that misses changes
/// that were made and compacted during the outage, so that a watch cannot deliver them.
#[test]
fn feed_recovers_from_an_outage_with_a_compaction() {
    let gateway = gateway();
    let feed = feed(&gateway, 50);
    wait_for_copy(&feed);
    gateway.faults().set(Faults {
        down: Down::Refuse,
        ..Faults::default()
    });
    let editor = editor(&gateway);
    editor.create("acme", &customer()).unwrap();
    let revision = gateway.store().range("config/").unwrap().revision;
    gateway.store().compact(revision);
    gateway.faults().clear();
    wait_for_customer(&feed, "acme");
    editor.create("later", &customer()).unwrap();
    wait_for_customer(&feed, "later");
    feed.close();
    gateway.close();
}

/// Guards against an instance that gets no configuration, or returns to an older one,
/// while the store is down and only peers can provide it.
#[test]
fn peers_provide_the_configuration_while_the_store_is_down() {
    let gateway = gateway();
    gateway.faults().set(Faults {
        down: Down::Refuse,
        ..Faults::default()
    });
    let feed = feed(&gateway, HOUR_MS);
    assert!(feed.offer_peer_snapshot(at_revision(7, false), Some(40)));
    assert!(!feed.offer_peer_snapshot(at_revision(6, false), None));
    assert_eq!(feed.current().unwrap().revision, 7);
    assert!(
        feed.store_contact_age_ms()
            .is_none_or(|age_ms| age_ms >= 40)
    );
    feed.close();
    gateway.close();
}

/// Guards against replacing the copy by the older configuration of a store that has lost
/// its newest changes.
#[test]
fn store_that_is_behind_the_copy_is_ignored() {
    let gateway = gateway();
    editor(&gateway).create("acme", &customer()).unwrap();
    let feed = feed(&gateway, 20);
    wait_for_customer(&feed, "acme");
    feed.offer_peer_snapshot(at_revision(1_000, false), None);
    let reads = || gateway.runs().paths["POST /v3/kv/range"];
    let before = reads();
    wait_until("more polls", || reads() > before + 5);
    assert_eq!(feed.current().unwrap().revision, 1_000);
    feed.close();
    gateway.close();
}

/// Guards against waiting for the next poll although a peer has reported a newer
/// revision.
#[test]
fn newer_revision_at_a_peer_causes_a_read() {
    let gateway = gateway();
    let feed = feed(&gateway, HOUR_MS);
    silence_watch(&gateway, &feed, "first");
    let accepted = editor(&gateway).create("acme", &customer()).unwrap();
    assert!(feed.note_peer_revision(accepted.revision, None));
    wait_for_customer(&feed, "acme");
    assert!(!feed.note_peer_revision(accepted.revision, None));
    feed.close();
    gateway.close();
}

/// Guards against a withdrawn key that becomes valid again with a later copy, and against
/// ignoring a withdrawal in a configuration that is older than the copy.
#[test]
fn withdrawal_is_never_undone() {
    let mut state = FeedState::new();
    state.offer(at_revision(5, false)).unwrap();
    let updated = state
        .offer(at_revision(4, true))
        .expect("a new copy with the withdrawal");
    assert_eq!((updated.revision, is_withdrawn(&updated)), (5, true));
    let newer = state.offer(at_revision(6, false)).unwrap();
    assert!(is_withdrawn(&newer));
    let mut without_copy = FeedState::new();
    without_copy.withdraw(KeyHash::of_key("k"));
    assert!(is_withdrawn(
        &without_copy.offer(at_revision(1, false)).unwrap()
    ));
}

/// Guards against a new instance that does not learn of a withdrawal, because it gets the
/// copy of a peer and that is older than the record of the key.
#[test]
fn withdrawn_keys_without_a_record_are_listed() {
    let mut state = FeedState::new();
    state.withdraw(KeyHash::of_key("k"));
    state.withdraw(KeyHash::of_key("newer"));
    let without_record = state.withdrawn_without_record();
    assert_eq!(
        without_record.len(),
        2,
        "without a copy: {without_record:?}"
    );
    state.offer(at_revision(5, false)).unwrap();
    assert_eq!(state.withdrawn_without_record(), [KeyHash::of_key("newer")]);
}

/// Guards against counting a copy as confirmed by the store although it is older than the
/// revision that the store held.
#[test]
fn only_a_copy_that_is_new_enough_is_confirmed() {
    let mut state = FeedState::new();
    state.confirm_current(0, 10);
    assert_eq!(state.confirmed_at_ms(), None);
    state.offer(at_revision(5, false));
    state.confirm_current(6, 20);
    assert_eq!(state.confirmed_at_ms(), None);
    state.confirm_current(5, 30);
    state.confirm_current(4, 25);
    assert_eq!(state.confirmed_at_ms(), Some(30));
}

/// Guards against a store contact age that does not grow while the store is not asked.
#[test]
fn contact_age_grows_with_the_clock() {
    let clock = Arc::new(ManualClock::default());
    let store = Arc::new(MemoryStore::new());
    let settings = FeedSettings::default();
    let feed = ConfigurationFeed::start(store, clock.clone(), settings).unwrap();
    wait_until("contact", || feed.store_contact_age_ms() == Some(0));
    clock.advance(1_500);
    assert_eq!(feed.store_contact_age_ms(), Some(1_500));
    feed.close();
}
