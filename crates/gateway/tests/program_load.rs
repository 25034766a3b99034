//! A customer above its limit whose programs come through many entry instances.
//!
//! The pattern: each request of a program may come through another instance, which has not
//! seen the program before. If such requests count as beginnings, programs that have begun
//! are refused like new ones, and hardly any ends.

mod support;

use jayreel_gateway::storage::{Event, Node};
use jayreel_ledger::{
    Group, MemberRequest, MemberResponse, QuotaPurpose, QuotaRequest, RateLimit,
    Settlement, TurnBudget,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use support::{TOLERANCE, WINDOW_MS, answers, ask, member, reservation};

const MEMBERS: [&str; 5] = ["a", "b", "c", "d", "e"];
const LIMIT: RateLimit = RateLimit {
    rate_per_s: 30.0,
    burst: 30.0,
};

/// Requests of a program, one every 100 ms.
const REQUESTS: usize = 10;

/// Tokens that all turns of a program may generate.
const BUDGET_TOKENS: u64 = 1_000;

/// How long the load lasts, in milliseconds.
const LOAD_MS: u64 = 30_000;

fn members() -> Vec<Node> {
    let group = Group::first(&MEMBERS.map(member), 2);
    let nodes = MEMBERS.iter().map(|name| {
        let mut node = Node::new(name, true, 0, TOLERANCE, &[]);
        node.apply(0, Event::GroupLearned(group.clone()));
        node
    });
    nodes.collect()
}

/// Asks the members in turn for the token of one request, as an entry instance does that knows
/// nothing of the program.
fn is_granted(members: &mut [Node], now_ms: u64, program: &str) -> bool {
    let want = QuotaRequest {
        customer: "customer".to_string(),
        program: Some(program.to_string()),
        requests: 1,
        quota_purpose: QuotaPurpose::StartProgram,
        budget: Some(TurnBudget {
            budget_tokens: BUDGET_TOKENS,
            max_turn_tokens: 100,
        }),
        limit: LIMIT,
    };
    members.iter_mut().any(|member| {
        let wants = vec![want.clone()];
        let take = MemberRequest::TakeQuota {
            configuration_version: 1,
            wants,
        };
        answers(&ask(member, now_ms, 1, take)) == [MemberResponse::Quota(vec![1])]
    })
}

fn reserve(members: &mut [Node], now_ms: u64, program: &str) {
    let reservation = reservation(program, &format!("turn of {program}"));
    for member in members {
        ask(
            member,
            now_ms,
            1,
            MemberRequest::Reserve(reservation.clone()),
        );
    }
}

struct Program {
    name: String,
    next_ms: u64,
    requests: usize,
}

/// Programs that begin and that end, if one begins every `pause_ms`, and each fails with its
/// first refusal.
fn begun_and_ended(pause_ms: u64) -> (usize, usize) {
    begun_and_ended_beside(pause_ms, |_, _| {})
}

/// The same while `beside` happens every 10 ms.
fn begun_and_ended_beside(
    pause_ms: u64,
    mut beside: impl FnMut(&mut [Node], u64),
) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(1);
    let mut members = members();
    let mut programs: Vec<Program> = Vec::new();
    let (mut begun, mut ended) = (0, 0);
    for now_ms in (WINDOW_MS..WINDOW_MS + LOAD_MS).step_by(10) {
        if now_ms % pause_ms == 0 {
            programs.push(Program {
                name: format!("program {now_ms}"),
                next_ms: now_ms + random.random_range(0..10) * 10,
                requests: 0,
            });
        }
        beside(&mut members, now_ms);
        programs.shuffle(&mut random);
        programs.retain_mut(|program| {
            if program.next_ms > now_ms {
                return true;
            }
            members.shuffle(&mut random);
            if !is_granted(&mut members, now_ms, &program.name) {
                return false;
            }
            if program.requests == 0 {
                reserve(&mut members, now_ms, &program.name);
                begun += 1;
            }
            program.next_ms += 100;
            program.requests += 1;
            ended += usize::from(program.requests == REQUESTS);
            program.requests < REQUESTS
        });
    }
    (begun, ended)
}

/// The customer sends almost seven times its limit.
#[test]
fn programs_that_have_begun_are_finished_through_any_instance() {
    let (begun, ended) = begun_and_ended(50);
    assert!(ended * 10 > begun * 8, "{ended} of {begun} ended");
    let possible = 30 * 30 / REQUESTS;
    assert!(ended * 10 > possible * 8, "{ended} of {possible} possible");
}

/// The customer sends two thirds of its limit: nothing is refused.
#[test]
fn nothing_is_refused_below_the_limit() {
    let (begun, ended) = begun_and_ended(500);
    let sent = usize::try_from(LOAD_MS / 500).expect("a count");
    assert!(begun == sent, "{begun} of {sent} began");
    assert!(ended + 2 >= begun, "{ended} of {begun} ended");
}

/// Seen on trouble-3 of the grown dvcra-council-reports: a program that loops without end sends
/// turns after its budget is spent. They do not run, but each took a token of its customer,
/// whose other programs were refused below the limit.
#[test]
fn turns_beyond_the_budget_take_nothing_from_other_programs() {
    let mut used = false;
    let beside = |members: &mut [Node], now_ms: u64| {
        for member in members.iter_mut().filter(|_| !used) {
            let settlement = Settlement {
                program: reservation("endless", "turn").program,
                turn: "turn".to_string(),
                used_tokens: 950,
            };
            ask(member, now_ms, 1, MemberRequest::Settle(settlement));
        }
        used = true;
        if now_ms.is_multiple_of(20) {
            is_granted(members, now_ms, "endless");
        }
    };
    let (begun, ended) = begun_and_ended_beside(500, beside);
    let sent = usize::try_from(LOAD_MS / 500).expect("a count");
    assert!(begun == sent, "{begun} of {sent} began");
    assert!(ended + 2 >= begun, "{ended} of {begun} ended");
}
