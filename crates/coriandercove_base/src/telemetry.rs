//! Logging and metrics.

pub mod lines;

use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use slog::{Drain, Logger, o};

/// Prefix of every metric name.
const PREFIX: &str = "coriandercove";
/// Maximum number of log lines that wait for the writer thread. slog drops and counts further ones.
const LOG_QUEUE_LINES: usize = 4096;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Creates a logger that writes to standard error from a separate thread.
pub fn logger(format: LogFormat) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build()
                .fuse();
            background(drain)
        }
        LogFormat::Json => background(slog_json::Json::default(std::io::stderr()).fuse()),
    }
}

/// Prints an error to standard error and returns the exit code of failure.
#[must_use]
pub fn print_error(problem: &impl std::fmt::Display) -> std::process::ExitCode {
    use std::io::Write as _;
    // The error cannot be reported if standard error is closed.
    let _ = writeln!(std::io::stderr(), "{problem}");
    std::process::ExitCode::FAILURE
}

fn background<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(drain, o!())
}

/// Creates a logger that drops every line, for tests and for callers without a logger.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Counters by the value of one label, such as the reason of a refusal.
pub type CounterFamily = Family<[(&'static str, String); 1], Counter>;

/// Gauges by the value of one label, such as a target.
pub type GaugeFamily = Family<[(&'static str, String); 1], Gauge>;

/// Histograms by the value of one label, such as the size of a prompt.
pub type HistogramFamily = Family<[(&'static str, String); 1], Histogram, fn() -> Histogram>;

/// Registry of the metrics of one process, which are encoded for Prometheus on demand.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix(PREFIX))),
        }
    }
}

impl Metrics {
    fn with<R>(&self, f: impl FnOnce(&mut Registry) -> R) -> R {
        f(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers a counter. `_total` is appended to its name on output.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.with(|r| r.register(name, help, counter.clone()));
        counter
    }

    /// Registers a family of counters with one label; see [`count`].
    #[must_use]
    pub fn counters(&self, name: &str, help: &str) -> CounterFamily {
        let family = CounterFamily::default();
        self.with(|r| r.register(name, help, family.clone()));
        family
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.with(|r| r.register(name, help, gauge.clone()));
        gauge
    }

    /// Registers a family of gauges with one label.
    #[must_use]
    pub fn gauges(&self, name: &str, help: &str) -> GaugeFamily {
        let family = GaugeFamily::default();
        self.with(|r| r.register(name, help, family.clone()));
        family
    }

    /// Registers a histogram of seconds with buckets from 0.5 ms to about 65 s.
    #[must_use]
    pub fn duration_histogram(&self, name: &str, help: &str) -> Histogram {
        let histogram = new_duration_histogram();
        self.with(|r| r.register(name, help, histogram.clone()));
        histogram
    }

    /// Registers a family of histograms like [`Self::duration_histogram`] with one label.
    #[must_use]
    pub fn duration_histograms(&self, name: &str, help: &str) -> HistogramFamily {
        let family = HistogramFamily::new_with_constructor(new_duration_histogram);
        self.with(|r| r.register(name, help, family.clone()));
        family
    }

    /// Returns all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = self.with(|r| encode(&mut out, r));
        out
    }
}

fn new_duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 18))
}

/// Increments the counter of a family whose label `key` is `value`.
pub fn count(family: &CounterFamily, key: &'static str, value: &str) {
    family.get_or_create(&[(key, value.to_owned())]).inc();
}
