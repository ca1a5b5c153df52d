//! Credit of the urgent class, so that it takes a bounded portion of the starts.

/// Urgent starts that may come at once after a time without any.
const BURST_MAX: f64 = 8.0;

/// Urgent starts that are still allowed before others go first.
#[derive(Clone, Debug)]
pub struct UrgentCredit {
    fraction: f64,
    credit: f64,
}

impl UrgentCredit {
    /// Credit for at most `percent` of all starts.
    pub fn new(percent: u32) -> Self {
        let fraction = f64::from(percent.min(100)) / 100.0;
        let credit = if percent == 0 { 0.0 } else { BURST_MAX };
        Self { fraction, credit }
    }

    /// True if an urgent entry may go first.
    pub fn may_go_first(&self) -> bool {
        self.fraction >= 1.0 || self.credit >= 1.0
    }

    /// An urgent entry went before others.
    pub fn record_urgent_start(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Another entry was started.
    pub fn record_normal_start(&mut self) {
        if self.fraction < 1.0 {
            let earned = self.fraction / (1.0 - self.fraction);
            self.credit = (self.credit + earned).min(BURST_MAX);
        }
    }
}
