//! Two of 42 jobs take ten times as long as estimated. The rule, from 14 s after the end of the
//! traffic: no job has nothing running for 3 s, while its work units' turn has come and the service
//! has room.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use super::CORES_16;
use super::job_id;
use super::sleep_ms;
use crate::Verdict;
use crate::site::Queue;
use crate::site::Site;

const QUEUE: Queue = Queue { name: "queue-a", path_prefix: "/queue-a/", attempts: 3 };
const EXECUTORS: usize = 9;
const SHORT_JOBS: u64 = 40;
const LONG_JOBS: u64 = 2;
const ESTIMATE_MS: u64 = 60_000;
/// How many times as long the two jobs take.
const FACTOR: u64 = 10;
/// Time from the end of the traffic until jobs are asked for.
const FINISH_MS: u64 = 14_000;
/// Time for which jobs are watched then.
const WATCHED_MS: u64 = 45_000;
/// Longest time for which a job may have nothing running.
const IDLE_MAX: Duration = Duration::from_secs(3);

pub async fn play(has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(EXECUTORS, CORES_16, &[QUEUE]).await?;
    let short = json!([{ "count": 4, "cpu": 1000, "memMb": 500, "estimateMs": 400 }]);
    for number in 0..SHORT_JOBS {
        if !site.submit(QUEUE, &job_id(number), "work=400", &short).await {
            return Err("a short job was not accepted".to_owned());
        }
        sleep_ms(150).await;
    }
    let work_ms = if has_trouble { FACTOR * ESTIMATE_MS } else { ESTIMATE_MS };
    // One unit on each executor.
    let long = json!([{
        "count": EXECUTORS, "cpu": 2000, "memMb": 1000, "estimateMs": ESTIMATE_MS,
        "antiAffinity": 1,
    }]);
    let long_jobs: Vec<String> = (0..LONG_JOBS).map(|number| job_id(SHORT_JOBS + number)).collect();
    for job in &long_jobs {
        if !site.submit(QUEUE, job, &format!("work={work_ms}"), &long).await {
            return Err("a long job was not accepted".to_owned());
        }
    }
    crate::record::line("the traffic ends");
    sleep_ms(FINISH_MS).await;
    let watched_from = Instant::now();
    let mut idle_since = vec![None; long_jobs.len()];
    while watched_from.elapsed() < Duration::from_millis(WATCHED_MS) {
        for (job, since) in long_jobs.iter().zip(&mut idle_since) {
            // Without the disruption, the units are done after their 60 s.
            let is_done =
                site.workers.units_done() as u64 == SHORT_JOBS * 4 + LONG_JOBS * EXECUTORS as u64;
            if site.workers.running(job) > 0 || is_done {
                *since = None;
                continue;
            }
            let since = *since.get_or_insert_with(Instant::now);
            if since.elapsed() > IDLE_MAX {
                let running = site.workers.running_in_all();
                let state = site.state(QUEUE, job).await;
                let (starts, _) = site.workers.starts_and_failures(&format!("{job}.0.0.0"));
                return Ok(Verdict::Broken(format!(
                    "LOST, {job} ({} {}) has had nothing running for 3 s, while {running} units run \
                     on {EXECUTORS} executors; its first unit was started {starts} times",
                    state.status, state.body
                )));
            }
        }
        sleep_ms(20).await;
    }
    for job in &long_jobs {
        site.state(QUEUE, job).await;
    }
    Ok(Verdict::Held)
}
