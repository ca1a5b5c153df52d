//! The calls that executors answer.

use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use serde_json::Value;

use crate::life::FAIL_AFTER_MS;
use crate::life::Gang;
use crate::life::Run;
use crate::life::STOP_MS;
use crate::life::is_other_boot;
use crate::life::spec_number;
use crate::worker::TICK;
use crate::worker::Workers;
use crate::worker::World;

/// An executor, by its index.
#[derive(Clone)]
struct Handle {
    workers: Workers,
    index: usize,
}

impl Handle {
    /// Waits for ever if the executor answers nothing.
    async fn wait_if_dark(&self) {
        if self.workers.is_dark(self.index) {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns the routes of an executor.
pub fn router(workers: Workers, index: usize) -> Router {
    Router::new()
        .route("/v1/hold", post(hold))
        .route("/v1/run-start", post(start))
        .route("/v1/run-stop", post(stop))
        .route("/v1/pace", post(pace))
        .with_state(Handle { workers, index })
}

async fn hold(
    State(handle): State<Handle>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    handle.wait_if_dark().await;
    let wait_ms = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let ends_before = {
        let mut world = handle.workers.world.lock().unwrap();
        let World { workers, units, .. } = &mut *world;
        let worker = &mut workers[handle.index];
        if is_other_boot(worker, &headers) {
            return StatusCode::MISDIRECTED_REQUEST.into_response();
        }
        if worker.is_fenced(&body) {
            return worker.refuse("fence");
        }
        if let Some(deadline_ms) = body["deadlineMs"].as_u64() {
            worker.extend_lease(deadline_ms);
        }
        let cursor = body["ackCursor"].as_u64().unwrap_or(0);
        let lapsed_at = worker.lapsed_at;
        for end in worker.ends.extract_if(.., |end| end.number <= cursor) {
            let has_lapsed = lapsed_at.is_some_and(|at| at >= end.at);
            let done = units.get_mut(&end.unit).map(|history| history.done.iter_mut());
            let is_it = |done: &&mut (usize, u64, Instant, bool)| {
                done.0 == handle.index && done.1 == end.number
            };
            if let Some(done) = done.into_iter().flatten().find(is_it) {
                done.3 = !has_lapsed;
            }
        }
        worker.last_end
    };
    loop {
        handle.wait_if_dark().await;
        {
            let world = handle.workers.world.lock().unwrap();
            let worker = &world.workers[handle.index];
            let has_ends = !worker.ends.is_empty() || worker.last_end > ends_before;
            if has_ends || Instant::now() >= until {
                return Json(worker.report()).into_response();
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

async fn start(
    State(handle): State<Handle>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    handle.wait_if_dark().await;
    let mut world = handle.workers.world.lock().unwrap();
    let unit = body["task"].as_str().unwrap_or_default().to_owned();
    let number = body["run"].as_u64().unwrap_or(0);
    let spec = body["spec"].as_str().unwrap_or_default();
    let deadline_ms = body["deadlineMs"].as_u64().unwrap_or(0);
    let worker = &mut world.workers[handle.index];
    if is_other_boot(worker, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    if worker.is_fenced(&body) {
        return worker.refuse("fence");
    }
    if worker.clock_ms() > deadline_ms {
        return worker.refuse("late");
    }
    worker.extend_lease(deadline_ms);
    if worker.running.iter().any(|run| run.unit == unit && run.run == number) {
        return worker.accept();
    }
    if worker.highest_run.get(&unit).is_some_and(|highest| number <= *highest) {
        return worker.refuse("old");
    }
    world.record_start(handle.index, &unit, number);
    let mut parts = unit.split('.');
    let job = parts.next().unwrap_or_default().to_owned();
    let occurrence = parts.next().unwrap_or_default().to_owned();
    let step = parts.next().unwrap_or_default().to_owned();
    let shape = world.jobs.get(&job).and_then(|steps| steps.get(step.parse::<usize>().ok()?));
    let gang = shape.filter(|shape| shape.is_gang).map(|shape| Gang {
        name: (format!("{job}.{occurrence}.{step}"), number),
        count: shape.count,
    });
    let failed = world.units.get(&unit).map_or(0, |history| history.failed);
    let fails_by_itself = spec_number(spec, "fails").is_some_and(|count| failed < count);
    let worker = &mut world.workers[handle.index];
    let now = Instant::now();
    let fails = fails_by_itself || worker.is_unhealthy;
    worker.highest_run.insert(unit.clone(), number);
    worker.running.push(Run {
        unit,
        run: number,
        work_ms: spec_number(spec, "work").unwrap_or(500),
        started_at: now,
        begun_at: gang.is_none().then_some(now),
        fails_at: fails.then(|| now + Duration::from_millis(FAIL_AFTER_MS)),
        stops_at: None,
        gang,
    });
    worker.accept()
}

async fn stop(
    State(handle): State<Handle>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    handle.wait_if_dark().await;
    let mut world = handle.workers.world.lock().unwrap();
    let worker = &mut world.workers[handle.index];
    if is_other_boot(worker, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    if worker.is_fenced(&body) {
        return worker.refuse("fence");
    }
    let unit = body["task"].as_str().unwrap_or_default();
    let number = body["run"].as_u64().unwrap_or(0);
    let highest = worker.highest_run.entry(unit.to_owned()).or_default();
    *highest = (*highest).max(number);
    let stops_at = Instant::now() + Duration::from_millis(STOP_MS);
    for run in worker.running.iter_mut().filter(|run| run.unit == unit && run.run <= number) {
        crate::record::line(&format!("{}: {unit} run {} is told to stop", worker.id, run.run));
        run.stops_at.get_or_insert(stops_at);
    }
    worker.accept()
}

async fn pace(State(handle): State<Handle>, Json(body): Json<Value>) -> Response {
    handle.wait_if_dark().await;
    let mut world = handle.workers.world.lock().unwrap();
    let worker = &mut world.workers[handle.index];
    if worker.is_fenced(&body) { worker.refuse("fence") } else { worker.accept() }
}
