//! Decides how long the watches of the platform's store wait.
//!
//! A connection that falls silent without a reset shows only when a watch on it ends. If the
//! connections of all entries fall silent together, none has news that could tell the others.
//! The entries therefore renew their watches in turn: each has a slot of its own in a common cycle, so
//! that the next end of a watch is near at any moment, and the cost does not grow with their number.

use std::time::Duration;

/// Time between the ends of the watches of two entries with adjacent slots.
const SLOT: Duration = Duration::from_secs(1);
/// Minimum wait of a full cycle.
const MIN_CYCLE: Duration = Duration::from_millis(1500);
/// Maximum wait of a full cycle; the store waits for 30 s at the most.
const MAX_CYCLE: Duration = Duration::from_secs(29);
/// A slot that is nearer than this is left to the next cycle: the watch before ended in it, slightly
/// early.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// Position of a watch among those of all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchSlot {
    /// Number of entries, this one included.
    pub entries: usize,
    /// Number of entries before this one in the common order.
    pub rank: usize,
    /// Position of the topic among those that each entry watches.
    pub topic: usize,
    /// Number of topics that each entry watches.
    pub topics: usize,
}

impl WatchSlot {
    /// Time between two ends of this watch if nothing changes.
    #[must_use]
    pub fn cycle(self) -> Duration {
        let entries = u32::try_from(self.entries).unwrap_or(u32::MAX);
        SLOT.saturating_mul(entries).clamp(MIN_CYCLE, MAX_CYCLE)
    }

    /// Wait until the next slot of this watch. `time_of_day` is the time since any moment that all
    /// entries agree on; an entry whose clock differs only takes another turn.
    #[must_use]
    pub fn wait(self, time_of_day: Duration) -> Duration {
        let cycle = self.cycle();
        let position = self.rank * self.topics + self.topic;
        let share = position as f64 / (self.entries * self.topics).max(1) as f64;
        let slot = cycle.mul_f64(share).as_nanos();
        let nanos = cycle.as_nanos();
        let since_slot = (time_of_day.as_nanos() % nanos + nanos - slot % nanos) % nanos;
        let wait = Duration::from_nanos(u64::try_from(nanos - since_slot).unwrap_or(u64::MAX));
        if wait < MIN_WAIT { wait + cycle } else { wait }
    }
}

#[cfg(test)]
mod tests;
