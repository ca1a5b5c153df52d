//! The config drops the routes of queues with accepted jobs, and adds them again some seconds later.
//! The rule: a job is `failed` only once a work unit has failed `attempts` times, and no work unit
//! starts after that.

use serde_json::json;

use super::CORES_16;
use super::job_id;
use super::shows;
use super::sleep_ms;
use crate::Verdict;
use crate::site::Queue;
use crate::site::Site;

/// Its units' first three runs fail, and the fourth would succeed.
const PATIENT: Queue = Queue { name: "queue-a", path_prefix: "/queue-a/", attempts: 4 };
const OTHER: Queue = Queue { name: "queue-b", path_prefix: "/queue-b/", attempts: 3 };
const EXECUTORS: usize = 9;
const JOBS: u64 = 5;

pub async fn play(has_trouble: bool) -> Result<Verdict, String> {
    let mut site = Site::start(EXECUTORS, CORES_16, &[PATIENT, OTHER]).await?;
    let steps = json!([{ "count": 1, "cpu": 1000, "memMb": 500, "estimateMs": 1000 }]);
    for number in 0..JOBS {
        if !site.submit(PATIENT, &job_id(number), "work=1000;fails=3", &steps).await {
            return Err("a job was not accepted".to_owned());
        }
    }
    if has_trouble {
        site.put_config(&[OTHER]);
    }
    sleep_ms(6_000).await;
    if has_trouble {
        site.put_config(&[PATIENT, OTHER]);
    }
    sleep_ms(14_000).await;
    let mut lost = Vec::new();
    for number in 0..JOBS {
        let job = job_id(number);
        let state = site.state(PATIENT, &job).await;
        let (starts, failed) = site.workers.starts_and_failures(&format!("{job}.0.0.0"));
        crate::record::line(&format!("{job}: {starts} starts, {failed} ends `failed`"));
        if shows(&state, "failed") && failed < u64::from(PATIENT.attempts) {
            lost.push(format!("{job} is shown as failed after {failed} failures"));
        }
    }
    Ok(match lost.first() {
        Some(first) => {
            let attempts = PATIENT.attempts;
            Verdict::Broken(format!(
                "LOST, {} jobs with {attempts} attempts, first {first}",
                lost.len()
            ))
        }
        None => Verdict::Held,
    })
}
