//! Parses the request headers that jayreel interprets, and selects those that are forwarded
//! to the endpoint.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use jayreel_model::header::is_hop_by_hop;
use jayreel_model::{Refusal, RefusalReason};

use crate::request_handler::CallHeaders;

/// Maximum length of a customer key in bytes.
const MAX_KEY_BYTES: usize = 512;
/// Maximum length in bytes of a profile name, an incarnation, a history hash or a turn
/// number.
const MAX_NAME_BYTES: usize = 256;
/// Maximum length of an idempotency key in bytes, without quotes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Maximum length of a program token in bytes.
pub(crate) const MAX_TOKEN_BYTES: usize = 2_048;

/// Parses the headers that jayreel interprets. Error messages name the header but never
/// repeat its value, which may be a secret.
pub(crate) fn call_headers(headers: &HeaderMap) -> Result<CallHeaders, Refusal> {
    Ok(CallHeaders {
        key: key(headers)?,
        profile: ascii_value(headers, "jayreel-profile", MAX_NAME_BYTES)?,
        program: ascii_value(headers, "jayreel-program", MAX_TOKEN_BYTES)?,
        parent: ascii_value(headers, "jayreel-parent", MAX_TOKEN_BYTES)?,
        turn: turn(headers)?,
        epoch: ascii_value(headers, "jayreel-epoch", MAX_NAME_BYTES)?,
        history: ascii_value(headers, "jayreel-history", MAX_NAME_BYTES)?,
        idempotency_key: idempotency_key(headers)?,
    })
}

/// Returns the headers that are forwarded to the endpoint. Omits hop-by-hop headers,
/// credentials, headers that jayreel interprets and any header whose value contains the key.
pub(crate) fn passed_headers(
    headers: &HeaderMap,
    key: Option<&str>,
) -> Result<Vec<(String, String)>, Refusal> {
    let connection_headers = connection_options(headers);
    let mut passed = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        if is_withheld(name) || connection_headers.iter().any(|option| option == name) {
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

/// Whether a header is never forwarded to the endpoint.
fn is_withheld(name: &str) -> bool {
    let is_interpreted =
        name.starts_with("jayreel-") || name == "expect" || name == "host";
    let is_credential = matches!(name, "authorization" | "cookie" | "api-key")
        || name == "x-api-key"
        || name == "x-auth-token";
    is_hop_by_hop(name) || is_interpreted || is_credential || name == "content-length"
}

/// The header names listed in `Connection`, which apply to this connection only.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

/// Parses `Authorization: Bearer KEY`. Returns `None` if the header is absent.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = single_value(headers, "authorization")? else {
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

/// Parses `Jayreel-Turn`. Only digits are accepted, because `parse` also accepts a sign.
fn turn(headers: &HeaderMap) -> Result<Option<u32>, Refusal> {
    let Some(turn) = ascii_value(headers, "jayreel-turn", MAX_NAME_BYTES)? else {
        return Ok(None);
    };
    let only_digits = turn.bytes().all(|byte| byte.is_ascii_digit());
    match turn.parse() {
        Ok(turn) if only_digits => Ok(Some(turn)),
        _ => Err(invalid("header jayreel-turn is not a turn number")),
    }
}

/// Parses `Idempotency-Key`, with or without quotes: the draft standard defines the value as
/// a quoted structured-field string, but many callers send it without quotes.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let name = "idempotency-key";
    let Some(value) = ascii_value(headers, name, MAX_IDEMPOTENCY_KEY_BYTES + 2)? else {
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

/// Returns the value of a header that may occur at most once and has only visible ASCII
/// characters.
fn ascii_value(
    headers: &HeaderMap,
    name: &str,
    max_bytes: usize,
) -> Result<Option<String>, Refusal> {
    let Some(value) = single_value(headers, name)? else {
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

/// Returns the value of a header and refuses the request if the header is repeated.
fn single_value<'a>(
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
