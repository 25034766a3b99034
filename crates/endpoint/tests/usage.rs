//! Token usage is read from responses, however they are split into pieces.

use jayreel_endpoint::{Usage, UsageReader};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;

/// An event stream whose content mentions usage and whose last events report it.
const EVENTS: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"usage\\\" \"}}],\
    \"usage\":null}\r\n\r\n: comment\n\ndata:{\"choices\":[],\"usage\":{\"prompt_tokens\":9,\
    \"completion_tokens\":4,\"total_tokens\":13,\"prompt_tokens_details\":\
    {\"cached_tokens\":8}}}\n\ndata: [DONE]\n\n";
/// A response in one JSON document.
const JSON: &str = r#"{"id":"a","choices":[{"message":{"content":"hi"}}],
    "usage":{"prompt_tokens":5,"completion_tokens":2}}"#;

/// Feeds the pieces to a reader. Returns the usage and whether the final event was seen.
fn read(content_type: &str, pieces: &[&[u8]]) -> (Option<Usage>, bool) {
    let mut reader = UsageReader::new(content_type);
    pieces.iter().for_each(|piece| reader.push(piece));
    let done = reader.is_done();
    (reader.finish(), done)
}

fn usage(prompt_tokens: u64, cached_tokens: u64, generated_tokens: u64) -> Usage {
    Usage {
        prompt_tokens,
        cached_tokens,
        generated_tokens,
    }
}

/// Guards against usage that is missed: the caller is then charged the full reservation.
#[test]
fn usage_is_found() {
    let streamed = read("text/event-stream; charset=utf-8", &[EVENTS.as_bytes()]);
    assert_eq!(streamed, (Some(usage(9, 8, 4)), true));
    let document = read("application/json", &[JSON.as_bytes()]);
    assert_eq!(document, (Some(usage(5, 0, 2)), false));
}

/// Guards against usage that the response did not report.
#[test_case("application/json", "{\"usage\":{\"prompt_tokens\":5"; "truncated document")]
#[test_case("application/json", "{\"choices\":[]}"; "no usage")]
#[test_case("application/json", "{\"usage\":{\"prompt_tokens\":-5}}"; "negative")]
#[test_case("text/event-stream", "data: {\"usage\":null}\n\n"; "null")]
#[test_case("text/event-stream", "data: {\"usage\":{\"prompt_tok"; "truncated event")]
#[test_case("text/event-stream", "event: {\"usage\":{\"prompt_tokens\":1}}\n"; "not a data field")]
fn usage_is_not_found(content_type: &str, text: &str) {
    assert_eq!(read(content_type, &[text.as_bytes()]).0, None);
}

/// Guards against more cached tokens than prompt tokens, which would corrupt the accounting.
#[test]
fn cached_tokens_are_bounded() {
    let text =
        r#"{"usage":{"prompt_tokens":5,"prompt_tokens_details":{"cached_tokens":7}}}"#;
    let read = read("application/json", &[text.as_bytes()]);
    assert_eq!(read.0, Some(usage(5, 5, 0)));
}

/// Guards against an event stream without line ends that exhausts memory, and against missing
/// the usage after such a line.
#[test]
fn long_line_is_skipped() {
    let long = vec![b'x'; 1 << 20];
    let mut pieces: Vec<&[u8]> = vec![&long; 20];
    pieces.push(b"\n");
    pieces.push(EVENTS.as_bytes());
    assert_eq!(read("text/event-stream", &pieces).0, Some(usage(9, 8, 4)));
}

/// Guards against a large document that exhausts memory.
#[test]
fn usage_of_a_large_document_is_ignored() {
    let pad = "x".repeat(5 << 20);
    let text = format!("{{\"pad\":\"{pad}\",\"usage\":{{\"prompt_tokens\":1}}}}");
    assert_eq!(read("application/json", &[text.as_bytes()]).0, None);
}

fn config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against usage that is missed because it is split between pieces.
    #[test]
    fn split_into_pieces_does_not_matter(cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..9)) {
        for (content_type, text) in [("text/event-stream", EVENTS), ("application/json", JSON)] {
            let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
            cuts.push(text.len());
            cuts.sort_unstable();
            let mut pieces = Vec::new();
            let mut start = 0;
            for cut in cuts {
                pieces.push(&text.as_bytes()[start..cut]);
                start = cut;
            }
            prop_assert_eq!(read(content_type, &pieces), read(content_type, &[text.as_bytes()]));
        }
    }

    /// Guards against input that makes the reader panic, which would end the thread of the
    /// call.
    #[test]
    fn arbitrary_bytes_do_not_panic(
        pieces in prop::collection::vec(
            prop_oneof![
                prop::collection::vec(any::<u8>(), 0..20),
                Just(b"data: ".to_vec()),
                Just(b"{\"usage\":{\"prompt_tokens\":1}}\n".to_vec()),
            ],
            0..12,
        ),
    ) {
        let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        for content_type in ["text/event-stream", "application/json", "", ";"] {
            let _ = read(content_type, &pieces);
        }
    }
}
