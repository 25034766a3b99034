//! Tests of reading the options of an entry instance: defaults, problems and their messages.

use jayreel_settings::{EdgeOptions, RawSettings};
use test_case::test_case;

/// The options, or all problems as printed.
fn read(text: &str) -> Result<EdgeOptions, String> {
    let raw = RawSettings::parse("edge.ini", text).map_err(|e| e.to_string())?;
    EdgeOptions::from_raw(raw).map_err(|e| e.to_string())
}

// Guards against a feature that an empty file turns on.
#[test_case(""; "empty")]
#[test_case("[hedging]\n"; "empty section")]
#[test_case("[hedging]\nmax_burst = 8\n"; "only a burst")]
#[test_case("[hedging]\nmax_extra_percent = 0\n"; "a share of zero")]
fn hedging_is_off(text: &str) {
    assert!(!read(text).unwrap().hedging.is_enabled());
}

#[test]
fn hedging_is_read() {
    let text = "[hedging]\nmax_extra_percent = 2.5\nmax_burst = 100\n";
    let hedging = read(text).unwrap().hedging;
    assert_eq!(hedging.max_extra_percent(), 2.5);
    assert_eq!(hedging.max_burst(), 100);
}

#[test]
fn default_burst_is_four() {
    let hedging = read("[hedging]\nmax_extra_percent = 10\n").unwrap().hedging;
    assert!(hedging.is_enabled());
    assert_eq!(hedging.max_burst(), 4);
}

// Guards against rejections of programs that the operators did not ask for.
#[test_case("", None; "empty")]
#[test_case("[admission]\nmax_queueing_turns = 0\n", None; "zero")]
#[test_case("[admission]\nmax_queueing_turns = 0.4\n", Some(0.4); "a bound")]
fn admission_bound_is_read(text: &str, expected: Option<f64>) {
    assert_eq!(read(text).unwrap().max_queueing_turns, expected);
}

// Guards against a share that the operators did not mean, against ignoring a misspelled name, and
// against messages that do not say where the problem is.
#[test_case(
    "[hedging]\nmax_extra_percent = 10.5",
    "edge.ini: [hedging] max_extra_percent: must be a number from 0 to 10"
)]
#[test_case(
    "[hedging]\nmax_extra_percent = -1",
    "edge.ini: [hedging] max_extra_percent: must be a number from 0 to 10"
)]
#[test_case(
    "[hedging]\nmax_extra_percent = nan",
    "edge.ini: [hedging] max_extra_percent: must be a number from 0 to 10"
)]
#[test_case(
    "[hedging]\nmax_extra_percent = 5%",
    "edge.ini: [hedging] max_extra_percent: must be a number from 0 to 10"
)]
#[test_case(
    "[hedging]\nmax_burst = 0",
    "edge.ini: [hedging] max_burst: must be a whole number from 1 to 100"
)]
#[test_case(
    "[hedging]\nmax_burst = 2.5",
    "edge.ini: [hedging] max_burst: must be a whole number from 1 to 100"
)]
#[test_case(
    "[hedging]\nmax_burst = 101",
    "edge.ini: [hedging] max_burst: must be a whole number from 1 to 100"
)]
#[test_case(
    "[admission]\nmax_queueing_turns = 4",
    "edge.ini: [admission] max_queueing_turns: must be a number from 0 to 3"
)]
#[test_case(
    "[hedging]\nmax_busrt = 4",
    "edge.ini: [hedging] max_busrt: is not a known key"
)]
#[test_case(
    "[hedging]\nmax_burst = 4\nmax_burst = 5",
    "edge.ini: [hedging] max_burst: is set twice"
)]
#[test_case(
    "[hedging]\nmax_burst = 4\n[hedging]\nmax_burst = 5",
    "edge.ini: [hedging] max_burst: is set twice"
)]
#[test_case(
    "[hegding]\nmax_burst = 4",
    "edge.ini: [hegding] max_burst: is not a known key"
)]
#[test_case("[hegding]\n", "edge.ini: [hegding] is not a known section")]
#[test_case("max_burst = 4", "edge.ini: max_burst: is not a known key")]
fn problems_name_section_and_key(text: &str, expected: &str) {
    assert_eq!(read(text).unwrap_err(), expected);
}

#[test]
fn all_problems_are_reported() {
    let text = "[hedging]\nmax_extra_percent = x\nmax_burst = y\nz = 1\n";
    assert_eq!(read(text).unwrap_err().lines().count(), 3);
}

// Guards against an example that the program does not accept.
#[test]
fn example_is_accepted() {
    let text = include_str!("../../../examples/edge-options.ini");
    assert!(read(text).unwrap().hedging.is_enabled());
}
