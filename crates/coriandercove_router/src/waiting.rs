//! Holds model requests that find no room until some becomes free.
//!
//! Load pattern: for some seconds more requests arrive than full chains can take, or all holders of a
//! layer are lost for a moment. Places become free all the time, but a request that is refused at once
//! takes none of them, and its caller returns into the same shortage. A request therefore waits for as
//! long as it can still meet its objective, the most urgent one first.
//!
//! [`WaitQueue`] decides which requests wait, in which order they are tried, and which are refused.
//! [`WaitingTracker`] adds what the entries tell each other. The requests that wait are tried by the
//! runtime in the `proxy` module.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use coriandercove_base::hash::hash64;
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::{NodeId, SortedMap, Time, data};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use crate::load::DIGEST_LIFETIME;
use crate::refusal::Refusal;
use crate::routes::{EngineModel, ServiceId};
use crate::urgency::Level;

/// Identifies a request that waits at this entry.
pub type Ticket = u64;

/// Maximum number of requests that wait at an entry.
pub const MAX_WAITING: usize = 64;
/// Maximum number of them whose accounts or levels have their share already. They leave places for
/// the requests of others.
const MAX_LIMITED: usize = MAX_WAITING / 4;
/// Part of the byte budget that requests which wait may hold together, as a divisor.
pub const BYTES_DIVISOR: usize = 4;
/// Maximum time between two tries while a request waits.
pub const WAKE_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum pause after a path search that found no room; wake-ups come faster than places do.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(5);
/// Pause after such a search in multiples of its duration. Searches take milliseconds on entries with
/// a fraction of a core, which the streams in flight need.
const SEARCH_PAUSE_FACTOR: u32 = 4;
/// Time constant of the rate of placements; a burst lasts for two or three of them.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Time for which callers wait for a first event, in multiples of the objective, and its minimum.
const PATIENCE_OBJECTIVES: u32 = 4;
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Maximum number of levels that a report names, the most urgent first.
const MAX_REPORTED_LEVELS: usize = 16;
/// Weight of a new path in the moving mean of [`ServiceState::unloaded_factor`].
const UNLOADED_WEIGHT: f64 = 0.1;
/// Minimum prompt that counts for this mean, as a share of the usual one. With fewer tokens the delay
/// of the network outweighs the prefill, so that the factor says nothing of other prompts.
const MIN_UNLOADED_PROMPT: f64 = 0.25;
/// Bounds of the factor of a path.
const UNLOADED_FACTORS: (f64, f64) = (0.1, 10.0);

/// A request that is to wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Service whose targets it waits for.
    pub service: ServiceId,
    /// Its urgency.
    pub level: Level,
    /// Deadline of its caller.
    pub deadline: Time,
    /// Time after which it could not meet its objective any more.
    pub latest_start: Time,
    /// Memory that it holds.
    pub bytes: usize,
    /// Why there was no room for it.
    pub reason: Refusal,
}

impl Waiter {
    /// Whether it waits for the share of its account or level rather than for room.
    fn is_limited(&self) -> bool {
        self.reason.is_limit()
    }
}

/// How a wait ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// Room was found.
    Placed,
    /// The first event would come too late from now on.
    Expired,
    /// More requests wait ahead than are placed in time.
    Hopeless,
    /// The caller disconnected.
    Left,
    /// The entry stops.
    Stopped,
    /// Another configuration, or another setting, came into force.
    Reconfigured,
    /// The queue is full.
    NoSpace,
    /// A part of the prompt came into quarantine.
    Quarantined,
}

impl WaitOutcome {
    /// Name in log lines and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Expired => "expired",
            Self::Hopeless => "hopeless",
            Self::Left => "left",
            Self::Stopped => "stopped",
            Self::Reconfigured => "reconfigured",
            Self::NoSpace => "no_space",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Latest time at which a request is of use to its caller if it starts then: it meets its objective,
/// and its caller has not waited for half of its patience. `unloaded` is the expected time to its first
/// event if no prompts wait.
#[must_use]
pub fn latest_start(
    arrived: Time,
    objective: Duration,
    unloaded: Duration,
    deadline: Time,
) -> Time {
    let patience = (objective * PATIENCE_OBJECTIVES).max(MIN_PATIENCE);
    let by_objective = objective.saturating_sub(unloaded);
    (arrived + by_objective.min(patience / 2)).min(deadline)
}

/// Pause after a path search of duration `took` that found no room.
#[must_use]
pub fn search_pause(took: Duration) -> Duration {
    took.saturating_mul(SEARCH_PAUSE_FACTOR)
        .clamp(MIN_SEARCH_PAUSE, WAKE_INTERVAL)
}

/// What this entry knows of the placements of a service.
#[derive(Debug, Clone, Copy)]
struct ServiceState {
    /// Placements, each of which loses weight with [`RATE_WINDOW`].
    placed: f64,
    last_placed: Time,
    /// Moving mean of the time to the first event of unloaded paths, as a factor on what the engine
    /// model gives; none before the first prompt that counts for it.
    unloaded_factor: Option<f64>,
}

impl ServiceState {
    fn placed_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_placed);
        self.placed * (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }
}

/// Time to prefill a prompt by the engine model, with the mean prefill factor of its accelerators.
fn modeled_first_event(engine: &EngineModel, prompt: u32) -> f64 {
    let factors = engine.accelerators.iter().map(|a| a.prefill_factor);
    let mean = factors.sum::<f64>() / engine.accelerators.len().max(1) as f64;
    f64::from(prompt) / engine.prefill_per_ms.max(f64::MIN_POSITIVE) * mean.max(1.0) / 1e3
}

#[derive(Debug)]
struct Entry<T> {
    ticket: Ticket,
    waiter: Waiter,
    handle: T,
}

impl<T> Entry<T> {
    fn order(&self) -> (Level, Time, Ticket) {
        (self.waiter.level, self.waiter.deadline, self.ticket)
    }
}

/// A request that was taken into the queue.
#[derive(Debug)]
pub struct Enqueued<T> {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Number of requests ahead of it that wait for the same places.
    pub position: usize,
    /// Handle of a less urgent request that it displaced from the full queue.
    pub displaced: Option<T>,
}

/// Requests that wait at this entry. `T` is the handle by which the runtime reaches a request.
#[derive(Debug)]
pub struct WaitQueue<T> {
    /// Sorted by [`Entry::order`].
    entries: Vec<Entry<T>>,
    next_ticket: Ticket,
    /// Service whose requests were last found to have no room; the others are tried first.
    last_full: Option<ServiceId>,
    services: SortedMap<ServiceId, ServiceState>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            next_ticket: 0,
            last_full: None,
            services: SortedMap::default(),
        }
    }
}

/// Requests tried since a wake-up.
#[derive(Debug, Default)]
pub struct Round {
    tried: Vec<Ticket>,
    /// Whether a path search found no room, which ends the round.
    is_over: bool,
}

impl Round {
    /// Records a request that was tried and waits on, for `reason`.
    pub fn on_failed(&mut self, reason: Refusal) {
        self.is_over |= !reason.is_limit();
    }

    /// Whether a path search found no room.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_over
    }
}

impl<T> WaitQueue<T> {
    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Handles of all requests that wait.
    pub fn handles(&self) -> impl Iterator<Item = &T> {
        self.entries.iter().map(|e| &e.handle)
    }

    /// Records that a request of the service was placed on a path whose first event takes `unloaded` if
    /// no prompts wait.
    pub fn on_placed(
        &mut self,
        service: &ServiceId,
        (engine, prompt): (&EngineModel, u32),
        unloaded: Duration,
        now: Time,
    ) {
        let new = || ServiceState {
            placed: 0.0,
            last_placed: now,
            unloaded_factor: None,
        };
        let state = self.services.get_or_insert_with(service.clone(), new);
        state.placed = state.placed_at(now) + 1.0;
        state.last_placed = now;
        let modeled = modeled_first_event(engine, prompt);
        let is_short = f64::from(prompt) < MIN_UNLOADED_PROMPT * engine.usual_prompt;
        if is_short || modeled <= 0.0 {
            return;
        }
        let (min, max) = UNLOADED_FACTORS;
        let factor = (unloaded.as_secs_f64() / modeled).clamp(min, max);
        let mean = state.unloaded_factor.unwrap_or(factor);
        state.unloaded_factor = Some(mean + (factor - mean) * UNLOADED_WEIGHT);
    }

    /// Expected time to the first event of a prompt if no others wait: by the paths found lately, or
    /// else by the engine model.
    #[must_use]
    pub fn unloaded_first_event(
        &self,
        service: &str,
        engine: &EngineModel,
        prompt: u32,
    ) -> Duration {
        let factor = self
            .services
            .get(service)
            .and_then(|s| s.unloaded_factor)
            .unwrap_or(1.0);
        let seconds = modeled_first_event(engine, prompt) * factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Placements of the service that are expected from now until `until`.
    fn expected_placements(&self, service: &str, now: Time, until: Time) -> f64 {
        let rate = self
            .services
            .get(service)
            .map_or(0.0, |s| s.placed_at(now) / RATE_WINDOW.as_secs_f64());
        rate * until.saturating_sub(now).as_secs_f64()
    }

    /// Number of requests ahead of `order` that take places which `waiter` waits for. Those whose
    /// accounts or levels have their share take none from others.
    fn position(&self, waiter: &Waiter, order: (Level, Time, Ticket)) -> usize {
        self.entries
            .iter()
            .take_while(|e| e.order() < order)
            .filter(|e| e.waiter.service == waiter.service)
            .filter(|e| waiter.is_limited() || !e.waiter.is_limited())
            .count()
    }

    /// Whether so many wait ahead that the request is not expected to be placed in time. The first one
    /// is tried in any case, as nothing is known of the next place.
    fn is_hopeless(&self, waiter: &Waiter, order: (Level, Time, Ticket), now: Time) -> bool {
        let position = self.position(waiter, order) as f64;
        position > self.expected_placements(&waiter.service, now, waiter.latest_start)
    }

    /// Why the requests wait that a new request of this level must go behind; none if it may be tried
    /// at once.
    #[must_use]
    pub fn reason_ahead(&self, service: &str, level: Level) -> Option<Refusal> {
        let ahead = self.entries.iter().take_while(|e| e.waiter.level <= level);
        let ahead = ahead.filter(|e| *e.waiter.service == *service && !e.waiter.is_limited());
        ahead.last().map(|e| e.waiter.reason)
    }

    /// Takes a request into the queue. `byte_limit` bounds the memory that all requests in it hold.
    ///
    /// # Errors
    /// The outcome, if the request is not to wait.
    pub fn enqueue(
        &mut self,
        waiter: Waiter,
        handle: T,
        byte_limit: usize,
        now: Time,
    ) -> Result<Enqueued<T>, WaitOutcome> {
        if waiter.latest_start <= now {
            return Err(WaitOutcome::Expired);
        }
        let ticket = self.next_ticket;
        let order = (waiter.level, waiter.deadline, ticket);
        if self.is_hopeless(&waiter, order, now) {
            return Err(WaitOutcome::Hopeless);
        }
        let limited = self.entries.iter().filter(|e| e.waiter.is_limited());
        if waiter.is_limited() && limited.count() >= MAX_LIMITED {
            return Err(WaitOutcome::NoSpace);
        }
        let held: usize = self.entries.iter().map(|e| e.waiter.bytes).sum();
        let fits = |count: usize, held: usize| {
            count < MAX_WAITING && held.saturating_add(waiter.bytes) <= byte_limit
        };
        let mut displaced = None;
        if !fits(self.entries.len(), held) {
            let last = self.entries.last().map(|e| &e.waiter);
            let fits_instead = |l: &&Waiter| {
                l.level > waiter.level && fits(self.entries.len() - 1, held - l.bytes)
            };
            if last.filter(fits_instead).is_none() {
                return Err(WaitOutcome::NoSpace);
            }
            displaced = self.entries.pop().map(|e| e.handle);
        }
        self.next_ticket += 1;
        let position = self.position(&waiter, order);
        let at = self.entries.partition_point(|e| e.order() < order);
        let entry = Entry {
            ticket,
            waiter,
            handle,
        };
        self.entries.insert(at, entry);
        Ok(Enqueued {
            ticket,
            position,
            displaced,
        })
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let at = self.entries.iter().position(|e| e.ticket == ticket)?;
        Some(self.entries.remove(at).handle)
    }

    /// Takes over what a new configuration gives a request.
    pub fn update(&mut self, ticket: Ticket, level: Level, deadline: Time, latest_start: Time) {
        let found = self.entries.iter().position(|e| e.ticket == ticket);
        if let Some(at) = found {
            let waiter = &mut self.entries[at].waiter;
            waiter.level = level;
            waiter.deadline = deadline;
            waiter.latest_start = latest_start;
            self.entries.sort_by_key(Entry::order);
        }
    }

    /// Records why a request that was tried found no room again.
    pub fn on_failed(&mut self, ticket: Ticket, reason: Refusal) {
        let found = self.entries.iter_mut().find(|e| e.ticket == ticket);
        if let Some(entry) = found {
            entry.waiter.reason = reason;
            if !entry.waiter.is_limited() {
                self.last_full = Some(entry.waiter.service.clone());
            }
        }
    }

    /// Removes the requests that cannot be placed in time any more.
    pub fn take_late(&mut self, now: Time) -> Vec<(T, WaitOutcome)> {
        let mut late = Vec::new();
        let mut i = 0;
        while let Some(entry) = self.entries.get(i) {
            let outcome = if entry.waiter.latest_start <= now {
                WaitOutcome::Expired
            } else if self.is_hopeless(&entry.waiter, entry.order(), now) {
                WaitOutcome::Hopeless
            } else {
                i += 1;
                continue;
            };
            late.push((self.entries.remove(i).handle, outcome));
        }
        late
    }

    /// The next request to try in a round: the most urgent one of a service, then the next one if that
    /// was placed or waits for the share of its account or level. A service whose requests found no room last comes
    /// after the others, as it may lack a layer.
    pub fn next(&self, round: &mut Round) -> Option<(Ticket, &T)> {
        if round.is_over {
            return None;
        }
        let is_left = |e: &&Entry<T>| !round.tried.contains(&e.ticket);
        let is_last = |e: &&Entry<T>| Some(&e.waiter.service) == self.last_full.as_ref();
        let mut left = self.entries.iter().filter(is_left);
        let other = left.clone().find(|e| !is_last(e));
        let entry = other.or_else(|| left.next())?;
        round.tried.push(entry.ticket);
        Some((entry.ticket, &entry.handle))
    }

    /// Number of requests that wait for room, by service and level.
    fn counts(&self) -> SortedMap<(Level, ServiceKey), u32> {
        let mut counts = SortedMap::default();
        for e in self.entries.iter().filter(|e| !e.waiter.is_limited()) {
            let key = (e.waiter.level, service_key(&e.waiter.service));
            *counts.get_or_insert_with(key, || 0) += 1;
        }
        counts
    }

    /// Forgets services without recent placements.
    fn expire(&mut self, now: Time) {
        self.services
            .retain(|_, s| now.saturating_sub(s.last_placed) < RATE_WINDOW * 30);
    }
}

/// Short name of a service in reports.
type ServiceKey = u32;

fn service_key(service: &str) -> ServiceKey {
    hash64(&[service.as_bytes()]) as ServiceKey
}

data! {
    /// Requests of one level that wait for room at an entry.
    #[derive(Copy, Eq)]
    pub struct WaitingLevel {
        /// Urgency of the requests.
        pub level: Level,
        /// Hash of the service that they wait for.
        pub service: u32,
        /// Number of requests.
        pub requests: u32,
    }

    /// Requests that wait at an entry.
    #[derive(Eq, Default)]
    pub struct WaitingReport {
        /// Requests by level and service, the most urgent first.
        pub levels: Vec<WaitingLevel>,
    }
}

/// Answer of a request that was told to try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tried {
    /// It does not wait any more.
    Left,
    /// It waits on, for this reason.
    Waits(Refusal),
}

/// What a request that waits is told.
#[derive(Debug)]
pub enum Signal {
    /// Try to find room, and say whether there was some.
    Try(oneshot::Sender<Tried>),
    /// Compare with the configuration and the settings in force.
    Check,
    /// Stop waiting.
    Refuse(WaitOutcome),
}

/// Handle of a request that waits.
pub type Caller = mpsc::UnboundedSender<Signal>;

/// Held by the task that tries the requests that wait. Another one may begin once it is dropped, also
/// by a panic or an abort of the task.
#[derive(Debug)]
pub struct ServingGuard(Rc<Cell<bool>>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Requests that wait, of all entries.
#[derive(Debug, Default)]
pub struct WaitingTracker {
    /// Requests that wait at this entry.
    pub queue: WaitQueue<Caller>,
    /// Whether a task tries them.
    is_served: Rc<Cell<bool>>,
    /// Last report of each peer at which requests wait, with the time of its arrival.
    peers: SortedMap<NodeId, (Time, WaitingReport)>,
}

impl WaitingTracker {
    /// Lets a task try the requests that wait; none if another one does.
    #[must_use]
    pub fn begin_serving(&self) -> Option<ServingGuard> {
        let is_served = self.is_served.replace(true);
        (!is_served).then(|| ServingGuard(Rc::clone(&self.is_served)))
    }

    /// What this entry tells its peers.
    #[must_use]
    pub fn report(&self, _now: Time) -> WaitingReport {
        let counts = self.queue.counts();
        let levels = counts.iter().map(|((level, service), n)| WaitingLevel {
            level: *level,
            service: *service,
            requests: *n,
        });
        WaitingReport {
            levels: levels.take(MAX_REPORTED_LEVELS).collect(),
        }
    }

    /// Replaces what a peer told.
    pub fn on_report(&mut self, from: &NodeId, mut report: WaitingReport, now: Time) {
        if report.levels.is_empty() {
            self.peers.remove(from);
            return;
        }
        report.levels.truncate(MAX_REPORTED_LEVELS);
        let mut left = MAX_WAITING as u32;
        for counted in &mut report.levels {
            counted.requests = counted.requests.min(left);
            left -= counted.requests;
        }
        self.peers.insert(from.clone(), (now, report));
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Time) {
        self.peers
            .retain(|_, (at, _)| now.saturating_sub(*at) < DIGEST_LIFETIME);
        self.queue.expire(now);
    }

    /// Number of requests that wait at the peers for the same places and go ahead of one of this level.
    /// For a new request, those of its own level go ahead as well. One that waits itself comes first at
    /// its entry, and would otherwise wait for peers that wait for it.
    ///
    /// A report loses its weight with its age: what it counts has been placed or refused meanwhile.
    #[must_use]
    pub fn ahead(&self, service: &str, level: Level, is_new: bool, now: Time) -> f64 {
        let key = service_key(service);
        let goes_ahead =
            |w: &&WaitingLevel| w.service == key && (w.level < level || is_new && w.level == level);
        let counts = self.peers.values().map(|(at, report)| {
            let age = now.saturating_sub(*at).as_secs_f64() / DIGEST_LIFETIME.as_secs_f64();
            let requests: u32 = report
                .levels
                .iter()
                .filter(goes_ahead)
                .map(|w| w.requests)
                .sum();
            f64::from(requests) * (1.0 - age).max(0.0)
        });
        counts.sum()
    }
}

/// Metrics of the requests that wait.
#[derive(Clone)]
pub struct WaitingMetrics {
    /// Requests that wait now.
    requests: Gauge,
    /// Time for which requests waited.
    waited: Histogram,
    /// Ends of waits, and requests that were not taken into the queue, by outcome.
    outcomes: CounterFamily,
}

impl WaitingMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(m: &Metrics) -> Self {
        Self {
            requests: m.gauge("waiting_requests", "Requests that wait for room"),
            waited: m.duration_histogram("waited_seconds", "Time for which requests waited"),
            outcomes: m.counters("waiting_outcomes", "Ends of waits by outcome"),
        }
    }

    /// Shows how many requests wait.
    pub fn set_waiting(&self, requests: usize) {
        self.requests.set(requests.cast_signed() as i64);
    }

    /// Counts a wait of this length that ended.
    pub fn on_end(&self, outcome: WaitOutcome, waited: Duration) {
        self.waited.observe(waited.as_secs_f64());
        self.on_not_taken(outcome);
    }

    /// Counts a request that was not taken into the queue.
    pub fn on_not_taken(&self, outcome: WaitOutcome) {
        count(&self.outcomes, "outcome", outcome.as_str());
    }
}

#[cfg(test)]
mod tests;
