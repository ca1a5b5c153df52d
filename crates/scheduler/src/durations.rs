//! How long the units of a step are expected to run, learned from runs that have ended.
//!
//! Guards against callers' estimates that are far from the truth. For each kind of work (queue,
//! index of the step in its job, and image), the distribution of the ratio of measured durations
//! to estimates is kept. Samples lose weight as new ones arrive and as they age, so that a change
//! shows soon, and quantiles are hardly affected by single outliers. With few samples, the estimate
//! is used.
//!
//! The successor of an owner begins with the distributions that it has stored last.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::QueueName;
use crate::job::JobRecord;
use crate::job::Step;
use crate::row_sizes::ESCAPED_BYTES;
use crate::row_sizes::FRAME_BYTES;
use crate::sorted_map::SortedMap;

/// Ratio of a run that takes as long as estimated.
const RATIO_ONE: u64 = 1_000;
/// Range of the ratios that are told apart, in thousandths.
const RATIO_MIN: u64 = 1;
const RATIO_MAX: u64 = 1_000_000;
/// Significant decimal digits of the ratios. One digit tells values 6 % apart, and estimates are
/// wrong by far more than that; two digits would make the stored row several times as long.
const RATIO_DIGITS: u8 = 1;
/// Weight of a new sample. Halving it a few times has to leave a weight above 0.
const SAMPLE_WEIGHT: u32 = 16;
/// Number of samples at full weight from which all weights are halved.
const SAMPLES_MAX: u64 = 64;
/// Number of samples at full weight from which the measured durations are used.
const SAMPLES_MIN: u64 = 8;
/// Time in which the weight of a sample halves.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Number of halvings that leave no weight at all.
const HALVINGS_MAX: u32 = 16;
/// Maximum number of kinds of work; those whose last sample is the oldest are evicted.
const KINDS_MAX: usize = 256;
/// Minimum time between two batches that store the distributions.
const STORE_PERIOD: Duration = Duration::from_secs(2);
/// Most bytes that a kind of work takes when stored, apart from its names and ratios.
const KIND_BYTES: usize = 128;
/// Most bytes that a ratio and its weight take when stored.
const RATIO_BYTES: usize = 24;
/// Quantile of the typical duration.
const TYPICAL_QUANTILE: f64 = 0.5;

/// Expected durations of the units of steps.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    /// Measured durations replace the estimates.
    replaces_estimates: bool,
    /// Kinds of work by queue, sorted by step and image.
    by_queue: SortedMap<QueueName, Vec<WorkKind>>,
    /// A sample was recorded since the distributions were last added to a batch.
    is_dirty: bool,
    /// When the distributions were last added to a batch.
    row_taken_at: Moment,
}

/// Measured durations of one kind of work.
#[derive(Clone, Debug)]
struct WorkKind {
    /// Index of the step in its job.
    step: usize,
    /// Image that the units run.
    image: Option<String>,
    /// Ratios of measured durations to estimates, in thousandths.
    ratios: Histogram<u32>,
    /// When the last sample was recorded.
    sampled_at: Moment,
    /// Time up to which the samples have been aged.
    aged_to: Moment,
    /// Median of `ratios`; `None` if there are too few samples.
    typical_ratio: Option<u64>,
}

/// Measured durations as they are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationsRow {
    /// Kinds of work, in the order of queues.
    kinds: Vec<WorkKindRow>,
}

/// Measured durations of one kind of work as they are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WorkKindRow {
    /// Queue of the job.
    #[serde(rename = "q")]
    queue: QueueName,
    /// Index of the step in its job.
    #[serde(rename = "s")]
    step: usize,
    /// Image that the units run.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    image: Option<String>,
    /// Time of the last sample in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    sampled_ms: u64,
    /// Time up to which the weights have been aged; 0 if it is that of the last sample.
    #[serde(rename = "aged", default)]
    aged_ms: u64,
    /// Ratios in thousandths, each with its weight.
    #[serde(rename = "r")]
    ratios: Vec<(u64, u32)>,
}

impl DurationsRow {
    /// Leaves out the kinds of work with the oldest samples until the stored form fits into
    /// `bytes_max`.
    fn shrink_to(&mut self, bytes_max: usize) {
        let mut bytes = self.stored_bytes_max();
        while bytes > bytes_max {
            let ages = self.kinds.iter().enumerate();
            let Some((oldest, _)) = ages.min_by_key(|(_, kind)| kind.sampled_ms) else {
                return;
            };
            bytes -= self.kinds.remove(oldest).stored_bytes_max();
        }
    }

    /// Returns a number of bytes that the stored form does not exceed.
    pub(crate) fn stored_bytes_max(&self) -> usize {
        FRAME_BYTES + self.kinds.iter().map(WorkKindRow::stored_bytes_max).sum::<usize>()
    }
}

impl WorkKindRow {
    fn stored_bytes_max(&self) -> usize {
        let names = self.queue.len() + self.image.as_deref().map_or(0, str::len);
        KIND_BYTES + ESCAPED_BYTES * names + RATIO_BYTES * self.ratios.len()
    }
}

impl Durations {
    /// Creates a record without samples. If `replaces_estimates` is false, expected durations are
    /// the estimates.
    pub(crate) fn new(replaces_estimates: bool) -> Self {
        Self { replaces_estimates, ..Self::default() }
    }

    /// Returns how long a unit of a step of `record` typically runs: the median.
    pub fn expected(&self, record: &JobRecord, step: &Step) -> Duration {
        match self.replaces_estimates {
            true => self.measured(record, step).unwrap_or(estimate(step)),
            false => estimate(step),
        }
    }

    /// Returns the typical durations of the units of all steps, in the order of the steps.
    pub(crate) fn expected_by_step(&self, record: &JobRecord) -> Vec<Duration> {
        let kinds = self.kinds_of(record).filter(|_| self.replaces_estimates);
        let expected = |(index, step): (usize, &Step)| {
            let ratio = kinds.and_then(|kinds| find(kinds, index, step)?.typical_ratio);
            ratio.map_or(estimate(step), |ratio| scale(step, ratio))
        };
        record.steps.iter().enumerate().map(expected).collect()
    }

    /// Returns how long units of a step of `record` have typically run; `None` if too few have been
    /// measured.
    fn measured(&self, record: &JobRecord, step: &Step) -> Option<Duration> {
        let kinds = self.kinds_of(record)?;
        let ratio = find(kinds, step_index(record, step)?, step)?.typical_ratio?;
        Some(scale(step, ratio))
    }

    fn kinds_of(&self, record: &JobRecord) -> Option<&Vec<WorkKind>> {
        self.by_queue.get(&record.queue)
    }

    /// Records how long a run of a unit took.
    pub(crate) fn record(
        &mut self,
        record: &JobRecord,
        step_index: usize,
        took: Duration,
        now: Moment,
    ) {
        let step = &record.steps[step_index];
        let ratio = took.as_millis() as u64 * RATIO_ONE / step.estimate_ms.max(1);
        let kinds = self.by_queue.entry_or(record.queue.clone(), Vec::new);
        let position = position(kinds, step_index, step.image.as_deref());
        let position = position.unwrap_or_else(|position| {
            kinds.insert(position, WorkKind::new(step_index, step.image.clone(), now));
            position
        });
        kinds[position].add(ratio, now);
        self.is_dirty = true;
        self.evict_oldest();
    }

    /// Removes the kinds of work with the oldest samples, until there are at most [`KINDS_MAX`].
    fn evict_oldest(&mut self) {
        while self.by_queue.values().map(Vec::len).sum::<usize>() > KINDS_MAX {
            let sampled_at = self.by_queue.values().flatten().map(|kind| kind.sampled_at);
            let Some(oldest) = sampled_at.min() else {
                return;
            };
            let oldest_kind = self.by_queue.iter_mut().find_map(|(_, kinds)| {
                let position = kinds.iter().position(|kind| kind.sampled_at == oldest)?;
                Some((kinds, position))
            });
            if let Some((kinds, position)) = oldest_kind {
                kinds.remove(position);
            }
        }
        self.by_queue.retain(|_, kinds| !kinds.is_empty());
    }

    /// Returns the row to store if it has changed and was not stored a moment ago.
    pub(crate) fn take_row(
        &mut self,
        unix_ms: impl Fn(Moment) -> u64,
        bytes_max: usize,
        now: Moment,
    ) -> Option<DurationsRow> {
        if !self.is_dirty || now.saturating_sub(self.row_taken_at) < STORE_PERIOD {
            return None;
        }
        (self.is_dirty, self.row_taken_at) = (false, now);
        let mut kinds = Vec::new();
        for (queue, of_queue) in self.by_queue.iter() {
            kinds.extend(of_queue.iter().map(|kind| WorkKindRow {
                queue: queue.clone(),
                step: kind.step,
                image: kind.image.clone(),
                sampled_ms: unix_ms(kind.sampled_at),
                aged_ms: unix_ms(kind.aged_to),
                ratios: kind.weights(),
            }));
        }
        let mut row = DurationsRow { kinds };
        row.shrink_to(bytes_max);
        Some(row)
    }

    /// Restores what an earlier owner has stored.
    pub(crate) fn restore(
        &mut self,
        row: DurationsRow,
        moment_of: impl Fn(u64) -> Moment,
        now: Moment,
    ) {
        for stored in row.kinds {
            // The clock of the earlier owner may have been ahead.
            let mut kind =
                WorkKind::new(stored.step, stored.image, moment_of(stored.sampled_ms).min(now));
            // Weights that were aged before they were stored must not be aged again.
            kind.aged_to = kind.aged_to.max(moment_of(stored.aged_ms).min(now));
            for (ratio, weight) in stored.ratios {
                kind.ratios.saturating_record_n(ratio.clamp(RATIO_MIN, RATIO_MAX), weight);
            }
            kind.age(now);
            kind.update_typical_ratio();
            let kinds = self.by_queue.entry_or(stored.queue, Vec::new);
            match position(kinds, kind.step, kind.image.as_deref()) {
                Ok(position) => kinds[position] = kind,
                Err(position) => kinds.insert(position, kind),
            }
        }
        self.evict_oldest();
    }
}

impl WorkKind {
    fn new(step: usize, image: Option<String>, sampled_at: Moment) -> Self {
        let ratios = Histogram::new_with_bounds(RATIO_MIN, RATIO_MAX, RATIO_DIGITS)
            .expect("the bounds and digits are in the range of the library");
        Self { step, image, ratios, sampled_at, aged_to: sampled_at, typical_ratio: None }
    }

    fn add(&mut self, ratio: u64, now: Moment) {
        self.age(now);
        self.ratios.saturating_record_n(ratio.clamp(RATIO_MIN, RATIO_MAX), SAMPLE_WEIGHT);
        if self.ratios.len() > SAMPLES_MAX * u64::from(SAMPLE_WEIGHT) {
            self.halve_weights(1);
        }
        self.sampled_at = now;
        self.update_typical_ratio();
    }

    /// Halves the weights once for each half-life that has passed.
    fn age(&mut self, now: Moment) {
        let half_lives = now.saturating_sub(self.aged_to).as_secs() / HALF_LIFE.as_secs();
        let halvings = half_lives.min(u64::from(HALVINGS_MAX)) as u32;
        if halvings > 0 {
            self.halve_weights(halvings);
            self.aged_to = now;
        }
    }

    fn halve_weights(&mut self, halvings: u32) {
        let weights = self.weights();
        self.ratios.reset();
        for (ratio, weight) in weights {
            self.ratios.saturating_record_n(ratio, weight >> halvings);
        }
    }

    fn update_typical_ratio(&mut self) {
        let has_enough = self.ratios.len() >= SAMPLES_MIN * u64::from(SAMPLE_WEIGHT);
        self.typical_ratio = has_enough.then(|| {
            let ratio = self.ratios.value_at_quantile(TYPICAL_QUANTILE);
            self.ratios.median_equivalent(ratio).max(RATIO_MIN)
        });
    }

    /// Returns the ratios that have a weight, each with its weight.
    fn weights(&self) -> Vec<(u64, u32)> {
        let recorded = self.ratios.iter_recorded();
        recorded.map(|ratio| (ratio.value_iterated_to(), ratio.count_at_value())).collect()
    }
}

fn estimate(step: &Step) -> Duration {
    Duration::from_millis(step.estimate_ms)
}

fn scale(step: &Step, ratio: u64) -> Duration {
    Duration::from_millis(step.estimate_ms.max(1).saturating_mul(ratio).div_ceil(RATIO_ONE))
}

/// Returns the measured durations of the units of a step.
fn find<'a>(kinds: &'a [WorkKind], step_index: usize, step: &Step) -> Option<&'a WorkKind> {
    let position = position(kinds, step_index, step.image.as_deref());
    position.ok().map(|position| &kinds[position])
}

/// Returns the position of a kind of work, or where it would be inserted.
fn position(kinds: &[WorkKind], step: usize, image: Option<&str>) -> Result<usize, usize> {
    kinds.binary_search_by(|kind| (kind.step, kind.image.as_deref()).cmp(&(step, image)))
}

/// Returns the index of a step that is one of those of `record`, or equal to one.
fn step_index(record: &JobRecord, step: &Step) -> Option<usize> {
    let is_same = |other: &Step| std::ptr::eq(other, step);
    let index = record.steps.iter().position(is_same);
    index.or_else(|| record.steps.iter().position(|other| other == step))
}
