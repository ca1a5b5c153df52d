//! More than 500 work units of one executor end while the store is down. The executor lists 500
//! ends at a time. The rule: no work unit is started after it has ended `done`.

use serde_json::json;

use super::CORES_64;
use super::job_id;
use super::shows;
use super::sleep_ms;
use crate::Verdict;
use crate::site::Queue;
use crate::site::Site;

const QUEUE: Queue = Queue { name: "queue-a", path_prefix: "/queue-a/", attempts: 3 };
const EXECUTORS: usize = 3;
const JOBS: u64 = 32;
const UNITS: u64 = 20;
/// Time for which the store is down.
const STORE_DOWN_MS: u64 = 4_000;

pub async fn play(has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start(EXECUTORS, CORES_64, &[QUEUE]).await?;
    let steps = json!([{ "count": UNITS, "cpu": 95, "memMb": 300, "estimateMs": 3000 }]);
    for number in 0..JOBS {
        // The units of the jobs end one after another, some 20 each 40 ms.
        let spec = format!("work={}", 2_500 + 40 * number);
        if !site.submit(QUEUE, &job_id(number), &spec, &steps).await {
            return Err("a job was not accepted".to_owned());
        }
    }
    let units = (JOBS * UNITS) as usize;
    for _ in 0..100 {
        if site.workers.running_in_all() == units {
            break;
        }
        sleep_ms(10).await;
    }
    crate::record::line(&format!("{} units are running", site.workers.running_in_all()));
    if has_trouble {
        site.store.set_down(true);
        sleep_ms(STORE_DOWN_MS).await;
        let pending = site.workers.ends_pending_max();
        crate::record::line(&format!("ends of one executor not taken note of: {pending}"));
        site.store.set_down(false);
    }
    sleep_ms(20_000).await;
    let mut completed = 0;
    for number in 0..JOBS {
        completed += u64::from(shows(&site.state(QUEUE, &job_id(number)).await, "completed"));
    }
    crate::record::line(&format!("{completed} of {JOBS} jobs are completed"));
    let twice = site.workers.twice();
    Ok(match twice.first() {
        Some(first) => Verdict::Broken(format!("TWICE, {} units, first {first}", twice.len())),
        None => Verdict::Held,
    })
}
