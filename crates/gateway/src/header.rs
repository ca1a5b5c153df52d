//! Headers of the caller interface, and headers that end at each hop.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

/// Outcome of a request.
pub const OUTCOME: HeaderName = HeaderName::from_static("savorypitch-outcome");
/// Id of a request; given by the gateway and sent to the backend server.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("savorypitch-request-id");
/// Time that the caller still waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("savorypitch-deadline-ms");
/// Node and incarnation that dispatched a request; sent to the backend server.
pub const DISPATCHER: HeaderName = HeaderName::from_static("savorypitch-dispatcher");
/// Team that the work counts for; sent to the backend server.
pub const TEAM: HeaderName = HeaderName::from_static("savorypitch-team");

/// Marks a request that another node sends on, with a keyed hash that no caller can make.
pub const FORWARDED: HeaderName = HeaderName::from_static("savorypitch-forwarded");
/// Class of a request: `urgent` goes before others, within bounds.
pub const CLASS: HeaderName = HeaderName::from_static("savorypitch-class");
/// Key under which a request runs once at most.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern one connection only.
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

/// Removes hop-by-hop headers, also those that `Connection` names.
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

/// Secret of `Authorization: Bearer`.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    bearer_value(headers.get(header::AUTHORIZATION)?)
}

/// Secret of one `Authorization` value.
pub fn bearer_value(value: &HeaderValue) -> Option<&str> {
    let (scheme, secret) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim())
}

/// Time that the caller still waits; `Err` with the text that is not a count of milliseconds.
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
