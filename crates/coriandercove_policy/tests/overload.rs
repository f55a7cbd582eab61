//! Goodput and account shares of admission control under overload.

use googletest::prelude::*;

#[path = "overload/model.rs"]
mod model;

use model::{Load, run};

/// Guards against work on requests whose callers have given up, which lowers goodput beyond
/// saturation.
#[gtest]
fn goodput_stays_flat_at_five_times_the_load() {
    let at = |load: f64| {
        run(
            1,
            20,
            &[Load::new("a", load / 2.0), Load::new("b", load / 2.0)],
        )
    };
    let base: f64 = at(1.0).iter().sum();
    for load in [2.0, 5.0] {
        let good: f64 = at(load).iter().sum();
        expect_that!(good / base, ge(0.95), "at {load} x");
    }
}

/// Guards against a large account that takes the share of a small one.
#[gtest]
fn a_small_account_keeps_its_share_beside_ten_times_the_load() {
    for demand in [0.1, 0.25, 0.5] {
        let alone = run(2, 20, &[Load::new("small", demand)]);
        let beside = run(
            2,
            20,
            &[
                Load::new("small", demand),
                Load::new("large", 10.0 * demand.max(0.5)),
            ],
        );
        expect_that!(beside[0] / alone[0], ge(0.95), "small asks for {demand}");
        expect_that!(beside.iter().sum::<f64>(), ge(0.9));
    }
}

/// Guards against account weights that have no effect.
#[gtest]
fn shares_follow_the_weights() {
    let load = |name, weight| Load {
        weight,
        ..Load::new(name, 5.0)
    };
    let got = run(3, 20, &[load("a", 3.0), load("b", 1.0)]);
    expect_that!(got[0] / got[1], ge(2.7).and(le(3.3)));
}
