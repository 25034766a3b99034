//! Case: a conversation that goes on through several zones loses its first turns.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use crate::deployment::{configuration, start};
use crate::fleet::{Case, Record, Request, pause_ms};
use crate::worker::{Behaviour, stream};

/// The route's `retentionS`.
const RETENTION_S: u64 = 10;
const CONVERSATIONS: usize = 12;
/// Turns at the speed of the program, before its tools take longer.
const FAST_TURNS: usize = 9;
/// Time between two turns after that, in milliseconds. Less than the retention.
const SLOW_PAUSE_MS: u64 = 6_000;
/// When the entry instance of the first zone gets SIGTERM, since its start.
const RESTART_AT_MS: u64 = 86_000;
/// When turns reach it again.
const RETURN_AT_MS: u64 = 95_500;
/// Tries of one turn.
const TRIES: usize = 6;
/// How long the program may take.
const PROGRAM_MS: u64 = 115_000;

struct Conversation {
    name: String,
    /// Input and output of each turn.
    text: String,
    previous: Option<String>,
    answered_ms: u64,
    turns: usize,
}

fn output(id: &str) -> String {
    (1..=3).map(|number| format!("{id}-{number}\n")).collect()
}

fn turn(conversation: &Conversation, input: &str, attempt: usize, began_ms: u64, now_ms: u64) -> Request {
    let id = format!("{}-t{}-a{attempt}", conversation.name, conversation.turns + 1);
    let left_ms = (began_ms + PROGRAM_MS).saturating_sub(now_ms);
    let request = Request { id, path: "/kept/x".into(), body: input.into(), deadline_ms: 3_000, ..Request::default() }
        .with("Program-Id", &conversation.name)
        .with("Session-Id", &conversation.name)
        .with("Program-Deadline-Ms", &left_ms.to_string())
        .with("Token-Budget", "100000")
        .with("Token-Usage", "100,39");
    match &conversation.previous {
        Some(previous) => request.with("Previous-Turn", previous),
        None => request,
    }
}

pub fn run(mut case: Case) -> ! {
    // By request: the body that reached a worker.
    let bodies: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let received = Arc::clone(&bodies);
    let behaviour: Behaviour = Arc::new(move |worker, request, connection| {
        let body = String::from_utf8_lossy(&request.body).to_string();
        received.lock().unwrap().insert(request.header("request-id").to_string(), body);
        stream(worker, request, connection, &[1, 2, 3], 5)
    });
    start(&mut case, &configuration(RETENTION_S, false), 3, &behaviour);
    let record = case.record.clone();
    let began_ms = record.now_ms();
    let since_ms = |record: &Record| record.now_ms() - began_ms;
    let mut conversations: Vec<Conversation> = (0..CONVERSATIONS)
        .map(|number| Conversation {
            name: format!("p{number}"),
            text: String::new(),
            previous: None,
            answered_ms: 0,
            turns: 0,
        })
        .collect();
    let fronts: Vec<_> = (0..3).map(|zone| case.processes[zone].front).collect();
    // One turn that must succeed, through an entry instance.
    let advance = |conversation: &mut Conversation, zone: usize| -> Result<(), String> {
        let input = format!("in-{}-{}.", conversation.name, conversation.turns + 1);
        let request = turn(conversation, &input, 1, began_ms, record.now_ms());
        let answer = request.send(&record, fronts[zone], &format!("zone {zone}"));
        if answer.status != 200 || !answer.is_complete {
            return Err(format!("turn {} failed with {}", request.id, answer.status));
        }
        conversation.text.push_str(&input);
        if bodies.lock().unwrap().get(&request.id) != Some(&conversation.text) {
            return Err(format!("turn {} ran with another body", request.id));
        }
        conversation.text.push_str(&output(&request.id));
        conversation.previous = Some(request.id);
        conversation.answered_ms = record.now_ms();
        conversation.turns += 1;
        Ok(())
    };
    let mut early_failure = None;
    for round in 0..FAST_TURNS {
        for conversation in &mut conversations {
            if let Err(error) = advance(conversation, round % 3) {
                early_failure.get_or_insert(error);
            }
        }
    }
    let mut round = FAST_TURNS;
    while since_ms(&record) + SLOW_PAUSE_MS < RESTART_AT_MS {
        pause_ms(SLOW_PAUSE_MS);
        for conversation in &mut conversations {
            if let Err(error) = advance(conversation, round % 3) {
                early_failure.get_or_insert(error);
            }
        }
        round += 1;
    }
    if let Some(error) = early_failure {
        case.give_up(&error);
    }
    // The other two zones carry the conversations while the first one is restarted.
    pause_ms(RESTART_AT_MS.saturating_sub(since_ms(&record)));
    if case.has_trouble {
        case.signal(0, "TERM");
    }
    for conversation in &mut conversations {
        if let Err(error) = advance(conversation, 1) {
            early_failure.get_or_insert(error);
        }
    }
    if case.has_trouble {
        case.wait_end(0, 8_000);
        case.write_settings(0, false);
        case.start(0);
        case.wait_ready(0);
    }
    pause_ms((RETURN_AT_MS - 3_000).saturating_sub(since_ms(&record)));
    for conversation in &mut conversations {
        if let Err(error) = advance(conversation, 2) {
            early_failure.get_or_insert(error);
        }
    }
    if let Some(error) = early_failure {
        case.give_up(&error);
    }
    // In touch again: more than contactMs since the start.
    pause_ms(RETURN_AT_MS.saturating_sub(since_ms(&record)));
    let mut first_turns = 0;
    let mut first_turns_run = 0;
    let mut lost = Vec::new();
    let mut is_recent = true;
    let mut open: Vec<usize> = (0..conversations.len()).collect();
    for attempt in 1..=TRIES {
        for number in 0..2 {
            let fresh = Conversation {
                name: format!("fresh-{attempt}-{number}"),
                text: String::new(),
                previous: None,
                answered_ms: 0,
                turns: 0,
            };
            let request = turn(&fresh, "in.", 1, began_ms, record.now_ms());
            request.send(&record, fronts[0], "zone 0");
            first_turns += 1;
            first_turns_run += usize::from(bodies.lock().unwrap().contains_key(&request.id));
        }
        open.retain(|index| {
            let conversation = &conversations[*index];
            is_recent &= record.now_ms() < conversation.answered_ms + RETENTION_S * 1_000;
            let input = format!("in-{}-{}.", conversation.name, conversation.turns + 1);
            let request = turn(conversation, &input, attempt, began_ms, record.now_ms());
            request.send(&record, fronts[0], "zone 0");
            !bodies.lock().unwrap().contains_key(&request.id)
        });
        if attempt == TRIES {
            lost = open.clone();
        }
        pause_ms(400);
    }
    if !is_recent || first_turns_run * 10 < first_turns * 9 {
        case.give_up("the tries came too late, or first turns failed too");
    }
    let what = format!(
        "{} of {CONVERSATIONS} conversations reached no worker in {TRIES} tries, {first_turns_run} of \
         {first_turns} first turns did",
        lost.len()
    );
    case.verdict(!lost.is_empty(), &what)
}
