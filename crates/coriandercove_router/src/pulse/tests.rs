use googletest::prelude::*;

use super::*;

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn part(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

/// Load pattern: a later part of many paths dies. The streams through it fall silent, those beside
/// it go on, and one probe for all of them finds it at once.
#[gtest]
fn only_the_part_that_nothing_came_through_is_asked() {
    let mut pulse = Pulse::default();
    let silent_path = [part(1), part(2), part(3)];
    pulse.on_event(silent_path.into_iter(), at(1000));
    // Other streams still pass the first and the last part.
    pulse.on_event([part(1), part(3)].into_iter(), at(1080));
    let asked: Vec<_> = silent_path
        .into_iter()
        .filter(|p| pulse.begin_probe(*p, at(1000), at(1100)))
        .collect();
    expect_that!(asked, elements_are![eq(&part(2))]);
    expect_false!(pulse.begin_probe(part(2), at(1010), at(1105)));
    pulse.end_probe(part(2), false);
    expect_true!(pulse.is_late(part(2), at(1000), at(1106)));
    expect_false!(pulse.is_late(part(1), at(1000), at(1106)));
}

/// Load pattern: a part hangs without closing its connections, so that a probe has no answer.
#[gtest]
fn a_part_that_does_not_answer_in_time_is_lost() {
    let mut pulse = Pulse::default();
    expect_true!(pulse.begin_probe(part(1), at(900), at(1000)));
    expect_false!(pulse.is_late(part(1), at(900), at(1079)));
    expect_true!(pulse.is_late(part(1), at(900), at(1080)));
    expect_true!(pulse.is_unanswered(part(1), at(1080)));
    expect_false!(pulse.has_failed(part(1), at(900)));
    pulse.end_probe(part(1), true);
    expect_false!(pulse.is_late(part(1), at(900), at(1200)));
    expect_false!(pulse.is_unanswered(part(1), at(1200)));
}

/// Guards against a probe from before a stream's last event being held against its path.
#[gtest]
fn a_probe_counts_only_for_silence_that_began_before_it() {
    let mut pulse = Pulse::default();
    pulse.begin_probe(part(1), at(900), at(1000));
    pulse.end_probe(part(1), false);
    expect_true!(pulse.has_failed(part(1), at(1000)));
    expect_false!(pulse.has_failed(part(1), at(1050)));
    expect_false!(pulse.is_late(part(1), at(1050), at(1200)));
}

/// Guards against knowledge that grows with every target that ever was.
#[gtest]
fn old_signs_are_forgotten() {
    let mut pulse = Pulse::default();
    pulse.on_event([part(1)].into_iter(), at(0));
    pulse.begin_probe(part(2), at(0), at(1));
    pulse.expire(at(20_000));
    expect_that!(pulse.heard.keys().count(), eq(0));
    expect_that!(pulse.probes.keys().count(), eq(0));
}

/// Load pattern: a target goes dark while requests keep arriving. Guards against each of them waiting
/// for a connection of its own.
#[gtest]
fn requests_avoid_a_target_on_which_one_waits_for_a_connection() {
    let mut pulse = Pulse::default();
    pulse.begin_connect(part(1), at(1000));
    pulse.begin_connect(part(1), at(1040));
    expect_false!(pulse.is_unanswered(part(1), at(1079)));
    expect_true!(pulse.is_unanswered(part(1), at(1080)));
    pulse.end_probe(part(1), true);
    expect_false!(pulse.is_unanswered(part(1), at(1100)));
}

/// Guards against a sound target left without work because a caller left while a connection to it was
/// tried, so that nobody noted its end.
#[gtest]
fn a_connection_that_was_given_up_shows_nothing() {
    let mut pulse = Pulse::default();
    pulse.begin_connect(part(1), at(1000));
    expect_true!(pulse.is_unanswered(part(1), at(1200)));
    expect_false!(pulse.is_unanswered(part(1), at(1400)));
    expect_false!(pulse.is_late(part(1), at(900), at(1400)));
    // The next connection counts from its own beginning.
    pulse.begin_connect(part(1), at(1450));
    expect_false!(pulse.is_unanswered(part(1), at(1500)));
    expect_true!(pulse.is_unanswered(part(1), at(1530)));
}
