//! Case: a rack of workers crashes; after that, an innocent input is refused for good.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::deployment::{configuration, start};
use crate::fleet::{Case, Request, pause_ms};
use crate::worker::{Behaviour, stream};

const EVENTS: [u64; 5] = [1, 2, 3, 4, 5];
/// Time between two events of a worker.
const EVENT_PAUSE_MS: u64 = 100;
/// Conversations whose callers answer "yes" at the time of the crash.
const CONVERSATIONS: usize = 21;
/// Workers, of which three crash.
const WORKERS: u32 = 20;
/// Conversations that begin after it.
const LATER: usize = 3;
const CRASH_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;
/// Two attempts of the caller, and the turn sent again twice.
const TRIES: usize = 6;

fn turn(program: &str, number: usize, attempt: usize, previous: Option<&str>, input: &str) -> Request {
    let request = Request {
        id: format!("{program}-t{number}-a{attempt}"),
        path: "/kept/x".into(),
        body: input.into(),
        deadline_ms: 3_000,
        ..Request::default()
    }
    .with("Program-Id", program)
    .with("Session-Id", program)
    .with("Program-Deadline-Ms", "40000")
    .with("Token-Budget", "100000")
    .with("Token-Usage", "100,65");
    match previous {
        Some(previous) => request.with("Previous-Turn", previous),
        None => request,
    }
}

pub fn run(mut case: Case) -> ! {
    let arrived: Arc<Mutex<HashSet<String>>> = Arc::default();
    let received = Arc::clone(&arrived);
    let behaviour: Behaviour = Arc::new(move |worker, request, connection| {
        received.lock().unwrap().insert(request.header("request-id").to_string());
        stream(worker, request, connection, &EVENTS, EVENT_PAUSE_MS)
    });
    let workers = start(&mut case, &configuration(60, true), WORKERS, &behaviour);
    let record = case.record.clone();
    let fronts: Vec<_> = (0..3).map(|zone| case.processes[zone].front).collect();
    // Three workers of the first zone stand in one rack: w-0, w-3 and w-6.
    let rack: Vec<_> = workers.iter().step_by(3).take(3).cloned().collect();
    for number in 0..CONVERSATIONS {
        let first = turn(&format!("p{number}"), 1, 1, None, &format!("Question {number}."));
        if first.send(&record, fronts[0], "zone 0").status != 200 {
            case.give_up("a first turn failed");
        }
    }
    let callers: Vec<_> = (0..CONVERSATIONS)
        .map(|number| {
            let (record, front) = (record.clone(), fronts[0]);
            thread::spawn(move || {
                let program = format!("p{number}");
                let previous = format!("{program}-t1-a1");
                turn(&program, 2, 1, Some(&previous), "yes").send(&record, front, "zone 0")
            })
        })
        .collect();
    pause_ms(200);
    if case.has_trouble {
        rack.iter().for_each(|worker| worker.crash());
    }
    // Those at the other workers end well, after the crash.
    let answers = callers.into_iter().filter_map(|caller| caller.join().ok());
    let well = answers.filter(|answer| answer.status == 200 && answer.is_complete).count();
    if case.has_trouble {
        pause_ms(CRASH_MS);
        rack.iter().for_each(|worker| worker.restart());
    }
    pause_ms(CONTACT_MS + 2_000);
    let mut first_turns = 0;
    let mut first_turns_run = 0;
    let mut lost = 0;
    for number in 0..LATER {
        let program = format!("later{number}");
        let first = turn(&program, 1, 1, None, &format!("Another question {number}."));
        let answer = first.send(&record, fronts[number % 3], "its zone");
        first_turns += 1;
        first_turns_run += usize::from(arrived.lock().unwrap().contains(&first.id));
        if answer.status != 200 || !answer.is_complete {
            continue;
        }
        let mut has_arrived = false;
        for attempt in 1..=TRIES {
            let zone = (number + attempt) % 3;
            let again = turn(&program, 2, attempt, Some(&first.id), "yes");
            let answer = again.send(&record, fronts[zone], &format!("zone {zone}"));
            has_arrived |= arrived.lock().unwrap().contains(&again.id);
            if answer.status == 200 && answer.is_complete {
                break;
            }
            pause_ms(300);
        }
        lost += usize::from(!has_arrived);
    }
    if first_turns_run < first_turns {
        case.give_up("first turns reached no worker either");
    }
    let what = format!(
        "{lost} of {LATER} conversations that began after the crash reached no worker with \"yes\" in \
         {TRIES} tries; {first_turns_run} of {first_turns} first turns did; at the time of the crash \
         {well} of {CONVERSATIONS} with \"yes\" were served whole"
    );
    case.verdict(lost > 0, &what)
}
