use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use googletest::prelude::*;

use super::*;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn is_doubtful(connections: &SilentConnections, answered: Time) -> bool {
    let wait = pin!(connections.wait_until_doubtful(answered));
    wait.poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

/// Guards against watches that are renewed although their connections were answered since, and against
/// silence that peers never learn of.
#[gtest]
fn only_connections_without_a_later_answer_are_doubtful() {
    let (finder, peer) = (SilentConnections::default(), SilentConnections::default());
    expect_false!(is_doubtful(&finder, at(0)));
    expect_that!(finder.report(at(0)).silent_ms, none());
    finder.on_found(at(7000));
    expect_true!(is_doubtful(&finder, at(6500)));
    // The clocks of two processes do not agree.
    for sent in [7100, 7300, 7900] {
        peer.on_report(finder.report(at(sent)), at(sent + 50_000));
        expect_true!(is_doubtful(&peer, at(56_900)));
        expect_false!(is_doubtful(&peer, at(57_100)));
    }
    expect_that!(finder.report(at(9000)).silent_ms, none());
    // What a peer found is not passed on, as its age would be lost.
    expect_that!(peer.report(at(57_000)).silent_ms, none());
}

/// Guards against lists without end while the watches of a store hang. Load: 60 entries, each of which
/// finds its watch silent in turn, three times a second, for a minute.
#[gtest]
fn hanging_watches_lead_to_few_lists() {
    let connections = SilentConnections::default();
    let (mut listed, mut lists) = (at(0), 0);
    for ms in (0..60_000).step_by(10) {
        if ms % 330 == 0 {
            connections.on_found(at(ms));
        }
        if is_doubtful(&connections, listed) && renewal_pause(listed, at(ms)).is_zero() {
            listed = at(ms);
            lists += 1;
        }
    }
    expect_that!(lists, le(30));
}
