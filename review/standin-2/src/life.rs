//! One life of an executor, and the runs that it has.
//!
//! A unit's `spec` tells how long it works and how many of its first runs fail by their own fault:
//! `work=MS` or `work=MS;fails=COUNT`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::Value;
use serde_json::json;

/// Longest time between a stop and the end of the run.
pub const STOP_TIMEOUT_MS: u64 = 200;
/// Longest time that a member of a gang waits for the others.
pub const GANG_TIMEOUT_MS: u64 = 3_000;
/// Time that a stop takes.
pub(crate) const STOP_MS: u64 = 100;
/// Longest lease.
pub(crate) const HOLD_MAX_MS: u64 = 10_000;
/// Most ends in one response.
pub(crate) const ENDS_MAX: usize = 500;
/// Time from the start of a run that fails to its end.
pub(crate) const FAIL_AFTER_MS: u64 = 300;

/// A run that is at work, or waits for the rest of its gang.
pub(crate) struct Run {
    pub(crate) unit: String,
    pub(crate) run: u64,
    pub(crate) work_ms: u64,
    pub(crate) started_at: Instant,
    /// When it began to work; a gang begins when all of its members are there.
    pub(crate) begun_at: Option<Instant>,
    /// When it fails, if it does.
    pub(crate) fails_at: Option<Instant>,
    pub(crate) stops_at: Option<Instant>,
    pub(crate) gang: Option<Gang>,
}

/// The gang of a run.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Gang {
    /// Job, occurrence and step, and the number that the members' runs share.
    pub(crate) name: (String, u64),
    pub(crate) count: usize,
}

pub(crate) struct End {
    pub(crate) number: u64,
    pub(crate) unit: String,
    pub(crate) run: u64,
    pub(crate) how: &'static str,
    pub(crate) at: Instant,
}

/// One life of an executor.
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) machine: String,
    pub(crate) address: SocketAddr,
    pub(crate) started_at: Instant,
    pub(crate) born_ms: u64,
    pub(crate) token: u64,
    pub(crate) lease_until_ms: u64,
    pub(crate) running: Vec<Run>,
    pub(crate) ends: Vec<End>,
    pub(crate) last_end: u64,
    /// Highest run of each unit that was started, stopped or has ended here.
    pub(crate) highest_run: BTreeMap<String, u64>,
    /// Everything that it runs fails.
    pub(crate) is_unhealthy: bool,
    /// It has lost its power and answers nothing.
    pub(crate) is_dark: bool,
    /// When its lease last lapsed.
    pub(crate) lapsed_at: Option<Instant>,
    pub(crate) sequence: u64,
}

impl Worker {
    pub(crate) fn new(index: usize, address: SocketAddr) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id: format!("i-{index:04}"),
            machine: format!("m-{index:04}"),
            address,
            started_at: Instant::now(),
            born_ms: unix.as_millis() as u64,
            token: 0,
            lease_until_ms: 0,
            running: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            highest_run: BTreeMap::new(),
            is_unhealthy: false,
            is_dark: false,
            lapsed_at: None,
            sequence: 0,
        }
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(crate) fn runs_of<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Run> {
        self.running.iter().filter(move |run| run.unit.split('.').next() == Some(job))
    }

    pub(crate) fn extend_lease(&mut self, deadline_ms: u64) {
        let until_ms = deadline_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    pub(crate) fn is_fenced(&mut self, body: &Value) -> bool {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let is_fenced = token < self.token;
        self.token = self.token.max(token);
        is_fenced
    }

    pub(crate) fn accept(&self) -> Response {
        Json(json!({ "clockMs": self.clock_ms(), "born": self.born_ms })).into_response()
    }

    pub(crate) fn refuse(&self, reason: &str) -> Response {
        let body = json!({ "clockMs": self.clock_ms(), "born": self.born_ms, "reason": reason });
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    pub(crate) fn report(&self) -> Value {
        let running = self.running.iter().map(|run| {
            let begun = run.begun_at.map_or(0, |at| at.elapsed().as_millis() as u64);
            let percent = (begun * 100 / run.work_ms.max(1)).min(99);
            json!([run.unit, run.run, "", percent])
        });
        let ends = self.ends.iter().take(ENDS_MAX);
        let ends = ends.map(|end| json!([end.number, end.unit, end.run, end.how, ""]));
        json!({
            "clockMs": self.clock_ms(), "born": self.born_ms,
            "running": running.collect::<Vec<Value>>(),
            "endedRuns": ends.collect::<Vec<Value>>(),
        })
    }
}

impl Run {
    /// Returns how the run ends now, if it does.
    pub(crate) fn end(&self, now: Instant) -> Option<&'static str> {
        let work = Duration::from_millis(self.work_ms);
        let waits_too_long = self.gang.is_some()
            && self.begun_at.is_none()
            && now.duration_since(self.started_at) > Duration::from_millis(GANG_TIMEOUT_MS);
        match () {
            () if self.fails_at.is_some_and(|at| at <= now) => Some("failed"),
            () if self.begun_at.is_some_and(|at| at + work <= now) => Some("done"),
            () if self.stops_at.is_some_and(|at| at <= now) => Some("stopped"),
            () if waits_too_long => Some("alone"),
            () => None,
        }
    }
}

/// Returns the number after `name=` in a spec.
pub(crate) fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let part = spec.split(';').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    part.and_then(|number| number.parse().ok())
}

pub(crate) fn is_other_boot(worker: &Worker, headers: &HeaderMap) -> bool {
    let expected = headers.get("expected-instance").and_then(|id| id.to_str().ok());
    expected.is_some_and(|expected| expected != worker.id)
}
