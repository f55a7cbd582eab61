use googletest::prelude::*;

use super::*;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against requests that are taken and cut off, and against refusing those that end in time.
/// Load: a request of each deadline every 100 ms of a stop.
#[gtest]
fn late_requests_are_taken_only_if_they_end_in_time() {
    for grace_ms in [0, 400, 2000, 8000, 60_000] {
        let stop = Stop::new(at(1000), at(grace_ms));
        expect_that!(stop.closes_at, ge(at(1000)));
        expect_that!(stop.selects_at, ge(stop.closes_at));
        expect_that!(stop.gives_up_at, ge(stop.selects_at));
        expect_that!(stop.ends_at, ge(stop.gives_up_at));
        expect_that!(stop.ends_at, le(at(1000 + grace_ms)));
        for sent_ms in (1000..1000 + grace_ms).step_by(100) {
            for lasts_ms in [50, 800, 2000, 20_000] {
                let (sent, deadline) = (at(sent_ms), at(sent_ms + lasts_ms));
                let is_taken = stop.takes(sent, deadline);
                let is_early = sent < stop.selects_at;
                expect_that!(is_taken, eq(is_early || deadline <= stop.gives_up_at));
            }
        }
    }
    // The users send no new connections from 3 s on, and wait for requests that were sent before.
    let stop = Stop::new(at(0), at(8000));
    expect_that!(stop.selects_at, lt(at(3000)));
    expect_that!(stop.gives_up_at, gt(at(8000 * 5 / 6)));
}
