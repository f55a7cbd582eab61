//! Tests of the intervals between arrivals.

use googletest::prelude::*;

use super::*;

/// Guards against an open loop with a wrong rate, and against arrivals that differ between two runs
/// with the same seed.
#[gtest]
fn intervals_have_the_rate_and_follow_the_seed() {
    let total = |seed| -> f64 {
        let mut rng = seeded(seed);
        (0..20_000)
            .map(|_| arrival_interval(50.0, &mut rng).as_secs_f64())
            .sum()
    };
    expect_that!(20_000.0 / total(1), near(50.0, 1.5));
    expect_that!(total(1), eq(total(1)));
    expect_that!(total(1), not(eq(total(2))));
}
