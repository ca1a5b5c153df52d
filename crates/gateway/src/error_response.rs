//! Answers that the gateway gives itself, as JSON problem details.

use std::time::Duration;

use axum::body::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use model::Outcome;
use model::RequestId;
use serde::Serialize;

use crate::header::OUTCOME;
use crate::header::REQUEST_ID;

/// Problem details of RFC 9457, with the outcome and the request id.
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    request_id: &'a str,
}

/// A request that ends without a backend server's answer.
pub struct GatewayError {
    /// HTTP status.
    pub status: StatusCode,
    /// What may have run.
    pub outcome: Outcome,
    /// Why, in a sentence for the caller.
    pub detail: String,
    /// When the caller may try again.
    pub retry_after: Option<Duration>,
}

impl GatewayError {
    /// Nothing has run, and asking again as it is does not help.
    pub fn not_run(status: StatusCode, detail: impl ToString) -> Self {
        Self { status, outcome: Outcome::NotRun, detail: detail.to_string(), retry_after: None }
    }

    /// Nothing has run, and the caller may ask again after `retry_after`.
    pub fn retry(status: StatusCode, detail: impl ToString, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..Self::not_run(status, detail) }
    }

    /// The request may have run.
    pub fn unknown(status: StatusCode, detail: impl ToString) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(status, detail) }
    }

    /// The HTTP answer.
    pub fn into_response(self, request_id: &RequestId) -> Response<Body> {
        let problem = Problem {
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            request_id,
        };
        let body = serde_json::to_vec(&problem).expect("problem details are plain");
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(wait) = self.retry_after {
            let wait_s = wait.as_secs().max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(wait_s));
        }
        set_outcome_headers(&mut response, self.outcome, request_id);
        response
    }
}

/// Sets the outcome and the request id of an answer.
pub fn set_outcome_headers(
    response: &mut Response<Body>,
    outcome: Outcome,
    request_id: &RequestId,
) {
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, value);
    }
}
