use std::time::Duration;

use googletest::prelude::*;

use super::LatencyEstimate;

const LIMIT: Duration = Duration::from_secs(5);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against streams that wait for seconds on an engine that hangs before they move.
#[gtest]
fn a_hanging_engine_is_detected_in_time() {
    let estimate = LatencyEstimate::default().with_sample(ms(12), 4);
    expect_that!(estimate.timeout(4, LIMIT), eq(ms(300)));
    let slow = estimate.with_sample(ms(60), 4);
    expect_that!(slow.timeout(4, LIMIT), eq(ms(480)));
}

/// Guards against streams that move away from an engine that runs a long prompt, or that warms up
/// during its first call.
#[gtest]
fn long_prompts_and_first_calls_get_longer_timeouts() {
    expect_that!(LatencyEstimate::default().timeout(1, LIMIT), eq(LIMIT));
    let estimate = LatencyEstimate::default()
        .with_sample(ms(10), 1)
        .with_sample(ms(128), 128);
    expect_that!(estimate.timeout(1000, LIMIT), eq(LIMIT));
    expect_that!(estimate.timeout(100, LIMIT), eq(ms(880)));
}
