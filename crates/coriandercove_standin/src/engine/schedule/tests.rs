//! Guards against throughput lost to late timers, and against throughput above the bound.

use googletest::prelude::*;

use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[gtest]
fn late_timers_do_not_add_up() {
    let mut s = Schedule::default();
    let mut now = ms(100);
    for _ in 0..1_000 {
        let end = s.plan(now, ms(10));
        now = end + Duration::from_micros(900);
        s.delivered(now, false);
    }
    expect_that!(now, eq(ms(10_100) + Duration::from_micros(900)));
}

#[gtest]
fn queued_work_starts_at_the_end_of_the_iteration_before() {
    let mut s = Schedule::default();
    expect_that!(s.plan(ms(1), ms(10)), eq(ms(11)));
    s.delivered(ms(12), true);
    // The results took 2 ms to hand out.
    expect_that!(s.plan(ms(14), ms(10)), eq(ms(21)));
}

#[gtest]
fn idle_time_is_not_used_later() {
    let mut s = Schedule::default();
    s.plan(ms(0), ms(10));
    s.delivered(ms(500), false);
    expect_that!(s.plan(ms(1_000), ms(10)), eq(ms(1_005)));
}

#[gtest]
fn a_long_stall_is_not_made_good() {
    let mut s = Schedule::default();
    s.plan(ms(0), ms(10));
    s.delivered(ms(2_000), true);
    expect_that!(s.plan(ms(2_000), ms(10)), eq(ms(1_990)));
}
