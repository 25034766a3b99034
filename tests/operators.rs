//! Configuration changes by operators while the fleet runs.

use crate::util::caller::Caller;
use crate::util::fleet::{ALPHA_KEY, Fleet};
use crate::util::operator::operate;

// Guards against profiles that cannot be created, changed or retired while the fleet runs,
// and against commands that succeed before the change is applied at every instance (G14).
#[test]
fn profile_is_in_force_everywhere_when_the_command_returns() {
    let fleet = Fleet::start(2);
    fleet.wait_connected();
    let caller = Caller::new(ALPHA_KEY);
    let created = operate(
        fleet.admin(0),
        &["profile", "create", "night", "--budget-tokens", "5000"],
    );
    assert_eq!(created.code, 0, "{created:?}");
    for index in 0..2 {
        let headers = [("Jayreel-Profile", "night")];
        let response =
            caller.send(fleet.callers(index), "POST", "/v1/programs", &headers, "{}");
        let response = response.unwrap();
        assert_eq!(response.status, 201, "{response:?}");
        assert_eq!(response.json()["budget_tokens"], 5_000);
    }
    let changed = operate(
        fleet.admin(1),
        &["profile", "change", "night", "--budget-tokens", "7000"],
    );
    assert_eq!(changed.code, 0, "{changed:?}");
    let retired = operate(fleet.admin(0), &["profile", "retire", "night"]);
    assert_eq!(retired.code, 0, "{retired:?}");
    for index in 0..2 {
        let headers = [("Jayreel-Profile", "night")];
        let response =
            caller.send(fleet.callers(index), "POST", "/v1/programs", &headers, "{}");
        assert_eq!(response.unwrap().status, 403);
    }
    let listed = operate(fleet.admin(1), &["profile", "list"]).json;
    let night = listed
        .as_array()
        .unwrap()
        .iter()
        .find(|entry| entry["name"] == "night");
    assert_eq!(night.unwrap()["record"]["retired"], true);
}

// Guards against two changes of the same version of a record both being accepted (G14).
#[test]
fn second_of_two_racing_changes_is_not_accepted() {
    let fleet = Fleet::start(1);
    let listed = operate(fleet.admin(0), &["profile", "list"]).json;
    let version = listed[0]["version"].to_string();
    let change = |tokens: &str| {
        let args = ["profile", "change", "default", "--budget-tokens", tokens];
        let mut args = args.to_vec();
        args.extend(["--if-version", &version]);
        operate(fleet.admin(0), &args).code
    };
    assert_eq!(change("1000"), 0);
    assert_eq!(change("2000"), 4);
    let listed = operate(fleet.admin(0), &["profile", "list"]).json;
    assert_eq!(listed[0]["record"]["budget_tokens"], 1_000);
}

// Guards against calls that are sent to an endpoint while an operator drains it (G12).
#[test]
fn drained_endpoint_gets_no_new_work() {
    let fleet = Fleet::start(1);
    let caller = Caller::new(ALPHA_KEY);
    assert_eq!(
        caller
            .send_order(fleet.callers(0), &[], "before")
            .unwrap()
            .status,
        200
    );
    let drained = operate(fleet.admin(0), &["endpoint", "drain", "orders-0"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    let response = caller.send_order(fleet.callers(0), &[], "after").unwrap();
    assert_eq!(
        (response.status, response.ran().as_str()),
        (503, "no"),
        "{response:?}"
    );
    assert!(!format!("{:?}", fleet.service.runs()).contains("after"));
    let activated = operate(fleet.admin(0), &["endpoint", "activate", "orders-0"]);
    assert_eq!(activated.code, 0, "{activated:?}");
    let response = caller.send_order(fleet.callers(0), &[], "again").unwrap();
    assert_eq!(response.status, 200, "{response:?}");
}

// Guards against the removal of an endpoint that another operator has changed in the
// meantime, and against a removed endpoint that can be activated again (G12, G14).
#[test]
fn endpoint_is_removed_only_in_the_named_version_and_for_good() {
    let fleet = Fleet::start(1);
    let listed = operate(fleet.admin(0), &["endpoint", "list"]).json;
    let version = listed
        .as_array()
        .unwrap()
        .iter()
        .find(|entry| entry["name"] == "orders-0")
        .map(|entry| entry["version"].to_string())
        .unwrap();
    let drained = operate(fleet.admin(0), &["endpoint", "drain", "orders-0"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    let remove = ["endpoint", "remove", "orders-0"];
    let late = [&remove[..], &["--if-version", &version]].concat();
    assert_eq!(operate(fleet.admin(0), &late).code, 4);
    assert_eq!(operate(fleet.admin(0), &remove).code, 0);
    let back = operate(fleet.admin(0), &["endpoint", "activate", "orders-0"]);
    assert_ne!(back.code, 0, "{back:?}");
}

// Guards against an administration API that accepts a customer's key.
#[test]
fn operators_need_their_own_key() {
    let fleet = Fleet::start(1);
    let caller = Caller::new(ALPHA_KEY);
    let response = caller
        .send(fleet.admin(0), "GET", "/admin/v1/status", &[], "")
        .unwrap();
    assert_eq!(response.status, 401);
}
