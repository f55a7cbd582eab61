//! Rate limiting of calls with a token bucket.

use std::time::Duration;

use coriandercove_base::Time;

/// Token bucket that allows a number of calls per second, with bursts.
#[derive(Debug, Clone)]
pub struct RateLimit {
    per_second: f64,
    burst: f64,
    /// Calls that could be made at once at `refilled_at`.
    tokens: f64,
    refilled_at: Time,
}

impl RateLimit {
    /// Creates a limit of `per_second` calls per second on average and `burst` at once. A negative
    /// rate counts as 0, and a burst below 1 as 1.
    #[must_use]
    pub fn new(per_second: f64, burst: f64) -> Self {
        let (per_second, burst) = (per_second.max(0.0), burst.max(1.0));
        Self {
            per_second,
            burst,
            tokens: burst,
            refilled_at: Time::ZERO,
        }
    }

    /// Takes a token for one call if there is one.
    ///
    /// # Errors
    /// Returns the time until the next token if the rate is exceeded, at most 60 s.
    pub fn try_acquire(&mut self, now: Time) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = passed.mul_add(self.per_second, self.tokens).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        /// Longest wait that is returned, in seconds. At a rate of zero the wait would be infinite.
        const MAX_WAIT_SECONDS: f64 = 60.0;
        let wait = (1.0 - self.tokens) / self.per_second;
        Err(Duration::from_secs_f64(wait.clamp(0.0, MAX_WAIT_SECONDS)))
    }
}

#[cfg(test)]
mod tests;
