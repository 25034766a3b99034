//! Property tests, with a fixed seed, of the chat body parser and the history hash.

use jayreel_server::chat::parse;
use jayreel_server::history;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

fn config() -> Config {
    Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Arbitrary JSON whose keys are often those of a chat request.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        let key = prop_oneof![
            Just("role".to_string()),
            Just("content".to_string()),
            Just("messages".to_string()),
            Just("model".to_string()),
            "[a-z]{1,4}",
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..5)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// The body of a chat request with these pairs of role and content.
fn body(messages: &[(String, String)]) -> Vec<u8> {
    let messages: Vec<Value> = messages
        .iter()
        .map(|(role, content)| json!({"role": role, "content": content}))
        .collect();
    serde_json::to_vec(&json!({"model": "m", "messages": messages})).expect("JSON")
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic of the parser, which runs on the thread of all connections.
    #[test]
    fn bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse(&bytes);
    }

    /// Guards against a panic on valid JSON of an unexpected structure.
    #[test]
    fn json_never_panics(value in any_json()) {
        let _ = parse(value.to_string().as_bytes());
        let _ = history::extend(history::EMPTY, &value);
        let messages = json!({"model": "m", "messages": [value]});
        let _ = parse(messages.to_string().as_bytes());
    }

    /// Guards against parsing a truncated body as a complete request.
    #[test]
    fn truncated_body_is_refused(
        messages in prop::collection::vec((".{0,9}", ".{0,30}"), 1..5),
        cut in any::<prop::sample::Index>(),
    ) {
        let body = body(&messages);
        prop_assert!(parse(&body).is_ok());
        prop_assert!(parse(&body[..cut.index(body.len())]).is_err());
    }

    /// Guards against a prompt bound below the actual size, with which a program could exceed
    /// its budget, and against prefix hashes that change when messages are appended.
    #[test]
    fn prompt_bound_and_prefix_hashes(messages in prop::collection::vec((".{0,9}", ".{0,30}"), 1..8)) {
        let whole = parse(&body(&messages)).expect("a chat body");
        let texts: usize = messages.iter().map(|(_, content)| content.len()).sum();
        let template = 16 * messages.len() as u64;
        prop_assert!(whole.prompt_bound_tokens >= texts as u64 + template);
        prop_assert_eq!(whole.prefix_hashes.len(), messages.len());
        for count in 1..messages.len() {
            let part = parse(&body(&messages[..count])).expect("a chat body");
            prop_assert_eq!(&whole.prefix_hashes[..count], &part.prefix_hashes[..]);
        }
    }

    /// Guards against equal hashes of different histories, as when the boundaries between
    /// fields or messages are not hashed.
    #[test]
    fn different_histories_have_different_hashes(
        one in prop::collection::vec(("[ab]{0,3}", "[ab]{0,3}"), 1..4),
        two in prop::collection::vec(("[ab]{0,3}", "[ab]{0,3}"), 1..4),
    ) {
        let last = |messages: &[(String, String)]| {
            parse(&body(messages)).expect("a chat body").prefix_hashes.last().copied()
        };
        prop_assert_eq!(one == two, last(&one) == last(&two));
    }
}

/// Guards against a hash that depends on the encoding of a message: callers send generated
/// messages back with fields reordered, added as null or removed.
#[test]
fn encoding_does_not_change_the_hash() {
    let one = json!({"role": "assistant", "content": "hi", "refusal": null});
    let two = json!({"content": "hi", "tool_calls": [], "role": "assistant"});
    let other = json!({"content": "ho", "role": "assistant"});
    let extend = |message: &Value| history::extend(history::EMPTY, message);
    assert_eq!(extend(&one), extend(&two));
    assert_ne!(extend(&one), extend(&other));
}

/// Guards against a hash that does not cover which field a value is in.
#[test]
fn hash_depends_on_the_field() {
    let extend = |message: &Value| history::extend(history::EMPTY, message);
    let content = json!({"role": "user", "content": "x"});
    let name = json!({"role": "user", "name": "x"});
    assert_ne!(extend(&content), extend(&name));
}
