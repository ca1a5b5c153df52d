//! A gang runs on an executor that becomes unhealthy and fails everything that it runs, as one of ten
//! executors does for some seconds. The rule: a job is `failed` only once its gang has failed
//! `attempts` times.

use serde_json::json;

use super::CORES_16;
use super::job_id;
use super::shows;
use super::sleep_ms;
use crate::Verdict;
use crate::site::Queue;
use crate::site::Site;

const QUEUE: Queue = Queue { name: "queue-a", path_prefix: "/queue-a/", attempts: 3 };
const EXECUTORS: usize = 10;
const UNITS: u64 = 4;
/// Time for which the executor is unhealthy.
const UNHEALTHY_MS: u64 = 5_500;

pub async fn play(has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(EXECUTORS, CORES_16, &[QUEUE]).await?;
    let job = job_id(1);
    let steps = json!([{
        "count": UNITS, "cpu": 2000, "memMb": 500, "estimateMs": 3000, "gang": true,
    }]);
    if !site.submit(QUEUE, &job, "work=3000", &steps).await {
        return Err("the job was not accepted".to_owned());
    }
    sleep_ms(1_000).await;
    let executor = site.workers.executor_of(&job).ok_or("the gang doesn't run")?;
    if has_trouble {
        site.workers.set_unhealthy(executor, true);
    }
    sleep_ms(UNHEALTHY_MS).await;
    if has_trouble {
        site.workers.set_unhealthy(executor, false);
    }
    sleep_ms(14_000).await;
    let state = site.state(QUEUE, &job).await;
    let units = (0..UNITS).map(|index| format!("{job}.0.0.{index}"));
    let counts: Vec<(u64, u64)> =
        units.map(|unit| site.workers.starts_and_failures(&unit)).collect();
    crate::record::line(&format!("starts and ends `failed` of each unit: {counts:?}"));
    // The members of a gang share the numbers of their runs.
    let runs = counts.iter().map(|(starts, _)| *starts).max().unwrap_or(0);
    let attempts = u64::from(QUEUE.attempts);
    Ok(match shows(&state, "failed") && runs < attempts {
        true => Verdict::Broken(format!(
            "LOST, {job} is shown as failed after {runs} run of its gang, with {attempts} attempts"
        )),
        false => Verdict::Held,
    })
}
