//! Defines the command line with clap's builder API.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::builder::{NonEmptyStringValueParser, PossibleValuesParser};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;

/// The `jayreel` command with all subcommands.
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
        .arg(admin_address_option())
        .arg(admin_key_option())
        .arg(json_option())
        .subcommand(serve())
        .subcommand(edge())
        .subcommand(storage())
        .subcommand(explain())
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

/// The value of `--config`. Panics for commands without this required option.
pub(crate) fn config_path(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("config")
        .expect("--config is required")
}

/// The shell argument of `completions`.
pub(crate) fn shell(matches: &ArgMatches) -> Shell {
    *matches.get_one("shell").expect("the shell is required")
}

fn admin_address_option() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .env("JAYREEL_ADMIN")
        .default_value("127.0.0.1:8081")
        .global(true)
        .help("Administration listener of any instance, for operator commands")
}

fn admin_key_option() -> Arg {
    Arg::new("admin-key-file")
        .long("admin-key-file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .global(true)
        .help("File with the operator's key; without it, JAYREEL_ADMIN_KEY is used")
}

fn json_option() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Print the response to an operator command as JSON")
}

fn config_option() -> Arg {
    Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file in INI format")
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run an entry instance")
        .arg(config_option())
}

fn edge() -> Command {
    Command::new("edge")
        .about("Run an entry instance on the users' platform")
        .arg(
            Arg::new("options")
                .long("options")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Options file in INI format, for features that are off by default"),
        )
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
                    "Address that other instances connect to; defaults to the listening \
                     address",
                ),
        )
        .after_help("Settings come from the file that JAYREEL_NODE_FILE names.")
}

fn explain() -> Command {
    let text = |name: &'static str, help: &'static str| {
        text_option(name, help).value_parser(NonEmptyStringValueParser::new())
    };
    Command::new("explain")
        .about("Show where an entry instance on the users' platform would route a request")
        .long_about(
            "Show where an entry instance on the users' platform would route a request now, \
             and why: route, customer, and the endpoints in the order in which they would be \
             chosen. Nothing is sent, and nothing changes.",
        )
        .arg(
            Arg::new("instance")
                .long("instance")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Metrics address of the instance, such as 10.0.0.1:9464"),
        )
        .arg(text("host", "Host that the request names").required(true))
        .arg(text("path", "Path of the request").required(true))
        .arg(text("customer", "Name of the customer"))
        .arg(text("program", "Identifier of the program"))
}

fn check() -> Command {
    Command::new("check")
        .about("Check a settings file and print each fault with section and key")
        .arg(config_option())
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

fn name_argument() -> Arg {
    Arg::new("name")
        .required(true)
        .value_name("NAME")
        .help("Name of the record")
}

fn version_option() -> Arg {
    Arg::new("if-version")
        .long("if-version")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Change the record only at this version; defaults to the current version")
}

/// An option with a non-negative integer value.
fn number_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

/// An option with a string value.
fn text_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

/// A flag without a value.
fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// A flag that takes an optional boolean, so that a change can also turn the field off. If it
/// is absent, the field keeps its value.
fn bool_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("BOOL")
        .num_args(0..=1)
        .default_missing_value("true")
        .value_parser(value_parser!(bool))
        .help(help)
}

fn model_option() -> Arg {
    Arg::new("model")
        .long("model")
        .value_name("MODEL")
        .action(ArgAction::Append)
        .help("A model; may be given several times")
}

/// The options for versions and adapters of an endpoint's models.
fn model_detail_options() -> [Arg; 2] {
    let pair_option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    [
        pair_option(
            "model-version",
            "MODEL=VERSION",
            "The version of a model; may be given several times, empty for none",
        ),
        pair_option(
            "adapter",
            "ADAPTER=MODEL",
            "An adapter and its model; may be given several times, empty for none",
        ),
    ]
}

fn list_command() -> Command {
    Command::new("list").about("List all records with their versions")
}

/// A command that only groups subcommands.
fn command_group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

/// Adds the name and the fields of a profile, which `create` and `change` share.
fn profile_fields(command: Command) -> Command {
    command
        .arg(name_argument())
        .arg(
            Arg::new("class")
                .long("class")
                .value_parser(PossibleValuesParser::new([
                    "interactive",
                    "standard",
                    "batch",
                ])),
        )
        .arg(number_option(
            "budget-tokens",
            "Budget of a program in tokens",
        ))
        .arg(number_option(
            "max-turns",
            "Maximum number of calls in one program",
        ))
        .arg(number_option(
            "max-call-tokens",
            "Maximum number of tokens that one call may generate",
        ))
        .arg(number_option(
            "idle-timeout-ms",
            "A program idle for this long is closed",
        ))
        .arg(number_option(
            "max-wait-ms",
            "A call that waits longer is refused",
        ))
        .arg(model_option())
}

fn profile() -> Command {
    command_group("profile", "Create, change, retire and list profiles")
        .subcommand(profile_fields(
            Command::new("create").about("Create a profile; other fields take defaults"),
        ))
        .subcommand(
            profile_fields(Command::new("change").about("Change the fields given"))
                .arg(version_option()),
        )
        .subcommand(
            Command::new("retire")
                .about("Stop new programs from opening under a profile")
                .arg(name_argument())
                .arg(version_option()),
        )
        .subcommand(list_command())
}

fn key() -> Command {
    command_group("key", "Give, withdraw and list customer keys")
        .subcommand(
            Command::new("give")
                .about("Make a key for a customer and print it once")
                .arg(Arg::new("customer").required(true).value_name("CUSTOMER")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key permanently, and end its running streams")
                .arg(Arg::new("name").required(true).value_name("HASH")),
        )
        .subcommand(list_command())
}

fn customer() -> Command {
    command_group("customer", "Set and list customers")
        .subcommand(
            Command::new("set")
                .about("Create or change a customer")
                .arg(name_argument())
                .arg(number_option(
                    "rate-mreq-per-s",
                    "Rate, in thousandths of a request/s",
                ))
                .arg(number_option(
                    "burst-mreq",
                    "Burst, in thousandths of a request",
                ))
                .arg(number_option(
                    "weight",
                    "Share of endpoint time relative to other customers",
                ))
                .arg(version_option()),
        )
        .subcommand(list_command())
}

fn endpoint() -> Command {
    command_group(
        "endpoint",
        "Add, change, drain, activate, remove and list endpoints",
    )
    .subcommand(
        Command::new("add")
            .about("Add an endpoint")
            .arg(name_argument())
            .arg(
                Arg::new("kind")
                    .long("kind")
                    .required(true)
                    .value_parser(["model_engine", "plain_service"]),
            )
            .arg(text_option("group", "Endpoint group").required(true))
            .arg(text_option("availability-zone", "Availability zone").required(true))
            .arg(text_option("address", "IP address and port").required(true))
            .arg(model_option())
            .args(model_detail_options())
            .arg(number_option("slots", "Maximum number of concurrent calls"))
            .arg(flag(
                "checks-fencing",
                "The endpoint rejects orders with an outdated fencing number",
            )),
    )
    .subcommand(
        Command::new("change")
            .about("Change the models of an endpoint, with versions and adapters")
            .arg(name_argument())
            .arg(model_option())
            .args(model_detail_options())
            .arg(number_option("slots", "Maximum number of concurrent calls"))
            .arg(bool_option(
                "checks-fencing",
                "The endpoint rejects orders with an outdated fencing number",
            ))
            .arg(version_option()),
    )
    .subcommand(
        Command::new("drain")
            .about("Send no new work to an endpoint")
            .arg(name_argument())
            .arg(version_option()),
    )
    .subcommand(
        Command::new("activate")
            .about("Send new work to a drained endpoint again")
            .arg(name_argument())
            .arg(version_option()),
    )
    .subcommand(
        Command::new("remove")
            .about("Remove an endpoint permanently")
            .arg(name_argument())
            .arg(version_option()),
    )
    .subcommand(list_command())
}

fn route() -> Command {
    command_group("route", "Set, remove and list routes to plain services")
        .subcommand(
            Command::new("set")
                .about("Create or change a route")
                .arg(name_argument())
                .arg(
                    text_option("path-prefix", "Path prefix, such as /records")
                        .required(true),
                )
                .arg(text_option("group", "Endpoint group that serves it").required(true))
                .arg(bool_option(
                    "repeatable",
                    "A request may be sent twice without harm",
                ))
                .arg(bool_option("open", "Requests need no customer key"))
                .arg(version_option()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a route")
                .arg(name_argument())
                .arg(version_option()),
        )
        .subcommand(list_command())
}

fn instance() -> Command {
    command_group("instance", "Manage entry instances").subcommand(
        Command::new("forget")
            .about("Declare the process of an instance dead and free its rate share")
            .long_about(
                "Declare the process of an instance dead. Its share of the rate limits is \
                 freed at once. If the process is still alive, customers can exceed their \
                 rate limits until it learns of this.",
            )
            .arg(name_argument()),
    )
}
