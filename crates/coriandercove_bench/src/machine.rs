//! State of the machine during a run, to tell a disturbed run from a slow router.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::load::record::{quantiles, round};

/// Time that the probe thread sleeps at a time.
const SLEEP: Duration = Duration::from_millis(5);
/// Unit of the times in `/proc/self/stat`; 100 on all Linux systems that Rust supports.
const TICKS_PER_SECOND: f64 = 100.0;

/// Observes the machine until it is stopped.
pub struct Probe {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<Histogram<u64>>>,
    since: Instant,
    cpu: f64,
}

impl Probe {
    /// Starts to observe.
    pub fn start() -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("probe".to_owned())
            .spawn(move || lateness(&seen));
        Self {
            stop,
            thread: thread.ok(),
            since: Instant::now(),
            cpu: cpu_seconds(),
        }
    }

    /// Ends and describes the machine: cores that this process used, the load average, and how
    /// late a thread woke up from a sleep of 5 ms.
    pub fn stop(mut self) -> Value {
        self.stop.store(true, Ordering::Relaxed);
        let late = self.thread.take().and_then(|t| t.join().ok());
        let cores = (cpu_seconds() - self.cpu) / self.since.elapsed().as_secs_f64();
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        json!({
            "own_cores": round(cores),
            "load_average": load.split(' ').next(),
            "wake_up_late_ms": late.as_ref().map(quantiles),
        })
    }
}

fn lateness(stop: &AtomicBool) -> Histogram<u64> {
    let histogram = Histogram::new(3);
    let mut histogram = histogram.unwrap_or_else(|_| unreachable!("3 digits are allowed"));
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        std::thread::sleep(SLEEP);
        let late = start.elapsed().saturating_sub(SLEEP);
        histogram.saturating_record(late.as_micros() as u64);
    }
    histogram
}

/// CPU time of this process, user and system.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process, in parentheses, may contain spaces.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let field = |i: usize| rest.split_whitespace().nth(i)?.parse::<f64>().ok();
    (field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}
