//! The scripts' cases. Each one starts the project's own processes, the stand-ins and the clients,
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod configuration;
mod fleet;
mod http;
mod json;
mod orders;
mod record;
mod resumed_turn;
mod retirements;
mod shared_history;
mod store;
mod worker;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    if !fleet::exists("target/release/jayreel") {
        record.add("target/release/jayreel is missing: run the build of the deploy file first");
        exit(2);
    }
    let result = match case.as_str() {
        "lost-during-retirement" => retirements::lost_during_retirement(&record, has_trouble),
        "second-loss" => retirements::second_loss(&record, has_trouble),
        "two-retirements" => retirements::two_retirements(&record, has_trouble),
        "resumed-turn" => resumed_turn::run(&record, has_trouble),
        "shared-history" => shared_history::run(&record, has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(is_broken) => {
            record.add(&format!("result broken={is_broken}"));
            println!("broken={is_broken}");
            exit(i32::from(is_broken));
        }
        Err(error) => {
            record.add(&format!("could not run: {error}"));
            eprintln!("could not run: {error}");
            exit(2);
        }
    }
}
