use googletest::prelude::*;

use super::*;

const DEADLINE: Time = Duration::from_secs(10);

fn failed(attempts: &mut Attempts, failure: Failure) -> Next {
    attempts.on_failure(failure, Time::ZERO, DEADLINE, || true)
}

/// Guards against a request that must run at most once (a booking) running twice or being reported
/// as not run.
#[gtest]
fn a_request_that_must_not_repeat_stops_at_the_first_unknown_outcome() {
    let mut attempts = Attempts::new(Repeat::AtMostOnce, 3);
    expect_that!(failed(&mut attempts, Failure::NotRun), eq(Next::Retry));
    expect_that!(
        failed(&mut attempts, Failure::Unknown),
        eq(Next::Stop(Outcome::Unknown))
    );
    expect_that!(
        failed(&mut attempts, Failure::NotSent),
        not(eq(Next::Stop(Outcome::NotRun)))
    );
    let mut attempts = Attempts::new(Repeat::Stream, 3);
    expect_that!(
        failed(&mut attempts, Failure::TargetLost),
        eq(Next::Stop(Outcome::Unknown))
    );
}

/// Guards against more attempts than the operator allows, and against lost targets using up the
/// attempts of a stream that can be resumed.
#[gtest]
fn attempts_at_lost_targets_do_not_count() {
    let mut attempts = Attempts::new(Repeat::ResumableStream, 2);
    expect_that!(failed(&mut attempts, Failure::Unknown), eq(Next::Retry));
    expect_that!(
        failed(&mut attempts, Failure::Unknown),
        eq(Next::Stop(Outcome::Unknown))
    );
    let mut attempts = Attempts::new(Repeat::ResumableStream, 2);
    for _ in 0..3 {
        expect_that!(failed(&mut attempts, Failure::TargetLost), eq(Next::Retry));
    }
    expect_that!(
        failed(&mut attempts, Failure::TargetLost),
        eq(Next::Stop(Outcome::Unknown))
    );
}

/// Guards against an endless loop over targets that all refuse the connection.
#[gtest]
fn attempts_that_never_leave_are_limited() {
    let mut attempts = Attempts::new(Repeat::AtMostOnce, 2);
    let mut tries = 0;
    while failed(&mut attempts, Failure::NotSent) == Next::Retry {
        tries += 1;
        assert_that!(tries, lt(20));
    }
    expect_that!(attempts.outcome(), eq(Outcome::NotRun));
}

/// Guards against a repeat that exceeds the retry budget or starts too close to the deadline.
#[gtest]
fn repeats_need_budget_and_time() {
    let mut attempts = Attempts::new(Repeat::Repeatable, 2);
    let next = attempts.on_failure(Failure::Unknown, Time::ZERO, DEADLINE, || false);
    expect_that!(next, eq(Next::Stop(Outcome::Unknown)));
    let mut attempts = Attempts::new(Repeat::Repeatable, 2);
    let next = attempts.on_failure(Failure::Unknown, DEADLINE, DEADLINE, || true);
    expect_that!(next, eq(Next::Stop(Outcome::Unknown)));
}
