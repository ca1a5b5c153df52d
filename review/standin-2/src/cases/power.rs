//! Nodes and one of nine executors lose their power at the same moment, five times, and come back. The
//! rule: a job is `failed` only once a work unit has ended `failed` often enough.

use serde_json::json;

use super::CORES_16;
use super::job_id;
use super::shows;
use super::sleep_ms;
use crate::Verdict;
use crate::site::Queue;
use crate::site::Site;

const QUEUE: Queue = Queue { name: "queue-a", path_prefix: "/queue-a/", attempts: 3 };
const EXECUTORS: usize = 9;
const POWER_LOSSES: usize = 5;
/// Time for which the work unit has run when the power is lost.
const RUN_MS: u64 = 4_000;
/// Time until the executor is back; the nodes are back at once.
const EXECUTOR_DARK_MS: u64 = 4_000;

pub async fn play(has_trouble: bool) -> Result<Verdict, String> {
    let mut site = Site::start(EXECUTORS, CORES_16, &[QUEUE]).await?;
    let job = job_id(1);
    let steps = json!([{ "count": 1, "cpu": 1000, "memMb": 500, "estimateMs": 30_000 }]);
    if !site.submit(QUEUE, &job, "work=30000", &steps).await {
        return Err("the job was not accepted".to_owned());
    }
    for _ in 0..POWER_LOSSES {
        let Some(executor) = executor_of(&site, &job).await else {
            break;
        };
        sleep_ms(RUN_MS).await;
        if !has_trouble {
            sleep_ms(EXECUTOR_DARK_MS).await;
            continue;
        }
        site.workers.lose_power(executor);
        for node in &mut site.nodes {
            node.kill_and_start().map_err(|error| error.to_string())?;
        }
        sleep_ms(EXECUTOR_DARK_MS).await;
        site.workers.start_again(executor);
        site.register();
    }
    sleep_ms(14_000).await;
    let state = site.state(QUEUE, &job).await;
    let (starts, failed) = site.workers.starts_and_failures(&format!("{job}.0.0.0"));
    crate::record::line(&format!("{starts} starts, {failed} ends `failed`"));
    let attempts = u64::from(QUEUE.attempts);
    Ok(match shows(&state, "failed") && failed < attempts {
        true => Verdict::Broken(format!(
            "LOST, {job} is shown as failed after {failed} ends `failed`, with {attempts} attempts"
        )),
        false => Verdict::Held,
    })
}

/// Waits until an executor runs the job; returns none if that takes too long.
async fn executor_of(site: &Site, job: &str) -> Option<usize> {
    for _ in 0..200 {
        if let Some(executor) = site.workers.executor_of(job) {
            return Some(executor);
        }
        sleep_ms(50).await;
    }
    None
}
