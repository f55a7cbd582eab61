use googletest::prelude::*;

use super::*;

fn in_force(mark: Mark) -> VerdictReport {
    VerdictReport {
        mark,
        stamp: 1,
        is_lifted: false,
        remaining_ms: 60_000,
    }
}

fn stored(mark: Mark, until_ms: u64) -> StoredVerdict {
    StoredVerdict {
        mark,
        stamp: 1,
        until_ms,
    }
}

const NOW: u64 = 1_000_000;

/// Guards against losing the verdicts with a restart of all entries, and against entries that
/// enforce one which has ended.
#[gtest]
fn a_new_entry_applies_the_stored_verdicts() {
    let steps = compare(
        &[],
        &[stored(7, NOW + 60_000), stored(8, NOW - 1)],
        &[],
        NOW,
    );
    expect_that!(
        steps,
        elements_are![eq(&Step::Apply(in_force(7))), eq(&Step::Remove(8))]
    );
}

/// Guards against a verdict that holds longer than an hour because a clock is wrong.
#[gtest]
fn a_stored_verdict_ends_in_time_although_clocks_differ() {
    let steps = compare(&[], &[stored(7, NOW + u64::from(u32::MAX) * 3)], &[], NOW);
    let longest = u32::try_from(VERDICT_LIFETIME.as_millis());
    let expected = VerdictReport {
        remaining_ms: longest.unwrap_or_default(),
        ..in_force(7)
    };
    expect_that!(steps, elements_are![eq(&Step::Apply(expected))]);
}

/// Guards against verdicts that only the entries know, and against writing one twice.
#[gtest]
fn a_new_verdict_is_stored_once() {
    let steps = compare(&[in_force(7)], &[], &[], NOW);
    expect_that!(
        steps,
        elements_are![eq(&Step::Add(stored(7, NOW + 60_000)))]
    );
    expect_that!(
        compare(&[in_force(7)], &[stored(7, NOW)], &[], NOW),
        is_empty()
    );
}

/// Guards against restoring a verdict that an operator has removed from the store, and against one
/// that stays there although it has ended.
#[gtest]
fn a_verdict_that_an_operator_removes_is_lifted() {
    let steps = compare(&[in_force(7)], &[], &[7], NOW);
    expect_that!(steps, elements_are![eq(&Step::Lift(7))]);
    let steps = compare(&[], &[stored(7, NOW + 60_000)], &[7], NOW);
    expect_that!(steps, elements_are![eq(&Step::Remove(7))]);
}
