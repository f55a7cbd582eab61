use googletest::prelude::*;

use super::*;

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn target(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

/// Load pattern: a target in the middle of many paths dies. All streams through it fall silent
/// while others go on, and one probe on behalf of all silent streams finds the target at once.
#[gtest]
fn only_targets_without_recent_events_are_probed() {
    let mut liveness = Liveness::default();
    let silent_path = [target(1), target(2), target(3)];
    liveness.on_event(silent_path.into_iter(), at(1000));
    // Other streams still receive events through the first and the last target.
    liveness.on_event([target(1), target(3)].into_iter(), at(1080));
    let probed: Vec<_> = silent_path
        .into_iter()
        .filter(|p| liveness.begin_probe(*p, at(1000), at(1100)))
        .collect();
    expect_that!(probed, elements_are![eq(&target(2))]);
    expect_false!(liveness.begin_probe(target(2), at(1010), at(1105)));
    liveness.end_probe(target(2), false);
    expect_true!(liveness.has_failed_or_is_overdue(target(2), at(1000), at(1106)));
    expect_false!(liveness.has_failed_or_is_overdue(target(1), at(1000), at(1106)));
}

/// Load pattern: a target hangs without closing its connections, so that a probe gets no answer.
#[gtest]
fn a_target_that_does_not_answer_a_probe_in_time_is_overdue() {
    let mut liveness = Liveness::default();
    expect_true!(liveness.begin_probe(target(1), at(900), at(1000)));
    expect_false!(liveness.has_failed_or_is_overdue(target(1), at(900), at(1079)));
    expect_true!(liveness.has_failed_or_is_overdue(target(1), at(900), at(1080)));
    expect_true!(liveness.is_probe_overdue(target(1), at(1080)));
    expect_false!(liveness.has_failed(target(1), at(900)));
    liveness.end_probe(target(1), true);
    expect_false!(liveness.has_failed_or_is_overdue(target(1), at(900), at(1200)));
    expect_false!(liveness.is_probe_overdue(target(1), at(1200)));
}

/// Guards against holding a probe from before a stream's last event against the stream's path.
#[gtest]
fn a_probe_counts_only_for_silence_that_began_before_it() {
    let mut liveness = Liveness::default();
    liveness.begin_probe(target(1), at(900), at(1000));
    liveness.end_probe(target(1), false);
    expect_true!(liveness.has_failed(target(1), at(1000)));
    expect_false!(liveness.has_failed(target(1), at(1050)));
    expect_false!(liveness.has_failed_or_is_overdue(target(1), at(1050), at(1200)));
}

/// Guards against memory that grows with every target that ever existed.
#[gtest]
fn old_records_expire() {
    let mut liveness = Liveness::default();
    liveness.on_event([target(1)].into_iter(), at(0));
    liveness.begin_probe(target(2), at(0), at(1));
    liveness.expire(at(20_000));
    expect_that!(liveness.last_events.keys().count(), eq(0));
    expect_that!(liveness.probes.keys().count(), eq(0));
}

/// Load pattern: a target stops responding while requests keep arriving. Guards against each
/// request waiting for a connection of its own to that target.
#[gtest]
fn requests_avoid_a_target_on_which_one_waits_for_a_connection() {
    let mut liveness = Liveness::default();
    liveness.begin_connect(target(1), at(1000));
    liveness.begin_connect(target(1), at(1040));
    expect_false!(liveness.is_probe_overdue(target(1), at(1079)));
    expect_true!(liveness.is_probe_overdue(target(1), at(1080)));
    liveness.end_probe(target(1), true);
    expect_false!(liveness.is_probe_overdue(target(1), at(1100)));
}

/// Guards against a healthy target left without work because a caller disconnected during a
/// connection attempt, so that its end was never recorded.
#[gtest]
fn a_connection_that_was_given_up_shows_nothing() {
    let mut liveness = Liveness::default();
    liveness.begin_connect(target(1), at(1000));
    expect_true!(liveness.is_probe_overdue(target(1), at(1200)));
    expect_false!(liveness.is_probe_overdue(target(1), at(1400)));
    expect_false!(liveness.has_failed_or_is_overdue(target(1), at(900), at(1400)));
    // The next connection attempt counts from its own start.
    liveness.begin_connect(target(1), at(1450));
    expect_false!(liveness.is_probe_overdue(target(1), at(1500)));
    expect_true!(liveness.is_probe_overdue(target(1), at(1530)));
}
