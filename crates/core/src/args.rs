//! The command line, by clap's builder.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("jayreel")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules the calls of agent programs between callers and endpoints")
        .after_help(
            "Exit codes: 0 success; 1 the command failed; 2 arguments or settings are at \
             fault; 3 a change is accepted but not yet confirmed by all instances; 4 the \
             version was not current, so nothing was changed; 5 another process took over, \
             start again.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(admin_address())
        .arg(admin_key())
        .arg(json())
        .subcommand(serve())
        .subcommand(edge())
        .subcommand(storage())
        .subcommand(check())
        .subcommand(dev())
        .subcommand(profile())
        .subcommand(key())
        .subcommand(customer())
        .subcommand(endpoint())
        .subcommand(route())
        .subcommand(instance())
        .subcommand(Command::new("status").about("Show the state of an instance"))
        .subcommand(completions())
        .subcommand(Command::new("man").about("Print the man page in roff form"))
}

/// The path given with `--config`.
pub(crate) fn config_path(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("config")
        .expect("--config is required")
}

/// The shell given to `completions`.
pub(crate) fn shell(matches: &ArgMatches) -> Shell {
    *matches.get_one("shell").expect("the shell is required")
}

fn admin_address() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .env("JAYREEL_ADMIN")
        .default_value("127.0.0.1:8081")
        .global(true)
        .help("Administration listener of any instance, for operator commands")
}

fn admin_key() -> Arg {
    Arg::new("admin-key-file")
        .long("admin-key-file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .global(true)
        .help("File with the operator's key; without it, JAYREEL_ADMIN_KEY is used")
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Print the answer of an operator command as JSON")
}

fn config() -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in INI form")
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run an entry instance")
        .arg(config())
}

fn edge() -> Command {
    Command::new("edge")
        .about("Run an entry instance on the users' platform")
        .after_help("Settings come from the file that JAYREEL_NODE_FILE names.")
}

fn storage() -> Command {
    Command::new("storage")
        .about("Run an instance with a disk on the users' platform")
        .arg(
            Arg::new("advertise")
                .long("advertise")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help(
                    "Where other instances connect; without it, where this one listens",
                ),
        )
        .after_help("Settings come from the file that JAYREEL_NODE_FILE names.")
}

fn check() -> Command {
    Command::new("check")
        .about("Check a settings file and print each fault with section and key")
        .arg(config())
}

fn dev() -> Command {
    Command::new("dev")
        .about("Run an instance with an embedded store, engine and service, and a demo")
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep serving after the demo until interrupted"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print shell completions")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("Shell"),
        )
}

fn name() -> Arg {
    Arg::new("name")
        .required(true)
        .value_name("NAME")
        .help("Name of the record")
}

fn version() -> Arg {
    Arg::new("if-version")
        .long("if-version")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Change only this version; without it, the version just read")
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// A flag that a later command can also turn off; without it the record stays as it is.
fn toggle(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("BOOL")
        .num_args(0..=1)
        .default_missing_value("true")
        .value_parser(value_parser!(bool))
        .help(help)
}

fn models() -> Arg {
    Arg::new("model")
        .long("model")
        .value_name("MODEL")
        .action(ArgAction::Append)
        .help("A model; may be given several times")
}

/// Versions and adapters of an endpoint's models.
fn model_details() -> [Arg; 2] {
    let pairs = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    [
        pairs(
            "model-version",
            "MODEL=VERSION",
            "The version of a model; may be given several times, empty for none",
        ),
        pairs(
            "adapter",
            "ADAPTER=MODEL",
            "An adapter and its model; may be given several times, empty for none",
        ),
    ]
}

fn list() -> Command {
    Command::new("list").about("List all records with their versions")
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn profile_fields(command: Command) -> Command {
    command
        .arg(name())
        .arg(
            Arg::new("class")
                .long("class")
                .value_parser(PossibleValuesParser::new([
                    "interactive",
                    "standard",
                    "batch",
                ])),
        )
        .arg(number("budget-tokens", "Budget of a program in tokens"))
        .arg(number("max-turns", "Most calls in one program"))
        .arg(number(
            "max-call-tokens",
            "Most tokens that one call may generate",
        ))
        .arg(number(
            "idle-timeout-ms",
            "A program idle for this long is closed",
        ))
        .arg(number("max-wait-ms", "A call that waits longer is refused"))
        .arg(models())
}

fn profile() -> Command {
    group("profile", "Create, change, retire and list profiles")
        .subcommand(profile_fields(
            Command::new("create").about("Create a profile; other fields take defaults"),
        ))
        .subcommand(
            profile_fields(Command::new("change").about("Change the fields given"))
                .arg(version()),
        )
        .subcommand(
            Command::new("retire")
                .about("Stop new programs from opening under a profile")
                .arg(name())
                .arg(version()),
        )
        .subcommand(list())
}

fn key() -> Command {
    group("key", "Give, withdraw and list customer keys")
        .subcommand(
            Command::new("give")
                .about("Make a key for a customer and print it once")
                .arg(Arg::new("customer").required(true).value_name("CUSTOMER")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key for good, running streams included")
                .arg(Arg::new("name").required(true).value_name("HASH")),
        )
        .subcommand(list())
}

fn customer() -> Command {
    group("customer", "Set and list customers")
        .subcommand(
            Command::new("set")
                .about("Create or change a customer")
                .arg(name())
                .arg(number(
                    "rate-mreq-per-s",
                    "Rate, in thousandths of a request/s",
                ))
                .arg(number("burst-mreq", "Burst, in thousandths of a request"))
                .arg(number(
                    "weight",
                    "Share of endpoint time relative to others",
                ))
                .arg(version()),
        )
        .subcommand(list())
}

fn endpoint() -> Command {
    group(
        "endpoint",
        "Add, change, drain, activate, remove and list endpoints",
    )
    .subcommand(
        Command::new("add")
            .about("Add an endpoint")
            .arg(name())
            .arg(
                Arg::new("kind")
                    .long("kind")
                    .required(true)
                    .value_parser(["model_engine", "plain_service"]),
            )
            .arg(text("group", "Endpoint group").required(true))
            .arg(text("availability-zone", "Availability zone").required(true))
            .arg(text("address", "IP address and port").required(true))
            .arg(models())
            .args(model_details())
            .arg(number("slots", "Calls that it runs at the same time"))
            .arg(flag(
                "checks-fencing",
                "It refuses orders with an old number",
            )),
    )
    .subcommand(
        Command::new("change")
            .about("Change the models of an endpoint, with versions and adapters")
            .arg(name())
            .arg(models())
            .args(model_details())
            .arg(number("slots", "Calls that it runs at the same time"))
            .arg(toggle(
                "checks-fencing",
                "It refuses orders with an old number",
            ))
            .arg(version()),
    )
    .subcommand(
        Command::new("drain")
            .about("Send no new work to an endpoint")
            .arg(name())
            .arg(version()),
    )
    .subcommand(
        Command::new("activate")
            .about("Send new work to a drained endpoint again")
            .arg(name())
            .arg(version()),
    )
    .subcommand(
        Command::new("remove")
            .about("Take an endpoint out for good")
            .arg(name())
            .arg(version()),
    )
    .subcommand(list())
}

fn route() -> Command {
    group("route", "Set, remove and list routes to plain services")
        .subcommand(
            Command::new("set")
                .about("Create or change a route")
                .arg(name())
                .arg(text("path-prefix", "Path prefix, such as /records").required(true))
                .arg(text("group", "Endpoint group that serves it").required(true))
                .arg(toggle(
                    "repeatable",
                    "A request may be sent twice without harm",
                ))
                .arg(toggle("open", "Requests need no customer key"))
                .arg(version()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a route")
                .arg(name())
                .arg(version()),
        )
        .subcommand(list())
}

fn instance() -> Command {
    group("instance", "Act on entry instances").subcommand(
        Command::new("forget")
            .about("State that the process of an instance is dead, and free its share")
            .long_about(
                "State that the process of an instance is dead. Its share of the rates is \
                 free at once. If the process is still alive, customers can exceed their \
                 rates until it learns of this.",
            )
            .arg(name()),
    )
}
