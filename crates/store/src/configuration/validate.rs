//! Rules that a configuration record must meet before it is written.
//!
//! The messages go to operators in responses of the administration API.

use std::net::SocketAddr;

use jayreel_model::{Customer, Endpoint, EndpointKind, EndpointState, Profile, Route};

use crate::configuration::layout::ConfigRecord;

/// Longest name of a record, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// One request in thousandths of a request, the unit of `Customer::burst_mreq`.
const ONE_REQUEST_MREQ: u64 = 1_000;

/// Paths that instances serve themselves. A route must not start with one of them.
const RESERVED_PATHS: [&str; 3] = ["/healthz", "/readyz", "/v1"];

/// Message to the operator about a record that must not be written.
pub type Violation = String;

/// A record type that operators create and replace as a whole. Customer keys are not:
/// they are created by [`ConfigurationEditor::create_key`] and can only be withdrawn.
///
/// [`ConfigurationEditor::create_key`]: crate::ConfigurationEditor::create_key
pub trait Editable: ConfigRecord {
    /// Checks the fields of the record, independent of what is stored.
    ///
    /// # Errors
    ///
    /// The first rule that the record violates, naming the field.
    fn check(&self) -> Result<(), Violation>;

    /// Checks that `self` may replace the stored record `old`.
    ///
    /// # Errors
    ///
    /// The first rule that the replacement violates.
    fn check_change(&self, _old: &Self) -> Result<(), Violation> {
        Ok(())
    }
}

fn require(holds: bool, violation: &str) -> Result<(), Violation> {
    match holds {
        true => Ok(()),
        false => Err(violation.to_string()),
    }
}

/// Checks the name of a record, instance, group or availability zone. Names are parts of
/// store keys, so they must not contain `/`.
///
/// # Errors
///
/// The form that a name must have.
pub fn check_name(name: &str) -> Result<(), Violation> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let valid_start = name.starts_with(allowed);
    let valid_characters = name
        .chars()
        .all(|c| allowed(c) || matches!(c, '-' | '_' | '.'));
    let fits = name.len() <= MAX_NAME_BYTES;
    match valid_start && valid_characters && fits {
        true => Ok(()),
        false => Err(format!(
            "name {name:?} must have 1 to {MAX_NAME_BYTES} characters a-z, 0-9, '-', \
             '_' or '.' and start with a letter or digit"
        )),
    }
}

/// Checks that `address` is an `IP:PORT` that can be connected to: no host name, no
/// unspecified or multicast address, and no port 0.
///
/// # Errors
///
/// Which of these rules it violates.
pub fn check_address(address: &str) -> Result<(), Violation> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|_| format!("address {address:?} is not an IP address and port"))?;
    let ip = parsed.ip();
    let connectable = parsed.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
    match connectable {
        true => Ok(()),
        false => Err(format!("address {address:?} cannot be connected to")),
    }
}

fn check_models(models: &[String]) -> Result<(), Violation> {
    let printable =
        |model: &String| !model.is_empty() && model.chars().all(|c| c.is_ascii_graphic());
    require(
        models.iter().all(printable),
        "models must be non-empty printable names",
    )
}

fn check_versions(endpoint: &Endpoint) -> Result<(), Violation> {
    let is_version =
        |text: &String| !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic());
    require(
        endpoint.versions.values().all(is_version),
        "versions must be non-empty printable names",
    )?;
    require(
        endpoint
            .versions
            .keys()
            .all(|model| endpoint.models.contains(model)),
        "versions must be of models that the endpoint serves",
    )
}

fn check_adapters(endpoint: &Endpoint) -> Result<(), Violation> {
    let adapters: Vec<String> = endpoint.adapters.keys().cloned().collect();
    check_models(&adapters)?;
    require(
        adapters
            .iter()
            .all(|adapter| !endpoint.models.contains(adapter)),
        "an adapter must not have the name of a model",
    )?;
    require(
        endpoint
            .adapters
            .values()
            .all(|model| endpoint.models.contains(model)),
        "adapters must be for models that the endpoint serves",
    )
}

impl Editable for Customer {
    fn check(&self) -> Result<(), Violation> {
        require(self.weight >= 1, "weight must be at least 1")?;
        let can_send = self.rate_mreq_per_s == 0 || self.burst_mreq >= ONE_REQUEST_MREQ;
        require(can_send, "burst_mreq must be at least 1000 (one request)")
    }
}

impl Editable for Profile {
    fn check(&self) -> Result<(), Violation> {
        require(self.budget_tokens > 0, "budget_tokens must be at least 1")?;
        require(self.max_turns > 0, "max_turns must be at least 1")?;
        require(
            self.max_call_tokens > 0,
            "max_call_tokens must be at least 1",
        )?;
        require(
            self.idle_timeout_ms > 0,
            "idle_timeout_ms must be at least 1",
        )?;
        require(self.max_wait_ms > 0, "max_wait_ms must be at least 1")?;
        check_models(&self.models)
    }

    fn check_change(&self, old: &Profile) -> Result<(), Violation> {
        require(
            self.retired || !old.retired,
            "a retired profile stays retired",
        )
    }
}

impl Editable for Endpoint {
    fn check(&self) -> Result<(), Violation> {
        check_address(&self.address)?;
        check_name(&self.group).map_err(|why| format!("group: {why}"))?;
        check_name(&self.availability_zone)
            .map_err(|why| format!("availability_zone: {why}"))?;
        require(self.slots >= 1, "slots must be at least 1")?;
        let is_plain_service = self.kind == EndpointKind::PlainService;
        require(
            !is_plain_service || self.models.is_empty(),
            "a plain service serves no models",
        )?;
        require(
            is_plain_service || !self.models.is_empty(),
            "a model engine needs models",
        )?;
        check_models(&self.models)?;
        check_versions(self)?;
        check_adapters(self)
    }

    fn check_change(&self, old: &Endpoint) -> Result<(), Violation> {
        require(
            self.kind == old.kind,
            "the kind of an endpoint cannot change",
        )?;
        require(
            self.state == EndpointState::Removed || old.state != EndpointState::Removed,
            "a removed endpoint stays removed; use another name",
        )
    }
}

impl Editable for Route {
    fn check(&self) -> Result<(), Violation> {
        check_name(&self.group).map_err(|why| format!("group: {why}"))?;
        check_path_prefix(&self.path_prefix)
    }
}

fn check_path_prefix(path: &str) -> Result<(), Violation> {
    require(path.starts_with('/'), "path_prefix must start with '/'")?;
    let printable = path
        .chars()
        .all(|c| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '\\'));
    require(
        printable,
        "path_prefix must be plain ASCII without '?', '#', '%' or '\\'",
    )?;
    let mut segments = path[1..].split('/');
    let valid_segments = path == "/" || segments.all(|s| !matches!(s, "" | "." | ".."));
    require(
        valid_segments,
        "path_prefix must not have empty, '.' or '..' segments",
    )?;
    let reserved = RESERVED_PATHS.iter().any(|reserved| {
        path.strip_prefix(reserved)
            .is_some_and(|r| r.is_empty() || r.starts_with('/'))
    });
    require(!reserved, "path_prefix is reserved for jayreel itself")
}
