//! Limit on the bytes per second that an entry sends in datagrams.

use coriandercove_base::Time;

/// A token bucket of bytes. The level may fall below zero, because heartbeats and acks are sent
/// without waiting.
#[derive(Debug)]
pub(super) struct Budget {
    /// Bytes per second.
    rate: f64,
    /// Bytes that may be sent now.
    tokens: f64,
    last_refill: Time,
}

impl Budget {
    /// Creates a bucket that refills at `rate` bytes per second. It starts with the bytes of one
    /// second and holds those of two, so that changes spread fast after a quiet time.
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    pub(super) const fn new(rate: usize) -> Self {
        let rate = rate as f64;
        Self {
            rate,
            tokens: rate,
            last_refill: Time::ZERO,
        }
    }

    /// Adds the bytes for the time since the last refill.
    pub(super) fn refill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(2.0 * self.rate);
        self.last_refill = now;
    }

    /// Whether `bytes` can be sent within the budget.
    #[expect(clippy::cast_precision_loss, reason = "datagrams are below 64 KiB")]
    pub(super) const fn allows(&self, bytes: usize) -> bool {
        self.tokens >= bytes as f64
    }

    /// Subtracts `bytes` that were sent.
    #[expect(clippy::cast_precision_loss, reason = "datagrams are below 64 KiB")]
    pub(super) const fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
