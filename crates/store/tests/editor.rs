//! Operator changes: races, lost answers and the rules for records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use jayreel_model::{
    Customer, CustomerKey, Endpoint, EndpointKind, EndpointState, KeyHash, Profile, Route,
};
use jayreel_standin::{Down, Faults, StoreGateway};
use jayreel_store::configuration::layout::configuration_of;
use jayreel_store::{
    CONFIG_PREFIX, ConfigurationEditor, EditError, EditorSettings, EtcdSettings,
    EtcdStore, MemoryStore, Store,
};
use test_case::test_case;

const GENEROUS: Duration = Duration::from_secs(30);
const TXN: &str = "/v3/kv/txn";

fn gateway() -> StoreGateway {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    StoreGateway::start(address, MemoryStore::new()).unwrap()
}

fn editor(store: impl Store + 'static) -> ConfigurationEditor {
    let settings = EditorSettings {
        resolve_attempts: 3,
        resolve_pause_ms: 10,
    };
    ConfigurationEditor::new(Arc::new(store), settings)
}

fn remote_editor(gateway: &StoreGateway) -> ConfigurationEditor {
    let settings = EtcdSettings::new(vec![gateway.address().to_string()]);
    editor(EtcdStore::new(settings).unwrap())
}

fn customer() -> Customer {
    Customer {
        rate_mreq_per_s: 5_000,
        burst_mreq: 10_000,
        weight: 1,
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        kind: EndpointKind::ModelEngine,
        group: "drafting-models".into(),
        availability_zone: "hobart-a".into(),
        address: "10.0.0.1:8000".into(),
        models: vec!["m1".into()],
        versions: Default::default(),
        adapters: Default::default(),
        slots: 4,
        checks_fencing: true,
        state: EndpointState::Active,
    }
}

fn route(path_prefix: &str) -> Route {
    Route {
        path_prefix: path_prefix.into(),
        group: "records-office".into(),
        repeatable: false,
        open: false,
    }
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + GENEROUS;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against reporting an accepted change as not accepted after a lost answer.
#[test]
fn lost_answer_is_found_accepted() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        lose_answers: 1,
        lose_path: TXN.into(),
        ..Faults::default()
    });
    let accepted = editor.create("acme", &customer()).unwrap();
    let stored = editor.read::<Customer>("acme").unwrap();
    assert_eq!(stored.version, accepted.revision);
    gateway.close();
}

/// Guards against reporting "not accepted" for a change that takes effect later.
#[test]
fn late_request_after_not_accepted_changes_nothing() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        lose_requests: 1,
        late_ms: 300,
        lose_path: TXN.into(),
        ..Faults::default()
    });
    let result = editor.create("acme", &customer());
    assert!(matches!(result, Err(EditError::Store(_))), "{result:?}");
    let txns = || gateway.runs().paths.get("POST /v3/kv/txn").copied();
    wait_until("the late request", || txns() == Some(2));
    let stored = editor.read::<Customer>("acme");
    assert!(matches!(stored, Err(EditError::NotFound(_))), "{stored:?}");
    gateway.close();
}

/// Guards against guessing an outcome while the store does not answer.
#[test]
fn outage_after_a_change_leaves_it_unknown() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        lose_requests: 1_000,
        lose_path: TXN.into(),
        ..Faults::default()
    });
    let result = editor.create("acme", &customer()).unwrap_err();
    assert!(matches!(result, EditError::Unknown(_)), "{result:?}");
    assert!(!result.is_not_accepted());
    gateway.close();
}

/// Guards against an unknown outcome where the store was certainly not reached.
#[test]
fn refused_connection_is_not_accepted() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        down: Down::Refuse,
        ..Faults::default()
    });
    wait_until("the refusal", || editor.list::<Customer>().is_err());
    let result = editor.create("acme", &customer()).unwrap_err();
    assert!(result.is_not_accepted(), "{result:?}");
    gateway.close();
}

/// Guards against two operators both told that their change of one version is accepted,
/// also when answers are lost and when both write the same value.
#[test_case(0, false; "different values")]
#[test_case(0, true; "same value")]
#[test_case(1, true; "same value with a lost answer")]
#[test_case(2, false; "different values with two lost answers")]
fn racing_changes_are_not_both_accepted(lose_answers: u64, same: bool) {
    let gateway = gateway();
    let first = remote_editor(&gateway);
    let second = remote_editor(&gateway);
    first.create("standard", &Profile::default()).unwrap();
    for round in 0..20 {
        let version = first.read::<Profile>("standard").unwrap().version;
        gateway.faults().set(Faults {
            lose_answers,
            lose_path: TXN.into(),
            ..Faults::default()
        });
        let change = |editor: &ConfigurationEditor, max_turns: u32| {
            let profile = Profile {
                max_turns,
                ..Profile::default()
            };
            editor.change("standard", &profile, version)
        };
        let other = if same { round + 1 } else { round + 1_000 };
        let results = thread::scope(|scope| {
            let racing = scope.spawn(|| change(&second, other));
            [change(&first, round + 1), racing.join().unwrap()]
        });
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(accepted, 1, "round {round}: {results:?}");
    }
    gateway.close();
}

/// Guards against a change based on an old version that undoes a newer one.
#[test]
fn change_of_an_old_version_is_a_conflict() {
    let editor = editor(MemoryStore::new());
    let first = editor.create("acme", &customer()).unwrap();
    editor.change("acme", &customer(), first.revision).unwrap();
    let result = editor.change("acme", &customer(), first.revision);
    assert!(matches!(result, Err(EditError::Conflict(_))), "{result:?}");
}

/// Guards against key texts in the store or in debug output, and against keys of
/// customers that do not exist.
#[test]
fn key_is_shown_once_and_stored_as_hash() {
    let store = MemoryStore::new();
    let editor = editor(store.clone());
    let missing = editor.create_key("acme");
    assert!(
        matches!(missing, Err(EditError::NotFound(_))),
        "{missing:?}"
    );
    editor.create("acme", &customer()).unwrap();
    let given = editor.create_key("acme").unwrap();
    assert_eq!(KeyHash::of_key(&given.key), given.hash);
    assert!(!format!("{given:?}").contains(&given.key));
    for entry in store.range("").unwrap().entries {
        let text = format!("{} {}", entry.key, String::from_utf8_lossy(&entry.value));
        assert!(!text.contains(&given.key), "{} holds the key", entry.key);
    }
    let listed = editor.list::<CustomerKey>().unwrap();
    assert_eq!(listed[0].0, given.hash.to_string());
}

/// Guards against a withdrawn key that becomes valid again.
#[test]
fn withdrawal_is_final() {
    let editor = editor(MemoryStore::new());
    editor.create("acme", &customer()).unwrap();
    let hash = editor.create_key("acme").unwrap().hash;
    let first = editor.withdraw_key(hash).unwrap();
    let again = editor.withdraw_key(hash).unwrap();
    assert!(first.changed && !again.changed);
    assert_eq!(first.revision, again.revision);
    let key = editor.read::<CustomerKey>(&hash.to_string()).unwrap();
    assert!(key.value.withdrawn);
    let unknown = editor.withdraw_key(KeyHash::of_key("other"));
    assert!(
        matches!(unknown, Err(EditError::NotFound(_))),
        "{unknown:?}"
    );
}

/// Guards against retired profiles that vanish, come back or lose their name.
#[test]
fn retired_profile_stays() {
    let editor = editor(MemoryStore::new());
    editor.create("old", &Profile::default()).unwrap();
    let version = editor.retire_profile("old", None).unwrap().revision;
    let back = editor.change("old", &Profile::default(), version);
    assert!(matches!(back, Err(EditError::Invalid(_))), "{back:?}");
    let again = editor.create("old", &Profile::default());
    assert!(
        matches!(again, Err(EditError::AlreadyExists(_))),
        "{again:?}"
    );
    assert!(editor.read::<Profile>("old").unwrap().value.retired);
}

// Guards against records that order an engine to load what no call can name.
#[test_case("versions", "other", "2"; "version of another model")]
#[test_case("versions", "m1", ""; "empty version")]
#[test_case("adapters", "a1", "other"; "adapter of another model")]
#[test_case("adapters", "m1", "m1"; "adapter with the name of a model")]
#[test_case("adapters", "a 1", "m1"; "adapter name with a space")]
fn endpoint_with_unfit_models_is_refused(field: &str, name: &str, value: &str) {
    let editor = editor(MemoryStore::new());
    let mut unfit = endpoint();
    let pairs = match field {
        "versions" => &mut unfit.versions,
        _ => &mut unfit.adapters,
    };
    pairs.insert(name.to_string(), value.to_string());
    let outcome = editor.create("w1", &unfit);
    assert!(matches!(outcome, Err(EditError::Invalid(_))), "{outcome:?}");
}

// Guards against orders whose fencing number is not the revision of their record.
#[test]
fn revision_of_an_endpoint_is_that_of_its_last_change() {
    let store = MemoryStore::new();
    let editor = editor(store.clone());
    let created = editor.create("w1", &endpoint()).unwrap().revision;
    editor.create("a", &customer()).unwrap();
    let revision = || {
        let configuration = configuration_of(&store.range(CONFIG_PREFIX).unwrap());
        configuration.endpoint_revisions.get("w1").copied()
    };
    assert_eq!(revision(), Some(created));
    let mut changed = endpoint();
    changed.versions.insert("m1".into(), "2".into());
    let changed = editor.change("w1", &changed, created).unwrap().revision;
    assert_eq!(revision(), Some(changed));
}

/// Guards against an endpoint that returns from removal by a drain.
#[test]
fn removed_endpoint_is_not_drained() {
    let editor = editor(MemoryStore::new());
    editor.create("w1", &endpoint()).unwrap();
    editor.drain_endpoint("w1").unwrap();
    let state =
        |editor: &ConfigurationEditor| editor.read::<Endpoint>("w1").unwrap().value.state;
    assert_eq!(state(&editor), EndpointState::Draining);
    editor.remove_endpoint("w1", None).unwrap();
    assert!(editor.drain_endpoint("w1").is_err());
    assert_eq!(state(&editor), EndpointState::Removed);
}

/// Guards against an operator's retirement or removal of a record that somebody else has
/// changed since it was read.
#[test]
fn named_version_is_the_only_one_that_is_retired_or_removed() {
    let editor = editor(MemoryStore::new());
    let read = editor.create("old", &Profile::default()).unwrap().revision;
    let changed = Profile {
        budget_tokens: 7,
        ..Profile::default()
    };
    let newer = editor.change("old", &changed, read).unwrap().revision;
    let late = editor.retire_profile("old", Some(read));
    assert!(matches!(late, Err(EditError::Conflict(_))), "{late:?}");
    assert!(!editor.read::<Profile>("old").unwrap().value.retired);
    assert!(editor.retire_profile("old", Some(newer)).unwrap().changed);

    let read = editor.create("w1", &endpoint()).unwrap().revision;
    editor.drain_endpoint("w1").unwrap();
    let late = editor.remove_endpoint("w1", Some(read));
    assert!(matches!(late, Err(EditError::Conflict(_))), "{late:?}");
}

/// Guards against a deletion that polls of the newest revision cannot see.
#[test]
fn deletion_raises_the_newest_revision() {
    let store = MemoryStore::new();
    let editor = editor(store.clone());
    let created = editor.create("files", &route("/files")).unwrap();
    let deleted = editor.delete_route("files", created.revision).unwrap();
    assert!(deleted.revision > created.revision);
    assert_eq!(store.newest_revision(CONFIG_PREFIX), Ok(deleted.revision));
}

/// Guards against names that break store keys or listings.
#[test_case(""; "empty")]
#[test_case("a/b"; "separator")]
#[test_case("Acme"; "upper case")]
#[test_case("-a"; "starts with a dash")]
#[test_case("ä"; "not ASCII")]
fn bad_name_is_refused(name: &str) {
    let result = editor(MemoryStore::new()).create(name, &customer());
    assert!(matches!(result, Err(EditError::Invalid(_))), "{result:?}");
}

/// Guards against addresses that endpoints cannot have.
#[test_case("example.org:80"; "host name")]
#[test_case("10.0.0.1"; "no port")]
#[test_case("10.0.0.1:0"; "port zero")]
#[test_case("0.0.0.0:80"; "unspecified")]
fn bad_address_is_refused(address: &str) {
    let mut record = endpoint();
    record.address = address.into();
    let result = editor(MemoryStore::new()).create("w1", &record);
    assert!(matches!(result, Err(EditError::Invalid(_))), "{result:?}");
}

/// Guards against routes that shadow the API or that no path can match.
#[test_case("files"; "relative")]
#[test_case("/v1/chat"; "reserved")]
#[test_case("/healthz"; "probe")]
#[test_case("/a//b"; "empty segment")]
#[test_case("/a/"; "trailing slash")]
#[test_case("/a/../b"; "parent segment")]
#[test_case("/a?b"; "query")]
fn bad_path_is_refused(path: &str) {
    let result = editor(MemoryStore::new()).create("r", &route(path));
    assert!(matches!(result, Err(EditError::Invalid(_))), "{result:?}");
}
