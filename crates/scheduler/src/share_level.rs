//! Division of a pool by weighted max-min fairness over the dominant resource.
//!
//! The use per weight of all teams rises together to one level (water filling). A team stops rising
//! once it has all that it demands, which leaves more to the others. What it has lately used, or uses in
//! other shards, counts as if it had risen by that already.

use crate::amounts::Amounts;

/// Number of halvings in the search for the level; the level is then exact to a millionth.
const HALVINGS: u32 = 32;

/// What a team demands of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Claim {
    /// Weight of the team, above 0.
    pub weight: f64,
    /// What it holds and waits for, as fractions of the pool's capacity.
    pub demand: Amounts,
    /// What it has lately used, or uses in other shards, as a fraction of the dominant resource.
    pub past: f64,
}

impl Claim {
    /// Returns what the team demands when all teams may use `level` per weight.
    fn granted(&self, level: f64) -> Amounts {
        let demanded = self.demand.largest();
        let granted = (self.weight * level - self.past).clamp(0.0, demanded);
        if demanded > 0.0 { self.demand.scaled(granted / demanded) } else { Amounts::default() }
    }
}

/// Returns the highest level of use per weight that all teams can have without using more than the
/// pool has of any resource.
pub(crate) fn fair_level(claims: &[Claim]) -> f64 {
    let fits = |level: f64| {
        let granted = claims.iter().map(|claim| claim.granted(level));
        granted.fold(Amounts::default(), |sum, granted| sum + granted).largest() <= 1.0
    };
    let enough = |claim: &Claim| (claim.demand.largest() + claim.past) / claim.weight;
    let (mut low, mut high) = (0.0, claims.iter().map(enough).fold(0.0, f64::max));
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
