//! Tests of admission control as a whole; its modules have tests of their own.

use std::collections::{HashMap, HashSet};

use coriandercove_base::rng;
use googletest::prelude::*;
use proptest::prelude::*;
use rand::Rng as _;

use super::*;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn admission(slots: u32) -> Admission {
    let mut admission = Admission::new(AdmissionConfig::new("e1".into()));
    admission.set_slots("m", slots);
    admission
}

fn arrival(req: RequestId, account: &str, cost: u64, now: Time) -> Arrival {
    Arrival {
        req,
        account: account.into(),
        pool: "m".into(),
        cost,
        priority: 1,
        deadline: now + secs(100.0),
        service_time: secs(1.0),
    }
}

/// Guards against unbounded memory under a flood, with the documented bounds.
#[gtest]
fn queues_are_bounded_for_each_account_and_the_entry() {
    let mut admission = admission(1);
    let mut seen: HashMap<RefusalReason, usize> = HashMap::new();
    for i in 0..20_000_u32 {
        let mut a = arrival(u128::from(i), &format!("a{}", i % 40), 1, Time::ZERO);
        a.deadline = secs(1e6);
        if let Admitted::Refused(r) = admission.offer(Time::ZERO, a) {
            *seen.entry(r.reason).or_default() += 1;
        }
    }
    expect_that!(admission.queued(), eq(4096));
    expect_that!(seen[&RefusalReason::EntryQueueFull], gt(0));
    let mut one = self::admission(1);
    for i in 0..1000 {
        let mut a = arrival(i, "a", 1, Time::ZERO);
        a.deadline = secs(1e6);
        one.offer(Time::ZERO, a);
    }
    expect_that!(one.queued(), eq(256));
}

/// Guards against a priority that lets one account overtake others.
#[gtest]
fn priority_orders_only_within_an_account() {
    let mut admission = admission(1);
    admission.offer(Time::ZERO, arrival(0, "x", 10, Time::ZERO));
    for (req, account, priority) in [(1, "a", 5), (2, "a", 0), (3, "b", 9)] {
        let mut a = arrival(req, account, 10, Time::ZERO);
        a.priority = priority;
        admission.offer(Time::ZERO, a);
    }
    let mut order = Vec::new();
    for running in 0.. {
        let last = order.last().copied().unwrap_or(0);
        admission.release(secs(f64::from(running)), last, 10);
        match admission.poll(secs(f64::from(running))).as_slice() {
            [AdmissionAction::Dispatch { req }] => order.push(*req),
            _ => break,
        }
    }
    expect_that!(order, elements_are![eq(&2), eq(&3), eq(&1)]);
}

/// Guards against requests that stay queued after their deadline.
#[gtest]
fn waiting_requests_are_refused_when_their_deadline_cannot_be_met() {
    let mut admission = admission(1);
    admission.offer(Time::ZERO, arrival(1, "a", 10, Time::ZERO));
    let mut late = arrival(2, "a", 10, Time::ZERO);
    late.deadline = secs(3.0);
    expect_that!(
        admission.offer(Time::ZERO, late),
        matches_pattern!(Admitted::Queued { .. })
    );
    // Before any service time is measured, 1.5 times the expected service time of 1 s is assumed.
    expect_that!(admission.poll(secs(1.5)), is_empty());
    let refused: Vec<_> = admission
        .poll(secs(1.6))
        .into_iter()
        .map(|action| match action {
            AdmissionAction::Refuse { req, refusal } => (req, Some(refusal.reason)),
            AdmissionAction::Dispatch { req } => (req, None),
        })
        .collect();
    expect_that!(refused, eq(&vec![(2, Some(RefusalReason::DeadlinePassed))]));
    expect_that!(admission.queued(), eq(0));
}

/// Guards against queueing a request for a slot that is not freed in time, although no other
/// request is queued.
#[gtest]
fn a_busy_slot_counts_as_a_wait() {
    let mut admission = admission(1);
    for req in 0..20 {
        let start = secs(req as f64 * 10.0);
        admission.offer(start, arrival(req, "a", 10, start));
        admission.release(start + secs(10.0), req, 10);
    }
    let now = secs(200.0);
    admission.offer(now, arrival(20, "a", 10, now));
    let mut hasty = arrival(21, "a", 10, now);
    hasty.deadline = now + secs(5.0);
    let explanation = admission.explain(now, &hasty);
    expect_that!(explanation.estimated_wait, eq(secs(10.0)));
    let reason = explanation.refusal.map(|r| r.reason);
    expect_that!(reason, some(eq(RefusalReason::DeadlineTooShort)));
}

/// Guards against a busy loop when the planner finds no chain for a dispatched request.
#[gtest]
fn a_requeued_request_comes_back_first_after_a_pause() {
    let mut admission = admission(2);
    expect_that!(
        admission.offer(Time::ZERO, arrival(1, "a", 10, Time::ZERO)),
        eq(&Admitted::Dispatch)
    );
    admission.requeue(Time::ZERO, 1);
    admission.offer(Time::ZERO, arrival(2, "a", 10, Time::ZERO));
    expect_that!(admission.poll(Time::ZERO), is_empty());
    let actions = admission.poll(secs(0.02));
    expect_that!(
        actions,
        elements_are![
            eq(&AdmissionAction::Dispatch { req: 1 }),
            eq(&AdmissionAction::Dispatch { req: 2 })
        ]
    );
}

/// Guards against entries that together exceed a quota, and against idle entries that keep a share
/// of it unused.
#[gtest]
fn a_quota_holds_over_entries_and_follows_the_demand() {
    let names: Vec<NodeId> = ["e1", "e2", "e3"].map(Into::into).to_vec();
    let mut entries: Vec<Admission> = names
        .iter()
        .map(|n| {
            let mut a = Admission::new(AdmissionConfig::new(n.clone()));
            a.set_slots("m", 1_000_000);
            a.set_entries(&names);
            let limits = AccountLimits {
                weight: 1.0,
                tokens_per_second: Some(300.0),
                burst: 300.0,
            };
            a.set_limits(&"a".into(), limits);
            a
        })
        .collect();
    let mut passed = [0_u64; 3];
    // Entry 1 is asked for 400 tokens/s, entry 2 for 100, entry 3 for nothing.
    for step in 0..6000_u32 {
        let now = secs(f64::from(step) / 100.0);
        for (e, every) in [(0, 1), (1, 4)] {
            let a = arrival(u128::from(step) * 3 + e as u128, "a", 4, now);
            let is_warm = step >= 2000;
            if step % every == 0 && entries[e].offer(now, a) == Admitted::Dispatch && is_warm {
                passed[e] += 4;
            }
        }
        if step % 100 == 0 {
            let digests: Vec<DemandDigest> = entries.iter().map(|e| e.digest(now, 20)).collect();
            for (e, entry) in entries.iter_mut().enumerate() {
                for (from, digest) in names.iter().zip(&digests).filter(|(n, _)| **n != names[e]) {
                    entry.on_digest(from, digest, now);
                }
            }
        }
    }
    let rate = |e: usize| passed[e] as f64 / 40.0;
    expect_that!(rate(0) + rate(1), ge(285.0).and(le(315.0)));
    expect_that!(rate(1), ge(90.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// Guards against lost and duplicated requests, and against more running requests than slots.
    #[test]
    fn every_request_ends_exactly_once(seed in any::<u64>(), slots in 1_u32..6) {
        let mut rng = rng::seeded(seed);
        let mut admission = admission(slots);
        let mut waiting: HashSet<RequestId> = HashSet::new();
        let mut running: Vec<RequestId> = Vec::new();
        for step in 0..400_u32 {
            let now = secs(f64::from(step) * 0.05);
            match rng.random_range(0..10) {
                0..5 => {
                    let mut a = arrival(u128::from(step), ["a", "b", "c"][rng.random_range(0..3)], rng.random_range(1..500), now);
                    a.deadline = now + secs(rng.random_range(1.0..20.0));
                    match admission.offer(now, a) {
                        Admitted::Dispatch => running.push(u128::from(step)),
                        Admitted::Queued { .. } => { waiting.insert(u128::from(step)); }
                        Admitted::Refused(_) => {}
                    }
                }
                5..8 if !running.is_empty() => {
                    let req = running.swap_remove(rng.random_range(0..running.len()));
                    admission.release(now, req, rng.random_range(1..500));
                }
                8 if !running.is_empty() => {
                    let req = running.swap_remove(rng.random_range(0..running.len()));
                    admission.requeue(now, req);
                    prop_assert!(waiting.insert(req));
                }
                _ => {
                    let pick = waiting.iter().min().copied();
                    if let Some(req) = pick {
                        prop_assert!(admission.cancel(now, req));
                        waiting.remove(&req);
                    }
                }
            }
            for action in admission.poll(now) {
                match action {
                    AdmissionAction::Dispatch { req } => {
                        prop_assert!(waiting.remove(&req), "dispatched {req} twice or out of nowhere");
                        running.push(req);
                    }
                    AdmissionAction::Refuse { req, .. } => prop_assert!(waiting.remove(&req)),
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.queued(), waiting.len());
            prop_assert_eq!(admission.outstanding(), running.len());
        }
    }
}
