use googletest::prelude::*;

use super::*;

const USUAL: Duration = Duration::from_secs(2);

fn after(admitted: u32, refused: u32) -> WaitEstimator {
    let mut estimator = WaitEstimator::default();
    let now = Duration::from_secs(10);
    for _ in 0..admitted {
        estimator.on_admitted(now);
    }
    for _ in 0..refused {
        estimator.on_refused(now);
    }
    estimator
}

/// Load pattern: a short lack of capacity after the loss of a target. Guards against a long retry
/// delay although hardly any request is refused.
#[gtest]
fn a_rare_refusal_brings_the_caller_back_soon() {
    expect_that!(
        after(50, 1).expected_wait(USUAL),
        lt(Duration::from_millis(400))
    );
}

/// Load pattern: a burst beyond the capacity of the targets. Guards against callers that retry
/// while the capacity is still in use and are refused for good.
#[gtest]
fn many_refusals_send_callers_away_for_a_service_time_and_more() {
    let mut estimator = after(50, 50);
    expect_that!(estimator.expected_wait(USUAL), ge(USUAL));
    for _ in 0..200 {
        estimator.on_answered(Duration::from_secs(4));
    }
    expect_that!(estimator.expected_wait(USUAL), ge(Duration::from_secs(4)));
    // The wait falls again after the burst.
    estimator.on_admitted(Duration::from_secs(30));
    expect_that!(estimator.expected_wait(USUAL), lt(Duration::from_secs(1)));
}

/// Guards against callers that were refused together retrying together, or at once.
#[gtest]
fn returns_are_spread() {
    let mut rng = coriandercove_base::rng::seeded(1);
    let wait = Duration::from_secs(2);
    let times: Vec<Duration> = (0..100)
        .map(|_| retry_after(Refusal::Full, wait, &mut rng))
        .collect();
    let (first, last) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    expect_that!(*first, lt(Duration::from_millis(1100)));
    expect_that!(*first, ge(MIN_RETRY_AFTER));
    expect_that!(*last, gt(Duration::from_millis(2900)));
}
