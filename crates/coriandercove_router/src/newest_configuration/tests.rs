use googletest::prelude::*;

use super::*;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against asking peers for what the store is about to deliver, for an older version, or the
/// same peer again and again while it does not answer.
#[gtest]
fn peers_are_asked_for_what_the_store_does_not_deliver() {
    let [a, b] = [1, 2].map(|n| SocketAddr::from(([127, 0, 0, n], 1)));
    let mut newest = NewestConfiguration::default();
    expect_that!(newest.next_holder(None, at(0)), none());
    newest.on_report(a, 7, at(10_000));
    newest.on_report(b, 7, at(10_100));
    newest.on_report(b, 6, at(10_200));
    expect_that!(newest.next_holder(Some(6), at(10_500)), none());
    expect_that!(newest.next_holder(Some(7), at(20_000)), none());
    expect_that!(newest.next_holder(Some(6), at(10_600)), some(eq(b)));
    expect_that!(newest.next_holder(Some(6), at(10_600)), some(eq(a)));
    expect_that!(newest.next_holder(Some(6), at(10_600)), none());
    newest.on_report(b, 7, at(10_800));
    expect_that!(newest.next_holder(None, at(10_800)), some(eq(b)));
    newest.on_report(a, 8, at(10_900));
    expect_that!(newest.next_holder(Some(7), at(11_000)), none());
}
