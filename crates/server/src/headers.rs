//! Headers of requests: those with a meaning to jayreel and those that are passed on.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use jayreel_model::header::is_hop_by_hop;
use jayreel_model::{Refusal, RefusalReason};

use crate::request_handler::CallHeaders;

/// Most bytes of a customer key.
const MAX_KEY_BYTES: usize = 512;
/// Most bytes of a name of a profile or an incarnation, or of a history hash.
const MAX_NAME_BYTES: usize = 256;
/// Most bytes of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Most bytes of a program token.
pub(crate) const MAX_TOKEN_BYTES: usize = 2_048;

/// Reads the headers that have a meaning to jayreel. Messages of refusals name the header
/// and never repeat its value, which may be a secret.
pub(crate) fn call_headers(headers: &HeaderMap) -> Result<CallHeaders, Refusal> {
    Ok(CallHeaders {
        key: key(headers)?,
        profile: text(headers, "jayreel-profile", MAX_NAME_BYTES)?,
        program: text(headers, "jayreel-program", MAX_TOKEN_BYTES)?,
        parent: text(headers, "jayreel-parent", MAX_TOKEN_BYTES)?,
        turn: turn(headers)?,
        epoch: text(headers, "jayreel-epoch", MAX_NAME_BYTES)?,
        history: text(headers, "jayreel-history", MAX_NAME_BYTES)?,
        idempotency_key: idempotency_key(headers)?,
    })
}

/// The headers that go on to the endpoint. Leaves out headers of the connection,
/// credentials, headers with a meaning to jayreel and any header that holds the key.
pub(crate) fn passed_headers(
    headers: &HeaderMap,
    key: Option<&str>,
) -> Result<Vec<(String, String)>, Refusal> {
    let named = connection_options(headers);
    let mut passed = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        if is_kept_back(name) || named.iter().any(|option| option == name) {
            continue;
        }
        let value = std::str::from_utf8(value.as_bytes())
            .map_err(|_| invalid(format!("header {name} is not valid UTF-8")))?;
        match key {
            Some(key) if value.contains(key) => {}
            _ => passed.push((name.to_string(), value.to_string())),
        }
    }
    Ok(passed)
}

fn is_kept_back(name: &str) -> bool {
    let has_meaning = name.starts_with("jayreel-") || name == "expect" || name == "host";
    let is_credential = matches!(name, "authorization" | "cookie" | "api-key")
        || name == "x-api-key"
        || name == "x-auth-token";
    is_hop_by_hop(name) || has_meaning || is_credential || name == "content-length"
}

/// Names of headers that the sender declares to concern this connection only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// The key from `Authorization: Bearer KEY`.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = single(headers, "authorization")? else {
        return Ok(None);
    };
    let malformed = || {
        let message = "header authorization is not of the form Bearer KEY";
        Refusal::not_run(RefusalReason::InvalidKey, message)
    };
    let value = value.to_str().map_err(|_| malformed())?;
    let (scheme, key) = value.split_once(' ').ok_or_else(malformed)?;
    let key = key.trim();
    let well_formed = scheme.eq_ignore_ascii_case("bearer")
        && (1..=MAX_KEY_BYTES).contains(&key.len())
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    match well_formed {
        true => Ok(Some(key.to_string())),
        false => Err(malformed()),
    }
}

fn turn(headers: &HeaderMap) -> Result<Option<u32>, Refusal> {
    let Some(turn) = text(headers, "jayreel-turn", MAX_NAME_BYTES)? else {
        return Ok(None);
    };
    let digits = turn.bytes().all(|byte| byte.is_ascii_digit());
    match turn.parse() {
        Ok(turn) if digits => Ok(Some(turn)),
        _ => Err(invalid("header jayreel-turn is not a turn number")),
    }
}

/// The draft standard quotes the key as a structured string; many callers do not.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let name = "idempotency-key";
    let Some(value) = text(headers, name, MAX_IDEMPOTENCY_KEY_BYTES + 2)? else {
        return Ok(None);
    };
    let inner = match value.strip_prefix('"') {
        Some(rest) => rest.strip_suffix('"').unwrap_or_default(),
        None => value.as_str(),
    };
    let well_formed = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&inner.len())
        && !inner.contains(['"', '\\']);
    match well_formed {
        true => Ok(Some(inner.to_string())),
        false => Err(invalid("header idempotency-key is malformed")),
    }
}

/// A header of visible ASCII characters that may occur once.
fn text(
    headers: &HeaderMap,
    name: &str,
    max_bytes: usize,
) -> Result<Option<String>, Refusal> {
    let Some(value) = single(headers, name)? else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    match (1..=max_bytes).contains(&bytes.len()) {
        true if bytes.iter().all(u8::is_ascii_graphic) => {
            Ok(Some(String::from_utf8_lossy(bytes).into_owned()))
        }
        true => Err(invalid(format!(
            "header {name} has a character other than visible ASCII"
        ))),
        false => Err(invalid(format!(
            "header {name} is not between 1 and {max_bytes} bytes long"
        ))),
    }
}

fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(_), Some(_)) => Err(invalid(format!("header {name} occurs twice"))),
        (value, _) => Ok(value),
    }
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}
