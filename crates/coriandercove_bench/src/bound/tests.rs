//! Tests of the throughput bound.

use googletest::prelude::*;

use super::*;
use crate::profile::{AcceleratorMix, Profile};

/// Guards against a bound that counts a layer range twice or is not that of the slowest range.
#[gtest]
fn the_smallest_range_sets_the_bound() {
    let mut plan = Profile::Hyotan.plan(AcceleratorMix::Uniform, 1);
    let lengths = Profile::Hyotan.request_lengths();
    let whole = answers_per_second(&plan, lengths);
    let one = plan
        .engine_settings(&plan.engines[0], 0)
        .answer_bound(40, 40);
    expect_that!(whole, near(15.0 * one, 1e-6));
    plan.engines.remove(0);
    expect_that!(answers_per_second(&plan, lengths), near(14.0 * one, 1e-6));
}
