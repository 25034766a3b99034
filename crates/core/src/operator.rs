//! Operator commands. Each one sends a request, or a read followed by a change, to the
//! administration API of any instance.

mod endpoint;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use eyre::{WrapErr, bail, eyre};
use serde_json::{Map, Value, json};

/// Exit code for a change that was accepted but that some instances have not confirmed.
const EXIT_UNCONFIRMED: u8 = 3;
/// Exit code for a change that was not made, because it conflicts with the current records or
/// the version was not current.
const EXIT_CONFLICT: u8 = 4;
/// Timeout of a request. Longer than the 5 s for which the instance waits for confirmations.
const REQUEST_TIMEOUT_S: u64 = 15;

/// Runs the operator command `name` and prints the response. `matches` has the arguments of
/// the command, `global` those of `jayreel`.
///
/// # Errors
///
/// If the instance cannot be reached or an argument is invalid. A refused command is printed
/// and determines the exit code.
pub(crate) fn run(
    name: &str,
    matches: &ArgMatches,
    global: &ArgMatches,
) -> eyre::Result<ExitCode> {
    let client = Client::new(global)?;
    let response = match (name, matches.subcommand()) {
        ("status", _) => client.get("status")?,
        (kind, Some(("list", _))) => client.get(&format!("{kind}s"))?,
        ("profile", Some(("create", sub))) => client.put(
            "profiles",
            record_name(sub),
            profile_record(sub, Map::new()),
            None,
        )?,
        ("profile", Some(("change", sub))) => {
            client.change("profiles", sub, |record| Ok(profile_record(sub, record)))?
        }
        ("profile", Some(("retire", sub))) => {
            client.delete("profiles", record_name(sub), expected_version(sub))?
        }
        ("key", Some(("give", sub))) => {
            let customer = sub.get_one::<String>("customer");
            client.post("keys", json!({ "customer": customer }))?
        }
        ("key", Some(("withdraw", sub))) => {
            client.delete("keys", record_name(sub), None)?
        }
        ("customer", Some(("set", sub))) => {
            client.set("customers", sub, customer_record)?
        }
        ("endpoint", Some(("add", sub))) => client.put(
            "endpoints",
            record_name(sub),
            endpoint::new_record(sub)?,
            None,
        )?,
        ("endpoint", Some(("change", sub))) => {
            client.change("endpoints", sub, |record| {
                endpoint::changed_record(sub, record)
            })?
        }
        ("endpoint", Some(("drain", sub))) => {
            client.change("endpoints", sub, |record| {
                Ok(with_field(record, "state", "draining"))
            })?
        }
        ("endpoint", Some(("activate", sub))) => {
            client.change("endpoints", sub, |record| {
                Ok(with_field(record, "state", "active"))
            })?
        }
        ("endpoint", Some(("remove", sub))) => {
            client.delete("endpoints", record_name(sub), expected_version(sub))?
        }
        ("route", Some(("set", sub))) => client.set("routes", sub, route_record)?,
        ("route", Some(("remove", sub))) => client.delete_version("routes", sub)?,
        ("instance", Some(("forget", sub))) => {
            client.post(&format!("instances/{}/forget", record_name(sub)), json!({}))?
        }
        _ => bail!("unknown command {name}"),
    };
    print(&response, global.get_flag("json"))?;
    Ok(response.exit_code())
}

/// A client of the administration API.
struct Client {
    agent: ureq::Agent,
    address: String,
    key: String,
}

struct Response {
    status: u16,
    /// From `ETag`, which only responses about one record have.
    version: Option<u64>,
    /// Null if the response has no JSON body.
    body: Value,
}

impl Response {
    fn exit_code(&self) -> ExitCode {
        match self.status {
            202 => ExitCode::from(EXIT_UNCONFIRMED),
            409 | 412 | 428 => ExitCode::from(EXIT_CONFLICT),
            status if status >= 400 => ExitCode::FAILURE,
            _ => ExitCode::SUCCESS,
        }
    }
}

impl Client {
    fn new(global: &ArgMatches) -> eyre::Result<Client> {
        let address: &String = global.get_one("admin").expect("--admin has a default");
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(REQUEST_TIMEOUT_S)))
            .http_status_as_error(false)
            .build();
        Ok(Client {
            agent: config.into(),
            address: address.clone(),
            key: read_admin_key(global)?,
        })
    }

    fn get(&self, path: &str) -> eyre::Result<Response> {
        let request = self.agent.get(self.url(path));
        self.parse_response(request.header("Authorization", self.authorization()).call())
    }

    fn post(&self, path: &str, body: Value) -> eyre::Result<Response> {
        let request = self.agent.post(self.url(path));
        self.parse_response(
            request
                .header("Authorization", self.authorization())
                .send_json(body),
        )
    }

    /// Creates a record, or changes the record that has this version.
    fn put(
        &self,
        kind: &str,
        name: &str,
        record: Map<String, Value>,
        version: Option<u64>,
    ) -> eyre::Result<Response> {
        let request = self.agent.put(self.url(&format!("{kind}/{name}")));
        let request = request.header("Authorization", self.authorization());
        let request = match version {
            Some(version) => request.header("If-Match", format!("\"{version}\"")),
            None => request.header("If-None-Match", "*"),
        };
        self.parse_response(request.send_json(Value::Object(record)))
    }

    /// Deletes a record, on condition of its version if one is given.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        version: Option<u64>,
    ) -> eyre::Result<Response> {
        let request = self.agent.delete(self.url(&format!("{kind}/{name}")));
        let request = request.header("Authorization", self.authorization());
        let request = match version {
            Some(version) => request.header("If-Match", format!("\"{version}\"")),
            None => request,
        };
        self.parse_response(request.call())
    }

    /// Deletes a record at the version on the command line, or at its current version.
    fn delete_version(&self, kind: &str, matches: &ArgMatches) -> eyre::Result<Response> {
        let version = self.version(kind, matches)?;
        self.delete(kind, record_name(matches), Some(version))
    }

    /// Reads a record, edits it and writes it back on condition that its version is still the
    /// same, or the one on the command line.
    fn change(
        &self,
        kind: &str,
        matches: &ArgMatches,
        edit: impl FnOnce(Map<String, Value>) -> eyre::Result<Map<String, Value>>,
    ) -> eyre::Result<Response> {
        let name = record_name(matches);
        let response = self.get(&format!("{kind}/{name}"))?;
        if response.status >= 400 {
            return Ok(response);
        }
        let read_version = response
            .version
            .ok_or_else(|| eyre!("the record has no version"))?;
        let version = expected_version(matches).unwrap_or(read_version);
        let Value::Object(record) = response.body else {
            bail!("the record {kind}/{name} is not a JSON object");
        };
        self.put(kind, name, edit(record)?, Some(version))
    }

    /// Changes a record, or creates it if it does not exist.
    fn set(
        &self,
        kind: &str,
        matches: &ArgMatches,
        fields: impl Fn(&ArgMatches, Map<String, Value>) -> Map<String, Value>,
    ) -> eyre::Result<Response> {
        let name = record_name(matches);
        match self.get(&format!("{kind}/{name}"))?.status {
            404 => self.put(kind, name, fields(matches, Map::new()), None),
            _ => self.change(kind, matches, |record| Ok(fields(matches, record))),
        }
    }

    /// The version on the command line, or the current version of the record.
    fn version(&self, kind: &str, matches: &ArgMatches) -> eyre::Result<u64> {
        match expected_version(matches) {
            Some(version) => Ok(version),
            None => {
                let response = self.get(&format!("{kind}/{}", record_name(matches)))?;
                response.version.ok_or_else(|| eyre!("no such record"))
            }
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/v1/{path}", self.address)
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.key)
    }

    /// Converts an HTTP response, whatever its status.
    fn parse_response(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> eyre::Result<Response> {
        let mut response =
            result.wrap_err_with(|| format!("no answer from {}", self.address))?;
        let version = response
            .headers()
            .get("etag")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.trim_matches('"').parse().ok());
        let body = response.body_mut().read_json().unwrap_or(Value::Null);
        Ok(Response {
            status: response.status().as_u16(),
            version,
            body,
        })
    }
}

/// Reads the operator's key from `--admin-key-file`, or else from `JAYREEL_ADMIN_KEY`.
fn read_admin_key(global: &ArgMatches) -> eyre::Result<String> {
    match global.get_one::<PathBuf>("admin-key-file") {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .wrap_err_with(|| format!("cannot read {}", path.display()))?;
            Ok(text.trim().to_string())
        }
        None => std::env::var("JAYREEL_ADMIN_KEY")
            .map_err(|_| eyre!("set JAYREEL_ADMIN_KEY or give --admin-key-file")),
    }
}

fn record_name(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>("name")
        .expect("the name is required")
}

/// The value of `--if-version`.
fn expected_version(matches: &ArgMatches) -> Option<u64> {
    matches.get_one("if-version").copied()
}

fn with_field(
    mut record: Map<String, Value>,
    field: &str,
    value: impl Into<Value>,
) -> Map<String, Value> {
    record.insert(field.to_string(), value.into());
    record
}

/// Copies the numbers given on the command line into `record`. An option `a-b` sets the field
/// `a_b`; fields without an option are left unchanged.
fn copy_numbers(matches: &ArgMatches, record: &mut Map<String, Value>, fields: &[&str]) {
    for field in fields {
        if let Some(number) = matches.get_one::<u64>(field) {
            record.insert(field.replace('-', "_"), json!(number));
        }
    }
}

/// Like [`copy_numbers`], for options with a string value.
fn copy_strings(matches: &ArgMatches, record: &mut Map<String, Value>, fields: &[&str]) {
    for field in fields {
        if let Some(text) = matches.get_one::<String>(field) {
            record.insert(field.replace('-', "_"), json!(text));
        }
    }
}

fn copy_models(matches: &ArgMatches, record: &mut Map<String, Value>) {
    if let Some(models) = matches.get_many::<String>("model") {
        record.insert("models".to_string(), models.cloned().collect());
    }
}

/// Copies the fields of a profile from the command line into `record`.
fn profile_record(
    matches: &ArgMatches,
    mut record: Map<String, Value>,
) -> Map<String, Value> {
    copy_strings(matches, &mut record, &["class"]);
    let numbers = [
        "budget-tokens",
        "max-turns",
        "max-call-tokens",
        "idle-timeout-ms",
        "max-wait-ms",
    ];
    copy_numbers(matches, &mut record, &numbers);
    copy_models(matches, &mut record);
    record
}

/// Copies the fields of a customer from the command line into `record`.
fn customer_record(
    matches: &ArgMatches,
    mut record: Map<String, Value>,
) -> Map<String, Value> {
    copy_numbers(
        matches,
        &mut record,
        &["rate-mreq-per-s", "burst-mreq", "weight"],
    );
    record
}

/// Copies the fields of a route from the command line into `record`.
fn route_record(
    matches: &ArgMatches,
    mut record: Map<String, Value>,
) -> Map<String, Value> {
    copy_strings(matches, &mut record, &["path-prefix", "group"]);
    for flag in ["repeatable", "open"] {
        if let Some(value) = matches.get_one::<bool>(flag) {
            record.insert(flag.to_string(), json!(value));
        }
    }
    record
}

/// Prints the body as JSON, or in a readable form. Errors then go to standard error.
fn print(response: &Response, json: bool) -> eyre::Result<()> {
    match (json, &response.body) {
        (true, body) => println!("{}", serde_json::to_string(body)?),
        (false, _) if response.status >= 400 => print_error(response),
        (false, Value::Object(fields)) => print_fields(fields),
        (false, Value::Null) => {}
        (false, body) => println!("{}", serde_json::to_string_pretty(body)?),
    }
    Ok(())
}

fn print_error(response: &Response) {
    let message = response.body["error"]["message"]
        .as_str()
        .unwrap_or("no reason given");
    eprintln!(
        "jayreel: refused with status {}: {message}",
        response.status
    );
}

fn print_fields(fields: &Map<String, Value>) {
    for (field, value) in fields {
        match value {
            Value::String(text) => println!("{field}: {text}"),
            value => println!("{field}: {value}"),
        }
    }
}
