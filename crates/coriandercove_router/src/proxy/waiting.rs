//! Lets a request wait for room before its first attempt, and tries those that wait.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use slog::info;
use tokio::sync::{mpsc, oneshot};

use coriandercove_base::Time;

use super::proxied_request::{Destination, FailedAttempt, ProxiedRequest};
use super::{MAX_DEADLINE, RefusalAnswer, check_key, pick_service};
use crate::attempt::Attempts;
use crate::contention::ContentionMode;
use crate::fair_share::Rank;
use crate::path::{Demand, Path};
use crate::refusal::Refusal;
use crate::routes::EngineModel;
use crate::state::Router;
use crate::urgency::Level;
use crate::waiting::{
    BYTES_DIVISOR, Caller, Round, ServingGuard, Signal, Ticket, Tried, WAKE_INTERVAL, WaitOutcome,
    WaitQueue, Waiter, latest_start, search_pause,
};

/// What a request remembers of its wait.
#[derive(Default)]
pub(crate) struct WaitState {
    /// Whether the request counts among the arrivals of its account.
    pub(super) is_counted: Cell<bool>,
    /// Whether it waits or has waited.
    pub(super) has_waited: bool,
    /// Whether the log tells why it found no room.
    is_explained: Cell<bool>,
    /// Answer to a request that the configuration in force, or a stop, turns away.
    denied: Option<RefusalAnswer>,
}

impl WaitState {
    /// The answer of a request that was turned away while it waited.
    pub(super) fn take_denied(&mut self) -> Option<RefusalAnswer> {
        self.denied.take()
    }
}

/// A request's place in the queue, which is given up on drop.
struct Place {
    router: Rc<Router>,
    ticket: Ticket,
    /// Number of requests that were ahead when it began to wait.
    position: usize,
    since: Time,
    /// Time at which the wait ends at the latest.
    latest_start: Time,
    outcome: WaitOutcome,
}

impl Place {
    fn waited(&self) -> Duration {
        self.router.now().saturating_sub(self.since)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let queue = &mut self.router.contention.waiting.borrow_mut().queue;
        queue.remove(self.ticket);
        let metrics = &self.router.metrics.waiting;
        metrics.set_waiting(queue.len());
        metrics.on_end(self.outcome, self.waited());
        self.router.contention.room_changed.notify_one();
    }
}

/// Whether a request that was not placed for this reason may find room later.
fn is_lack_of_room(reason: Refusal) -> bool {
    matches!(
        reason,
        Refusal::Full | Refusal::Slow | Refusal::FairShare | Refusal::Urgency | Refusal::NoTarget
    )
}

/// What a check of a request that waits leads to.
enum Checked {
    /// It waits on.
    Waits,
    /// It is placed or refused in the same moment.
    Leaves,
    /// It is refused with [`WaitState::denied`].
    Denied(WaitOutcome),
}

impl ProxiedRequest {
    /// Chooses where the attempt is sent. The first attempt of a request to a contended service waits
    /// for room if there is none.
    pub(super) async fn choose_or_wait(&mut self) -> Result<Destination, FailedAttempt> {
        if !self.may_wait() {
            return self.choose();
        }
        let ahead = {
            let waiting = self.router.contention.waiting.borrow();
            waiting.queue.reason_ahead(&self.service.name, self.level())
        };
        let reason = match ahead {
            Some(reason) => reason,
            None => match self.choose() {
                Err(failed) if is_lack_of_room(failed.reason) => failed.reason,
                chosen => return chosen,
            },
        };
        self.count_arrival();
        let (mut place, signals) = self.enqueue(reason)?;
        if ahead.is_some() {
            // The request has not been tried yet.
            self.router.contention.room_changed.notify_one();
        }
        self.wait.has_waited = true;
        let chosen = self.wait_for_room(&mut place, signals, reason).await;
        if chosen.is_ok() {
            place.outcome = WaitOutcome::Placed;
            info!(self.router.log, "placed after waiting"; "req" => &*self.head.label,
                "urgency" => %self.level(), "position" => place.position,
                "ms" => place.waited().as_millis());
        }
        chosen
    }

    fn may_wait(&self) -> bool {
        let is_first = self.tried.is_empty() && self.attempts.sent() == 0;
        is_first
            && !self.wait.has_waited
            && self.router.stop.get().is_none()
            && self.demand().is_some()
            && self.is_contended()
    }

    /// Counts the request among the arrivals of its account, once.
    pub(super) fn count_arrival(&self) {
        if !self.wait.is_counted.replace(true) {
            let now = self.router.now();
            let account = self.account_key();
            self.router.usage.borrow_mut().on_arrival(account, now);
            if self.is_ranked() {
                let mut levels = self.router.contention.levels.borrow_mut();
                levels.on_arrival(self.level(), account, now);
            }
        }
    }

    /// Time that is left for the first event of a request that has waited.
    pub(super) fn objective_left(&self) -> Duration {
        if self.wait.has_waited {
            (self.arrived + self.route.objective).saturating_sub(self.router.now())
        } else {
            self.route.objective
        }
    }

    /// The rank behind those that wait at other entries.
    pub(super) fn behind_waiting(&self, rank: Rank) -> Rank {
        if self.attempts.sent() > 0 || !self.is_contended() {
            return rank;
        }
        let waiting = self.router.contention.waiting.borrow();
        let is_new = !self.wait.has_waited;
        let now = self.router.now();
        Rank {
            ahead: rank.ahead + waiting.ahead(&self.service.name, self.level(), is_new, now),
            ..rank
        }
    }

    /// Whether the log is to tell why the request found no room. One that waits is tried many times.
    pub(super) fn is_news(&self) -> bool {
        let is_explained = self.wait.is_explained.replace(true);
        !(is_explained && self.wait.has_waited && self.attempts.sent() == 0)
    }

    /// Records a path that was chosen for the request.
    pub(super) fn on_path_chosen(&self, engine: &EngineModel, demand: Demand, path: &Path) {
        if self.is_contended() {
            let mut waiting = self.router.contention.waiting.borrow_mut();
            waiting.queue.on_placed(
                &self.service.name,
                (engine, demand.prompt),
                path.unloaded_first_event,
                self.router.now(),
            );
        }
    }

    /// Latest time at which it is of use to place the request.
    fn latest_start(&self, queue: &WaitQueue<Caller>) -> Time {
        let prompt = self.demand().map_or(0, |d| d.prompt);
        let engine = self.service.engine.as_ref();
        let unloaded = engine.map_or(Duration::ZERO, |engine| {
            queue.unloaded_first_event(&self.service.name, engine, prompt)
        });
        latest_start(self.arrived, self.route.objective, unloaded, self.deadline)
    }

    /// What the configuration gives the request for its place in the queue.
    fn terms(&self) -> (Level, Time, Duration) {
        (self.level(), self.deadline, self.route.objective)
    }

    /// Puts the request into the queue.
    fn enqueue(
        &self,
        reason: Refusal,
    ) -> Result<(Place, mpsc::UnboundedReceiver<Signal>), FailedAttempt> {
        let (router, now) = (&self.router, self.router.now());
        let refused = || FailedAttempt::not_sent(reason);
        let mut waiting = router.contention.waiting.borrow_mut();
        let queue = &mut waiting.queue;
        let waiter = Waiter {
            service: self.service.name.clone(),
            level: self.level(),
            deadline: self.deadline,
            latest_start: self.latest_start(queue),
            bytes: self.bytes.bytes(),
            reason,
        };
        let latest_start = waiter.latest_start;
        let longest = latest_start.saturating_sub(now);
        let byte_limit = (router.bytes.held() + router.bytes.left()) / BYTES_DIVISOR;
        let (caller, signals) = mpsc::unbounded_channel();
        let enqueued = queue
            .enqueue(waiter, caller, byte_limit, now)
            .map_err(|outcome| {
                router.metrics.waiting.on_not_taken(outcome);
                refused()
            })?;
        if let Some(displaced) = enqueued.displaced {
            // The receiver is dropped only by a caller that leaves.
            let _ = displaced.send(Signal::Refuse(WaitOutcome::NoSpace));
        }
        router.metrics.waiting.set_waiting(queue.len());
        info!(router.log, "waiting"; "req" => &*self.head.label,
            "urgency" => %self.level(), "position" => enqueued.position,
            "reason" => reason.as_str(), "ms" => now.saturating_sub(self.arrived).as_millis(),
            "at_most_ms" => longest.as_millis());
        if let Some(serving) = waiting.begin_serving() {
            // What changed before is known to the search of this request.
            let changed = std::pin::pin!(router.contention.room_changed.notified());
            let _ = changed.enable();
            actix_rt::spawn(serve_waiting(Rc::clone(router), serving));
        }
        let place = Place {
            router: Rc::clone(router),
            ticket: enqueued.ticket,
            position: enqueued.position,
            since: now,
            latest_start,
            outcome: WaitOutcome::Left,
        };
        Ok((place, signals))
    }

    async fn wait_for_room(
        &mut self,
        place: &mut Place,
        mut signals: mpsc::UnboundedReceiver<Signal>,
        mut reason: Refusal,
    ) -> Result<Destination, FailedAttempt> {
        let router = Rc::clone(&self.router);
        loop {
            // Ends the wait in time also if the task that tries those that wait has failed.
            let left = place.latest_start.saturating_sub(router.now());
            let signal = tokio::select! {
                biased;
                () = router.wait_until_convicted(&self.marks) => {
                    place.outcome = WaitOutcome::Quarantined;
                    return Err(FailedAttempt::not_sent(Refusal::CrashingPart));
                }
                signal = signals.recv() => signal,
                () = tokio::time::sleep(left) => Some(Signal::Refuse(WaitOutcome::Expired)),
            };
            let tried = match signal {
                Some(Signal::Refuse(outcome)) => {
                    place.outcome = outcome;
                    return Err(FailedAttempt::not_sent(reason));
                }
                // Nobody else holds the sender, so that the request is out of the queue.
                None => return Err(FailedAttempt::not_sent(reason)),
                Some(Signal::Try(tried)) => Some(tried),
                Some(Signal::Check) => None,
            };
            let terms = self.terms();
            match self.check() {
                Checked::Denied(outcome) => {
                    place.outcome = outcome;
                    return Err(FailedAttempt::not_sent(reason));
                }
                Checked::Leaves => {
                    place.outcome = WaitOutcome::Reconfigured;
                    return self.choose();
                }
                Checked::Waits => {
                    if self.terms() != terms {
                        let queue = &mut router.contention.waiting.borrow_mut().queue;
                        let latest = self.latest_start(queue);
                        queue.update(place.ticket, self.level(), self.deadline, latest);
                        place.latest_start = latest;
                        if latest <= router.now() {
                            place.outcome = WaitOutcome::Expired;
                            return Err(FailedAttempt::not_sent(reason));
                        }
                    }
                }
            }
            let Some(tried) = tried else {
                continue;
            };
            match self.choose() {
                Err(failed) if is_lack_of_room(failed.reason) => {
                    reason = failed.reason;
                    // Fails only if the task that asked has ended.
                    let _ = tried.send(Tried::Waits(reason));
                }
                chosen => {
                    let _ = tried.send(Tried::Left);
                    return chosen;
                }
            }
        }
    }

    fn deny(&mut self, outcome: WaitOutcome, answer: RefusalAnswer) -> Checked {
        self.wait.denied = Some(answer);
        Checked::Denied(outcome)
    }

    /// Compares a request that waits with the stop, the configuration and the settings in force, and
    /// takes over what changed.
    fn check(&mut self) -> Checked {
        if self.router.stop.get().is_some() {
            // Any other entry can serve the caller at once.
            let answer = RefusalAnswer::not_run_until(Refusal::Stopping, Duration::ZERO);
            return self.deny(WaitOutcome::Stopped, answer);
        }
        let Some(cfg) = self.router.configuration() else {
            return Checked::Waits;
        };
        let reconfigured = WaitOutcome::Reconfigured;
        let Some(route) = cfg.route(&self.route.host, self.uri.path()).cloned() else {
            let answer = RefusalAnswer::final_answer(StatusCode::NOT_FOUND, "no_route");
            return self.deny(reconfigured, answer);
        };
        let account = match check_key(&cfg, &route, &self.head) {
            Ok(account) => account,
            Err(answer) => return self.deny(reconfigured, answer),
        };
        let own = &self.service.name;
        let mut split = route.split.iter();
        let name = if split.any(|(name, weight)| name == own && *weight > 0) {
            own.clone()
        } else {
            pick_service(&self.router, &route)
        };
        let stays = name == *own;
        let Some(service) = cfg.service(&name).cloned() else {
            let answer = RefusalAnswer::not_run(&self.router, Refusal::NoTarget, None);
            return self.deny(reconfigured, answer);
        };
        let account_priority = account.as_ref().and_then(|(_, priority)| *priority);
        self.priority = account_priority.unwrap_or(route.priority);
        self.account = account.map(|(name, _)| name);
        let timeout = route.timeout.min(MAX_DEADLINE);
        self.deadline = self.deadline.min(self.arrived + timeout);
        // Nothing has been sent, so that no attempt is on record.
        self.attempts = Attempts::new(route.repeat, route.max_attempts);
        self.version = cfg.version;
        self.route = route;
        self.service = service;
        // Its place in the queue would be that of another service.
        if stays && self.is_contended() {
            Checked::Waits
        } else {
            Checked::Leaves
        }
    }
}

/// What is compared with what is in force, so that a change is noticed at the next wake-up.
#[derive(PartialEq)]
struct InForce {
    configuration: Option<(u64, u64)>,
    contention: ContentionMode,
    is_stopping: bool,
}

impl InForce {
    fn of(router: &Router) -> Self {
        Self {
            configuration: router.configuration().map(|c| (c.version, c.revision)),
            contention: router.live.get().contention,
            is_stopping: router.stop.get().is_some(),
        }
    }
}

/// Tries the requests that wait at each wake-up, until none waits.
async fn serve_waiting(router: Rc<Router>, _serving: ServingGuard) {
    let mut in_force = InForce::of(&router);
    let mut pause = Duration::ZERO;
    loop {
        tokio::time::sleep(pause).await;
        let changed = router.contention.room_changed.notified();
        // Without a change, it goes on after the interval.
        let _ = tokio::time::timeout(WAKE_INTERVAL.saturating_sub(pause), changed).await;
        end_late_waits(&router, &mut in_force);
        pause = try_waiting(&router).await;
        if router.contention.waiting.borrow().queue.is_empty() {
            return;
        }
    }
}

/// Ends the waits that are of no use any more, and lets all requests check what has come into force.
fn end_late_waits(router: &Router, in_force: &mut InForce) {
    let new = InForce::of(router);
    let mut waiting = router.contention.waiting.borrow_mut();
    for (caller, outcome) in waiting.queue.take_late(router.now()) {
        // The receiver is dropped only by a caller that leaves.
        let _ = caller.send(Signal::Refuse(outcome));
    }
    if new != *in_force {
        *in_force = new;
        for caller in waiting.queue.handles() {
            let _ = caller.send(Signal::Check);
        }
    }
}

/// Tries the heads of the queue until a path search finds no room. Returns how long to pause then.
async fn try_waiting(router: &Rc<Router>) -> Duration {
    let mut round = Round::default();
    loop {
        let (ticket, answer) = {
            let waiting = router.contention.waiting.borrow();
            let Some((ticket, caller)) = waiting.queue.next(&mut round) else {
                return Duration::ZERO;
            };
            let (tried, answer) = oneshot::channel();
            let _ = caller.send(Signal::Try(tried));
            (ticket, answer)
        };
        let asked = router.now();
        // No answer means that the caller left.
        if let Ok(Tried::Waits(reason)) = answer.await {
            let mut waiting = router.contention.waiting.borrow_mut();
            waiting.queue.on_failed(ticket, reason);
            round.on_failed(reason);
            if round.is_over() {
                return search_pause(router.now().saturating_sub(asked));
            }
        }
    }
}
