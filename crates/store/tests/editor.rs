//! Tests of configuration changes by operators: races, lost responses and the rules for
//! records.

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

/// Far more than any step takes; reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const TXN_PATH: &str = "/v3/kv/txn";

/// A gateway to an empty store.
fn gateway() -> StoreGateway {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    StoreGateway::start(address, MemoryStore::new()).unwrap()
}

/// An editor that gives up soon after a lost response.
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
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against reporting an accepted change as not accepted. The gateway applies the
/// change and loses the response.
#[test]
fn change_with_a_lost_response_is_reported_as_accepted() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        lose_answers: 1,
        lose_path: TXN_PATH.into(),
        ..Faults::default()
    });
    let accepted = editor.create("acme", &customer()).unwrap();
    let stored = editor.read::<Customer>("acme").unwrap();
    assert_eq!(stored.version, accepted.revision);
    gateway.close();
}

/// Guards against reporting "not accepted" for a change that is applied later. The
/// request reaches the store 300 ms late, after the editor has cancelled the change.
#[test]
fn delayed_request_of_a_cancelled_change_has_no_effect() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        lose_requests: 1,
        late_ms: 300,
        lose_path: TXN_PATH.into(),
        ..Faults::default()
    });
    let result = editor.create("acme", &customer());
    assert!(matches!(result, Err(EditError::Store(_))), "{result:?}");
    let transactions = || gateway.runs().paths.get("POST /v3/kv/txn").copied();
    wait_until("the delayed request", || transactions() == Some(2));
    let stored = editor.read::<Customer>("acme");
    assert!(matches!(stored, Err(EditError::NotFound(_))), "{stored:?}");
    gateway.close();
}

/// Guards against reporting a definite outcome although the store has not responded since
/// the change was sent.
#[test]
fn outage_after_a_change_leaves_its_outcome_unknown() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        lose_requests: 1_000,
        lose_path: TXN_PATH.into(),
        ..Faults::default()
    });
    let result = editor.create("acme", &customer()).unwrap_err();
    assert!(matches!(result, EditError::Unknown(_)), "{result:?}");
    assert!(!result.is_not_accepted());
    gateway.close();
}

/// Guards against reporting an unknown outcome although the store was certainly not
/// reached.
#[test]
fn change_is_not_accepted_if_the_connection_is_refused() {
    let gateway = gateway();
    let editor = remote_editor(&gateway);
    gateway.faults().set(Faults {
        down: Down::Refuse,
        ..Faults::default()
    });
    wait_until("a refused connection", || {
        editor.list::<Customer>().is_err()
    });
    let result = editor.create("acme", &customer()).unwrap_err();
    assert!(result.is_not_accepted(), "{result:?}");
    gateway.close();
}

/// Guards against telling two operators that both their changes of the same version are
/// accepted, also when responses are lost and when both write the same value.
#[test_case(0, false; "different values")]
#[test_case(0, true; "same value")]
#[test_case(1, true; "same value with a lost response")]
#[test_case(2, false; "different values with two lost responses")]
fn only_one_of_two_concurrent_changes_is_accepted(lose_answers: u64, same_value: bool) {
    let gateway = gateway();
    let first = remote_editor(&gateway);
    let second = remote_editor(&gateway);
    first.create("standard", &Profile::default()).unwrap();
    for round in 0..20 {
        let version = first.read::<Profile>("standard").unwrap().version;
        gateway.faults().set(Faults {
            lose_answers,
            lose_path: TXN_PATH.into(),
            ..Faults::default()
        });
        let change = |editor: &ConfigurationEditor, max_turns: u32| {
            let profile = Profile {
                max_turns,
                ..Profile::default()
            };
            editor.change("standard", &profile, version)
        };
        let other = if same_value { round + 1 } else { round + 1_000 };
        let results = thread::scope(|scope| {
            let concurrent = scope.spawn(|| change(&second, other));
            [change(&first, round + 1), concurrent.join().unwrap()]
        });
        let accepted = results.iter().filter(|result| result.is_ok()).count();
        assert_eq!(accepted, 1, "round {round}: {results:?}");
    }
    gateway.close();
}

/// Guards against a change based on an old version that overwrites a newer change.
#[test]
fn change_of_an_old_version_is_a_conflict() {
    let editor = editor(MemoryStore::new());
    let first = editor.create("acme", &customer()).unwrap();
    editor.change("acme", &customer(), first.revision).unwrap();
    let result = editor.change("acme", &customer(), first.revision);
    assert!(matches!(result, Err(EditError::Conflict(_))), "{result:?}");
}

/// Guards against customer keys in the store or in debug output, and against keys for
/// customers that do not exist.
#[test]
fn key_is_returned_once_and_stored_as_hash() {
    let store = MemoryStore::new();
    let editor = editor(store.clone());
    let missing = editor.create_key("acme");
    assert!(
        matches!(missing, Err(EditError::NotFound(_))),
        "{missing:?}"
    );
    editor.create("acme", &customer()).unwrap();
    let created = editor.create_key("acme").unwrap();
    assert_eq!(KeyHash::of_key(&created.key), created.hash);
    assert!(!format!("{created:?}").contains(&created.key));
    for entry in store.range("").unwrap().entries {
        let text = format!("{} {}", entry.key, String::from_utf8_lossy(&entry.value));
        assert!(
            !text.contains(&created.key),
            "{} contains the key",
            entry.key
        );
    }
    let listed = editor.list::<CustomerKey>().unwrap();
    assert_eq!(listed[0].0, created.hash.to_string());
}

/// Guards against a withdrawn key that becomes valid again.
#[test]
fn withdrawal_is_permanent() {
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

/// Guards against retired profiles that are deleted or reactivated, or whose name is used
/// for a new profile.
#[test]
fn retired_profile_stays_retired() {
    let editor = editor(MemoryStore::new());
    editor.create("old", &Profile::default()).unwrap();
    let version = editor.retire_profile("old", None).unwrap().revision;
    let reactivated = editor.change("old", &Profile::default(), version);
    assert!(
        matches!(reactivated, Err(EditError::Invalid(_))),
        "{reactivated:?}"
    );
    let recreated = editor.create("old", &Profile::default());
    assert!(
        matches!(recreated, Err(EditError::AlreadyExists(_))),
        "{recreated:?}"
    );
    assert!(editor.read::<Profile>("old").unwrap().value.retired);
}

/// Guards against endpoint records that make an engine load a model version or an adapter
/// that no call can name.
#[test_case("versions", "other", "2"; "version of another model")]
#[test_case("versions", "m1", ""; "empty version")]
#[test_case("adapters", "a1", "other"; "adapter of another model")]
#[test_case("adapters", "m1", "m1"; "adapter with the name of a model")]
#[test_case("adapters", "a 1", "m1"; "adapter name with a space")]
fn endpoint_with_invalid_versions_or_adapters_is_rejected(
    field: &str,
    name: &str,
    value: &str,
) {
    let editor = editor(MemoryStore::new());
    let mut invalid = endpoint();
    let pairs = match field {
        "versions" => &mut invalid.versions,
        _ => &mut invalid.adapters,
    };
    pairs.insert(name.to_string(), value.to_string());
    let outcome = editor.create("w1", &invalid);
    assert!(matches!(outcome, Err(EditError::Invalid(_))), "{outcome:?}");
}

/// Guards against load requests to an engine whose fencing number is not the revision at
/// which the endpoint's record was last written. Changes of other records do not count.
#[test]
fn endpoint_revision_is_that_of_its_last_change() {
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

/// Guards against draining a removed endpoint, which would undo the removal.
#[test]
fn removed_endpoint_cannot_be_drained() {
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

/// Guards against retiring or removing a record that somebody else has changed since the
/// operator read the given version.
#[test]
fn retirement_and_removal_with_an_old_version_are_conflicts() {
    let editor = editor(MemoryStore::new());
    let read = editor.create("old", &Profile::default()).unwrap().revision;
    let changed = Profile {
        budget_tokens: 7,
        ..Profile::default()
    };
    let newer = editor.change("old", &changed, read).unwrap().revision;
    let outdated = editor.retire_profile("old", Some(read));
    assert!(
        matches!(outdated, Err(EditError::Conflict(_))),
        "{outdated:?}"
    );
    assert!(!editor.read::<Profile>("old").unwrap().value.retired);
    assert!(editor.retire_profile("old", Some(newer)).unwrap().changed);

    let read = editor.create("w1", &endpoint()).unwrap().revision;
    editor.drain_endpoint("w1").unwrap();
    let outdated = editor.remove_endpoint("w1", Some(read));
    assert!(
        matches!(outdated, Err(EditError::Conflict(_))),
        "{outdated:?}"
    );
}

/// Guards against a deletion that does not raise the newest revision, so that polls miss
/// it.
#[test]
fn deletion_raises_the_newest_revision() {
    let store = MemoryStore::new();
    let editor = editor(store.clone());
    let created = editor.create("files", &route("/files")).unwrap();
    let deleted = editor.delete_route("files", created.revision).unwrap();
    assert!(deleted.revision > created.revision);
    assert_eq!(store.newest_revision(CONFIG_PREFIX), Ok(deleted.revision));
}

/// Guards against record names that make store keys or listings ambiguous.
#[test_case(""; "empty")]
#[test_case("a/b"; "separator")]
#[test_case("Acme"; "upper case")]
#[test_case("-a"; "starts with a dash")]
#[test_case("ä"; "not ASCII")]
fn invalid_name_is_rejected(name: &str) {
    let result = editor(MemoryStore::new()).create(name, &customer());
    assert!(matches!(result, Err(EditError::Invalid(_))), "{result:?}");
}

/// Guards against endpoint addresses that cannot be connected to.
#[test_case("example.org:80"; "host name")]
#[test_case("10.0.0.1"; "no port")]
#[test_case("10.0.0.1:0"; "port zero")]
#[test_case("0.0.0.0:80"; "unspecified")]
fn invalid_address_is_rejected(address: &str) {
    let mut record = endpoint();
    record.address = address.into();
    let result = editor(MemoryStore::new()).create("w1", &record);
    assert!(matches!(result, Err(EditError::Invalid(_))), "{result:?}");
}

/// Guards against routes that hide jayreel's own paths or that no request path can match.
#[test_case("files"; "relative")]
#[test_case("/v1/chat"; "reserved")]
#[test_case("/healthz"; "probe")]
#[test_case("/a//b"; "empty segment")]
#[test_case("/a/"; "trailing slash")]
#[test_case("/a/../b"; "parent segment")]
#[test_case("/a?b"; "query")]
fn invalid_path_prefix_is_rejected(path: &str) {
    let result = editor(MemoryStore::new()).create("r", &route(path));
    assert!(matches!(result, Err(EditError::Invalid(_))), "{result:?}");
}
