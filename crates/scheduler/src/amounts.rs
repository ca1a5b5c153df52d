//! Amounts of resources as real numbers, for averages over time and fractions of a pool.

use std::ops::Add;

use crate::job::Resources;

/// Amounts of processors, memory and accelerators, in the units of [`Resources`] or as fractions of
/// a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Amounts {
    cpu: f64,
    memory: f64,
    gpus: f64,
}

impl Amounts {
    /// Returns the amounts multiplied by a factor.
    pub fn scaled(&self, factor: f64) -> Self {
        Self { cpu: self.cpu * factor, memory: self.memory * factor, gpus: self.gpus * factor }
    }

    /// Returns the fractions of a capacity; a resource that the capacity lacks has the fraction 0.
    pub fn fractions_of(&self, capacity: &Resources) -> Self {
        let fraction = |amount: f64, total: u64| match total {
            0 => 0.0,
            total => amount / total as f64,
        };
        Self {
            cpu: fraction(self.cpu, capacity.cpu_millis),
            memory: fraction(self.memory, capacity.memory_mb),
            gpus: fraction(self.gpus, capacity.gpus),
        }
    }

    /// Returns the largest of the amounts. Of fractions of a capacity, that is the dominant one.
    pub fn largest(&self) -> f64 {
        self.cpu.max(self.memory).max(self.gpus)
    }

    /// Returns the amounts rounded to whole units.
    pub fn rounded(&self) -> Resources {
        Resources {
            cpu_millis: self.cpu.round() as u64,
            memory_mb: self.memory.round() as u64,
            gpus: self.gpus.round() as u64,
        }
    }
}

impl From<&Resources> for Amounts {
    fn from(resources: &Resources) -> Self {
        Self {
            cpu: resources.cpu_millis as f64,
            memory: resources.memory_mb as f64,
            gpus: resources.gpus as f64,
        }
    }
}

impl Add for Amounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpus: self.gpus + other.gpus,
        }
    }
}
