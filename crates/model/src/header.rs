//! HTTP header rules that apply to requests from callers and to responses from endpoints.

/// Whether a header is hop-by-hop: it applies to a single connection and must not be
/// forwarded. `name` must be in lower case.
pub fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
