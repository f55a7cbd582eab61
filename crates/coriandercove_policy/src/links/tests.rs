//! Tests of link estimates and of the hysteresis between degraded and recovered.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

const START: LinkCost = LinkCost {
    delay: Duration::from_millis(10),
    bandwidth: 100_000_000,
};

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Adds a delay sample every 100 ms from `from` to `to` and returns the events with their times.
/// All times are in ms.
fn feed(link: &mut LinkEstimate, from: u64, to: u64, delay: u64) -> Vec<(u64, LinkEvent)> {
    (from..to)
        .step_by(100)
        .filter_map(|t| {
            let event = link.observe(millis(t), LinkSample::Delay(millis(delay)))?;
            Some((t, event))
        })
        .collect()
}

/// Guards against replacing chains after a short spike, and against never replacing them.
#[gtest]
fn a_link_degrades_only_after_the_hold_time() {
    let mut link = LinkEstimate::new(LinkConfig::default(), START);
    expect_that!(feed(&mut link, 0, 60_000, 10), is_empty());
    expect_that!(feed(&mut link, 60_000, 63_000, 40), is_empty());
    expect_that!(feed(&mut link, 63_000, 90_000, 10), is_empty());
    let events = feed(&mut link, 90_000, 100_000, 40);
    assert_that!(events, len(eq(1)));
    expect_that!(events[0].1, eq(LinkEvent::Degraded));
    expect_that!(events[0].0, ge(95_000).and(le(97_000)));
    let events = feed(&mut link, 100_000, 110_000, 10);
    assert_that!(events, len(eq(1)));
    expect_that!(events[0].1, eq(LinkEvent::Recovered));
    expect_that!(events[0].0, ge(105_000));
}

/// Guards against a usual cost that follows a slow degradation and so hides it.
#[gtest]
fn a_slowly_degrading_link_is_noticed() {
    let mut link = LinkEstimate::new(LinkConfig::default(), START);
    let mut events = Vec::new();
    for step in 0..60 {
        events.extend(feed(&mut link, step * 2000, (step + 1) * 2000, 10 + step));
    }
    expect_that!(
        events.iter().map(|e| e.1).collect::<Vec<_>>(),
        elements_are![eq(&LinkEvent::Degraded)]
    );
}

/// Guards against a link that stays degraded forever after a permanent change of its route.
#[gtest]
fn a_lasting_change_becomes_usual() {
    let mut link = LinkEstimate::new(LinkConfig::default(), START);
    let events = feed(&mut link, 0, 700_000, 40);
    let kinds: Vec<_> = events.iter().map(|e| e.1).collect();
    expect_that!(
        kinds,
        elements_are![eq(&LinkEvent::Degraded), eq(&LinkEvent::Recovered)]
    );
    expect_that!(feed(&mut link, 700_000, 800_000, 40), is_empty());
}

/// Guards against overlooking a link that loses bandwidth while its delay is unchanged.
#[gtest]
fn lost_bandwidth_degrades_a_link() {
    let mut link = LinkEstimate::new(LinkConfig::default(), START);
    let sample = LinkSample::Transfer {
        bytes: 16_384,
        took: millis(50),
    };
    let events: Vec<_> = (0..100)
        .filter_map(|i| link.observe(millis(i * 100), sample))
        .collect();
    expect_that!(events, elements_are![eq(&LinkEvent::Degraded)]);
    expect_that!(link.cost().bandwidth, le(400_000));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against changes of condition within less than the hold time, for any sequence of
    /// delays.
    #[test]
    fn events_alternate_and_keep_the_hold_time(delays in prop::collection::vec(0_u64..200, 1..600)) {
        let mut link = LinkEstimate::new(LinkConfig::default(), START);
        let mut last: Option<(u64, LinkEvent)> = None;
        for (i, delay) in delays.iter().enumerate() {
            let t = i as u64 * 100;
            let Some(event) = link.observe(millis(t), LinkSample::Delay(millis(*delay))) else {
                continue;
            };
            if let Some((before, kind)) = last {
                prop_assert!(t >= before + 5000);
                prop_assert_ne!(kind, event);
            }
            last = Some((t, event));
        }
    }
}
