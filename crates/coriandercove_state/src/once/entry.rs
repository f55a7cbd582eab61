//! All at-most-once calls of one entry.

use std::time::Duration;

use coriandercove_base::rng::Rng;
use coriandercove_base::{Time, data};

use super::{Action, Event};

data! {
    /// Settings of a [`OnceEntry`].
    #[derive(Eq)]
    pub struct OnceSettings {
        /// Shards for each service. All entries must use the same number.
        pub shards: u16,
        /// Age in ms after which claims are deleted.
        pub retention_ms: u64,
        /// Agents tried for one request.
        pub max_targets: u32,
        /// Wait between two probes of a call whose link failed.
        pub probe_gap: Duration,
        /// Time for which a call is followed after its caller was answered, to record its end.
        pub linger: Duration,
        /// Calls under way; further ones are refused.
        pub max_calls: usize,
        /// Size in bytes at which a segment is sealed.
        pub segment_bytes: usize,
    }
}

/// The at-most-once calls of one entry, with the shards of claims that they use.
pub struct OnceEntry {
    settings: OnceSettings,
    rng: Rng,
}

impl OnceEntry {
    /// An entry without calls. `rng` must be seeded differently for each run.
    #[must_use]
    pub const fn new(settings: OnceSettings, rng: Rng) -> Self {
        Self { settings, rng }
    }

    /// Takes an event. `wall_ms` is the wall clock in ms since 1970.
    pub fn on_event(&mut self, now: Time, wall_ms: u64, event: Event) -> Vec<Action> {
        let _ = (now, wall_ms, event, &self.settings, &self.rng);
        Vec::new()
    }

    /// The time at which [`Event::Tick`] next has something to do.
    #[must_use]
    pub const fn next_wake(&self) -> Option<Time> {
        None
    }
}
