use coriandercove_base::rng;
use googletest::prelude::*;

use super::*;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn target() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

/// Guards against requests within a pause, and against all waiting requests at its end. Load: a request
/// every 10 ms for a target that names 2 s.
#[gtest]
fn nothing_is_sent_in_a_pause_and_one_request_after_it() {
    let mut pauses = Pauses::default();
    let kept = pauses.on_refused(target(), Duration::from_secs(2), at(0), &mut rng::seeded(1));
    expect_that!(
        kept,
        all!(ge(Duration::from_secs(2)), le(Duration::from_millis(2400)))
    );
    let mut sent = Vec::new();
    for ms in (10..3000).step_by(10) {
        if pauses.allows(target(), at(ms)) {
            pauses.on_sent(target(), at(ms));
            sent.push(at(ms));
        }
    }
    expect_that!(sent.len(), eq(1));
    expect_that!(sent[0], ge(kept));
    // An answer to a request from before the pause does not end it; that of the trial does.
    pauses.on_accepted(target(), at(1));
    expect_false!(pauses.allows(target(), sent[0]));
    pauses.on_accepted(target(), sent[0]);
    expect_true!(pauses.allows(target(), sent[0]));
}

/// Guards against entries that return to a target at the same moment.
#[gtest]
fn entries_return_one_after_the_other() {
    let ends: Vec<Duration> = (0..60)
        .map(|seed| {
            let mut pauses = Pauses::default();
            pauses.on_refused(
                target(),
                Duration::from_secs(4),
                at(0),
                &mut rng::seeded(seed),
            )
        })
        .collect();
    let first = ends.iter().min().copied().unwrap_or_default();
    let soon = ends
        .iter()
        .filter(|e| **e < first + Duration::from_millis(100));
    expect_that!(soon.count(), le(20));
}

/// Guards against a pause that ends early because a later answer names a shorter one, one that never
/// ends, and one that a new incarnation inherits.
#[gtest]
fn pauses_are_bounded_and_end_with_the_incarnation() {
    let mut pauses = Pauses::default();
    let mut rng = rng::seeded(1);
    pauses.on_refused(target(), Duration::from_secs(5), at(0), &mut rng);
    pauses.on_refused(target(), Duration::from_millis(1), at(100), &mut rng);
    expect_true!(pauses.is_paused(target(), at(4900)));
    let kept = pauses.on_refused(target(), Duration::MAX, at(200), &mut rng);
    expect_that!(kept, le(MAX_PAUSE + MAX_SPREAD));
    expect_that!(pauses.count(at(300)), eq(1));
    pauses.on_restarted(target());
    expect_true!(pauses.allows(target(), at(300)));
    expect_that!(pauses.count(at(300)), eq(0));
}
