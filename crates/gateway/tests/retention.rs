//! Tests of how long the members keep the turns of a conversation that goes on.

mod support;

use std::collections::HashMap;

use jayreel_gateway::RenewalQueue;
use jayreel_gateway::storage::{Event, Node};
use jayreel_ledger::{Group, MemberRequest, MemberResponse, TurnDigest, TurnRecord};
use support::{append_number, member, node, responses, send, turn_record};

const RETENTION_MS: u64 = 60_000;

/// Time between two turns. Shorter than the time for which a caller may rely on a turn.
const TURN_INTERVAL_MS: u64 = 20_000;

/// Interval of the renewals and of the removal of expired turns, in milliseconds.
const TICK_MS: u64 = 5_000;

const MEMBERS: [&str; 3] = ["a", "b", "c"];

fn group() -> Group {
    Group::first(&MEMBERS.map(member), 1)
}

/// Name of the turn with a number in the conversation.
fn turn_name(number: usize) -> String {
    format!("turn-{number}")
}

/// A group of three members, and three entry instances through which a conversation alternates.
struct Conversation {
    nodes: HashMap<&'static str, Node>,
    entries: [RenewalQueue; 3],
    now_ms: u64,
    turns: usize,
}

impl Conversation {
    fn new() -> Conversation {
        let nodes = MEMBERS.map(|name| {
            let mut founder = node(name, true, 0, &[]);
            founder.apply(0, Event::GroupReceived(group()));
            (name, founder)
        });
        Conversation {
            nodes: HashMap::from(nodes),
            entries: Default::default(),
            now_ms: 0,
            turns: 0,
        }
    }

    /// Runs the next turn through one of the entry instances. Two members store it, each time
    /// other ones, so that none of them holds two turns in a row for long.
    fn run_turn(&mut self) {
        let number = self.turns;
        self.turns += 1;
        let entry = &mut self.entries[number % 3];
        let chain: Vec<TurnDigest> = (0..number)
            .rev()
            .map(|earlier| TurnDigest::of(&turn_name(earlier)))
            .collect();
        entry.record_use(self.now_ms, &group(), &chain, RETENTION_MS);
        let turn = TurnRecord {
            previous: number.checked_sub(1).map(turn_name),
            retention_ms: RETENTION_MS,
            ..turn_record(&turn_name(number))
        };
        for holder in [number % 3, (number + 1) % 3] {
            let node = self.nodes.get_mut(MEMBERS[holder]).expect("a member");
            let request = MemberRequest::StoreTurn(turn.clone());
            let effects = send(node, self.now_ms, 1, request);
            let through = append_number(&effects).expect("the turn is new");
            node.apply(self.now_ms, Event::Synced { through });
        }
        entry.record_stored(self.now_ms, TurnDigest::of(&turn.turn));
    }

    /// Sends the renewals of all entry instances, except to members that are out of reach.
    fn send_renewals(&mut self, unreachable: &[&str]) {
        for entry in &mut self.entries {
            for (member, renewals) in entry.next_batches(&group()) {
                if unreachable.contains(&member.as_str()) {
                    continue;
                }
                let node = self.nodes.get_mut(member.as_str()).expect("a member");
                let request = MemberRequest::RenewTurns(renewals.clone());
                let effects = send(node, self.now_ms, 1, request);
                assert_eq!(responses(&effects), [MemberResponse::Done]);
                entry.confirm(&member, &renewals);
            }
        }
    }

    /// Lets time pass until the next turn. Expired turns are removed meanwhile.
    fn pass_interval(&mut self, unreachable: &[&str]) {
        for _ in 0..TURN_INTERVAL_MS / TICK_MS {
            self.now_ms += TICK_MS;
            self.send_renewals(unreachable);
            for node in self.nodes.values_mut() {
                node.apply(self.now_ms, Event::Tick);
            }
        }
    }

    /// Names of the members that hold a turn.
    fn holders(&self, number: usize) -> Vec<&'static str> {
        let turn = TurnDigest::of(&turn_name(number));
        let holds = |name: &&str| self.nodes[name].location(turn).is_some();
        MEMBERS.into_iter().filter(holds).collect()
    }
}

// Guards against the first turns of a conversation expiring while it goes on: no member holds
// its chain without a gap, so only renewals by name reach all copies. The conversation lasts
// many times the retention, and no instance keeps a turn in a cache.
#[test]
fn all_turns_of_a_long_conversation_are_kept() {
    let mut conversation = Conversation::new();
    for _ in 0..60 {
        conversation.run_turn();
        conversation.pass_interval(&[]);
    }
    for number in 0..60 {
        assert_eq!(conversation.holders(number).len(), 2, "turn {number}");
    }
    // Nothing uses the turns any more.
    for _ in 0..2 * RETENTION_MS / TURN_INTERVAL_MS {
        conversation.pass_interval(&[]);
    }
    for number in 0..60 {
        assert!(conversation.holders(number).is_empty(), "turn {number}");
    }
}

// Guards against a renewal that is lost for good when one message is: a member that is out of
// reach for a while gets what it has missed.
#[test]
fn unconfirmed_renewals_are_sent_again() {
    let mut conversation = Conversation::new();
    for round in 0..60 {
        conversation.run_turn();
        let unreachable: &[&str] = match round % 4 {
            0 => &["a"],
            1 => &["b", "c"],
            _ => &[],
        };
        conversation.pass_interval(unreachable);
    }
    for number in 0..60 {
        assert_eq!(conversation.holders(number).len(), 2, "turn {number}");
    }
}

// Guards against a message for each use of each turn: a turn is named once in a quarter of its
// retention time at most.
#[test]
fn turns_are_not_renewed_at_each_use() {
    let mut entry = RenewalQueue::default();
    let chain: Vec<TurnDigest> = (0..10)
        .map(|number| TurnDigest::of(&turn_name(number)))
        .collect();
    entry.record_stored(0, chain[0]);
    let mut renewed = 0;
    for now_ms in (0..RETENTION_MS).step_by(500) {
        entry.record_use(now_ms, &group(), &chain, RETENTION_MS);
        for (member, renewals) in entry.next_batches(&group()) {
            renewed += renewals.len();
            entry.confirm(&member, &renewals);
        }
    }
    let turns_at_start = 9;
    let turns_later = 3 * 10;
    assert_eq!(renewed, (turns_at_start + turns_later) * MEMBERS.len());
}

// Guards against renewals that pile up for an instance that is no longer a member.
#[test]
fn renewals_for_a_former_member_are_dropped() {
    let mut entry = RenewalQueue::default();
    let turn = TurnDigest::of("turn");
    entry.record_use(0, &group(), &[turn], RETENTION_MS);
    let next = group().replace(Some("a"), Some(member("d")));
    let batches = entry.next_batches(&next);
    let members: Vec<&str> = batches.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(members, ["b", "c"]);
}

// Guards against memory that grows while a member is out of reach.
#[test]
fn pending_renewals_are_bounded() {
    let mut entry = RenewalQueue::default();
    for number in 0..100_000 {
        let turn = TurnDigest::of(&turn_name(number));
        entry.record_use(0, &group(), &[turn], RETENTION_MS);
    }
    let mut pending = 0;
    loop {
        let batches = entry.next_batches(&group());
        let Some((member, renewals)) = batches.first() else {
            break;
        };
        pending += renewals.len();
        entry.confirm(member, renewals);
    }
    assert_eq!(pending, MEMBERS.len() * 32_768);
}
