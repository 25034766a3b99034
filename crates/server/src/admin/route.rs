//! Parses the paths and the conditional headers of the administration API.

use crate::admin::{
    AdminError, AdminErrorKind, AdminOperation, AdminResource, ExpectedVersion,
};

/// Maximum length of a record's name. The hash of a key, in hex, has 64 bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maps method and path to an operation.
///
/// # Errors
///
/// [`AdminErrorKind::NotFound`] for an unknown path, [`AdminErrorKind::MethodNotAllowed`]
/// for a method that the path does not support, and [`AdminErrorKind::Invalid`] for a
/// malformed record name.
pub fn parse(method: &str, path: &str) -> Result<AdminOperation, AdminError> {
    let not_found = || AdminError::new(AdminErrorKind::NotFound, "no such path");
    let rest = path.strip_prefix("/admin/v1/").ok_or_else(not_found)?;
    let segments: Vec<&str> = rest.split('/').collect();
    match (method, segments.as_slice()) {
        ("GET", ["status"]) => Ok(AdminOperation::Status),
        ("POST", ["keys"]) => Ok(AdminOperation::IssueKey),
        ("POST", ["instances", name, "forget"]) => {
            Ok(AdminOperation::ForgetInstance(validate_name(name)?))
        }
        (_, ["status"] | ["instances", _, "forget"]) => Err(method_not_allowed()),
        (method, [kind]) => match (method, resource(kind)) {
            ("GET", Some(resource)) => Ok(AdminOperation::List(resource)),
            (_, Some(_)) => Err(method_not_allowed()),
            (_, None) => Err(not_found()),
        },
        (method, [kind, name]) => {
            let resource = resource(kind).ok_or_else(not_found)?;
            record_operation(method, resource, validate_name(name)?)
        }
        _ => Err(not_found()),
    }
}

fn record_operation(
    method: &str,
    resource: AdminResource,
    name: String,
) -> Result<AdminOperation, AdminError> {
    match method {
        "GET" => Ok(AdminOperation::Get(resource, name)),
        "PUT" => Ok(AdminOperation::Put(resource, name)),
        "DELETE" => Ok(AdminOperation::Delete(resource, name)),
        _ => Err(method_not_allowed()),
    }
}

/// Maps the path segment of a record kind.
fn resource(kind: &str) -> Option<AdminResource> {
    match kind {
        "customers" => Some(AdminResource::Customers),
        "endpoints" => Some(AdminResource::Endpoints),
        "keys" => Some(AdminResource::Keys),
        "profiles" => Some(AdminResource::Profiles),
        "routes" => Some(AdminResource::Routes),
        _ => None,
    }
}

/// Restricts the characters of a name, because it becomes part of store keys, metric labels
/// and log lines.
fn validate_name(name: &str) -> Result<String, AdminError> {
    let in_alphabet =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let well_formed = (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(in_alphabet)
        && !name.starts_with('.');
    match well_formed {
        true => Ok(name.to_string()),
        false => Err(AdminError::new(
            AdminErrorKind::Invalid,
            "a name has 1 to 128 letters, digits, '-', '_' or '.', and no '.' first",
        )),
    }
}

/// Reads the expected version from the values of `If-Match` and `If-None-Match`. Returns
/// `None` if neither header is present.
pub(crate) fn expected_version(
    if_match: Option<&str>,
    if_none_match: Option<&str>,
) -> Result<Option<ExpectedVersion>, AdminError> {
    match (if_match, if_none_match) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(ExpectedVersion::Absent)),
        (Some(tag), None) => parse_version(tag)
            .map(|version| Some(ExpectedVersion::Is(version)))
            .ok_or_else(|| invalid_condition("if-match is not one version in quotes")),
        _ => Err(invalid_condition("expected if-match or if-none-match: *")),
    }
}

/// Parses a version in quotes. Only digits are accepted, because `parse` also accepts a sign.
fn parse_version(tag: &str) -> Option<u64> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    match digits.bytes().all(|byte| byte.is_ascii_digit()) {
        true => digits.parse().ok(),
        false => None,
    }
}

fn invalid_condition(message: &str) -> AdminError {
    AdminError::new(AdminErrorKind::Invalid, message)
}

fn method_not_allowed() -> AdminError {
    let message = "the path does not support the method";
    AdminError::new(AdminErrorKind::MethodNotAllowed, message)
}
