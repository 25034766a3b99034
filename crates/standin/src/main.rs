//! `jayreel-standin`: runs one stand-in server until the process is killed. Prints the
//! bound address as one line on standard output, so that the caller of a server on port 0
//! learns its port.

use std::io;
use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jayreel_standin::{
    Engine, EngineSettings, PlainService, ServiceSettings, StoreGateway,
};
use jayreel_store::MemoryStore;

fn main() -> io::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("store", options)) => run_store(options),
        Some(("engine", options)) => run_engine(options),
        Some(("service", options)) => run_service(options),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn command() -> Command {
    Command::new("jayreel-standin")
        .about("Stand-in etcd store, model engine and plain service with fault injection")
        .subcommand_required(true)
        .subcommand(with_listen_arg(
            Command::new("store")
                .about("JSON gateway of the etcd v3 API, with an empty store"),
        ))
        .subcommand(engine_command())
        .subcommand(with_listen_arg(service_command()))
}

/// Adds the option `--listen`.
fn with_listen_arg(command: Command) -> Command {
    command.arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr))
            .help(
                "IP address and port to listen on; with port 0, the system chooses one",
            ),
    )
}

/// An option with a number and a default.
fn number_arg(name: &'static str, default: u64, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default.to_string())
        .value_parser(value_parser!(u64))
        .help(help)
}

fn service_command() -> Command {
    Command::new("service")
        .about("Plain service that echoes and counts its requests")
        .arg(number_arg(
            "work-ms",
            0,
            "time that each request takes, in milliseconds",
        ))
}

fn engine_command() -> Command {
    let defaults = EngineSettings::default();
    with_listen_arg(
        Command::new("engine").about("Model engine that serves the chat completions API"),
    )
    .arg(
        Arg::new("model")
            .long("model")
            .value_name("NAME")
            .action(ArgAction::Append)
            .help("model to serve, may be repeated; without this, any name is accepted"),
    )
    .arg(number_arg(
        "slots",
        defaults.slots as u64,
        "number of calls that run at the same time",
    ))
    .arg(number_arg(
        "prefill-us-per-token",
        defaults.prefill_us_per_token,
        "time for each prompt token that is not cached, in microseconds",
    ))
    .arg(number_arg(
        "token-us",
        defaults.token_us,
        "time for each generated token, in microseconds",
    ))
    .arg(number_arg(
        "batch-slowdown-us",
        defaults.batch_slowdown_us,
        "time added to each token for each other running call, in microseconds",
    ))
    .arg(number_arg(
        "cache-tokens",
        defaults.cache_tokens,
        "size of the prefix cache, in tokens",
    ))
    .arg(number_arg(
        "answer-tokens",
        defaults.answer_tokens,
        "tokens of an answer, unless the call asks for fewer",
    ))
    .arg(number_arg(
        "template-tokens",
        defaults.template_tokens,
        "prompt tokens added for each message",
    ))
    .arg(
        Arg::new("ignore-fencing")
            .long("ignore-fencing")
            .action(ArgAction::SetTrue)
            .help("accept orders with a fencing number lower than the newest seen"),
    )
    .arg(
        Arg::new("reports-models")
            .long("reports-models")
            .action(ArgAction::SetTrue)
            .help("report models at GET /models, and load or unload them by order"),
    )
    .arg(number_arg(
        "load-ms",
        defaults.load_ms,
        "time that loading a model takes, in milliseconds",
    ))
}

fn listen_address(options: &ArgMatches) -> SocketAddr {
    *options.get_one("listen").expect("listen has a default")
}

fn get_number(options: &ArgMatches, name: &str) -> u64 {
    *options.get_one(name).expect("numbers have defaults")
}

fn run_store(options: &ArgMatches) -> io::Result<()> {
    let gateway = StoreGateway::start(listen_address(options), MemoryStore::new())?;
    print_address_and_wait(gateway.address())
}

fn run_engine(options: &ArgMatches) -> io::Result<()> {
    let models = options.get_many::<String>("model").unwrap_or_default();
    let settings = EngineSettings {
        models: models.cloned().collect(),
        slots: get_number(options, "slots") as usize,
        prefill_us_per_token: get_number(options, "prefill-us-per-token"),
        token_us: get_number(options, "token-us"),
        batch_slowdown_us: get_number(options, "batch-slowdown-us"),
        cache_tokens: get_number(options, "cache-tokens"),
        answer_tokens: get_number(options, "answer-tokens"),
        template_tokens: get_number(options, "template-tokens"),
        checks_fencing: !options.get_flag("ignore-fencing"),
        reports_models: options.get_flag("reports-models"),
        load_ms: get_number(options, "load-ms"),
    };
    let engine = Engine::start(listen_address(options), settings)?;
    print_address_and_wait(engine.address())
}

fn run_service(options: &ArgMatches) -> io::Result<()> {
    let work_ms = get_number(options, "work-ms");
    let service =
        PlainService::start(listen_address(options), ServiceSettings { work_ms })?;
    print_address_and_wait(service.address())
}

/// Prints the address and blocks for good, while the server thread handles requests.
fn print_address_and_wait(address: SocketAddr) -> io::Result<()> {
    println!("{address}");
    loop {
        std::thread::park();
    }
}
