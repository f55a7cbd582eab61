//! Tracks which targets are alive, by the events that arrive through them and by probes.
//!
//! Handles the failure of a target that many paths pass through, after which every stream through
//! it falls silent at once. A target is probed as soon as a stream through it has been silent for
//! half of the pause that the route allows and no other stream received an event through it
//! meanwhile. The other half of the pause is enough to lead the stream around the target.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{SortedMap, Time};

/// Minimum time between the starts of two probes of one target.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a target that has not answered a probe gets no new work. Targets answer within
/// a few ms; the rest allows for a busy entry.
pub const PROBE_LATE_AFTER: Duration = Duration::from_millis(80);
/// Time after which a probe without a result no longer counts as overdue. Every probe and every
/// connection attempt ends before it, unless the request that made the attempt was cancelled.
const PROBE_EXPIRY: Duration = Duration::from_millis(400);
/// Time after which events and probes are dropped.
const RECORD_LIFETIME: Duration = Duration::from_secs(10);

/// Result of the last probe of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    Pending,
    Alive,
    Failed,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    began: Time,
    state: ProbeState,
}

impl Probe {
    fn is_overdue(&self, now: Time) -> bool {
        let age = now.saturating_sub(self.began);
        self.state == ProbeState::Pending && (PROBE_LATE_AFTER..PROBE_EXPIRY).contains(&age)
    }
}

/// Time for which the end of a target is remembered; no request takes longer.
const END_LIFETIME: Duration = Duration::from_secs(30);

/// Last event, last probe and last end by target address.
#[derive(Debug, Default)]
pub struct Liveness {
    /// Time of the last event that arrived through each target.
    last_events: SortedMap<SocketAddr, Time>,
    probes: SortedMap<SocketAddr, Probe>,
    /// Time at which each target was last found to have ended.
    ends: SortedMap<SocketAddr, Time>,
}

impl Liveness {
    /// Records an event that arrived through these targets.
    pub fn on_event(&mut self, targets: impl Iterator<Item = SocketAddr>, now: Time) {
        for target in targets {
            *self.last_events.get_or_insert_with(target, || now) = now;
        }
    }

    /// Records the start of a probe, unless an event arrived through the target after `since` or
    /// its last probe started less than `MIN_PROBE_INTERVAL` ago. Returns whether the caller
    /// should send the probe.
    pub fn begin_probe(&mut self, target: SocketAddr, since: Time, now: Time) -> bool {
        let has_event = self.last_events.get(&target).is_some_and(|at| *at > since);
        let is_recent = self
            .probes
            .get(&target)
            .is_some_and(|p| now.saturating_sub(p.began) < MIN_PROBE_INTERVAL);
        if has_event || is_recent {
            return false;
        }
        self.begin(target, now);
        true
    }

    /// Records the start of a probe of a target that broke a connection, unless a probe is pending or
    /// one has just failed. An earlier connection attempt does not show whether the target has ended
    /// since. Returns whether the caller should send the probe.
    pub fn begin_recheck(&mut self, target: SocketAddr, now: Time) -> bool {
        let is_known = self.probes.get(&target).is_some_and(|p| {
            let age = now.saturating_sub(p.began);
            match p.state {
                ProbeState::Pending => age < PROBE_EXPIRY,
                ProbeState::Failed => age < MIN_PROBE_INTERVAL,
                ProbeState::Alive => false,
            }
        });
        if !is_known {
            self.begin(target, now);
        }
        !is_known
    }

    /// Records the start of a connection attempt, which shows as much as a probe, unless one is
    /// pending.
    pub fn begin_connect(&mut self, target: SocketAddr, now: Time) {
        let is_pending = self.probes.get(&target).is_some_and(|p| {
            p.state == ProbeState::Pending && now.saturating_sub(p.began) < PROBE_EXPIRY
        });
        if !is_pending {
            self.begin(target, now);
        }
    }

    fn begin(&mut self, target: SocketAddr, now: Time) {
        let probe = Probe {
            began: now,
            state: ProbeState::Pending,
        };
        self.probes.insert(target, probe);
    }

    /// Records the result of a target's last probe or connection attempt.
    pub fn end_probe(&mut self, target: SocketAddr, is_alive: bool) {
        if let Some(probe) = self.probes.get_mut(&target) {
            probe.state = if is_alive {
                ProbeState::Alive
            } else {
                ProbeState::Failed
            };
        }
    }

    /// Records that nothing listened at a target's address, or that another incarnation answered there.
    pub fn on_ended(&mut self, target: SocketAddr, now: Time) {
        self.ends.insert(target, now);
    }

    /// Whether a target that broke a connection at `broke_at` was found to have ended then. A check is
    /// not repeated within `MIN_PROBE_INTERVAL`, so that the refusal may have come before the break was
    /// noticed.
    #[must_use]
    pub fn has_ended(&self, target: SocketAddr, sent_at: Time, broke_at: Time) -> bool {
        let since = sent_at.max(broke_at.saturating_sub(MIN_PROBE_INTERVAL));
        self.ends.get(&target).is_some_and(|at| *at >= since)
    }

    /// Whether a probe of the target that began at or after `since` failed.
    #[must_use]
    pub fn has_failed(&self, target: SocketAddr, since: Time) -> bool {
        self.probes
            .get(&target)
            .is_some_and(|p| p.began >= since && p.state == ProbeState::Failed)
    }

    /// Whether a probe of the target that began at or after `since` failed or is overdue.
    #[must_use]
    pub fn has_failed_or_is_overdue(&self, target: SocketAddr, since: Time, now: Time) -> bool {
        self.probes.get(&target).is_some_and(|p| {
            p.began >= since && (p.state == ProbeState::Failed || p.is_overdue(now))
        })
    }

    /// Whether the target's last probe or connection attempt is pending for longer than
    /// [`PROBE_LATE_AFTER`].
    #[must_use]
    pub fn is_probe_overdue(&self, target: SocketAddr, now: Time) -> bool {
        self.probes.get(&target).is_some_and(|p| p.is_overdue(now))
    }

    /// Drops events and probes that are older than `RECORD_LIFETIME`, and ends that are older than
    /// `END_LIFETIME`.
    pub fn expire(&mut self, now: Time) {
        let is_fresh = |at: Time| now.saturating_sub(at) < RECORD_LIFETIME;
        self.last_events.retain(|_, at| is_fresh(*at));
        self.probes.retain(|_, p| is_fresh(p.began));
        self.ends
            .retain(|_, at| now.saturating_sub(*at) < END_LIFETIME);
    }
}

#[cfg(test)]
mod tests;
