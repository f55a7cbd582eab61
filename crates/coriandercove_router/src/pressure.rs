//! Measures the shortage of an entry's own resources, and decides whether the entry serves new model
//! requests.
//!
//! Load pattern: entries with a few hundredths of a core and some Mbit/s serve beside larger ones, and
//! get as many requests. While one of them is short of processor time, memory or bandwidth, its
//! callers' events are late although the targets are not, and any other entry can serve new requests at
//! once. If most entries are short, a caller that is sent away finds nothing better, so that each
//! serves as best it can.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng as _;
use slog::{info, warn};

use coriandercove_base::rng::Rng;
use coriandercove_base::telemetry::{GaugeFamily, Metrics};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{NodeId, SortedMap, Time, data};

use crate::lag::LAG_LIMIT;
use crate::load::DIGEST_LIFETIME;
use crate::protocol::CallerHead;
use crate::state::Router;

/// Pressure from which on an entry rejects new model requests.
const REJECT_FROM: f64 = 0.9;
/// Pressure below which it serves them again.
const SERVE_BELOW: f64 = 0.7;
/// Interval of the samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Time constant of the smoothing. An overload is found before it delays first events by the
/// objective of the most urgent requests, 500 ms.
const SMOOTHING: Duration = Duration::from_millis(150);
/// Maximum weight of one sample, as a time; a single one does not reach [`REJECT_FROM`], as one stall
/// of the process is no lasting shortage.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(300);
/// Lateness of a timer that counts as full pressure: half of the pause between events that callers
/// accept. An entry that the system pauses for the rest of each 100 ms stays below it.
const FULL_LATENESS: Duration = Duration::from_millis(150);
/// Share of the requests in flight whose callers are behind that counts as full pressure. A link that
/// is too slow delays all callers; slow callers are fewer.
const FULL_BEHIND_SHARE: f64 = 0.5;
/// Callers behind that do not count; some callers read slowly on any link.
const USUAL_BEHIND: usize = 3;
/// Time after which a caller that has taken nothing counts as one that does not read, which is no sign
/// of a slow link.
const NOT_READING_AFTER: Duration = Duration::from_secs(3);
/// Longest delay that a rejected caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of peers whose reports are kept; far above what a deployment has.
const MAX_PEERS: usize = 256;

data! {
    /// Shortage of one entry's resources.
    #[derive(Copy, Eq, Default)]
    pub struct PressureReport {
        /// Pressure in percent.
        pub percent: u8,
        /// Whether the entry is short, so that others should serve new model requests.
        pub is_short: bool,
    }
}

/// One measurement of an entry's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Time by which a timer was late.
    pub lateness: Duration,
    /// Share of the byte budget in use, from 0 to 1.
    pub bytes_share: f64,
    /// Callers that are behind for a while and still read.
    pub behind: usize,
    /// Requests in flight.
    pub in_flight: usize,
}

/// Pressure by resource, each from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pressure {
    /// Shortage of processor time.
    pub processor: f64,
    /// Shortage of memory.
    pub memory: f64,
    /// Shortage of bandwidth to callers.
    pub bandwidth: f64,
}

impl Pressure {
    fn of(sample: Sample) -> Self {
        let lateness = sample.lateness.as_secs_f64() / FULL_LATENESS.as_secs_f64();
        let behind = sample.behind.saturating_sub(USUAL_BEHIND) as f64;
        let behind_share = behind / sample.in_flight.max(1) as f64;
        Self {
            processor: lateness.min(1.0),
            memory: sample.bytes_share.clamp(0.0, 1.0),
            bandwidth: (behind_share / FULL_BEHIND_SHARE).min(1.0),
        }
    }

    fn approach(&mut self, raw: Self, weight: f64) {
        for (value, raw) in [
            (&mut self.processor, raw.processor),
            (&mut self.memory, raw.memory),
            (&mut self.bandwidth, raw.bandwidth),
        ] {
            *value += (raw - *value) * weight;
        }
    }

    /// Pressure of the scarcest resource.
    #[must_use]
    pub fn max(self) -> f64 {
        self.processor.max(self.memory).max(self.bandwidth)
    }
}

/// Change of an entry's state by a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The entry has come to be short.
    Short,
    /// The entry is no longer short.
    Relieved,
}

/// Shortage of resources, of all entries.
#[derive(Debug, Default)]
pub struct PressureMonitor {
    own: Pressure,
    last_sample: Time,
    /// Whether this entry is short. Set from [`REJECT_FROM`] on, until the pressure is below
    /// [`SERVE_BELOW`].
    is_short: bool,
    /// Last report of each peer and its time; at most [`MAX_PEERS`].
    peers: SortedMap<NodeId, (PressureReport, Time)>,
}

impl PressureMonitor {
    /// Records a measurement of this entry. Returns whether its state changes.
    pub fn on_sample(&mut self, sample: Sample, now: Time) -> Option<Change> {
        let time = now.saturating_sub(self.last_sample).min(MAX_SAMPLE_TIME);
        self.last_sample = now;
        let weight = 1.0 - (-time.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        self.own.approach(Pressure::of(sample), weight);
        let limit = if self.is_short {
            SERVE_BELOW
        } else {
            REJECT_FROM
        };
        let is_short = self.own.max() >= limit;
        if is_short == std::mem::replace(&mut self.is_short, is_short) {
            return None;
        }
        Some(if is_short {
            Change::Short
        } else {
            Change::Relieved
        })
    }

    /// Forgets what this entry measured; no service is contended.
    pub fn reset(&mut self) {
        self.own = Pressure::default();
        self.is_short = false;
    }

    /// Pressure of this entry.
    #[must_use]
    pub fn own(&self) -> Pressure {
        self.own
    }

    /// What this entry tells its peers.
    #[must_use]
    pub fn report(&self, _now: Time) -> PressureReport {
        PressureReport {
            percent: percent(self.own.max()) as u8,
            is_short: self.is_short,
        }
    }

    /// Replaces what a peer told.
    pub fn on_report(&mut self, from: &NodeId, report: PressureReport, now: Time) {
        if self.peers.len() < MAX_PEERS || self.peers.contains(from) {
            self.peers.insert(from.clone(), (report, now));
        }
    }

    /// Whether this entry rejects new model requests: it is short, and no majority of the entries heard
    /// of, itself included, is.
    #[must_use]
    pub fn rejects(&self, now: Time) -> bool {
        if !self.is_short {
            return false;
        }
        let (mut entries, mut short) = (1, 1);
        for (report, heard) in self.peers.values() {
            if now.saturating_sub(*heard) < DIGEST_LIFETIME {
                entries += 1;
                short += usize::from(report.is_short);
            }
        }
        short * 2 <= entries
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Time) {
        self.peers
            .retain(|_, (_, heard)| now.saturating_sub(*heard) < DIGEST_LIFETIME);
    }
}

fn percent(share: f64) -> i64 {
    (share * 100.0).round() as i64
}

/// Time after which a rejected caller should come again; any other entry can serve it at once.
pub(crate) fn retry_after(rng: &mut Rng) -> Duration {
    MAX_RETRY_AFTER.mul_f64(rng.random())
}

/// Connections of callers for which bytes wait, with the time since when.
#[derive(Debug, Default)]
pub struct CallersBehind {
    since: RefCell<SortedMap<u64, Time>>,
    next_id: Cell<u64>,
}

impl CallersBehind {
    /// Number of callers that are behind for longer than sound ones, and still read.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let since = self.since.borrow();
        let ages = since.values().map(|since| now.saturating_sub(*since));
        ages.filter(|age| (LAG_LIMIT..NOT_READING_AFTER).contains(age))
            .count()
    }
}

/// One connection in [`CallersBehind`]; it is removed when this is dropped.
#[derive(Debug)]
pub struct BehindMark {
    callers: Rc<CallersBehind>,
    /// Key of the connection; none while its caller is not behind.
    id: Option<u64>,
}

impl BehindMark {
    /// Creates the mark of a connection whose caller is not behind.
    #[must_use]
    pub fn new(callers: Rc<CallersBehind>) -> Self {
        Self { callers, id: None }
    }

    /// Records that bytes wait for the caller.
    pub fn on_blocked(&mut self, now: Time) {
        if self.id.is_none() {
            let id = self.callers.next_id.get();
            self.callers.next_id.set(id.wrapping_add(1));
            self.callers.since.borrow_mut().insert(id, now);
            self.id = Some(id);
        }
    }

    /// Records that the caller has taken all that was there.
    pub fn on_caught_up(&mut self) {
        if let Some(id) = self.id.take() {
            self.callers.since.borrow_mut().remove(&id);
        }
    }
}

impl Drop for BehindMark {
    fn drop(&mut self) {
        self.on_caught_up();
    }
}

/// Metrics of the shortage of resources.
#[derive(Clone)]
pub struct PressureMetrics {
    pressure: GaugeFamily,
}

impl PressureMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            pressure: metrics.gauges("pressure", "Shortage in percent by resource"),
        }
    }

    /// Sets the gauges.
    pub fn set(&self, pressure: Pressure) {
        for (resource, value) in [
            ("processor", pressure.processor),
            ("memory", pressure.memory),
            ("bandwidth", pressure.bandwidth),
        ] {
            let label = [("resource", resource.to_owned())];
            let gauge = self.pressure.get_or_create(&label);
            gauge.set(percent(value));
        }
    }
}

impl Router {
    /// Whether a request to the service is rejected because this entry is short of resources. One that
    /// resumes a stream is served, as its caller waits for the next event.
    pub(crate) fn rejects_for_pressure(&self, service: &str, head: &CallerHead) -> bool {
        let is_new_model_request = head.size.is_some() && head.resume_after.is_none();
        if !is_new_model_request || !self.contention_of(service).is_contended() {
            return false;
        }
        let monitor = self.contention.pressure.borrow();
        monitor.rejects(self.now())
    }

    fn has_contended_service(&self) -> bool {
        let cfg = self.configuration();
        cfg.is_some_and(|cfg| {
            let mut services = cfg.services().iter();
            services.any(|s| self.contention_of(&s.name).is_contended())
        })
    }

    fn reset_pressure(&self) {
        let mut monitor = self.contention.pressure.borrow_mut();
        monitor.reset();
        self.metrics.pressure.set(monitor.own());
    }

    /// Records a measurement of this entry's resources, with the lateness of the timer that took it.
    fn sample_pressure(&self, lateness: Duration) {
        let now = self.now();
        if !self.has_contended_service() {
            self.reset_pressure();
            return;
        }
        let mut monitor = self.contention.pressure.borrow_mut();
        let held = self.bytes.held() as f64;
        let sample = Sample {
            lateness,
            bytes_share: held / (held + self.bytes.left() as f64).max(1.0),
            behind: self.contention.callers_behind.count(now),
            in_flight: usize::try_from(self.metrics.in_flight.get()).unwrap_or(0),
        };
        let change = monitor.on_sample(sample, now);
        let own = monitor.own();
        self.metrics.pressure.set(own);
        let Some(change) = change else {
            return;
        };
        self.is_news_urgent.set(true);
        let (processor, memory) = (percent(own.processor), percent(own.memory));
        let bandwidth = percent(own.bandwidth);
        match change {
            Change::Short => {
                warn!(self.log, "entry under pressure"; "processor" => processor,
                    "memory" => memory, "bandwidth" => bandwidth,
                    "rejects" => monitor.rejects(now));
            }
            Change::Relieved => {
                info!(self.log, "entry no longer under pressure"; "processor" => processor,
                    "memory" => memory, "bandwidth" => bandwidth);
            }
        }
    }
}

/// Measures while any service is contended. An entry without one has no timer for it, so that it does
/// not wake up more often than without this part.
pub async fn measure_while_contended(router: Rc<Router>, timers: TimerService) {
    let mut measuring: Option<Subscription> = None;
    loop {
        let changed = router.contention.changed.notified();
        if !router.has_contended_service() {
            if measuring.take().is_some() {
                router.reset_pressure();
            }
        } else if measuring.is_none() {
            measuring = Some(start(Rc::clone(&router), &timers));
        }
        changed.await;
    }
}

/// Starts measuring; it ends when the subscription is dropped.
pub fn start(router: Rc<Router>, timers: &TimerService) -> Subscription {
    let mut last = router.now();
    timers.subscribe(SAMPLE_PERIOD, move || {
        let now = router.now();
        let lateness = now.saturating_sub(last).saturating_sub(SAMPLE_PERIOD);
        last = now;
        router.sample_pressure(lateness);
    })
}

#[cfg(test)]
mod tests;
