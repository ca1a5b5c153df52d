//! HTTP headers that the gateway reads and sets, and the removal of hop-by-hop headers.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

/// Outcome of a request: complete, not run, or unknown.
pub const OUTCOME: HeaderName = HeaderName::from_static("savorypitch-outcome");
/// ID of a request. Given by the gateway, and sent to the backend server and the caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("savorypitch-request-id");
/// Time that remains until the caller stops waiting, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("savorypitch-deadline-ms");
/// Node and incarnation that dispatched a request. Sent to the backend server.
pub const DISPATCHER: HeaderName = HeaderName::from_static("savorypitch-dispatcher");
/// Team that the request counts against. Sent to the backend server.
pub const TEAM: HeaderName = HeaderName::from_static("savorypitch-team");

/// Marks a request that another node has forwarded, by a keyed hash that callers cannot forge.
pub const FORWARDED: HeaderName = HeaderName::from_static("savorypitch-forwarded");
/// Class of a request: an `urgent` one takes precedence over others, in a limited part of the
/// starts.
pub const CLASS: HeaderName = HeaderName::from_static("savorypitch-class");
/// Idempotency key: requests with the same key run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns the secret of an `Authorization: Bearer` header.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    bearer_value(headers.get(header::AUTHORIZATION)?)
}

/// Returns the secret of an `Authorization` header value with the scheme `Bearer`.
pub fn bearer_value(value: &HeaderValue) -> Option<&str> {
    let (scheme, secret) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim())
}

/// Returns the time that remains for the request, if the caller states it. The error is the header
/// value that is not a number of milliseconds.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, String> {
    let Some(value) = headers.get(DEADLINE_MS) else {
        return Ok(None);
    };
    let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
    match text.parse() {
        Ok(wait_ms) => Ok(Some(Duration::from_millis(wait_ms))),
        Err(_) => Err(text),
    }
}
