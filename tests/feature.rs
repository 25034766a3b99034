//! The path of a call from a caller to an endpoint and back.

use serde_json::Value;

use crate::util::caller::Caller;
use crate::util::fleet::{ALPHA_KEY, Fleet};

// Guards against any fault that keeps a plain call from being served.
#[test]
fn chat_completion_is_served() {
    let fleet = Fleet::start(1);
    let caller = Caller::new(ALPHA_KEY);
    let response = caller.chat(fleet.callers(0), &[], "hello").unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.json()["choices"][0]["message"]["content"].is_string());
}

// Guards against a caller's key being sent to an endpoint.
#[test]
fn endpoint_never_sees_the_callers_key() {
    let fleet = Fleet::start(1);
    let caller = Caller::new(ALPHA_KEY);
    assert_eq!(
        caller.chat(fleet.callers(0), &[], "hello").unwrap().status,
        200
    );
    assert_eq!(
        caller
            .send_order(fleet.callers(0), &[], "order-1")
            .unwrap()
            .status,
        200
    );
    let seen = format!("{:?}{:?}", fleet.engine.runs(), fleet.service.runs());
    assert!(!seen.contains(ALPHA_KEY), "{seen}");
}

// Guards against requests without a valid key being served on routes that require one, and
// refused on open routes.
#[test]
fn unknown_key_is_refused_as_not_run() {
    let fleet = Fleet::start(1);
    let caller = Caller::new("wrong-key");
    let response = caller.chat(fleet.callers(0), &[], "hello").unwrap();
    assert_eq!((response.status, response.ran().as_str()), (401, "no"));
    let open = caller
        .send(fleet.callers(0), "GET", "/open/page", &[], "")
        .unwrap();
    assert_eq!(open.status, 200, "{open:?}");
    assert_ne!(response.json()["error"]["request_id"], Value::Null);
}
