//! Tests of an entry instance whose group of storage instances changes while it sends requests.
//! The storage instances are real reducers, called directly instead of over a network.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use jayreel_gateway::edge::{ChainLookup, Members};
use jayreel_gateway::storage::{Event, Node};
use jayreel_gateway::{LinkError, MemberClient, ResponseFuture, now_ms};
use jayreel_ledger::{
    Decision, Group, Member, MemberRequest, MemberResponse, TurnRecord,
};
use support::{append_number, node, reservation, responses, send, turn_record};
use tokio::task::LocalSet;

/// Longest response with turns, in bytes, of which several copies may be requested.
const MAX_BYTES: u64 = 512 << 10;

/// Response time of the slow instance.
const SLOW_RESPONSE: Duration = Duration::from_millis(20);

/// Called once, while the first request is under way.
type Interruption = Box<dyn FnOnce()>;

/// The storage instances.
#[derive(Default)]
struct Cluster {
    nodes: RefCell<HashMap<String, Node>>,
    /// Name of the instance whose responses are delayed by `SLOW_RESPONSE`.
    slow: RefCell<Option<String>>,
    interruption: RefCell<Option<Interruption>>,
    /// Number of turns in all responses.
    sent_turns: Cell<usize>,
}

/// Sends a request to an instance whose writes are on disk at once. Returns its response, if it
/// sends one.
fn respond(
    node: &mut Node,
    group_version: u64,
    request: MemberRequest,
) -> Option<MemberResponse> {
    let mut effects = send(node, now_ms(), group_version, request);
    if let Some(through) = append_number(&effects) {
        effects.extend(node.apply(now_ms(), Event::Synced { through }));
    }
    responses(&effects).into_iter().next()
}

impl Cluster {
    /// Announces a group to the named instances.
    fn adopt(&self, names: &[&str], group: &Group) {
        for name in names {
            let mut nodes = self.nodes.borrow_mut();
            let node = nodes.get_mut(*name).expect("an instance");
            node.apply(now_ms(), Event::GroupReceived(group.clone()));
        }
    }

    /// Stores a turn on the named instances.
    fn store_turn(&self, names: &[&str], group_version: u64, turn: &TurnRecord) {
        for name in names {
            let mut nodes = self.nodes.borrow_mut();
            let node = nodes.get_mut(*name).expect("an instance");
            let response =
                respond(node, group_version, MemberRequest::StoreTurn(turn.clone()));
            assert_eq!(response, Some(MemberResponse::Done), "{name}");
        }
    }

    /// Calls `interruption` while the next request is under way.
    fn interrupt(&self, interruption: impl FnOnce() + 'static) {
        *self.interruption.borrow_mut() = Some(Box::new(interruption));
    }

    /// Number of members of the group that hold the turn.
    fn copies(&self, group: &Group, turn: &str) -> usize {
        let mut nodes = self.nodes.borrow_mut();
        let members = group.members.iter().filter(|member| {
            let node = nodes.get_mut(&member.name).expect("an instance");
            let turn = turn.to_string();
            let response = respond(
                node,
                node.group().version,
                MemberRequest::Chain {
                    turn,
                    max_chain_turns: 10,
                    max_bytes: u64::MAX,
                },
            );
            matches!(response, Some(MemberResponse::Chain(turns)) if !turns.is_empty())
        });
        members.count()
    }
}

/// Calls the instances of a cluster directly.
struct DirectClient(Rc<Cluster>);

impl MemberClient for DirectClient {
    fn send_request(
        &self,
        member: &Member,
        group_version: u64,
        request: MemberRequest,
        _: u64,
    ) -> ResponseFuture {
        let mut nodes = self.0.nodes.borrow_mut();
        let node = nodes.get_mut(&member.name).expect("an instance");
        let response = respond(node, group_version, request).ok_or(LinkError::TimedOut);
        if let Ok(MemberResponse::Chain(turns)) = &response {
            self.0.sent_turns.set(self.0.sent_turns.get() + turns.len());
        }
        drop(nodes);
        let interruption = self.0.interruption.borrow_mut().take();
        if let Some(interruption) = interruption {
            interruption();
        }
        match self.0.slow.borrow().as_ref() == Some(&member.name) {
            true => tokio::time::sleep(SLOW_RESPONSE)
                .map(|()| response)
                .boxed_local(),
            false => ready(response).boxed_local(),
        }
    }
}

/// A member whose zone is the first letter of its name.
fn member(name: &str) -> Member {
    Member {
        availability_zone: name[..1].to_string(),
        ..support::member(name)
    }
}

/// Version 1: two members of zone g, which are replaced by members of zone h later.
fn first_group() -> Group {
    Group {
        version: 1,
        members: ["g1", "g2", "h1", "h2", "k1"].map(member).to_vec(),
        previous: Vec::new(),
        tolerated_losses: 2,
    }
}

/// Version 3: both members of zone g are replaced.
fn last_group() -> Group {
    first_group()
        .replace(Some("g1"), Some(member("h3")))
        .replace(Some("g2"), Some(member("h4")))
}

/// A cluster whose group has changed twice while zone g was cut off: the instances of zone g
/// know version 1, all others version 3.
fn changed_cluster() -> Rc<Cluster> {
    let cluster = Cluster::default();
    let names = ["g1", "g2", "h1", "h2", "h3", "h4", "k1"];
    let nodes = names.map(|name| {
        let instance = node(name, true, now_ms(), &[]);
        (name.to_string(), instance)
    });
    cluster.nodes.borrow_mut().extend(nodes);
    let first = first_group();
    let second = first.replace(Some("g1"), Some(member("h3")));
    cluster.adopt(&names, &first);
    cluster.adopt(&["h1", "h2", "h3", "h4", "k1"], &second);
    cluster.adopt(&["h1", "h2", "h3", "h4", "k1"], &last_group());
    Rc::new(cluster)
}

/// An entry instance of zone g that still uses version 1 of the group.
fn entry(cluster: &Rc<Cluster>) -> Rc<Members> {
    let members = Members::new("g", Box::new(DirectClient(Rc::clone(cluster))));
    let members = Rc::new(members);
    members.adopt(first_group());
    members
}

/// An entry instance that uses version 1 of the group, and receives version 3 while its first
/// request is under way.
async fn interrupted_entry(cluster: &Rc<Cluster>) -> Rc<Members> {
    let members = entry(cluster);
    // Let the entry instance announce its group first: that is not the request to interrupt.
    tokio::task::yield_now().await;
    let adopting = Rc::clone(&members);
    cluster.interrupt(move || adopting.adopt(last_group()));
    members
}

/// A member that left and two that stay have no copy of a turn, but respond for different
/// versions of the group. Their responses together must not be taken for a quorum that lacks the
/// turn.
#[tokio::test(flavor = "current_thread")]
async fn responses_of_two_versions_do_not_prove_a_turn_missing() {
    let cluster = changed_cluster();
    cluster.store_turn(&["h1", "h3", "h4"], 3, &turn_record("turn"));
    *cluster.slow.borrow_mut() = Some("h1".to_string());
    LocalSet::new()
        .run_until(async {
            let members = interrupted_entry(&cluster).await;
            let found = members.chain("turn", 10, MAX_BYTES).await;
            assert!(
                matches!(&found, Ok(ChainLookup::Turns(turns)) if turns.len() == 1),
                "{found:?}"
            );
        })
        .await;
}

/// A member leaves without a replacement. A turn that it and one other held has a single copy until
/// the leaving one has handed its records over, and must be found. Hunted day
/// `mix --seed 348436313520` of hk-clearance: turns got 404 while a member was retired.
#[tokio::test(flavor = "current_thread")]
async fn turn_is_found_while_a_leaving_member_hands_it_over() {
    let first = Group::first(&["g1", "h1", "k1"].map(member), 1);
    let second = first.replace(Some("g1"), None);
    for holder in ["h1", "k1"] {
        let cluster = Rc::new(Cluster::default());
        for name in ["g1", "h1", "k1"] {
            let instance = node(name, true, now_ms(), &[]);
            let mut nodes = cluster.nodes.borrow_mut();
            nodes.insert(name.to_string(), instance);
        }
        cluster.adopt(&["g1", "h1", "k1"], &first);
        cluster.store_turn(&["g1", holder], 1, &turn_record("turn"));
        cluster.adopt(&["g1", "h1", "k1"], &second);
        LocalSet::new()
            .run_until(async {
                let client = Box::new(DirectClient(Rc::clone(&cluster)));
                let members = Rc::new(Members::new("h", client));
                members.adopt(second.clone());
                let found = members.chain("turn", 10, MAX_BYTES).await;
                assert!(
                    matches!(&found, Ok(ChainLookup::Turns(turns)) if turns.len() == 1),
                    "{holder}: {found:?}"
                );
                let found = members.chain("never", 10, MAX_BYTES).await;
                assert!(matches!(found, Ok(ChainLookup::Missing)), "{found:?}");
            })
            .await;
    }
}

/// A copy on a member that left does not count in the next version of the group.
#[tokio::test(flavor = "current_thread")]
async fn copies_of_a_turn_are_counted_within_one_version() {
    let cluster = changed_cluster();
    LocalSet::new()
        .run_until(async {
            let members = interrupted_entry(&cluster).await;
            members
                .store_turn(&turn_record("turn"))
                .await
                .expect("the turn is stored");
            let group = last_group();
            let copies = cluster.copies(&group, "turn");
            assert!(copies >= group.copies(), "{copies} copies");
        })
        .await;
}

/// All members respond that the entry instance's version is superseded; it must switch and store
/// the turn in the new version.
#[tokio::test(flavor = "current_thread")]
async fn turn_is_stored_while_the_group_changes() {
    let cluster = changed_cluster();
    cluster.adopt(&["g1", "g2"], &last_group());
    LocalSet::new()
        .run_until(async {
            let members = entry(&cluster);
            members
                .store_turn(&turn_record("turn"))
                .await
                .expect("the turn is stored");
            assert_eq!(members.group().version, 3);
            assert!(cluster.copies(&last_group(), "turn") >= 3);
        })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn turn_is_admitted_while_the_group_changes() {
    let cluster = changed_cluster();
    let reservation = reservation("program", "turn");
    LocalSet::new()
        .run_until(async {
            let members = entry(&cluster);
            let decision = members.reserve(&reservation, 1_000).await;
            assert_eq!(decision, Ok(Decision::Admit));
        })
        .await;
}

/// A turn may be reported as missing only after the newest group has responded.
#[tokio::test(flavor = "current_thread")]
async fn turn_without_copies_is_missing() {
    let cluster = changed_cluster();
    LocalSet::new()
        .run_until(async {
            let members = entry(&cluster);
            let found = members.chain("turn", 10, MAX_BYTES).await;
            assert!(matches!(found, Ok(ChainLookup::Missing)), "{found:?}");
            assert_eq!(members.group().version, 3);
        })
        .await;
}

/// Without traffic an entry instance detects a change through its probes. It must then read the
/// group's record, and need not read it while all members know the same version.
#[tokio::test(flavor = "current_thread")]
async fn group_is_read_again_only_after_a_change() {
    let cluster = changed_cluster();
    LocalSet::new()
        .run_until(async {
            let members = entry(&cluster);
            assert!(
                !members.is_group_current(now_ms()),
                "no member has responded yet"
            );
            members.probe().await;
            assert!(
                !members.is_group_current(now_ms()),
                "members know a newer version"
            );
            members.adopt(last_group());
            assert!(members.is_group_current(now_ms()));
        })
        .await;
}

/// Callers that alternate between two zones make each entry instance miss the newest turn of
/// their conversations. It must fetch only the missing turns, and from one member. Scenario
/// quiet-1 of the grown dvcra-council-reports showed whole conversations fetched from several
/// members of other zones at once: 30% of the bytes between instances of two zones.
#[tokio::test(flavor = "current_thread")]
async fn missing_turns_come_from_one_member() {
    let cluster = changed_cluster();
    let turns = (0..8).map(|number| TurnRecord {
        previous: (number > 0).then(|| format!("turn {}", number - 1)),
        ..turn_record(&format!("turn {number}"))
    });
    LocalSet::new()
        .run_until(async {
            let members = entry(&cluster);
            members.adopt(last_group());
            tokio::task::yield_now().await;
            let ordered = members.nearest_first("turn 7");
            let holders = ordered[1..4].iter().map(|member| member.name.as_str());
            let holders: Vec<&str> = holders.collect();
            turns.for_each(|turn| cluster.store_turn(&holders, 3, &turn));
            cluster.sent_turns.set(0);
            let found = members.chain("turn 7", 2, MAX_BYTES).await;
            assert!(
                matches!(&found, Ok(ChainLookup::Turns(turns)) if turns.len() == 2),
                "{found:?}"
            );
            assert_eq!(cluster.sent_turns.get(), 2);
        })
        .await;
}
