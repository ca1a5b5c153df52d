//! Estimates the sizes of tasks from the peak usage of earlier tasks of the same kind.
//!
//! Declared sizes differ widely from real usage, so the latest peaks of each kind are kept. Once
//! there are enough, a task is placed with a high quantile of them plus a safety margin. Usage
//! above the estimate is recorded while the task still runs; usage below it only when the task has
//! succeeded, because it may still rise until then.

use crate::size::Size;

/// Number of peaks that are kept for a kind.
const PEAKS_MAX: usize = 64;
/// Number of peaks at or above which the estimate replaces the declared sizes.
const PEAKS_MIN: usize = 5;
/// Percentage of the peaks that the estimate covers without the margin.
const QUANTILE_PERCENT: usize = 90;
/// Size with the safety margin, in percent of the size without it.
const MARGIN_PERCENT: u32 = 120;

/// Peaks of the latest tasks of one kind, and the estimate from them.
#[derive(Clone, Debug, Default)]
pub struct PeakHistory {
    /// Ring buffer of [`PEAKS_MAX`] peaks.
    recent: Vec<Size>,
    /// Position in `recent` that the next peak overwrites once the buffer is full.
    next_slot: usize,
    /// `None` while there are less than [`PEAKS_MIN`] peaks.
    estimate: Option<Size>,
}

impl PeakHistory {
    /// Records the highest usage of a task of the kind.
    pub fn record(&mut self, peak: Size) {
        if self.recent.len() < PEAKS_MAX {
            self.recent.push(peak);
        } else {
            self.recent[self.next_slot] = peak;
            self.next_slot = (self.next_slot + 1) % PEAKS_MAX;
        }
        self.estimate = self.compute_estimate();
    }

    /// Returns the size to reserve for a task; accelerators are always as declared.
    pub fn expected_size(&self, declared: &Size) -> Size {
        match self.estimate {
            Some(estimate) => Size { accelerators: declared.accelerators, ..estimate },
            None => *declared,
        }
    }

    /// Returns true once sizes are estimated from peaks.
    pub fn has_estimate(&self) -> bool {
        self.estimate.is_some()
    }

    fn compute_estimate(&self) -> Option<Size> {
        if self.recent.len() < PEAKS_MIN {
            return None;
        }
        let mut processors: Vec<u32> = self.recent.iter().map(|p| p.processors_milli).collect();
        let mut memory: Vec<u64> = self.recent.iter().map(|p| p.memory_mib).collect();
        processors.sort_unstable();
        memory.sort_unstable();
        let index = (self.recent.len() * QUANTILE_PERCENT).div_ceil(100) - 1;
        let quantile = Size {
            processors_milli: processors[index],
            memory_mib: memory[index],
            accelerators: 0,
        };
        Some(with_margin(&quantile))
    }
}

/// Adds the safety margin to a size.
pub fn with_margin(size: &Size) -> Size {
    size.scale_percent(MARGIN_PERCENT)
}
