//! The configuration feed: silent watches, outages, peers and revisions.

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

const GENEROUS: Duration = Duration::from_secs(30);
const HOUR_MS: u64 = 3_600_000;

fn gateway() -> StoreGateway {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    StoreGateway::start(address, MemoryStore::new()).unwrap()
}

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

/// Edits the store behind the gateway, which may be down.
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
    let deadline = Instant::now() + GENEROUS;
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

/// Waits until a change arrived, with rare polls only by the watch, and then silences
/// the connections that are open.
fn silence_watch(gateway: &StoreGateway, feed: &ConfigurationFeed, sentinel: &str) {
    wait_for_copy(feed);
    editor(gateway).create(sentinel, &customer()).unwrap();
    wait_for_customer(feed, sentinel);
    gateway.faults().set(Faults {
        silence_open_connections: true,
        ..Faults::default()
    });
}

/// Guards against a feed that sees changes only by polling.
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

/// Guards against a watch that went silent and hides changes and deletions for good.
#[test]
fn silent_watch_is_found_by_polling() {
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
/// made meanwhile whose log is compacted.
#[test]
fn outage_and_return() {
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

/// Guards against an instance that cannot start, or goes back, while the store is down.
#[test]
fn peer_snapshots_replace_a_store_that_is_down() {
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

/// Guards against taking a store that lost its newest changes for the truth.
#[test]
fn store_behind_the_copy_is_not_applied() {
    let gateway = gateway();
    editor(&gateway).create("acme", &customer()).unwrap();
    let feed = feed(&gateway, 20);
    wait_for_customer(&feed, "acme");
    feed.offer_peer_snapshot(at_revision(1_000, false), None);
    let asked = || gateway.runs().paths["POST /v3/kv/range"];
    let before = asked();
    wait_until("more polls", || asked() > before + 5);
    assert_eq!(feed.current().unwrap().revision, 1_000);
    feed.close();
    gateway.close();
}

/// Guards against waiting for the next poll although a peer is ahead.
#[test]
fn peer_that_is_ahead_causes_a_read() {
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

/// Guards against a withdrawal that an older or equal copy undoes or hides.
#[test]
fn withdrawal_is_never_undone() {
    let mut state = FeedState::new();
    state.offer(at_revision(5, false)).unwrap();
    let learned = state
        .offer(at_revision(4, true))
        .expect("a withdrawal to apply");
    assert_eq!((learned.revision, is_withdrawn(&learned)), (5, true));
    let newer = state.offer(at_revision(6, false)).unwrap();
    assert!(is_withdrawn(&newer));
    let mut direct = FeedState::new();
    direct.withdraw(KeyHash::of_key("k"));
    assert!(is_withdrawn(&direct.offer(at_revision(1, false)).unwrap()));
}

/// Guards against a withdrawal that a new instance does not learn with the copy of a peer,
/// because the copy is older than the key.
#[test]
fn withdrawals_that_the_copy_does_not_show_are_told_apart() {
    let mut state = FeedState::new();
    state.withdraw(KeyHash::of_key("k"));
    state.withdraw(KeyHash::of_key("newer"));
    let hidden = state.withdrawn_without_record();
    assert_eq!(hidden.len(), 2, "without a copy: {hidden:?}");
    state.offer(at_revision(5, false)).unwrap();
    assert_eq!(state.withdrawn_without_record(), [KeyHash::of_key("newer")]);
}

/// Guards against peers that keep an old copy fresh without contact to the store.
#[test]
fn contact_counts_only_for_a_copy_that_is_new_enough() {
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

/// Guards against an age of contact that does not grow during an outage.
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
