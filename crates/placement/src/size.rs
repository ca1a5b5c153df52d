//! Sizes of tasks and workers.

use serde::Deserialize;
use serde::Serialize;

/// Thousandths of a processor core in one core.
pub const MILLI: u32 = 1_000;

/// An amount of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub processors_milli: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Size {
    /// Size of whole cores.
    pub fn of_cores(processors: u32, memory_mib: u64, accelerators: u32) -> Self {
        Self { processors_milli: processors.saturating_mul(MILLI), memory_mib, accelerators }
    }

    /// True if each amount is at most that of `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.processors_milli <= other.processors_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left without `other`; never below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Larger amount of each.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.max(other.processors_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Processors and memory in percent of what they are; accelerators stay whole.
    pub fn scale_percent(&self, percent: u32) -> Self {
        let scale = |amount: u64| amount.saturating_mul(u64::from(percent)).div_ceil(100);
        let processors = scale(u64::from(self.processors_milli)).min(u64::from(u32::MAX));
        Self {
            processors_milli: processors as u32,
            memory_mib: scale(self.memory_mib),
            accelerators: self.accelerators,
        }
    }

    /// Largest of the three as a portion of `whole`.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let portion = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let processors =
            portion(f64::from(self.processors_milli), f64::from(whole.processors_milli));
        let memory = portion(self.memory_mib as f64, whole.memory_mib as f64);
        let accelerators = portion(f64::from(self.accelerators), f64::from(whole.accelerators));
        processors.max(memory).max(accelerators)
    }
}
