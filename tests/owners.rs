//! Program ownership under faults of instances, connections and the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;

use jayreel_standin::{EngineSettings, PlainService};

use crate::util::caller::{Caller, Response};
use crate::util::fleet::{ALPHA_KEY, Fleet};
use crate::util::relay::Mode;
use crate::util::{run_count, wait_until};

// Guards against instances that keep using a peer connection that is open but passes no
// traffic, so that forwarded calls fail until a restart.
#[test]
fn forwards_recover_from_a_silent_peer_connection() {
    let fleet = Fleet::start(2);
    fleet.wait_connected();
    let caller = Caller::new(ALPHA_KEY);
    let tokens = [0, 1].map(|owner| caller.open(fleet.callers(owner), &[]));
    let forward = |owner: usize| {
        let headers = [("Jayreel-Program", tokens[owner].as_str())];
        caller.chat(fleet.callers(1 - owner), &headers, "hello")
    };
    for owner in 0..2 {
        assert_eq!(forward(owner).unwrap().status, 200);
    }
    for member in &fleet.members {
        member.peer_relay.silence_open_connections();
    }
    for owner in 0..2 {
        wait_until("forwards work again", || {
            forward(owner).is_some_and(|response| response.status == 200)
        });
    }
}

/// Responses to the non-repeatable calls of one test, by their tags. `None` stands for a
/// connection that failed before a response.
#[derive(Default)]
struct CallLog {
    responses: BTreeMap<String, Vec<Option<Response>>>,
}

impl CallLog {
    fn add(&mut self, tag: &str, response: Option<Response>) {
        self.responses
            .entry(tag.to_string())
            .or_default()
            .push(response);
    }

    /// Sends a non-repeatable call of a program and records the response. `tag` is also the
    /// idempotency key.
    fn send_order(
        &mut self,
        to: SocketAddr,
        program: &str,
        epoch: Option<&str>,
        tag: &str,
    ) {
        self.add(tag, order(to, program, epoch, tag));
    }

    /// Checks the responses against the number of runs at the endpoint: no call ran twice, and
    /// no response claims a run or a non-run that is not true.
    fn check(&self, service: &PlainService) {
        for (tag, responses) in &self.responses {
            let runs = run_count(service, tag);
            let served = responses
                .iter()
                .flatten()
                .filter(|response| response.status == 200)
                .count();
            let ran_no = |response: &Option<Response>| {
                response
                    .as_ref()
                    .is_some_and(|response| response.ran() == "no")
            };
            assert!(runs <= 1, "{tag} ran {runs} times: {responses:?}");
            assert!(served as u64 <= runs, "{tag} did not run: {responses:?}");
            let says_yes = responses
                .iter()
                .flatten()
                .any(|response| response.ran() == "yes");
            assert!(!says_yes || runs == 1, "{tag} did not run: {responses:?}");
            if responses.iter().all(ran_no) {
                assert_eq!(runs, 0, "{tag} ran in spite of `no`: {responses:?}");
            }
        }
    }
}

fn order(
    to: SocketAddr,
    program: &str,
    epoch: Option<&str>,
    tag: &str,
) -> Option<Response> {
    let mut headers = vec![("Jayreel-Program", program), ("Idempotency-Key", tag)];
    headers.extend(epoch.map(|epoch| ("Jayreel-Epoch", epoch)));
    Caller::new(ALPHA_KEY).send_order(to, &headers, tag)
}

/// Waits until an instance serves a call of the program, and returns the program's epoch.
fn wait_until_continued(to: SocketAddr, program: &str) -> String {
    let mut epoch = None;
    wait_until("the program is continued", || {
        let headers = [("Jayreel-Program", program)];
        let response = Caller::new(ALPHA_KEY).chat(to, &headers, "go on");
        epoch = response
            .filter(|response| response.status == 200)
            .and_then(|response| response.header("jayreel-epoch").map(str::to_string));
        epoch.is_some()
    });
    epoch.unwrap()
}

/// Pseudorandom numbers from a fixed seed (the constants are those of Knuth's MMIX generator).
struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, limit: usize) -> usize {
        let next = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = next.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % limit
    }
}

/// Starts a fleet of three with six programs, two for each owner. One call of each program,
/// with a tag that begins with `before`, is served through a random instance.
fn start_fleet_with_programs(
    rng: &mut SeededRng,
    calls: &mut CallLog,
) -> (Fleet, Vec<String>) {
    let fleet = Fleet::with_settings(
        3,
        EngineSettings::default(),
        &[("platform", "registration_ttl_s", "2")],
    );
    fleet.wait_connected();
    fleet.wait_home_shares();
    let caller = Caller::new(ALPHA_KEY);
    let mut programs = Vec::new();
    for number in 0..6 {
        let owner = number % 3;
        let token = caller.open(fleet.callers(owner), &[]);
        let to = fleet.callers(rng.below(3));
        let tag = format!("before-{number}");
        calls.send_order(to, &token, None, &tag);
        assert_eq!(
            run_count(&fleet.service, &tag),
            1,
            "{:?}",
            calls.responses[&tag]
        );
        programs.push(token);
    }
    (fleet, programs)
}

/// Sends two calls for each program, spread over the instances `to`: a new one, whose tag
/// begins with `prefix`, and a repeat of the one sent before the fault.
fn call_all_programs(
    calls: &mut CallLog,
    to: &[SocketAddr],
    programs: &[String],
    prefix: &str,
) {
    for (number, program) in programs.iter().enumerate() {
        let to = to[number % to.len()];
        calls.send_order(to, program, None, &format!("{prefix}-{number}"));
        calls.send_order(to, program, None, &format!("before-{number}"));
    }
}

/// Waits until all programs are continued at all instances, and repeats the earlier calls.
fn continue_and_repeat(calls: &mut CallLog, all: &[SocketAddr], programs: &[String]) {
    for (number, program) in programs.iter().enumerate() {
        let epochs: Vec<_> = all
            .iter()
            .map(|to| wait_until_continued(*to, program))
            .collect();
        let epoch = epochs.last().unwrap();
        let tag = format!("after-{number}");
        let to = all[number % all.len()];
        wait_until("a new non-repeatable call is served", || {
            calls.send_order(to, program, Some(epoch), &tag);
            let responses = &calls.responses[&tag];
            let last = responses.last().unwrap().as_ref().unwrap();
            assert!(last.status == 200 || last.ran() == "no", "{last:?}");
            last.status == 200
        });
        for earlier in ["before", "during"] {
            let tag = format!("{earlier}-{number}");
            for to in all {
                calls.send_order(*to, program, None, &tag);
            }
        }
    }
}

// Guards against lost programs, calls that run twice, and calls that are reported as not run
// although they ran, when an owner dies while no instance can reach the store (G10, G11).
#[test]
fn owner_dies_while_the_store_is_cut_off() {
    let seed = 41;
    println!("seed {seed}");
    let mut rng = SeededRng(seed);
    let mut calls = CallLog::default();
    let (mut fleet, programs) = start_fleet_with_programs(&mut rng, &mut calls);
    for member in &fleet.members {
        member.store_relay.set(Mode::Cut);
    }
    let killed = rng.below(3);
    let to = fleet.callers(killed);
    let late: Vec<_> = programs
        .iter()
        .enumerate()
        .map(|(number, program)| {
            let (program, tag) = (program.clone(), format!("late-{number}"));
            thread::spawn(move || (order(to, &program, None, &tag), tag))
        })
        .collect();
    fleet.kill(killed);
    for thread in late {
        let (response, tag) = thread.join().unwrap();
        calls.add(&tag, response);
    }
    let to = [0, 1].map(|index| fleet.callers(index));
    call_all_programs(&mut calls, &to, &programs, "once");
    call_all_programs(&mut calls, &to, &programs, "during");
    for member in &fleet.members {
        member.store_relay.set(Mode::Pass);
    }
    continue_and_repeat(&mut calls, &to, &programs);
    calls.check(&fleet.service);
}

// Guards against calls that run twice, in a suspended owner and in its successor, and calls
// that are reported as not run although they ran, when the other instances lose the store
// while the owner is suspended (G10, G11).
#[test]
fn owner_is_paused_while_the_store_is_cut_off() {
    let seed = 43;
    println!("seed {seed}");
    let mut rng = SeededRng(seed);
    let mut calls = CallLog::default();
    let (mut fleet, programs) = start_fleet_with_programs(&mut rng, &mut calls);
    let paused = rng.below(3);
    let owner = &fleet.members[paused].instance;
    owner.pause();
    for member in &fleet.members {
        member.store_relay.set(Mode::Cut);
    }
    let to = owner.callers;
    let late: Vec<_> = programs
        .iter()
        .enumerate()
        .map(|(number, program)| {
            let (program, tag) = (program.clone(), format!("during-{number}"));
            thread::spawn(move || (order(to, &program, None, &tag), tag))
        })
        .collect();
    let others: Vec<_> = (0..3)
        .filter(|index| *index != paused)
        .map(|index| fleet.callers(index))
        .collect();
    call_all_programs(&mut calls, &others, &programs, "once");
    call_all_programs(&mut calls, &others, &programs, "during");
    for member in &fleet.members {
        member.store_relay.set(Mode::Pass);
    }
    for program in &programs {
        wait_until_continued(others[0], program);
    }
    // The successor must not run what the suspended owner has run or will run.
    call_all_programs(&mut calls, &others, &programs, "during");
    call_all_programs(&mut calls, &others, &programs, "taken");
    fleet.members[paused].instance.resume();
    for thread in late {
        let (response, tag) = thread.join().unwrap();
        calls.add(&tag, response);
    }
    // A process whose programs were taken over ends, and must be restarted.
    wait_until("the paused owner ends", || {
        fleet.members[paused].instance.exited().is_some()
    });
    fleet.restart(paused);
    let all = [0, 1, 2].map(|index| fleet.callers(index));
    continue_and_repeat(&mut calls, &all, &programs);
    calls.check(&fleet.service);
}
