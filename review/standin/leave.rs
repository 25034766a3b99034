//! Case: a member leaves the group without a replacement when another one loses its disk.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread;

use crate::deployment::{configuration, start};
use crate::fleet::{Case, Request, pause_ms};
use crate::worker::{Behaviour, stream};

/// Long turns that are stored first. It takes time to copy them.
const LONG_TURNS: usize = 96;
/// Length of their inputs.
const LONG_INPUT_BYTES: usize = 1 << 20;
/// Conversations that are continued.
const CONVERSATIONS: usize = 320;
/// Callers that continue them.
const CALLERS: usize = 4;

fn turn(program: &str, number: usize, input: String) -> Request {
    Request {
        id: format!("{program}-t{number}"),
        path: "/kept/x".into(),
        body: input,
        deadline_ms: 3_000,
        ..Request::default()
    }
    .with("Program-Id", program)
    .with("Session-Id", program)
    .with("Program-Deadline-Ms", "60000")
    .with("Token-Budget", "100000")
    .with("Token-Usage", "100,65")
}

pub fn run(mut case: Case) -> ! {
    let arrived: Arc<Mutex<HashSet<String>>> = Arc::default();
    let received = Arc::clone(&arrived);
    let behaviour: Behaviour = Arc::new(move |worker, request, connection| {
        received.lock().unwrap().insert(request.header("request-id").to_string());
        stream(worker, request, connection, &[1, 2, 3], 2)
    });
    start(&mut case, &configuration(60, false), 3, &behaviour);
    let record = case.record.clone();
    let fronts: Vec<_> = (0..3).map(|zone| case.processes[zone].front).collect();
    let store_turn = |case: &mut Case, program: &str, input: String| {
        let answer = turn(program, 1, input).send(&record, fronts[0], "zone 0");
        if answer.status != 200 || !answer.is_complete {
            case.give_up("a turn was not served before the fault");
        }
    };
    for number in 0..LONG_TURNS {
        store_turn(&mut case, &format!("long{number}"), "x".repeat(LONG_INPUT_BYTES));
    }
    for number in 0..CONVERSATIONS {
        store_turn(&mut case, &format!("p{number}"), "a question".into());
    }
    let founded = case.store.revision_of("jayreel/group");
    record.line("the operator retires storage-zone-a-1");
    case.store.put("op/retire/storage-zone-a-1", "{\"durationS\":10}");
    let until_ms = record.now_ms() + 8_000;
    while case.store.revision_of("jayreel/group") == founded {
        if record.now_ms() > until_ms {
            case.give_up("the retiring machine did not leave the group");
        }
        pause_ms(1);
    }
    record.line("storage-zone-a-1 has left the group");
    let lost = 5;
    if case.has_trouble {
        case.kill(lost);
        let data_dir = case.data_dir(lost);
        std::fs::remove_dir_all(&data_dir).expect("the data can be removed");
        record.line("storage-zone-c-1 has lost its disk");
        case.write_settings(lost, false);
        pause_ms(1_000);
        case.start(lost);
    }
    // Each conversation goes on once, through a zone that has not seen it. A refusal that says
    // that the turn has not run is tried again.
    let until_ms = record.now_ms() + 12_000;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, front) = (record.clone(), fronts[1]);
            thread::spawn(move || {
                let (mut served, mut unknown) = (0, 0);
                for number in (caller..CONVERSATIONS).step_by(CALLERS) {
                    let next = turn(&format!("p{number}"), 2, "goes on".into());
                    let mut next = next.with("Previous-Turn", &format!("p{number}-t1"));
                    for attempt in 1.. {
                        next.id = format!("p{number}-t2-a{attempt}");
                        match next.send(&record, front, "zone 1").status {
                            200 => served += 1,
                            404 | 410 => unknown += 1,
                            _ if record.now_ms() < until_ms => {
                                pause_ms(20);
                                continue;
                            }
                            _ => {}
                        }
                        break;
                    }
                }
                (served, unknown)
            })
        })
        .collect();
    let (mut served, mut unknown) = (0, 0);
    for caller in callers {
        let (more_served, more_unknown) = caller.join().unwrap_or_default();
        served += more_served;
        unknown += more_unknown;
    }
    pause_ms(2_000);
    let status = case.store.text_of("status/retire/storage-zone-a-1");
    let what = format!(
        "of {CONVERSATIONS} turns that continue a turn that was answered whole, {unknown} were answered 404 \
         and {served} were served; retirement: {status}"
    );
    case.verdict(unknown > 0, &what)
}
