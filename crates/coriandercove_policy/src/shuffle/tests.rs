//! Tests of shuffle sharding and of its simulation.

use googletest::prelude::*;

use super::*;

/// Guards against shards that change when a replica outside them leaves, which would make their
/// caches useless.
#[gtest]
fn a_leaving_replica_changes_only_its_own_shards() {
    let all: Vec<String> = (0..30).map(|i| format!("r{i}")).collect();
    let fewer = &all[..29];
    for account in (0..200).map(|i| format!("a{i}")) {
        let before = shard(&account, &all, 4);
        let after = shard(&account, fewer, 4);
        expect_that!(before, len(eq(4)));
        let kept: Vec<usize> = before.iter().copied().filter(|r| *r != 29).collect();
        expect_that!(&after[..kept.len()], eq(kept.as_slice()));
    }
}

/// Guards against a simulation whose figures contradict their definitions.
#[gtest]
fn a_shard_of_the_whole_fleet_is_even_and_isolates_nothing() {
    let figures = measure(&ShuffleModel {
        replicas: 30,
        accounts: 10,
        shard: 30,
        skew: 1.0,
        prompts: 20,
        cache: 50,
        seed: 1,
    });
    expect_that!(figures.all_lost, eq(1.0));
    expect_that!(figures.half_kept, eq(0.0));
    expect_that!(figures.balance, near(1.0, 1e-6));
    expect_that!(figures.served, near(1.0, 1e-6));
}

/// Guards against a division that loses load, or that leaves a replica less loaded than the others
/// that got a share.
#[gtest]
fn fill_levels_the_lowest_first() {
    expect_that!(
        water_fill(&[3.0, 0.0, 1.0], 2.0),
        elements_are![near(0.0, 1e-9), near(1.5, 1e-9), near(0.5, 1e-9)]
    );
}
