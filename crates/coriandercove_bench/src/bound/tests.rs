//! Tests of the throughput bound.

use googletest::prelude::*;

use super::*;
use crate::profile::{Fleet, Profile};

/// Guards against a bound that counts a layer range twice or takes the wrong one.
#[gtest]
fn the_smallest_range_sets_the_bound() {
    let mut plan = Profile::Hyotan.plan(Fleet::Uniform, 1);
    let shape = Profile::Hyotan.shape();
    let whole = answers_per_second(&plan, shape);
    let one = plan
        .engine_settings(&plan.engines[0], 0)
        .answer_bound(40, 40);
    expect_that!(whole, near(15.0 * one, 1e-6));
    plan.engines.remove(0);
    expect_that!(answers_per_second(&plan, shape), near(14.0 * one, 1e-6));
}
