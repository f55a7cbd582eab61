//! Observes the load of the machine during a run, to tell a disturbed run from a slow router.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::load::record::{quantiles, round};

/// Length of each sleep of the probe thread.
const PROBE_SLEEP: Duration = Duration::from_millis(5);
/// Clock ticks per second, the unit of the times in `/proc/self/stat`. It is 100 on all Linux
/// systems that Rust supports.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures the load of the machine from its start until it is stopped.
pub struct MachineProbe {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<Histogram<u64>>>,
    started: Instant,
    cpu_seconds_at_start: f64,
}

impl MachineProbe {
    /// Starts to measure.
    pub fn start() -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stop);
        let thread = std::thread::Builder::new()
            .name("probe".to_owned())
            .spawn(move || measure_wake_up_delay(&stop_flag));
        Self {
            stop,
            thread: thread.ok(),
            started: Instant::now(),
            cpu_seconds_at_start: cpu_seconds(),
        }
    }

    /// Stops and returns as JSON the mean number of cores that this process used, the load average,
    /// and how late a thread woke up from sleeps of 5 ms.
    pub fn stop(mut self) -> Value {
        self.stop.store(true, Ordering::Relaxed);
        let late = self.thread.take().and_then(|t| t.join().ok());
        let cores =
            (cpu_seconds() - self.cpu_seconds_at_start) / self.started.elapsed().as_secs_f64();
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        json!({
            "own_cores": round(cores),
            "load_average": load.split(' ').next(),
            "wake_up_late_ms": late.as_ref().map(quantiles),
        })
    }
}

/// Measures by how much sleeps last longer than requested, in microseconds.
fn measure_wake_up_delay(stop: &AtomicBool) -> Histogram<u64> {
    let histogram = Histogram::new(3);
    let mut histogram = histogram.unwrap_or_else(|_| unreachable!("3 digits are allowed"));
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        std::thread::sleep(PROBE_SLEEP);
        let late = start.elapsed().saturating_sub(PROBE_SLEEP);
        histogram.saturating_record(late.as_micros() as u64);
    }
    histogram
}

/// Returns the CPU time of this process in seconds, user and system.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The fields are counted after the name of the process, which is in parentheses and may contain
    // spaces.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let field = |i: usize| rest.split_whitespace().nth(i)?.parse::<f64>().ok();
    (field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}
