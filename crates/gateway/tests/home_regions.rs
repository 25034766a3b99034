//! Home regions: where requests run and where their turns are stored, with storage instances that
//! are simulated.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::ready;
use std::rc::Rc;

use futures::FutureExt;
use jayreel_gateway::edge::Members;
use jayreel_gateway::{
    Balancer, EndpointEntry, HomeZones, MemberClient, ResponseFuture, Target, ZoneRegions,
};
use jayreel_ledger::{Group, Member, MemberRequest, MemberResponse};
use support::{member, turn_record};
use test_case::test_case;
use tokio::task::LocalSet;

/// Zones `a` and `b` in region `north`, `c` in `south`, `d` in `west`.
fn regions() -> ZoneRegions {
    let by_zone = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "west"),
    ];
    ZoneRegions {
        by_zone: by_zone
            .map(|(zone, region)| (zone.to_string(), region.to_string()))
            .into(),
        own: None,
    }
}

fn names(names: &str) -> Vec<String> {
    names.split_whitespace().map(str::to_string).collect()
}

fn zones(zones: &str) -> BTreeSet<String> {
    names(zones).into_iter().collect()
}

/// A request must not leave the regions of its route nor those of its customer. The caller's own
/// region, here `west`, may hold its body but not run it.
#[test_case("", "", None; "no restriction")]
#[test_case("north", "", Some(("a b", "a b d")); "route")]
#[test_case("", "south", Some(("c", "c d")); "customer")]
#[test_case("north south", "south west", Some(("c", "c d")); "both bind")]
#[test_case("north", "south", Some(("", "d")); "nothing in common")]
#[test_case("nowhere", "", Some(("", "d")); "unknown region")]
#[test_case("west", "", Some(("d", "d")); "own region")]
fn zones_follow_from_home_regions(
    route: &str,
    customer: &str,
    expected: Option<(&str, &str)>,
) {
    let found = regions().home_zones("d", &names(route), &names(customer));
    let expected = expected.map(|(endpoints, members)| HomeZones {
        endpoints: zones(endpoints),
        members: zones(members),
    });
    assert_eq!(found, expected);
}

/// The settings may name the region of the instance although its zone is not listed.
#[test]
fn own_region_need_not_be_listed_by_zone() {
    let regions = ZoneRegions {
        own: Some("north".to_string()),
        ..regions()
    };
    let found = regions.home_zones("z", &names("south"), &[]);
    let found = found.expect("the request is restricted");
    assert_eq!(found.members, zones("a b c z"));
    assert_eq!(found.endpoints, zones("c"));
}

fn entry(id: &str, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: zone.to_string(),
        slots: 12,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: Some(1),
    }
}

/// An endpoint outside the allowed zones must not be chosen, whatever prefers it: the distance,
/// the cache of a program, or the list of candidates for a token. If none is left, the request is
/// rejected at once.
#[test]
fn endpoints_outside_the_allowed_zones_are_not_used() {
    let mut balancer = Balancer::new("a");
    for (id, zone) in [("a1", "a"), ("c1", "c"), ("z1", "unlisted")] {
        balancer.upsert(entry(id, zone));
    }
    let allowed = zones("c");
    let target = Target {
        service: "engines",
        zones: Some(&allowed),
    };
    let pick = balancer.pick(0, target, Some("a1"), &[]);
    assert_eq!(pick.expect("an endpoint").id, "c1");
    let candidates = balancer.candidates(0, target, Some("a1"), &[]);
    assert!(candidates.iter().all(|pick| pick.id == "c1"));
    assert_eq!(balancer.pick(0, target, None, &["c1".to_string()]), None);
    let none = zones("");
    let target = Target {
        zones: Some(&none),
        ..target
    };
    assert!(!balancer.serves(target));
    assert_eq!(balancer.pick(0, target, None, &[]), None);
    assert!(balancer.serves("engines"));
}

/// The evacuation of a zone and home regions both bind: the request is rejected rather than run
/// in another region.
#[test]
fn evacuation_does_not_move_a_request_to_another_region() {
    let mut balancer = Balancer::new("a");
    balancer.upsert(entry("a1", "a"));
    balancer.upsert(entry("c1", "c"));
    balancer.set_evacuated(0, &zones("c"));
    let allowed = zones("c");
    let target = Target {
        service: "engines",
        zones: Some(&allowed),
    };
    assert!(!balancer.serves(target));
    assert_eq!(balancer.pick(1, target, None, &[]), None);
}

/// Simulated members that store every turn, and the names of those that got one.
#[derive(Clone, Default)]
struct StoringClient(Rc<RefCell<BTreeSet<String>>>);

impl MemberClient for StoringClient {
    fn send_request(
        &self,
        member: &Member,
        _: u64,
        request: MemberRequest,
        _: u64,
    ) -> ResponseFuture {
        if let MemberRequest::StoreTurn(_) = request {
            self.0.borrow_mut().insert(member.name.clone());
        }
        ready(Ok(MemberResponse::Done)).boxed_local()
    }
}

/// Stores a turn, whose zones are restricted, in a group with a member in each of the zones `a`,
/// `b` and `c`, which needs two copies. Returns whether it was stored, and which members got it.
async fn store(allowed: &str) -> (bool, BTreeSet<String>) {
    let client = StoringClient::default();
    let members = Rc::new(Members::new("c", Box::new(client.clone())));
    members.adopt(Group::first(&["a", "b", "c"].map(member), 1));
    let allowed = zones(allowed);
    let record = turn_record("turn");
    let stored = members.store_turn_in(Some(&allowed), &record).await;
    assert_eq!(stored.is_ok(), members.can_store_in(Some(&allowed)));
    let recipients = client.0.borrow().clone();
    (stored.is_ok(), recipients)
}

/// A turn must not be sent to a member outside the allowed zones, also if that one is nearest. If
/// too few members are left for the copies, it is sent to none.
#[test_case("a b", true, "a b"; "enough members")]
#[test_case("a d", false, ""; "one member")]
#[test_case("d", false, ""; "no member")]
#[tokio::test]
async fn turns_are_stored_in_allowed_zones(
    allowed: &str,
    is_stored: bool,
    recipients: &str,
) {
    let (stored, found) = LocalSet::new().run_until(store(allowed)).await;
    assert_eq!(stored, is_stored);
    assert_eq!(found, zones(recipients));
}
