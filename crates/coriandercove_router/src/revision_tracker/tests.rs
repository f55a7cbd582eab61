use googletest::prelude::*;

use super::*;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn position(era: StoreEra, configuration: u64) -> StorePosition {
    StorePosition {
        era: Some(era),
        revisions: Revisions {
            configuration,
            targets: 0,
        },
    }
}

/// Guards against an answer of an ended era that is taken for a return from a copy, and against
/// answers without an era that hide one.
#[gtest]
fn an_era_ends_with_the_first_answer_of_the_next() {
    let tracker = RevisionTracker::default();
    let record = |era, began, now| tracker.record_era(era, at(began), at(now));
    expect_that!(record(None, 0, 1), eq(EraChange::None));
    expect_that!(record(Some(4), 1, 2), eq(EraChange::None));
    tracker.record_revision(Topic::Configuration, 70, 70);
    expect_that!(record(Some(5), 3, 4), eq(EraChange::Restored(4)));
    expect_that!(tracker.position(), eq(position(5, 0)));
    tracker.record_revision(Topic::Configuration, 66, 66);
    expect_that!(record(None, 5, 6), eq(EraChange::None));
    expect_that!(record(Some(4), 3, 7), eq(EraChange::Late));
    expect_that!(record(Some(6), 8, 9), eq(EraChange::Restored(5)));
    // The store itself names a lower era in answer to a later call.
    expect_that!(record(Some(2), 10, 11), eq(EraChange::Restored(6)));
    expect_that!(tracker.era(), some(eq(2)));
}

/// Guards against comparing revisions of different eras, and against listing without end because a
/// peer names an era that the store does not.
#[gtest]
fn a_peer_is_ahead_only_by_what_the_store_can_confirm() {
    let tracker = RevisionTracker::default();
    let is_ahead = || tracker.is_peer_ahead(Topic::Configuration);
    tracker.record_era(Some(1), at(0), at(1));
    tracker.record_revision(Topic::Configuration, 74, 74);
    tracker.on_peer_position(position(1, 74));
    expect_that!(is_ahead(), eq(false));
    tracker.on_peer_position(position(2, 60));
    expect_that!(is_ahead(), eq(true));
    tracker.record_era(Some(2), at(2), at(3));
    tracker.record_revision(Topic::Configuration, 60, 60);
    tracker.on_peer_position(position(1, 99));
    expect_that!(is_ahead(), eq(false));
    tracker.on_peer_position(position(2, 61));
    expect_that!(is_ahead(), eq(true));
    tracker.record_revision(Topic::Configuration, 61, 61);
    tracker.on_peer_position(position(9, 1));
    expect_that!(is_ahead(), eq(true));
    tracker.record_list();
    expect_that!(is_ahead(), eq(false));
    tracker.on_peer_position(position(9, 5));
    expect_that!(is_ahead(), eq(false));
    tracker.on_peer_position(position(2, 62));
    expect_that!(is_ahead(), eq(true));
}
