use std::time::Duration;

use googletest::prelude::*;

use super::Pace;

const LIMIT: Duration = Duration::from_secs(5);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an engine that hangs for seconds before its streams move.
#[gtest]
fn a_hanging_engine_is_noticed_in_time() {
    let pace = Pace::default().after(ms(12), 4);
    expect_that!(pace.patience(4, LIMIT), eq(ms(300)));
    let slow = pace.after(ms(60), 4);
    expect_that!(slow.patience(4, LIMIT), eq(ms(480)));
}

/// Guards against streams that move away from an engine that runs a long prompt, or whose first
/// call warms it up.
#[gtest]
fn long_prompts_and_first_calls_get_time() {
    expect_that!(Pace::default().patience(1, LIMIT), eq(LIMIT));
    let pace = Pace::default().after(ms(10), 1).after(ms(128), 128);
    expect_that!(pace.patience(1000, LIMIT), eq(LIMIT));
    expect_that!(pace.patience(100, LIMIT), eq(ms(880)));
}
