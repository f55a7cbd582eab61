//! Guards against throughput that is lost to late timers, and against throughput above the nominal
//! bound.

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
        s.record_delivery(now, false);
    }
    expect_that!(now, eq(ms(10_100) + Duration::from_micros(900)));
}

#[gtest]
fn queued_work_starts_at_the_end_of_the_iteration_before() {
    let mut s = Schedule::default();
    expect_that!(s.plan(ms(1), ms(10)), eq(ms(11)));
    s.record_delivery(ms(12), true);
    // Handing out the results takes 2 ms, but the next iteration still starts at 11 ms.
    expect_that!(s.plan(ms(14), ms(10)), eq(ms(21)));
}

#[gtest]
fn idle_time_is_not_used_later() {
    let mut s = Schedule::default();
    s.plan(ms(0), ms(10));
    s.record_delivery(ms(500), false);
    expect_that!(s.plan(ms(1_000), ms(10)), eq(ms(1_005)));
}

#[gtest]
fn a_long_stall_is_not_made_up_for() {
    let mut s = Schedule::default();
    s.plan(ms(0), ms(10));
    s.record_delivery(ms(2_000), true);
    expect_that!(s.plan(ms(2_000), ms(10)), eq(ms(1_990)));
}
