//! Rate limiters that tell whether a job is within the rate share of its team.
//!
//! They protect the other teams when one team submits many times its usual number of jobs. Each
//! team may submit as many jobs per second as its rate share. Jobs beyond that wait until the jobs
//! within the rate shares are placed, so that the other teams are served as usual.

use crate::Moment;
use crate::TeamName;
use crate::sorted_map::SortedMap;

/// Number of jobs that a team may submit at once, in seconds of its rate share.
const BURST_S: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Moment,
}

/// Token bucket of each team.
#[derive(Clone, Debug, Default)]
pub struct RateShares {
    buckets: SortedMap<TeamName, TokenBucket>,
}

impl RateShares {
    /// Counts a job of a team with a rate share of `rate_share` jobs per second. Returns true if
    /// the job is within the rate share; a rate share of 0 is no limit.
    pub fn try_take(&mut self, team: &TeamName, rate_share: f64, now: Moment) -> bool {
        if rate_share <= 0.0 {
            return true;
        }
        // A rate share below one job per second still accumulates to whole jobs.
        let tokens_max = (rate_share * BURST_S).max(1.0);
        let new_bucket = TokenBucket { tokens: tokens_max, refilled_at: now };
        let bucket = self.buckets.entry_or(team.clone(), || new_bucket);
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate_share).min(tokens_max);
        bucket.refilled_at = now;
        let is_within = bucket.tokens >= 1.0;
        if is_within {
            bucket.tokens -= 1.0;
        }
        is_within
    }
}
