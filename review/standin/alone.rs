//! Case: a group of two members loses one for good.

use std::sync::Arc;

use crate::deployment::{configuration, start};
use crate::fleet::{Case, Request, pause_ms};
use crate::worker::{Behaviour, stream};

/// Turns before the fault, and after it.
const TURNS: usize = 24;
const CATCH_UP_MS: u64 = 4_500;
const RECOVER_MS: u64 = 12_000;

fn first_turn(program: &str) -> Request {
    Request {
        id: format!("{program}-t1"),
        path: "/kept/x".into(),
        body: "a question".into(),
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
    let behaviour: Behaviour = Arc::new(move |worker, request, connection| {
        stream(worker, request, connection, &[1, 2, 3], 5)
    });
    start(&mut case, &configuration(60, false), 3, &behaviour);
    let record = case.record.clone();
    let fronts: Vec<_> = (0..3).map(|zone| case.processes[zone].front).collect();
    record.line("the operator retires storage-zone-a-1");
    case.store.put("op/retire/storage-zone-a-1", "{\"durationS\":10}");
    let until_ms = record.now_ms() + 15_000;
    while !case.store.text_of("status/retire/storage-zone-a-1").contains("completed") {
        if record.now_ms() > until_ms {
            case.give_up("the retirement was not completed");
        }
        pause_ms(20);
    }
    // The platform removes it at once.
    case.kill(3);
    pause_ms(CATCH_UP_MS);
    let mut before = 0;
    for number in 0..TURNS {
        let answer = first_turn(&format!("p{number}")).send(&record, fronts[number % 3], "its zone");
        before += usize::from(answer.status == 200 && answer.is_complete);
    }
    if before < TURNS {
        case.give_up("not all turns were served before the fault");
    }
    if case.has_trouble {
        record.line("storage-zone-b-1 is gone for good");
        case.kill(4);
        pause_ms(1_000);
        // An empty one comes at another address.
        case.add("storage", "zone-b", 2);
        let new = case.processes.len() - 1;
        case.write_settings(new, false);
        case.start(new);
    }
    pause_ms(CATCH_UP_MS + RECOVER_MS);
    let (mut served, mut continued) = (0, 0);
    for number in 0..TURNS {
        let answer = first_turn(&format!("later{number}")).send(&record, fronts[number % 3], "its zone");
        served += usize::from(answer.status == 200 && answer.is_complete);
        let mut next = first_turn(&format!("p{number}"));
        next.id = format!("p{number}-t2");
        let next = next.with("Previous-Turn", &format!("p{number}-t1"));
        let answer = next.send(&record, fronts[number % 3], "its zone");
        continued += usize::from(answer.status == 200 && answer.is_complete);
        pause_ms(200);
    }
    let what = format!(
        "of {TURNS} new turns and {TURNS} that continue stored ones, sent later than catchUpS and recoverS \
         after the new machine had started, {served} and {continued} were served; before, {before} of {TURNS}"
    );
    case.verdict((served + continued) * 4 < 2 * TURNS, &what)
}
