//! Which jobs a team sends within its share.
//!
//! The pattern that this answers: one team sends many times its usual. Each team may send as many jobs a
//! second as its weight; what it sends beyond that waits until the jobs within the shares are placed, so
//! that the other teams are served as on other days.

use crate::Moment;
use crate::TeamName;
use crate::sorted::SortedMap;

/// Jobs that a team may send beyond its rate at once, in seconds of the rate.
const BURST_S: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    left: f64,
    filled_at: Moment,
}

/// What is left of the shares of the teams.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    buckets: SortedMap<TeamName, Bucket>,
}

impl Shares {
    /// Counts a job of a team with a weight of `rate_share` jobs a second; true if it is within its share. A
    /// weight of 0 is no limit.
    pub fn take(&mut self, team: &TeamName, rate_share: f64, now: Moment) -> bool {
        if rate_share <= 0.0 {
            return true;
        }
        // A share below one job a second adds up to whole jobs.
        let most = (rate_share * BURST_S).max(1.0);
        let full = Bucket { left: most, filled_at: now };
        let bucket = self.buckets.entry_or(team.clone(), || full);
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.left = (bucket.left + elapsed * rate_share).min(most);
        bucket.filled_at = now;
        let is_within = bucket.left >= 1.0;
        if is_within {
            bucket.left -= 1.0;
        }
        is_within
    }
}
