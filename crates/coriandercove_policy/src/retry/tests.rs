//! Tests of the retry rules, the budget and the backoff.

use std::time::Duration;

use coriandercove_base::rng;
use googletest::prelude::*;

use super::*;

const FAR: Time = Duration::from_secs(1_000_000);

fn failed(failure: Failure, repeatable: bool, attempts: u32) -> FailedAttempt {
    FailedAttempt {
        failure,
        repeatable,
        attempts,
        deadline: FAR,
    }
}

/// Guards against a second run of a call that must not be repeated.
#[gtest]
fn only_a_possible_run_of_a_once_call_forbids_a_retry() {
    let mut rng = rng::seeded(1);
    for (failure, repeatable, reason) in [
        (
            Failure::BeforeDispatch,
            false,
            Some(RetryReason::BeforeDispatch),
        ),
        (Failure::ProvenNotRun, false, Some(RetryReason::NotRun)),
        (Failure::Unknown, true, Some(RetryReason::Repeatable)),
        (Failure::Unknown, false, None),
    ] {
        let mut policy = RetryPolicy::new(RetryConfig::default());
        let got = policy.decide(Time::ZERO, &failed(failure, repeatable, 1), &mut rng);
        match reason {
            Some(reason) => expect_that!(got.map(|r| r.reason), ok(eq(reason))),
            None => expect_that!(got, err(eq(NoRetry::MayHaveRun))),
        }
    }
}

/// Guards against retries that multiply the load when everything fails.
#[gtest]
fn retries_stay_within_a_tenth_of_requests_plus_the_floor() {
    let mut rng = rng::seeded(2);
    let mut policy = RetryPolicy::new(RetryConfig::default());
    let (seconds, rate) = (60, 200);
    let mut retries = 0;
    for i in 0..seconds * rate {
        let now = Duration::from_secs_f64(f64::from(i) / f64::from(rate));
        policy.on_request(now);
        let attempt = failed(Failure::ProvenNotRun, false, 1);
        retries += u32::from(policy.decide(now, &attempt, &mut rng).is_ok());
    }
    let allowed = seconds * rate / 10 + seconds * 3;
    expect_that!(retries, le(allowed + 3));
    expect_that!(retries, ge(allowed * 9 / 10));
}

/// Guards against a budget that grows without bound while the entry is idle.
#[gtest]
fn idle_time_saves_up_only_a_burst() {
    let mut rng = rng::seeded(3);
    let mut policy = RetryPolicy::new(RetryConfig::default());
    let now = Duration::from_secs(3600);
    let attempt = failed(Failure::ProvenNotRun, false, 1);
    let granted = (0..1000).filter(|_| policy.decide(now, &attempt, &mut rng).is_ok());
    expect_that!(granted.count(), le(30));
}

/// Guards against synchronised retries and against waits beyond 500 ms.
#[gtest]
fn backoff_doubles_up_to_the_maximum_with_full_jitter() {
    let mut rng = rng::seeded(4);
    let policy = RetryPolicy::new(RetryConfig::default());
    for (attempts, bound_ms) in [(1, 10), (2, 20), (4, 80), (7, 500), (40, 500)] {
        let bound = Duration::from_millis(bound_ms);
        let waits: Vec<Duration> = (0..500)
            .map(|_| policy.backoff(RetryReason::NotRun, attempts, &mut rng))
            .collect();
        expect_that!(waits, each(le(&bound)));
        expect_true!(waits.iter().any(|w| *w > bound.mul_f64(0.9)));
        expect_true!(waits.iter().any(|w| *w < bound.mul_f64(0.1)));
    }
}

/// Guards against a retry that cannot finish in time and against endless attempts.
#[gtest]
fn deadline_and_attempts_bound_retries() {
    let mut rng = rng::seeded(5);
    let mut policy = RetryPolicy::new(RetryConfig::default());
    let mut attempt = failed(Failure::ProvenNotRun, false, 1);
    attempt.deadline = Duration::from_secs(1);
    let late = policy.decide(Duration::from_secs(1), &attempt, &mut rng);
    expect_that!(late, err(eq(NoRetry::Deadline)));
    let often = policy.decide(
        Time::ZERO,
        &failed(Failure::ProvenNotRun, false, 5),
        &mut rng,
    );
    expect_that!(often, err(eq(NoRetry::Attempts)));
}

/// Guards against streams lost because a mass failure emptied the budget.
#[gtest]
fn stream_recovery_needs_no_budget_and_starts_at_once() {
    let mut rng = rng::seeded(6);
    let mut policy = RetryPolicy::new(RetryConfig::default());
    for _ in 0..1000 {
        let attempt = failed(Failure::StageLost, false, 1);
        let got = policy.decide(Time::ZERO, &attempt, &mut rng);
        let want = Retry {
            reason: RetryReason::StreamRecovery,
            after: Duration::ZERO,
        };
        assert_that!(got, ok(eq(want)));
    }
}
