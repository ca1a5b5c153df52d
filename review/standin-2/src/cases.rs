//! The cases.

mod ends;
mod gang;
mod long;
mod poison;
mod power;
mod route;

use std::time::Duration;

use crate::Verdict;
use crate::client::Reply;
use crate::worker::Capacity;

/// Executors like those of the sites with 16 cores.
const CORES_16: Capacity = Capacity { cpu: 16_000, mem_mb: 32_768 };
/// Executors like those of the site with 64 cores.
const CORES_64: Capacity = Capacity { cpu: 64_000, mem_mb: 262_144 };

/// Plays a case.
pub async fn play(case: &str, has_trouble: bool) -> Verdict {
    let played = match case {
        "ends" => ends::play(has_trouble).await,
        "gang" => gang::play(has_trouble).await,
        "long" => long::play(has_trouble).await,
        "poison" => poison::play(has_trouble).await,
        "power" => power::play(has_trouble).await,
        "route" => route::play(has_trouble).await,
        _ => Err(format!("there is no case `{case}`")),
    };
    played.unwrap_or_else(Verdict::CouldNotRun)
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Returns the id of a job by its number.
fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)
}

fn shows(reply: &Reply, state: &str) -> bool {
    reply.status == 200 && reply.body.contains(&format!("\"{state}\""))
}
