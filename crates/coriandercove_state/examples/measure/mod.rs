//! Measurement of CPU time and allocated memory, and line fits, for the examples that produce the
//! figures of `docs/CAPACITY.md`.

#![allow(dead_code, reason = "each example uses only some items of this module")]

pub mod fleet;

use std::fs;
use std::time::Duration;

/// Counts the allocated bytes. The resident memory would not show allocations in freed space.
#[global_allocator]
static ALLOCATOR: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// Shortest CPU time of a timed loop. The kernel updates the counter at each clock tick, so a
/// shorter loop has an error above 2%.
const MIN_LOOP_TIME: Duration = Duration::from_millis(200);

/// Returns the CPU time of this thread so far, from the scheduler's counter in nanoseconds.
pub fn cpu() -> Duration {
    // Yielding lets the scheduler update the counter.
    std::thread::yield_now();
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next().unwrap_or_default();
    Duration::from_nanos(first.parse().unwrap_or(0))
}

/// Returns the mean CPU time of a call of `step` in microseconds, from enough calls for at least
/// [`MIN_LOOP_TIME`].
pub fn micros_per_call(mut step: impl FnMut()) -> f64 {
    let start = cpu();
    let mut calls = 0_u32;
    let mut round = 1_u32;
    loop {
        for _ in 0..round {
            step();
        }
        calls += round;
        let spent = cpu().saturating_sub(start);
        if spent >= MIN_LOOP_TIME {
            return spent.as_secs_f64() * 1e6 / f64::from(calls);
        }
        round = round.saturating_mul(2).min(1 << 20);
    }
}

/// Returns the CPU time of one run of `work` in microseconds, and its result.
pub fn micros_of<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let start = cpu();
    let result = work();
    let spent = cpu().saturating_sub(start);
    (spent.as_secs_f64() * 1e6, result)
}

/// Returns the bytes that are allocated now, without the allocator's own overhead.
pub fn allocated() -> f64 {
    ALLOCATOR.allocated() as f64
}

/// Fits a line through `points` by least squares, and returns its slope, intercept and largest
/// residual as JSON.
pub fn fit(points: &[(f64, f64)]) -> serde_json::Value {
    let n = points.iter().map(|_| 1.0).sum::<f64>();
    let (mx, my) = points
        .iter()
        .fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let slope = sxy / sxx;
    let intercept = my - slope * mx;
    let residual = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).abs())
        .fold(0.0, f64::max);
    serde_json::json!({
        "points": points,
        "slope": slope,
        "intercept": intercept,
        "largest_residual": residual,
    })
}

/// Prints one JSON line: the name of the measurement, the quantities on both axes, the seed and the
/// result.
#[expect(clippy::print_stdout, reason = "the line is the result of the run")]
pub fn print(what: &str, x: &str, y: &str, seed: u64, result: &serde_json::Value) {
    println!(
        "{}",
        serde_json::json!({"measure": what, "x": x, "y": y, "seed": seed, "fit": result})
    );
}
