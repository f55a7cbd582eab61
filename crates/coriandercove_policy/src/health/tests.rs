//! Tests of ejection, the capacity floor, readmission and slow start.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

const OK: Outcome = Outcome::Success { slowness: 1.0 };

fn secs(s: u64) -> Time {
    Duration::from_secs(s)
}

fn layers(first_layer: Layer, end_layer: Layer, capacity: f64) -> LayerCapacity {
    LayerCapacity {
        model: "m".into(),
        first_layer,
        end_layer,
        capacity,
    }
}

fn health(targets: usize) -> Health {
    let mut health = Health::new(HealthConfig::default());
    for i in 0..targets {
        health.insert(
            format!("t{i}").into(),
            layers(0, 10, 1.0),
            Time::ZERO,
            false,
        );
    }
    health
}

fn fail(health: &mut Health, target: &str, now: Time, times: usize) -> Vec<HealthAction> {
    (0..times)
        .flat_map(|_| health.on_result(target, now, Outcome::Failure))
        .collect()
}

/// Duration of the ejection of target `t0` after `times` failures, if it is ejected.
fn ejection(health: &mut Health, now: Time, times: usize) -> Option<Duration> {
    match fail(health, "t0", now, times).as_slice() {
        [HealthAction::Eject { until, .. }] => Some(*until - now),
        _ => None,
    }
}

/// Guards against ejection after single failures, and against broken targets that are not ejected.
#[gtest]
fn five_failures_in_a_row_eject() {
    let mut health = health(3);
    expect_that!(fail(&mut health, "t0", secs(1), 4), is_empty());
    health.on_result("t0", secs(1), OK);
    expect_that!(fail(&mut health, "t0", secs(1), 4), is_empty());
    expect_that!(ejection(&mut health, secs(1), 1), some(eq(secs(5))));
    expect_that!(health.weight("t0", secs(1)), eq(0.0));
}

/// Guards against a target that fails often but never many times in a row.
#[gtest]
fn a_high_failure_rate_ejects() {
    let mut health = health(3);
    let mut actions = Vec::new();
    for _ in 0..40 {
        health.on_result("t0", secs(1), OK);
        actions.extend(fail(&mut health, "t0", secs(1), 1));
    }
    let want = HealthAction::Eject {
        target: "t0".into(),
        cause: EjectCause::FailureRate,
        until: secs(6),
    };
    expect_that!(actions, elements_are![eq(&want)]);
}

/// Guards against a slow target that delays every chain through it.
#[gtest]
fn a_slow_outlier_is_ejected_but_a_slow_fleet_is_not() {
    let mut health = health(5);
    let observe = |health: &mut Health, slowness: [f64; 5]| {
        for (i, slowness) in slowness.into_iter().enumerate() {
            for _ in 0..60 {
                health.on_result(&format!("t{i}"), secs(1), Outcome::Success { slowness });
            }
        }
        health.tick(secs(2)).len()
    };
    expect_that!(observe(&mut health, [9.0, 8.0, 9.0, 10.0, 9.0]), eq(0));
    expect_that!(observe(&mut health, [1.0, 1.2, 8.0, 1.0, 0.9]), eq(1));
    expect_true!(health.is_ejected("t2"));
}

/// Guards against a report at each tick for a slow target that the floor protects.
#[gtest]
fn a_slow_target_kept_by_the_floor_is_reported_once() {
    let mut health = health(3);
    health.insert("t0".into(), layers(0, 10, 9.0), Time::ZERO, false);
    let mut actions = Vec::new();
    for step in 0..300 {
        for (target, slowness) in [("t0", 9.0), ("t1", 1.0), ("t2", 1.0)] {
            health.on_result(target, secs(step), Outcome::Success { slowness });
        }
        actions.extend(health.tick(secs(step)));
    }
    let kept = HealthAction::KeptByFloor {
        target: "t0".into(),
        cause: EjectCause::Slow,
    };
    expect_that!(actions, elements_are![eq(&kept)]);
}

/// Guards against an unstable target that gets a full share of work every few seconds.
#[gtest]
fn ejections_double_and_health_is_forgiving() {
    let mut health = health(3);
    let mut now = secs(10);
    for (failures, want) in [(5, 5), (2, 10), (2, 20), (2, 40)] {
        expect_that!(ejection(&mut health, now, failures), some(eq(secs(want))));
        expect_that!(
            health.tick(now + secs(want) - Duration::from_millis(1)),
            is_empty()
        );
        now += secs(want);
        expect_that!(health.tick(now), len(eq(1)));
    }
    expect_that!(ejection(&mut health, now + secs(600), 5), some(eq(secs(5))));
}

/// Guards against a new target that gets a full share of work at once.
#[gtest]
fn weight_ramps_over_ten_seconds() {
    let mut health = health(2);
    health.insert("new".into(), layers(0, 10, 1.0), secs(100), true);
    let weights: Vec<f64> = [100, 102, 105, 110]
        .map(|t| health.weight("new", secs(t)))
        .to_vec();
    expect_that!(weights, eq(&vec![0.1, 0.2, 0.5, 1.0]));
    expect_that!(health.weight("t0", Time::ZERO), eq(1.0));
}

/// Guards against an ejection that leaves too little capacity, and against repeated reports.
#[gtest]
fn the_floor_keeps_half_and_is_reported_once() {
    let mut health = health(3);
    expect_that!(fail(&mut health, "t0", secs(1), 5), len(eq(1)));
    let kept = HealthAction::KeptByFloor {
        target: "t1".into(),
        cause: EjectCause::ConsecutiveFailures,
    };
    expect_that!(
        fail(&mut health, "t1", secs(1), 9),
        elements_are![eq(&kept)]
    );
    expect_false!(health.is_ejected("t1"));
    // t0 and t1 are left. The ejected t0 holds half of the capacity, which the floor allows.
    expect_that!(health.remove("t2", secs(2)), is_empty());
    let back = HealthAction::Readmit {
        target: "t0".into(),
    };
    expect_that!(health.remove("t1", secs(2)), elements_are![eq(&back)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), ..ProptestConfig::default() })]

    /// Guards against sequences of failures, additions and removals that violate the floor.
    #[test]
    fn the_floor_holds_for_every_layer(ops in prop::collection::vec((0_u8..8, 0_u8..10, 0_u16..4, 1_u16..4, 1_u8..5), 1..200)) {
        let mut health = Health::new(HealthConfig::default());
        for (step, (kind, target, first, length, capacity)) in ops.into_iter().enumerate() {
            let now = secs(step as u64);
            let name: TargetId = format!("t{target}").into();
            match kind {
                0..3 => { health.insert(name, layers(first, first + length, f64::from(capacity)), now, true); }
                3 => { health.remove(&name, now); }
                4 => { health.tick(now); }
                _ => { fail(&mut health, &name, now, 5); }
            }
            for layer in 0..8 {
                let held = || health.targets.values().filter(|s| s.holds_layer("m", layer));
                let total: f64 = held().map(|s| s.layers.capacity).sum();
                let active: f64 = held().filter(|s| !s.is_ejected()).map(|s| s.layers.capacity).sum();
                prop_assert!(active >= 0.5 * total - 1e-9, "layer {layer}: {active} of {total}");
            }
        }
    }
}
