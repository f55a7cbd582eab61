//! Metrics of a router: counters, gauges and histograms.

use std::time::Duration;

use coriandercove_base::telemetry::{CounterFamily, GaugeFamily, Metrics, count};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use crate::layout::uneven::PlacementMetrics;
use crate::outages::OutageMetrics;
use crate::pressure::PressureMetrics;
use crate::protocol::NamedLimit;
use crate::returning::ReturnMetrics;
use crate::urgency::LevelMetrics;
use crate::waiting::WaitingMetrics;

pub mod long_prompts;

use long_prompts::LongPromptMetrics;

/// Metrics of a router.
#[derive(Clone)]
pub struct RouterMetrics {
    /// Registry that encodes all metrics of the process.
    pub registry: Metrics,
    /// Requests that arrived from callers.
    pub requests: Counter,
    /// Answers by HTTP status.
    answers: CounterFamily,
    /// Refused requests by reason.
    refusals: CounterFamily,
    /// Repeated attempts by the reason of the repeat.
    repeats: CounterFamily,
    /// Streams continued at another target or over another path, by cause.
    continuations: CounterFamily,
    /// Exclusions of targets from new work, by cause.
    exclusions: CounterFamily,
    /// Failed calls to the platform's store, by topic.
    platform_errors: CounterFamily,
    /// Objects that could not be decoded, by topic.
    unreadable: CounterFamily,
    /// Placement orders and path changes, by outcome.
    orders: CounterFamily,
    /// Answers in which targets named a limit, by whether it can be read.
    named_limits: CounterFamily,
    /// Changed verdicts on parts of prompts, by change and source together.
    verdicts: CounterFamily,
    /// Pauses that targets asked for.
    pub pauses: Counter,
    /// Targets within a pause.
    pub paused_targets: Gauge,
    /// Targets that name a limit.
    pub limited_targets: Gauge,
    /// Parts of prompts in quarantine.
    pub quarantined: Gauge,
    /// Requests whose caller disconnected before the answer was complete.
    pub cancelled: Counter,
    /// Log lines omitted because of the rate limit.
    pub omitted_lines: Counter,
    /// Operator's version of the configuration in force.
    pub version: Gauge,
    /// Configurations that a peer passed on.
    pub peer_configurations: Counter,
    /// Times that the platform's store came back from an older copy.
    pub store_restores: Counter,
    /// Era that the platform's store names.
    pub store_era: Gauge,
    /// Connections to the platform's store that were found silent.
    pub silent_connections: Counter,
    /// Bytes of bodies, answers and events that requests hold.
    pub held_bytes: Gauge,
    /// Answers given up as the process has no memory left for them.
    pub answers_without_memory: Counter,
    /// Connections closed because their caller was behind and there was no memory for it.
    pub lagging_callers: Counter,
    /// Targets in the platform's list.
    pub targets: Gauge,
    /// Requests in flight, streams until their end included.
    pub in_flight: Gauge,
    /// Peers with a recent digest.
    pub peers: Gauge,
    /// Targets that refuse work, as entries tell each other.
    pub outages: OutageMetrics,
    /// Requests by level of urgency.
    pub levels: LevelMetrics,
    /// Shortage of the entry's own resources.
    pub pressure: PressureMetrics,
    /// Time since the platform last answered, by topic, in ms.
    platform_age: GaugeFamily,
    /// Placement for uneven accelerators.
    pub placement: PlacementMetrics,
    /// Requests in flight of all entries, by target.
    target_requests: GaugeFamily,
    /// Reserved share of each engine's KV cache, in percent.
    target_kv: GaugeFamily,
    /// Requests that wait for room.
    pub waiting: WaitingMetrics,
    before_sending: Histogram,
    first_event: Histogram,
    event_gap: Histogram,
    whole_answer: Histogram,
    platform_call: Histogram,
    /// Returns of refused callers.
    pub returning: ReturnMetrics,
    /// Long prompts beside short ones, for contended services.
    pub long_prompts: LongPromptMetrics,
}

impl Default for RouterMetrics {
    fn default() -> Self {
        let m = Metrics::default();
        Self {
            requests: m.counter("requests", "Requests of callers"),
            answers: m.counters("answers", "Answers by status"),
            refusals: m.counters("refusals", "Requests refused by reason"),
            repeats: m.counters("repeats", "Attempts repeated by reason"),
            continuations: m.counters("continuations", "Streams continued elsewhere by cause"),
            exclusions: m.counters("exclusions", "Targets excluded by cause"),
            platform_errors: m.counters("platform_errors", "Failed calls to the platform by topic"),
            unreadable: m.counters("unreadable_objects", "Objects that cannot be read by topic"),
            orders: m.counters("orders", "Orders to engines by outcome"),
            named_limits: m.counters("named_limits", "Answers that name a limit by readability"),
            verdicts: m.counters("part_verdicts", "Verdicts on parts of prompts by change"),
            pauses: m.counter("target_pauses", "Pauses that targets asked for"),
            paused_targets: m.gauge("paused_targets", "Targets within a pause"),
            limited_targets: m.gauge("limited_targets", "Targets that name a limit"),
            quarantined: m.gauge("quarantined_parts", "Parts of prompts in quarantine"),
            cancelled: m.counter("cancelled", "Requests whose caller left"),
            omitted_lines: m.counter("omitted_log_lines", "Log lines left out"),
            version: m.gauge("configuration_version", "Version in force"),
            peer_configurations: m.counter(
                "peer_configurations",
                "Configurations that a peer passed on",
            ),
            store_restores: m.counter("store_restores", "Returns of the store from an older copy"),
            store_era: m.gauge("store_era", "Era that the store names"),
            silent_connections: m.counter(
                "silent_store_connections",
                "Connections to the store found silent",
            ),
            held_bytes: m.gauge(
                "held_bytes",
                "Bytes of bodies, answers and events that requests hold",
            ),
            answers_without_memory: m.counter(
                "answers_without_memory",
                "Answers given up for lack of memory",
            ),
            lagging_callers: m.counter(
                "lagging_callers_closed",
                "Connections of callers behind closed for lack of memory",
            ),
            targets: m.gauge("targets", "Targets listed"),
            in_flight: m.gauge("requests_in_flight", "Requests in flight"),
            peers: m.gauge("peers", "Other entries heard of"),
            outages: OutageMetrics::new(&m),
            levels: LevelMetrics::new(&m),
            pressure: PressureMetrics::new(&m),
            platform_age: m.gauges(
                "platform_age_milliseconds",
                "Time since the platform last answered by topic",
            ),
            target_requests: m.gauges(
                "target_requests",
                "Requests of all entries in flight by target",
            ),
            target_kv: m.gauges(
                "target_kv_percent",
                "Reserved share of the KV cache by target",
            ),
            before_sending: m.duration_histogram(
                "before_sending_seconds",
                "Time from arrival to the first attempt",
            ),
            event_gap: m.duration_histogram("event_gap_seconds", "Longest pause of each stream"),
            platform_call: m.duration_histogram(
                "platform_call_seconds",
                "Time of lists, and of watches beyond their wait",
            ),
            first_event: m
                .duration_histogram("first_event_seconds", "Time to the first event of a stream"),
            whole_answer: m.duration_histogram("answer_seconds", "Time to the end of an answer"),
            waiting: WaitingMetrics::new(&m),
            returning: ReturnMetrics::new(&m),
            placement: PlacementMetrics::new(&m),
            long_prompts: LongPromptMetrics::new(&m),
            registry: m,
        }
    }
}

impl RouterMetrics {
    /// Counts an answer and records the time from the request's arrival to the answer's end.
    pub fn answer(&self, status: u16, took: Duration) {
        count(&self.answers, "status", &status.to_string());
        self.whole_answer.observe(took.as_secs_f64());
    }

    /// Counts a refused request.
    pub fn refusal(&self, reason: &str) {
        count(&self.refusals, "reason", reason);
    }

    /// Counts a repeated attempt.
    pub fn repeat(&self, reason: &str) {
        count(&self.repeats, "reason", reason);
    }

    /// Counts a stream that is continued at another target or over another path.
    pub fn continuation(&self, cause: &str) {
        count(&self.continuations, "cause", cause);
    }

    /// Counts the exclusion of a target from new work.
    pub fn exclusion(&self, cause: &str) {
        count(&self.exclusions, "cause", cause);
    }

    /// Counts a failed call to the platform's store.
    pub fn platform_error(&self, topic: &str) {
        count(&self.platform_errors, "topic", topic);
    }

    /// Counts an object that could not be decoded.
    pub fn unreadable(&self, topic: &str) {
        count(&self.unreadable, "topic", topic);
    }

    /// Counts a placement order or path change.
    pub fn order(&self, outcome: &str) {
        count(&self.orders, "outcome", outcome);
    }

    /// Counts an answer in which the target named a limit.
    pub fn named_limit(&self, limit: NamedLimit) {
        let readability = match limit {
            NamedLimit::None => return,
            NamedLimit::Rate(_) => "readable",
            NamedLimit::Unreadable => "unreadable",
        };
        count(&self.named_limits, "limit", readability);
    }

    /// Counts a changed verdict on a part of prompts.
    pub fn verdict(&self, change: &str, source: &str) {
        let label = format!("{change}_by_{source}");
        count(&self.verdicts, "change", &label);
    }

    /// Records the time from a stream's arrival to its first event.
    pub fn first_event(&self, took: Duration) {
        self.first_event.observe(took.as_secs_f64());
    }

    /// Records the time from a request's arrival to its first attempt.
    pub fn before_sending(&self, took: Duration) {
        self.before_sending.observe(took.as_secs_f64());
    }

    /// Records the longest pause between two events of a stream.
    pub fn event_gap(&self, longest: Duration) {
        self.event_gap.observe(longest.as_secs_f64());
    }

    /// Records the duration of an answered call to the platform's store.
    pub fn platform_call(&self, took: Duration) {
        self.platform_call.observe(took.as_secs_f64());
    }

    /// Sets the time since the platform last answered for a topic.
    pub fn platform_age(&self, topic: &str, age: Duration) {
        let ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        let label = [("topic", topic.to_owned())];
        self.platform_age.get_or_create(&label).set(ms);
    }

    /// Sets the gauges of every target; targets that are not given are dropped.
    pub fn targets_in_flight<'a>(&self, targets: impl Iterator<Item = TargetGauges<'a>>) {
        self.target_requests.clear();
        self.target_kv.clear();
        for target in targets {
            let label = [("target", target.id.to_owned())];
            self.target_requests
                .get_or_create(&label)
                .set(target.requests.into());
            if let Some(percent) = target.kv_percent {
                self.target_kv.get_or_create(&label).set(percent);
            }
        }
    }
}

/// Work in flight at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetGauges<'a> {
    /// Id of the target.
    pub id: &'a str,
    /// Requests in flight of all entries.
    pub requests: u32,
    /// Reserved share of its KV cache, in percent; none for targets without a KV cache.
    pub kv_percent: Option<i64>,
}
