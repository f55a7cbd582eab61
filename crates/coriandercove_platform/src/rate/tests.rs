//! Guards against a rate above the limit, and against a wait that is too short or without bound.

use googletest::prelude::*;

use super::*;

#[gtest]
fn keeps_the_rate_over_time() {
    let mut limit = RateLimit::new(100.0, 10.0);
    let taken = (0..10_000)
        .filter(|i| limit.try_acquire(Duration::from_micros(i * 1_000)).is_ok())
        .count();
    expect_that!(taken, all![ge(1_000), le(1_010)]);
}

#[gtest]
fn names_the_time_to_wait() {
    let mut limit = RateLimit::new(10.0, 1.0);
    expect_that!(limit.try_acquire(Time::ZERO), ok(eq(())));
    let wait = limit
        .try_acquire(Time::ZERO)
        .expect_err("the burst is one call");
    expect_that!(limit.try_acquire(wait), ok(eq(())));
    let mut closed = RateLimit::new(0.0, 1.0);
    expect_that!(closed.try_acquire(Time::ZERO).is_ok(), eq(true));
    expect_that!(
        closed.try_acquire(Time::ZERO),
        err(eq(Duration::from_secs(60)))
    );
}
