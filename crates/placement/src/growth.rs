//! Records where free capacity has grown.
//!
//! A job that fitted on no worker is tried again only after a growth that may be large enough.

use std::collections::VecDeque;

use crate::size::Size;

/// Sequence number of a growth; later growths have larger numbers.
pub type Generation = u64;

/// Number of growths that are kept; a job that was last tried before the oldest is tried again.
const GROWTHS_KEPT: usize = 256;

/// The recent growths of free capacity.
#[derive(Clone, Debug, Default)]
pub struct CapacityGrowth {
    /// Free capacity of a worker after each growth; the last belongs to the current generation.
    recent: VecDeque<Size>,
    generation: Generation,
}

impl CapacityGrowth {
    /// Records that the free capacity of a worker grew to `free`.
    pub fn record(&mut self, free: Size) {
        if self.recent.len() == GROWTHS_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(free);
        self.generation += 1;
    }

    /// Records a change after which any job may fit.
    pub fn invalidate_all(&mut self) {
        self.recent.clear();
        self.generation += GROWTHS_KEPT as u64;
    }

    /// Returns the current generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns true if `size`, which fitted on no worker at `unplaceable_at`, may fit now.
    pub fn may_fit(&self, size: &Size, unplaceable_at: Generation) -> bool {
        let since = (self.generation - unplaceable_at) as usize;
        since > self.recent.len()
            || self.recent.iter().rev().take(since).any(|free| size.fits_in(free))
    }
}
