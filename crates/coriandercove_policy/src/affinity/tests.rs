//! Tests of the map of cache hints.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

fn small() -> Affinity {
    Affinity::new(AffinityConfig {
        block_tokens: 4,
        max_hints: 50,
        max_targets_per_block: 3,
    })
}

fn prompt(seed: u32, tokens: u32) -> Vec<Token> {
    (0..tokens).map(|i| seed * 1000 + i).collect()
}

/// Guards against hits on a prompt that only shares later tokens, or another model.
#[gtest]
fn a_block_covers_everything_before_it() {
    let map = small();
    let a = map.blocks("m", &[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let b = map.blocks("m", &[0, 2, 3, 4, 5, 6, 7, 8]);
    expect_that!(a, len(eq(2)));
    expect_that!(a[1], not(eq(b[1])));
    expect_that!(map.blocks("n", &[1, 2, 3, 4])[0], not(eq(a[0])));
}

/// Guards against counting cached blocks after the longest cached prefix.
#[gtest]
fn expected_tokens_are_the_leading_blocks() {
    let mut map = small();
    let blocks = map.blocks("m", &prompt(1, 20));
    map.observe(&"t1".into(), &blocks[..3], 0);
    map.observe(&"t2".into(), &blocks[..1], 0);
    map.on_event(&"t2".into(), 1, &CacheEvent::Stored(blocks[3..].to_vec()));
    let got = map.expected(&blocks);
    expect_that!(got, eq(&vec![("t1".into(), 12), ("t2".into(), 4)]));
}

/// Guards against routing by hints that observations have contradicted.
#[gtest]
fn missed_hits_lower_the_expectation_and_hits_restore_it() {
    let mut map = small();
    let blocks = map.blocks("m", &prompt(1, 40));
    let target: TargetId = "t".into();
    map.observe(&target, &blocks, 0);
    let first = map.expected(&blocks)[0].1;
    for _ in 0..10 {
        map.observe(&target, &blocks, 0);
    }
    let low = map.expected(&blocks)[0].1;
    for _ in 0..20 {
        map.observe(&target, &blocks, 40);
    }
    expect_that!(first, eq(40));
    expect_that!(low, le(8));
    expect_that!(map.expected(&blocks)[0].1, ge(38));
}

/// Guards against full trust after lost eviction events, and against events applied twice.
#[gtest]
fn gaps_lower_the_trust_and_old_events_are_ignored() {
    let mut map = small();
    let blocks = map.blocks("m", &prompt(1, 40));
    let target: TargetId = "t".into();
    map.on_event(&target, 1, &CacheEvent::Stored(blocks.clone()));
    map.on_event(&target, 5, &CacheEvent::Stored(Vec::new()));
    expect_that!(map.expected(&blocks)[0].1, eq(32));
    map.on_event(&target, 4, &CacheEvent::Cleared);
    expect_that!(map.expected(&blocks), len(eq(1)));
    map.on_event(&target, 6, &CacheEvent::Evicted(blocks[1..2].to_vec()));
    expect_that!(map.expected(&blocks)[0].1, le(4));
    map.on_event(&target, 7, &CacheEvent::Cleared);
    expect_that!(map.expected(&blocks), is_empty());
}

/// Guards against hints for a cache that was lost with its process.
#[gtest]
fn a_forgotten_target_has_no_hints() {
    let mut map = small();
    let blocks = map.blocks("m", &prompt(1, 40));
    map.observe(&"t".into(), &blocks, 0);
    map.forget("t");
    expect_that!(map.expected(&blocks), is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::default() })]

    /// Guards against unbounded memory and against a hint count that differs from the map.
    #[test]
    fn hints_stay_bounded(ops in prop::collection::vec((0_u8..3, 0_u32..40, 0_u32..6), 1..200)) {
        let mut map = small();
        for (n, (kind, seed, target)) in ops.into_iter().enumerate() {
            let blocks = map.blocks("m", &prompt(seed, 24));
            let target: TargetId = format!("t{target}").into();
            match kind {
                0 => map.observe(&target, &blocks, 8),
                1 => map.on_event(&target, n as u64, &CacheEvent::Evicted(blocks)),
                _ => map.on_event(&target, n as u64, &CacheEvent::Stored(blocks)),
            }
            let held: usize = map.blocks.values().map(|b| b.holders.len()).sum();
            prop_assert_eq!(held, map.len());
            prop_assert!(map.len() <= 50);
            prop_assert!(map.order.len() <= 50);
            prop_assert_eq!(map.order.len(), map.blocks.len());
        }
    }
}
