//! A limit on the rate of calls.

use std::time::Duration;

use coriandercove_base::Time;

/// Allows a number of calls per second, with bursts.
#[derive(Debug, Clone)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
    /// Calls that may be made at once at `filled`.
    tokens: f64,
    filled: Time,
}

impl RateLimit {
    /// At most `per_second` calls per second over time, and `burst` at once.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        let (per_second, burst) = (per_second.max(0.0), burst.max(1.0));
        Self {
            per_second,
            burst,
            tokens: burst,
            filled: Time::ZERO,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    /// The time until the next call, if the rate is exceeded.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = passed.mul_add(self.per_second, self.tokens).min(self.burst);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        /// Answered where the rate is zero, so that waiters stay bounded.
        const LONGEST: f64 = 60.0;
        let wait = (1.0 - self.tokens) / self.per_second;
        Err(Duration::from_secs_f64(wait.clamp(0.0, LONGEST)))
    }
}

#[cfg(test)]
mod tests;
