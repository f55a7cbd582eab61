use googletest::prelude::*;

use super::CallTracker;

/// Guards against a cancellation that reaches the engine before a job of the attempt that it ends,
/// or after a job of the next attempt, whose state it would free.
#[gtest]
fn a_cancellation_runs_between_two_attempts() {
    let mut tracker = CallTracker::default();
    tracker.on_call_started(1);
    expect_false!(tracker.request_cancel(1), "a call is in flight");
    expect_true!(tracker.is_cancel_pending(1));
    expect_true!(tracker.on_call_ended(1), "no call is in flight any more");
    expect_true!(
        tracker.is_cancel_pending(1),
        "the engine has not confirmed the cancellation"
    );
    expect_false!(tracker.on_cancel_ended(1));
    expect_false!(tracker.is_cancel_pending(1));
}

/// Guards against a second cancellation that is dropped because the first is in flight, and against
/// a map whose entries are never removed.
#[gtest]
fn a_second_cancellation_follows_the_first() {
    let mut tracker = CallTracker::default();
    expect_true!(tracker.request_cancel(1));
    expect_false!(
        tracker.request_cancel(1),
        "the first cancellation is in flight"
    );
    expect_true!(tracker.on_cancel_ended(1), "the second cancellation is due");
    expect_true!(tracker.is_cancel_pending(1));
    expect_false!(tracker.on_cancel_ended(1));
    expect_true!(tracker.calls.is_empty());
}
