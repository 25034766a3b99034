//! Case: a storage machine is being retired when another one loses its disk.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use crate::deployment::{configuration, start_zones};
use crate::fleet::{Case, Request, pause_ms};
use crate::worker::{Behaviour, stream};

/// Turns that are stored before the retirement.
const STORED_TURNS: usize = 48;
/// Length of their inputs.
const INPUT_BYTES: usize = 1 << 20;
/// The disk is lost this long after the retiring machine was replaced in the group, in
/// milliseconds. The new member copies the stored turns in that time.
const LOSS_AFTER_MS: u64 = 60;
const RECOVER_MS: u64 = 12_000;
/// Requests after that time.
const LATER_TURNS: usize = 24;

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

pub fn run(mut case: Case) -> ! {
    let arrived: Arc<Mutex<HashSet<String>>> = Arc::default();
    let received = Arc::clone(&arrived);
    let behaviour: Behaviour = Arc::new(move |worker, request, connection| {
        received.lock().unwrap().insert(request.header("request-id").to_string());
        stream(worker, request, connection, &[1, 2, 3], 5)
    });
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    start_zones(&mut case, &configuration(60, false), &zones, 4, &behaviour);
    let record = case.record.clone();
    let fronts: Vec<_> = (0..4).map(|zone| case.processes[zone].front).collect();
    let storage_of = |zone: usize| zones.len() + zone;
    let mut served_before = 0;
    for number in 0..STORED_TURNS {
        let turn = first_turn(&format!("p{number}"), "x".repeat(INPUT_BYTES));
        let answer = turn.send(&record, fronts[number % 4], "its zone");
        served_before += usize::from(answer.status == 200 && answer.is_complete);
    }
    if served_before < STORED_TURNS {
        case.give_up("not all turns were served before the fault");
    }
    let founded = case.store.revision_of("jayreel/group");
    record.line("the operator retires storage-zone-a-1");
    case.store.put("op/retire/storage-zone-a-1", "{\"durationS\":10}");
    let until_ms = record.now_ms() + 5_000;
    while case.store.revision_of("jayreel/group") == founded {
        if record.now_ms() > until_ms {
            case.give_up("the retiring machine was not replaced");
        }
        pause_ms(1);
    }
    record.line("storage-zone-a-1 has been replaced in the group");
    pause_ms(LOSS_AFTER_MS);
    if case.has_trouble {
        let lost = storage_of(1);
        case.kill(lost);
        let data_dir = case.data_dir(lost);
        std::fs::remove_dir_all(&data_dir).expect("the data can be removed");
        record.line("storage-zone-b-1 has lost its disk");
        case.write_settings(lost, false);
        pause_ms(1_000);
        case.start(lost);
    }
    pause_ms(RECOVER_MS + 1_000);
    let mut served = 0;
    let mut continued = 0;
    for number in 0..LATER_TURNS {
        let turn = first_turn(&format!("later{number}"), "a question".into());
        let answer = turn.send(&record, fronts[number % 4], "its zone");
        served += usize::from(answer.status == 200 && answer.is_complete);
        let mut next = first_turn(&format!("p{number}"), "goes on".into());
        next.id = format!("p{number}-t2");
        let next = next.with("Previous-Turn", &format!("p{number}-t1"));
        let answer = next.send(&record, fronts[number % 4], "its zone");
        continued += usize::from(answer.status == 200 && answer.is_complete);
        pause_ms(250);
    }
    let status = case.store.text_of("status/retire/storage-zone-a-1");
    record.line(&format!("status of the retirement: {status}"));
    let what = format!(
        "of {LATER_TURNS} new turns and {LATER_TURNS} that continue stored ones, sent later than recoverS \
         after the machine was back, {served} and {continued} were served; before, {served_before} of \
         {STORED_TURNS}; retirement: {status}"
    );
    case.verdict((served + continued) * 4 < 2 * LATER_TURNS, &what)
}
