//! One job in twenty can never be done, in four short spells. The rule, from 14 s after the end of the
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
/// Jobs of a spell that can be done, and jobs that can't.
const SOUND_JOBS: u64 = 38;
const HOPELESS_JOBS: u64 = 2;
/// Time from each spell to the next one.
const PAUSES_MS: [u64; 4] = [6_000, 10_000, 18_000, 700];
/// Time from the end of the traffic until jobs are asked for.
const FINISH_MS: u64 = 14_000;
/// Longest time for which a job may have nothing running.
const IDLE_MAX: Duration = Duration::from_secs(3);

pub async fn play(has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(EXECUTORS, CORES_16, &[QUEUE]).await?;
    let one_unit = json!([{ "count": 1, "cpu": 1000, "memMb": 500, "estimateMs": 200 }]);
    // One unit on each executor.
    let wide = json!([{
        "count": EXECUTORS, "cpu": 1000, "memMb": 500, "estimateMs": 500, "antiAffinity": 1,
    }]);
    let hopeless_spec = if has_trouble { "work=500;fails=1000" } else { "work=500" };
    let mut submitted = 0;
    for pause_ms in PAUSES_MS {
        for _ in 0..SOUND_JOBS {
            submit(&site, &mut submitted, "work=200", &one_unit).await?;
            sleep_ms(50).await;
        }
        sleep_ms(500).await;
        for _ in 0..HOPELESS_JOBS {
            submit(&site, &mut submitted, hopeless_spec, &wide).await?;
        }
        sleep_ms(pause_ms).await;
    }
    let last = submit(&site, &mut submitted, "work=2000", &one_unit).await?;
    crate::record::line("the traffic ends");
    sleep_ms(FINISH_MS).await;
    let watched_from = Instant::now();
    while watched_from.elapsed() <= IDLE_MAX {
        let (starts, _) = site.workers.starts_and_failures(&format!("{last}.0.0.0"));
        if starts > 0 {
            return Ok(Verdict::Held);
        }
        sleep_ms(20).await;
    }
    let running = site.workers.running_in_all();
    let state = site.state(QUEUE, &last).await;
    Ok(Verdict::Broken(format!(
        "LOST, {last} ({} {}) has had nothing running for 3 s, 14 s after the end of the traffic, while \
         {running} units run on {EXECUTORS} executors",
        state.status, state.body
    )))
}

/// Submits the next job and returns its id.
async fn submit(
    site: &Site,
    submitted: &mut u64,
    spec: &str,
    steps: &serde_json::Value,
) -> Result<String, String> {
    let id = job_id(*submitted);
    *submitted += 1;
    match site.submit(QUEUE, &id, spec, steps).await {
        true => Ok(id),
        false => Err("a job was not accepted".to_owned()),
    }
}
