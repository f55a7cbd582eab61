//! Guards against an unbounded cache, hits after a gap, events that are readable too early, and a
//! configured loss of events that does not take place.

use googletest::prelude::*;

use super::*;

const fn cache(blocks: u64, loss: f64) -> (u64, f64) {
    (blocks * CACHE_BLOCK as u64, loss)
}

fn new((tokens, loss): (u64, f64)) -> PrefixCache {
    PrefixCache::new(tokens, Duration::from_secs(1), loss, 7)
}

#[gtest]
fn drops_the_least_recently_used_block() {
    let mut c = new(cache(2, 0.0));
    c.touch(Time::ZERO, &[1, 2]);
    c.touch(Time::ZERO, &[1, 3]);
    expect_that!(c.len(), eq(2));
    expect_that!(c.hits(&[1, 3]), eq(2));
    expect_that!(c.hits(&[2]), eq(0));
    expect_that!(c.hits(&[1, 2, 3]), eq(1));
}

#[gtest]
fn events_arrive_late_and_in_order() {
    let mut c = new(cache(1, 0.0));
    c.touch(Time::ZERO, &[1, 2]);
    expect_that!(c.events(Duration::from_millis(999), 0).events.len(), eq(0));
    let events = c.events(Duration::from_secs(1), 1).events;
    let seen: Vec<_> = events
        .iter()
        .map(|e| (e.number, e.prefix, e.change))
        .collect();
    expect_that!(
        seen,
        eq(&vec![
            (2, 2, CacheChange::Stored),
            (3, 1, CacheChange::Evicted)
        ])
    );
}

#[gtest]
fn lost_events_leave_gaps_in_the_numbers() {
    let mut c = new(cache(1_000, 0.5));
    let hashes: Vec<u64> = (0..400).collect();
    c.touch(Time::ZERO, &hashes);
    let events = c.events(Duration::from_secs(1), 0).events;
    expect_that!(events.len(), all![gt(100), lt(300)]);
}
