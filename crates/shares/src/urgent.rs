//! Credit of the urgent class, which limits its precedence to a fraction of the starts.

/// Maximum credit: the number of consecutive urgent starts after a period without any.
const BURST_MAX: f64 = 8.0;

/// Token bucket of urgent starts that take precedence over normal ones.
#[derive(Clone, Debug)]
pub struct UrgentCredit {
    /// Fraction of all starts that may be urgent, from 0 to 1.
    fraction: f64,
    /// Number of urgent starts that may still take precedence.
    credit: f64,
}

impl UrgentCredit {
    /// Creates the credit for at most `percent` of all starts.
    pub fn new(percent: u32) -> Self {
        let fraction = f64::from(percent.min(100)) / 100.0;
        let credit = if percent == 0 { 0.0 } else { BURST_MAX };
        Self { fraction, credit }
    }

    /// Returns true if the next urgent entry takes precedence over normal ones.
    pub fn may_go_first(&self) -> bool {
        self.fraction >= 1.0 || self.credit >= 1.0
    }

    /// Records the start of an urgent entry, which costs one credit.
    pub fn record_urgent_start(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Records the start of a normal entry, which earns credit.
    pub fn record_normal_start(&mut self) {
        if self.fraction < 1.0 {
            let earned = self.fraction / (1.0 - self.fraction);
            self.credit = (self.credit + earned).min(BURST_MAX);
        }
    }
}
