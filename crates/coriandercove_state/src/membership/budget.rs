//! The byte budget of a node's datagrams.

use coriandercove_base::Time;

/// A token bucket over bytes. It may go below zero, by datagrams that must not wait.
#[derive(Debug)]
pub(super) struct Budget {
    rate: f64,
    tokens: f64,
    at: Time,
}

impl Budget {
    /// A bucket that refills at `rate` bytes a second and holds two seconds' worth, so that news
    /// spreads fast after a quiet time.
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    pub(super) const fn new(rate: usize) -> Self {
        let rate = rate as f64;
        Self {
            rate,
            tokens: rate,
            at: Time::ZERO,
        }
    }

    pub(super) fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(2.0 * self.rate);
        self.at = now;
    }

    /// Whether `bytes` can be sent within the budget.
    #[expect(clippy::cast_precision_loss, reason = "datagrams are below 64 KiB")]
    pub(super) const fn allows(&self, bytes: usize) -> bool {
        self.tokens >= bytes as f64
    }

    /// Notes that `bytes` were sent.
    #[expect(clippy::cast_precision_loss, reason = "datagrams are below 64 KiB")]
    pub(super) const fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
