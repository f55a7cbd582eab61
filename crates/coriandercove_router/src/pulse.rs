//! Signs of life of targets: events that came through them, and answers to probes.
//!
//! Answers the load pattern in which a part of many paths dies: every stream through it falls silent
//! at once. A part is asked as soon as a stream is silent for half of the pause that its route
//! allows and nothing came through the part meanwhile, so that the rest of that pause is enough to
//! lead the stream around it.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

/// Least time between two probes of one target.
const PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Time after which a target that has not answered a probe gets no new work. Targets answer within
/// a few ms, so the rest is room for a busy entry.
pub const ANSWER_DUE: Duration = Duration::from_millis(80);
/// Time after which a probe without an end shows nothing: every probe and connection ends before it,
/// unless the request that tried it was given up.
const ABANDONED: Duration = Duration::from_millis(400);
/// Time after which signs of life are forgotten.
const LIFETIME: Duration = Duration::from_secs(10);

/// The last probe of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Pending,
    Alive,
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    began: Time,
    outcome: Outcome,
}

impl Probe {
    fn is_overdue(&self, now: Time) -> bool {
        let age = now.saturating_sub(self.began);
        self.outcome == Outcome::Pending && (ANSWER_DUE..ABANDONED).contains(&age)
    }
}

/// Signs of life by target address.
#[derive(Debug, Default)]
pub struct Pulse {
    /// When an event last came through each target.
    heard: SortedMap<SocketAddr, Time>,
    probes: SortedMap<SocketAddr, Probe>,
}

impl Pulse {
    /// Notes that an event came through these targets.
    pub fn on_event(&mut self, parts: impl Iterator<Item = SocketAddr>, now: Time) {
        for part in parts {
            *self.heard.get_or_insert_with(part, || now) = now;
        }
    }

    /// Begins a probe if nothing came through the target since `since` and no probe of it is recent.
    pub fn begin_probe(&mut self, target: SocketAddr, since: Time, now: Time) -> bool {
        let is_heard = self.heard.get(&target).is_some_and(|at| *at > since);
        let is_recent = self
            .probes
            .get(&target)
            .is_some_and(|p| now.saturating_sub(p.began) < PROBE_PAUSE);
        if is_heard || is_recent {
            return false;
        }
        self.begin(target, now);
        true
    }

    /// Notes that a connection to the target is tried, which shows as much as a probe.
    pub fn begin_connect(&mut self, target: SocketAddr, now: Time) {
        let is_pending = self.probes.get(&target).is_some_and(|p| {
            p.outcome == Outcome::Pending && now.saturating_sub(p.began) < ABANDONED
        });
        if !is_pending {
            self.begin(target, now);
        }
    }

    fn begin(&mut self, target: SocketAddr, now: Time) {
        let probe = Probe {
            began: now,
            outcome: Outcome::Pending,
        };
        self.probes.insert(target, probe);
    }

    /// Takes the end of a target's last probe or connection in.
    pub fn end_probe(&mut self, target: SocketAddr, is_alive: bool) {
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.outcome = if is_alive {
                Outcome::Alive
            } else {
                Outcome::Failed
            };
        }
    }

    /// Whether a target failed a probe that began after `since`.
    #[must_use]
    pub fn has_failed(&self, target: SocketAddr, since: Time) -> bool {
        self.probes
            .get(&target)
            .is_some_and(|p| p.began >= since && p.outcome == Outcome::Failed)
    }

    /// Whether a target failed a probe that began after `since`, or has not answered it in time.
    #[must_use]
    pub fn is_late(&self, target: SocketAddr, since: Time, now: Time) -> bool {
        self.probes.get(&target).is_some_and(|p| {
            p.began >= since && (p.outcome == Outcome::Failed || p.is_overdue(now))
        })
    }

    /// Whether a target has not answered a probe in time so far.
    #[must_use]
    pub fn is_unanswered(&self, target: SocketAddr, now: Time) -> bool {
        self.probes.get(&target).is_some_and(|p| p.is_overdue(now))
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        let is_fresh = |at: Time| now.saturating_sub(at) < LIFETIME;
        self.heard.retain(|_, at| is_fresh(*at));
        self.probes.retain(|_, p| is_fresh(p.began));
    }
}

#[cfg(test)]
mod tests;
