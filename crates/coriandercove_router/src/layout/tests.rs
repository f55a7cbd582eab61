#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;

use super::*;

/// Model and accelerators of the users' sites.
pub(crate) fn engine() -> EngineModel {
    let card = |kind: &str, memory_mb, decode_factor, prefill_factor| Accelerator {
        kind: Arc::from(kind),
        memory_mb,
        decode_factor,
        prefill_factor,
    };
    EngineModel {
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 918_000.0,
        step: Duration::from_micros(1020),
        step_per_sequence_ms: 0.00714,
        step_per_context_ms: 0.00956,
        prefill_per_ms: 105.0,
        prefill_chunk: 512.0,
        usual_prompt: 774.0,
        usual_answer: 204.0,
        activation_bytes: 45_900.0,
        zone_link_mbps: 22_000.0,
        zone_delays: Vec::new(),
        accelerators: vec![
            card("a100", 72_000.0, 2.4, 3.2),
            card("l4", 21_600.0, 16.0, 8.2),
            card("l40s", 43_200.0, 5.6, 2.7),
        ],
    }
}

/// Targets without layers, by zone and kind of accelerator.
pub(crate) fn fleet(zones: &[(&str, &[(&str, usize)])]) -> Vec<Holder> {
    let engine = engine();
    let mut out = Vec::new();
    for (zone, cards) in zones {
        for (kind, count) in *cards {
            for n in 0..*count {
                out.push(Holder {
                    id: Arc::from(format!("{zone}-{kind}-{n}")),
                    zone: Arc::from(*zone),
                    accelerator: engine.accelerator(kind).unwrap().clone(),
                    layers: None,
                });
            }
        }
    }
    out
}

fn site() -> Vec<Holder> {
    fleet(&[
        ("a", &[("a100", 2), ("l40s", 2), ("l4", 5)]),
        ("b", &[("a100", 1), ("l40s", 3), ("l4", 8)]),
        ("c", &[("a100", 1), ("l40s", 6), ("l4", 5)]),
    ])
}

/// Applies assignments to the holders.
fn carry_out(holders: &mut [Holder], assignments: &[Assignment]) {
    for a in assignments {
        let holder = holders.iter_mut().find(|h| h.id == a.id).unwrap();
        holder.layers = Some(a.layers);
    }
}

/// The site after its first layout.
fn laid_out() -> Vec<Holder> {
    let mut holders = site();
    let assignments = plan(&engine(), &holders);
    carry_out(&mut holders, &assignments);
    holders
}

fn copies(holders: &[Holder], layer: u16) -> usize {
    let held = holders.iter().filter_map(|h| h.layers);
    held.filter(|l| l.first <= layer && layer < l.end).count()
}

fn fewest_copies(holders: &[Holder]) -> usize {
    (0..80).map(|l| copies(holders, l)).min().unwrap()
}

/// Guards against a first layout with few copies of some layers, or one that exceeds a target's
/// memory.
#[gtest]
fn the_first_layout_covers_every_layer_five_times() {
    let engine = engine();
    let mut holders = site();
    let assignments = plan(&engine, &holders);
    carry_out(&mut holders, &assignments);
    expect_that!(assignments.len(), eq(33));
    expect_that!(fewest_copies(&holders), ge(5));
    for h in &holders {
        let layers = h.layers.unwrap();
        expect_that!(layers.end, le(80));
        expect_that!(
            f64::from(layers.len()) * engine.layer_mb,
            lt(h.accelerator.memory_mb)
        );
    }
}

/// Guards against moves that take capacity away although no target was lost.
#[gtest]
fn a_whole_layout_is_left_alone() {
    expect_that!(rebalance(&engine(), &laid_out()), none());
}

/// Guards against a chain size that suits one fleet only: the small site keeps five copies of each
/// layer, the grown one has two chains in each zone.
#[gtest]
fn the_room_of_a_chain_follows_the_fleet() {
    let usual = 978.0;
    let small = chain_tokens(&engine(), &site()) / usual;
    expect_that!(small, all![ge(70.0), le(85.0)]);
    let grown = fleet(&[
        ("a", &[("a100", 3), ("l40s", 4), ("l4", 9)]),
        ("b", &[("a100", 1), ("l40s", 5), ("l4", 13)]),
        ("c", &[("a100", 1), ("l40s", 9), ("l4", 7)]),
    ]);
    let grown = chain_tokens(&engine(), &grown) / usual;
    expect_that!(grown, all![ge(100.0), le(150.0)]);
    let tiny = fleet(&[("a", &[("l40s", 4)])]);
    let tokens = chain_tokens(&engine(), &tiny);
    expect_that!(layers_for(&engine(), &tiny[0].accelerator, tokens), ge(19));
}

/// Load pattern: the loss of fast targets left layers 0-27 at 90% of their memory. Slow targets
/// move there from layers with much capacity, and the moves come to an end.
#[gtest]
fn lost_layers_are_filled_from_layers_with_much_room() {
    let engine = engine();
    let mut holders = laid_out();
    for lost in ["a-a100-0", "b-a100-0"] {
        holders.retain(|h| &*h.id != lost);
    }
    let before = fewest_copies(&holders);
    let mut moves = 0;
    while let Some(assignment) = rebalance(&engine, &holders) {
        carry_out(&mut holders, &[assignment]);
        moves += 1;
        assert_that!(moves, lt(20));
    }
    expect_that!(fewest_copies(&holders), ge(before));
    expect_that!(fewest_copies(&holders), ge(3));
}

/// Guards against leaving layers without any target while others have several.
#[gtest]
fn a_layer_without_a_target_is_filled_first() {
    let engine = engine();
    let mut holders = laid_out();
    holders.retain(|h| h.layers.is_some_and(|l| l.first >= 8));
    let assignment = rebalance(&engine, &holders).unwrap();
    expect_that!(assignment.layers.first, eq(0));
}

/// Guards against leaving a restarted target empty or giving it layers that have enough copies.
#[gtest]
fn a_restarted_target_takes_the_layers_it_left() {
    let engine = engine();
    let mut holders = laid_out();
    let lost = holders.iter_mut().find(|h| &*h.id == "b-a100-0").unwrap();
    let had = lost.layers.take().unwrap();
    let again = plan(&engine, &holders);
    assert_that!(again.len(), eq(1));
    expect_that!(again[0].layers, eq(had));
}
