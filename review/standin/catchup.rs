//! Case: a machine that lost its disk copies long turns for much longer than `catchUpS`.

use std::sync::Arc;

use crate::deployment::{configuration, start};
use crate::fleet::{Case, Request, pause_ms};
use crate::worker::{Behaviour, stream};

/// Turns that are stored before the first fault.
const STORED_TURNS: usize = 12;
/// Length of their inputs. `maxBodyBytes` is 4 MiB.
const INPUT_BYTES: usize = 3 << 20;
const CATCH_UP_MS: u64 = 4_500;
const CONTACT_MS: u64 = 3_000;
const RECOVER_MS: u64 = 12_000;
/// Requests after that time.
const LATER_TURNS: usize = 12;

fn first_turn(program: &str, input: String) -> Request {
    Request {
        id: format!("{program}-t1"),
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

/// A storage machine loses its disk and is back after a second.
fn lose_disk(case: &mut Case, index: usize) {
    case.kill(index);
    std::fs::remove_dir_all(case.data_dir(index)).expect("the data can be removed");
    let line = format!("{} has lost its disk", case.processes[index].name);
    case.record.line(&line);
    case.write_settings(index, false);
    pause_ms(1_000);
    case.start(index);
}

pub fn run(mut case: Case) -> ! {
    let behaviour: Behaviour = Arc::new(move |worker, request, connection| {
        stream(worker, request, connection, &[1, 2, 3], 5)
    });
    start(&mut case, &configuration(60, false), 3, &behaviour);
    let record = case.record.clone();
    let fronts: Vec<_> = (0..3).map(|zone| case.processes[zone].front).collect();
    for number in 0..STORED_TURNS {
        let turn = first_turn(&format!("p{number}"), "x".repeat(INPUT_BYTES));
        let answer = turn.send(&record, fronts[number % 3], "its zone");
        if answer.status != 200 || !answer.is_complete {
            case.give_up("a turn was not served before the fault");
        }
    }
    if case.has_trouble {
        lose_disk(&mut case, 5);
        // From then on the machine no longer counts as lost.
        pause_ms(CATCH_UP_MS + CONTACT_MS);
        lose_disk(&mut case, 4);
    }
    pause_ms(RECOVER_MS + 1_000);
    let (mut served, mut continued) = (0, 0);
    for number in 0..LATER_TURNS {
        let turn = first_turn(&format!("later{number}"), "a question".into());
        let answer = turn.send(&record, fronts[number % 3], "its zone");
        served += usize::from(answer.status == 200 && answer.is_complete);
        let mut next = first_turn(&format!("p{number}"), "goes on".into());
        next.id = format!("p{number}-t2");
        let next = next.with("Previous-Turn", &format!("p{number}-t1"));
        let answer = next.send(&record, fronts[(number + 1) % 3], "another zone");
        continued += usize::from(answer.status == 200 && answer.is_complete);
        pause_ms(300);
    }
    let what = format!(
        "of {LATER_TURNS} new turns and {LATER_TURNS} that continue stored ones, sent later than recoverS \
         after the machine was back, {served} and {continued} were served; before, all {STORED_TURNS}"
    );
    case.verdict((served + continued) * 4 < 2 * LATER_TURNS, &what)
}
