//! Sizes of tasks as they turn out, by kind.
//!
//! Declared sizes are far from the truth, so each kind keeps the peaks of its last tasks. Once there
//! are enough, a task is placed by a high quantile of them and a safety margin. A running task that
//! is seen above the estimate counts at once; one that is seen below counts only at its end.

use crate::size::Size;

/// Peaks kept for a kind.
const PEAKS_MAX: usize = 64;
/// Peaks from which on a kind's declared sizes are no longer used.
const PEAKS_MIN: usize = 5;
/// Portion of the peaks that the estimate covers, in percent.
const QUANTILE_PERCENT: usize = 90;
/// Estimate in percent of the quantile.
const MARGIN_PERCENT: u32 = 120;

/// Peaks of the tasks of one kind.
#[derive(Clone, Debug, Default)]
pub struct Peaks {
    recent: Vec<Size>,
    next: usize,
    estimate: Option<Size>,
}

impl Peaks {
    /// A task of the kind has used at most `peak`.
    pub fn add(&mut self, peak: Size) {
        if self.recent.len() < PEAKS_MAX {
            self.recent.push(peak);
        } else {
            self.recent[self.next] = peak;
            self.next = (self.next + 1) % PEAKS_MAX;
        }
        self.estimate = self.compute();
    }

    /// Size of the next task; accelerators are always as declared.
    pub fn size(&self, declared: &Size) -> Size {
        match self.estimate {
            Some(estimate) => Size { accelerators: declared.accelerators, ..estimate },
            None => *declared,
        }
    }

    /// True once sizes come from peaks.
    pub fn is_learnt(&self) -> bool {
        self.estimate.is_some()
    }

    fn compute(&self) -> Option<Size> {
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
        Some(margin(&quantile))
    }
}

/// Size with the safety margin.
pub fn margin(size: &Size) -> Size {
    size.scale_percent(MARGIN_PERCENT)
}
