//! Validates the path and query of a request.

use hyper::{Method, Uri};
use jayreel_model::{Refusal, RefusalReason};

/// Maximum length of path and query in bytes.
const MAX_PATH_BYTES: usize = 8 * 1024;

/// Returns path and query if they are safe to forward to an endpoint.
///
/// Routes are matched by path prefix, and open routes need no key. A path with dot segments,
/// plain or percent-encoded, is refused, because the endpoint could resolve it to a path
/// that another route protects.
pub(crate) fn validate<'a>(
    method: &Method,
    uri: &'a Uri,
    key: Option<&str>,
) -> Result<&'a str, Refusal> {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    if *method == Method::CONNECT || *method == Method::TRACE {
        return Err(invalid("the method is not supported"));
    }
    if target.len() > MAX_PATH_BYTES {
        return Err(invalid("the path is too long"));
    }
    if !uri.path().starts_with('/') {
        return Err(invalid("the path does not start with /"));
    }
    if has_dot_segment(uri.path()) {
        return Err(invalid("the path has a dot segment"));
    }
    match key {
        Some(key) if target.contains(key) => Err(invalid("the path holds the key")),
        _ => Ok(target),
    }
}

/// Whether a segment is `.` or `..` after decoding. Also splits at `\` and `;`, which some
/// servers treat as separators.
fn has_dot_segment(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/");
    decoded
        .split(['/', '\\', ';'])
        .any(|segment| segment == "." || segment == "..")
}

fn invalid(message: &str) -> Refusal {
    Refusal::not_run(RefusalReason::InvalidRequest, message)
}
