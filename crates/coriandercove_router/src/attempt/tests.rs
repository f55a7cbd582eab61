use googletest::prelude::*;

use super::*;

const DEADLINE: Time = Duration::from_secs(10);

/// A run at the target `n`.
fn run(n: u8) -> Run {
    Run {
        target: format!("t{n}").into(),
        address: SocketAddr::from(([10, 0, 0, n], 80)),
        started_ms: 1,
        sent_at: Time::ZERO,
        broke_at: None,
        has_ended: false,
    }
}

fn fail(attempts: &mut Attempts, failure: Failure, has_ended: impl Fn(&Run) -> bool) -> Next {
    attempts.on_failure(failure, Time::ZERO, DEADLINE, has_ended, || true)
}

/// Makes an attempt that fails, at a target that is not known to have ended.
fn failed(attempts: &mut Attempts, failure: Failure) -> Next {
    attempts.begin(run(1));
    fail(attempts, failure, |_| false)
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
    attempts.begin(run(1));
    expect_that!(
        fail(&mut attempts, Failure::Unknown, |_| true),
        eq(Next::Stop(Outcome::Unknown))
    );
    // An attempt that nobody waits for any more may have run the request.
    let mut attempts = Attempts::new(Repeat::AtMostOnce, 3);
    attempts.begin(run(1));
    expect_that!(attempts.outcome(), eq(Outcome::Unknown));
}

/// Guards against more runs than the operator allows because targets that are only silent are taken
/// for lost, and against targets that ended using up the runs of a stream that can be resumed.
#[gtest]
fn only_runs_at_targets_that_ended_do_not_count() {
    for limit in 1..4 {
        let mut attempts = Attempts::new(Repeat::ResumableStream, limit);
        for n in 1..limit {
            expect_that!(
                failed(&mut attempts, Failure::Unknown),
                eq(Next::Retry),
                "{n}"
            );
        }
        expect_that!(
            failed(&mut attempts, Failure::Unknown),
            eq(Next::Stop(Outcome::Unknown))
        );
    }
    let mut attempts = Attempts::new(Repeat::ResumableStream, 2);
    for n in 1..4 {
        attempts.begin(run(n));
        let next = fail(&mut attempts, Failure::Unknown, |_| true);
        expect_that!(next, eq(Next::Retry));
    }
    attempts.begin(run(4));
    expect_that!(
        fail(&mut attempts, Failure::Unknown, |_| true),
        eq(Next::Stop(Outcome::Unknown))
    );
}

/// Guards against runs that stay counted although their targets have ended since, and against a proof
/// that is forgotten. Load: a stream meets silent targets, and learns later that one of them has ended.
#[gtest]
fn a_late_proof_gives_a_run_back() {
    let mut attempts = Attempts::new(Repeat::ResumableStream, 2);
    let may_run = |attempts: &mut Attempts, ended: &[u8]| {
        let targets: Vec<TargetId> = ended.iter().map(|n| run(*n).target).collect();
        attempts.may_run_again(Time::ZERO, DEADLINE, |r| targets.contains(&r.target))
    };
    attempts.begin(run(1));
    expect_true!(may_run(&mut attempts, &[]));
    attempts.begin(run(2));
    expect_false!(may_run(&mut attempts, &[]));
    expect_true!(may_run(&mut attempts, &[1]));
    expect_true!(may_run(&mut attempts, &[]));
    attempts.begin(run(3));
    expect_false!(may_run(&mut attempts, &[]));
    let mut once = Attempts::new(Repeat::AtMostOnce, 2);
    expect_false!(may_run(&mut once, &[]));
}

/// Guards against a break of one target that is taken for the break of another.
#[gtest]
fn a_break_belongs_to_its_target() {
    let mut attempts = Attempts::new(Repeat::ResumableStream, 1);
    attempts.begin(run(1));
    attempts.begin(run(2));
    attempts.on_broken(run(1).address, Duration::from_secs(1));
    let broken = |r: &Run| r.broke_at.is_some();
    expect_false!(attempts.may_run_again(Time::ZERO, DEADLINE, broken));
    attempts.on_broken(run(2).address, Duration::from_secs(1));
    expect_true!(attempts.may_run_again(Time::ZERO, DEADLINE, broken));
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
    let fail = |now, may_repeat: bool| {
        let mut attempts = Attempts::new(Repeat::Repeatable, 2);
        attempts.begin(run(1));
        attempts.on_failure(Failure::Unknown, now, DEADLINE, |_| false, || may_repeat)
    };
    expect_that!(fail(Time::ZERO, true), eq(Next::Retry));
    expect_that!(fail(Time::ZERO, false), eq(Next::Stop(Outcome::Unknown)));
    expect_that!(fail(DEADLINE, true), eq(Next::Stop(Outcome::Unknown)));
}
