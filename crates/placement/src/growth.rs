//! Where capacity has grown, so that a job that fitted nowhere is searched for again only when it
//! may fit.

use std::collections::VecDeque;

use crate::size::Size;

/// Number of a growth; later ones are larger.
pub type Generation = u64;

/// Growths remembered; a job tried before the oldest is searched for again.
const GROWTHS_KEPT: usize = 256;

/// Recent growths.
#[derive(Clone, Debug, Default)]
pub struct CapacityGrowth {
    /// What a worker had free after it grew; the last is the current generation.
    recent: VecDeque<Size>,
    generation: Generation,
}

impl CapacityGrowth {
    /// A worker has `free` after it grew.
    pub fn record(&mut self, free: Size) {
        if self.recent.len() == GROWTHS_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(free);
        self.generation += 1;
    }

    /// Anything may fit now.
    pub fn invalidate_all(&mut self) {
        self.recent.clear();
        self.generation += GROWTHS_KEPT as u64;
    }

    /// Current generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// True if `size`, which fitted nowhere at generation `unplaceable_at`, may fit now.
    pub fn may_fit(&self, size: &Size, unplaceable_at: Generation) -> bool {
        let since = (self.generation - unplaceable_at) as usize;
        since > self.recent.len()
            || self.recent.iter().rev().take(since).any(|free| size.fits_in(free))
    }
}
