//! Tests of reading a settings file: defaults, problems and their messages.

use jayreel_settings::{RawSettings, Settings};
use test_case::test_case;

/// All required keys and the listeners.
const COMPLETE: &str = "
[instance]
name = entry-1
availability_zone = hobart-a
[callers]
listen = 127.0.0.1:7000
[admin]
listen = 127.0.0.1:7001
key_hashes = af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262
[peers]
listen = 127.0.0.1:7002
fleet_secret = af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262
[platform]
store = 127.0.0.1:2379
";

/// The settings, or all problems as printed.
fn read(text: &str) -> Result<Settings, String> {
    let raw = RawSettings::parse("test.ini", text).map_err(|e| e.to_string())?;
    Settings::from_raw(raw).map_err(|e| e.to_string())
}

#[test]
fn complete_file_is_accepted_with_defaults() {
    let settings = read(COMPLETE).unwrap();
    assert_eq!(settings.instance.name, "entry-1");
    assert_eq!(settings.quota.loan_term_ms, 5_000);
    assert_eq!(settings.platform.store.len(), 1);
}

// Guards against ignoring a misspelled key, and against messages that do not say where
// the problem is.
#[test_case(
    "[callers]\nlissten = 1",
    "test.ini: [callers] lissten: is not a known key"
)]
#[test_case(
    "[quota]\nloan_term_ms = 0",
    "test.ini: [quota] loan_term_ms: must be a whole number from 100 to 3600000"
)]
#[test_case(
    "[policy]\norder = random",
    "test.ini: [policy] order: must be one of least-attained-service, first-come-first-served"
)]
#[test_case("[nonsense]\na = 1", "test.ini: [nonsense] a: is not a known key")]
#[test_case(
    "[log]\nlevel = loud",
    "test.ini: [log] level: must be one of error, warn, info, debug, trace"
)]
#[test_case(
    "[peers]\nseeds = 10.0.0.1:7002, entry-2:7002",
    "test.ini: [peers] seeds: must be IP addresses with ports"
)]
#[test_case(
    "[peers]\nseeds = 10.0.0.1:7002, 10.0.0.1:7002",
    "test.ini: [peers] seeds: 10.0.0.1:7002 is listed twice"
)]
#[test_case(
    "[peers]\nseeds = 0.0.0.0:7002",
    "test.ini: [peers] seeds: 0.0.0.0:7002 is not an address of a peer"
)]
#[test_case(
    "[peers]\nseeds = 10.0.0.1:0",
    "test.ini: [peers] seeds: 10.0.0.1:0 is not an address of a peer"
)]
#[test_case(
    "[callers]\nlisten = somewhere",
    "test.ini: [callers] listen: must be an IP address with a port"
)]
fn problem_names_file_section_and_key(addition: &str, expected: &str) {
    let mut text = COMPLETE.to_string();
    let (header, key) = addition.split_once('\n').unwrap();
    match text.contains(header) {
        true if key.starts_with("listen") => {
            text = text.replace("listen = 127.0.0.1:7000", key);
        }
        true => text = text.replace(header, addition),
        false => text.push_str(addition),
    }
    assert_eq!(read(&text).unwrap_err(), expected);
}

// Guards against a list of hundreds of seeds: a starting instance connects to each of
// them once a second.
#[test]
fn number_of_seeds_is_limited() {
    let read_with_seeds = |count: u32| {
        let seeds: Vec<String> = (0..count).map(|i| format!("10.0.0.{i}:7002")).collect();
        let line = format!("[peers]\nseeds = {}", seeds.join(","));
        read(&COMPLETE.replace("[peers]", &line))
    };
    assert_eq!(read_with_seeds(48).unwrap().peers.seeds.len(), 48);
    assert_eq!(
        read_with_seeds(49).unwrap_err(),
        "test.ini: [peers] seeds: must be at most 48 addresses"
    );
}

// Guards against reporting only the first of several problems.
#[test]
fn all_problems_are_reported_together() {
    let error = read("[instance]\nname = a b\n").unwrap_err();
    assert!(
        error.contains("[instance] name: must be 1 to 64"),
        "{error}"
    );
    assert!(
        error.contains("[instance] availability_zone: is required"),
        "{error}"
    );
    assert!(error.contains("[admin] key_hashes"), "{error}");
    assert!(error.contains("[platform] store"), "{error}");
}

// Guards against two listeners with the same address, the second of which would fail at
// the start of the instance.
#[test]
fn listeners_need_different_addresses() {
    let text = COMPLETE.replace("127.0.0.1:7001", "127.0.0.1:7000");
    let error = read(&text).unwrap_err();
    assert_eq!(
        error,
        "test.ini: [admin] listen: is the address of another listener"
    );
}

// Guards against silently using one of two values that are set for the same key.
#[test]
fn key_set_twice_is_rejected() {
    let text = COMPLETE.replace("name = entry-1", "name = entry-1\nname = entry-2");
    let error = read(&text).unwrap_err();
    assert_eq!(error, "test.ini: [instance] name: is set twice");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..proptest::prelude::ProptestConfig::default()
    })]
    // Guards against a panic on a damaged file.
    #[test]
    fn any_text_gives_settings_or_problems(text in "(?s).{0,400}") {
        let _ = read(&text);
    }
}
