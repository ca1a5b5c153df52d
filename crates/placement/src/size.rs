//! Resource amounts of tasks and workers.

use serde::Deserialize;
use serde::Serialize;

/// Units of `processors_milli` in one core.
pub const MILLI_PER_CORE: u32 = 1_000;

/// An amount of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub processors_milli: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Size {
    /// Creates a size from whole cores.
    pub fn of_cores(processors: u32, memory_mib: u64, accelerators: u32) -> Self {
        Self {
            processors_milli: processors.saturating_mul(MILLI_PER_CORE),
            memory_mib,
            accelerators,
        }
    }

    /// Returns true if each amount is at most that of `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.processors_milli <= other.processors_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Adds each amount; saturates at the maximum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each amount; saturates at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger of both for each amount.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.max(other.processors_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Scales processors and memory to `percent`, rounded up; accelerators are unchanged.
    pub fn scale_percent(&self, percent: u32) -> Self {
        let scale = |amount: u64| amount.saturating_mul(u64::from(percent)).div_ceil(100);
        let processors = scale(u64::from(self.processors_milli)).min(u64::from(u32::MAX));
        Self {
            processors_milli: processors as u32,
            memory_mib: scale(self.memory_mib),
            accelerators: self.accelerators,
        }
    }

    /// Returns the largest of the three amounts as a fraction of that in `total`, as in dominant
    /// resource fairness.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let fraction = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        let processors =
            fraction(f64::from(self.processors_milli), f64::from(total.processors_milli));
        let memory = fraction(self.memory_mib as f64, total.memory_mib as f64);
        let accelerators = fraction(f64::from(self.accelerators), f64::from(total.accelerators));
        processors.max(memory).max(accelerators)
    }
}
