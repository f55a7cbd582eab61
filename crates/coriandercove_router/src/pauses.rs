//! Targets that asked for a pause when they turned a request away.
//!
//! Load pattern: a target in trouble answers 503 and names a time in which it wants nothing from this
//! entry, while callers go on sending at the same rate. Within the time nothing is sent to it: no
//! request, repeat, probe, report or order. When it ends, each entry waits a little longer at random
//! and then tries a single request, so that neither the entries nor the requests of one return
//! together.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::rng::Rng;
use coriandercove_base::{SortedMap, Time};
use rand::Rng as _;

/// Longest pause that is kept to, so that a wrong value does not take a target out for good.
const MAX_PAUSE: Duration = Duration::from_secs(300);
/// Maximum addition to a pause, as a share of it, and at the most.
const SPREAD_SHARE: f64 = 0.2;
const MAX_SPREAD: Duration = Duration::from_millis(800);
/// Time for which the request after a pause keeps others away if it gets no answer.
const TRIAL_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Pause {
    /// Time at which the target last turned a request away.
    since: Time,
    until: Time,
    /// Time at which the first request after the pause was sent; none before it.
    trial: Option<Time>,
}

/// Pauses by the address of the target.
#[derive(Debug, Default)]
pub struct Pauses {
    targets: SortedMap<SocketAddr, Pause>,
}

impl Pauses {
    /// Records that a target turned a request away and wants nothing for `wait`. Returns the pause
    /// that is kept to.
    pub fn on_refused(
        &mut self,
        target: SocketAddr,
        wait: Duration,
        now: Time,
        rng: &mut Rng,
    ) -> Duration {
        let wait = wait.min(MAX_PAUSE);
        let spread = wait.mul_f64(SPREAD_SHARE).min(MAX_SPREAD);
        let kept = wait + spread.mul_f64(rng.random());
        let before = self.targets.get(&target).map_or(Time::ZERO, |p| p.until);
        let pause = Pause {
            since: now,
            until: before.max(now + kept),
            trial: None,
        };
        self.targets.insert(target, pause);
        kept
    }

    /// Records that a target took a request that was sent at `sent_at`.
    pub fn on_accepted(&mut self, target: SocketAddr, sent_at: Time) {
        if self
            .targets
            .get(&target)
            .is_some_and(|p| p.until <= sent_at)
        {
            self.targets.remove(&target);
        }
    }

    /// Forgets the pause of a target that was started again.
    pub fn on_restarted(&mut self, target: SocketAddr) {
        self.targets.remove(&target);
    }

    /// Counts a request that is sent to a target.
    pub fn on_sent(&mut self, target: SocketAddr, now: Time) {
        if let Some(pause) = self.targets.get_mut(&target).filter(|p| p.until <= now) {
            pause.trial = Some(now);
        }
    }

    /// Whether a request may be sent to a target now.
    #[must_use]
    pub fn allows(&self, target: SocketAddr, now: Time) -> bool {
        self.targets.get(&target).is_none_or(|p| {
            let is_tried = p
                .trial
                .is_some_and(|at| now.saturating_sub(at) < TRIAL_TIME);
            p.until <= now && !is_tried
        })
    }

    /// Whether a target is within its pause.
    #[must_use]
    pub fn is_paused(&self, target: SocketAddr, now: Time) -> bool {
        self.targets.get(&target).is_some_and(|p| now < p.until)
    }

    /// Number of targets within their pause. Those whose pause ended long ago are dropped.
    pub fn count(&mut self, now: Time) -> usize {
        self.targets.retain(|_, p| {
            now < p.until + MAX_PAUSE && now.saturating_sub(p.since) < MAX_PAUSE * 2
        });
        self.targets.values().filter(|p| now < p.until).count()
    }
}

#[cfg(test)]
mod tests;
