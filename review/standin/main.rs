//! Plays one case against the product's own processes. Arguments: the case and its folder.

mod alone;
mod catchup;
mod chain;
mod deployment;
mod fleet;
mod handover;
mod http;
mod json;
mod leave;
mod store;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    // A panic of the case's own code means that it could not run.
    let case = fleet::Case::new(std::path::Path::new(folder));
    match name.as_str() {
        "alone" => alone::run(case),
        "catchup" => catchup::run(case),
        "chain" => chain::run(case),
        "handover" => handover::run(case),
        "leave" => leave::run(case),
        _ => {
            eprintln!("unknown case {name}");
            std::process::exit(2);
        }
    }
}
