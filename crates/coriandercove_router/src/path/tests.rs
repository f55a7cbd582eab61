use std::sync::Arc;

use googletest::prelude::*;

use super::*;
use crate::layout::tests::engine;

fn part(name: &str, zone: &str, layers: (u16, u16), decode_factor: f64) -> Candidate {
    let port = name.bytes().map(u16::from).sum::<u16>();
    Candidate {
        id: Arc::from(name),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: Arc::from(zone),
        layers: LayerRange::new(layers.0, layers.1),
        slots: 192,
        kv_capacity: 80_000 * u64::from(layers.1 - layers.0),
        decode_factor,
        prefill_factor: 3.0,
        work: Work::default(),
        handicap: 1.0,
        is_tried: false,
    }
}

const DEMAND: Demand = Demand {
    prompt: 800,
    answer: 200,
};

/// What an entry in zone `a` sees, for a new request or one that runs.
fn view<'a>(
    engine: &'a EngineModel,
    candidates: &'a [Candidate],
    load: &'a Load,
    running: Option<&'a [Hop]>,
) -> View<'a> {
    View {
        engine,
        candidates,
        load,
        entry_zone: "a",
        first_event_limit: Duration::from_secs(1),
        running,
    }
}

/// A part of a running request's path, in zone `a`.
fn hop(name: &str, layers: (u16, u16)) -> Hop {
    let part = part(name, "a", layers, 1.0);
    Hop {
        id: part.id,
        zone: part.zone,
        address: part.address,
        layers: part.layers,
    }
}

fn names(path: &Path) -> Vec<String> {
    let hops = path.hops.iter();
    hops.map(|h| format!("{}:{}", h.id, h.layers)).collect()
}

fn pick(candidates: &[Candidate], load: &Load) -> std::result::Result<Vec<String>, NoPath> {
    let engine = engine();
    choose(view(&engine, candidates, load, None), DEMAND).map(|path| names(&path))
}

/// Guards against a path with a gap, an overlap or a target twice, over many random fleets.
#[gtest]
fn every_path_runs_each_layer_once_and_in_order() {
    use rand::Rng as _;
    let mut rng = coriandercove_base::rng::seeded(7);
    let mut found = 0;
    for _ in 0..600 {
        let candidates: Vec<Candidate> = (0..24)
            .map(|i| {
                let first = rng.random_range(0..72);
                let end = (first + rng.random_range(8..40)).min(80);
                let zone = ["a", "b", "c"][rng.random_range(0..3)];
                part(
                    &format!("t{i}"),
                    zone,
                    (first, end),
                    rng.random_range(2.0..16.0),
                )
            })
            .collect();
        let engine = engine();
        let load = Load::default();
        let view = View {
            first_event_limit: Duration::from_secs(60),
            ..view(&engine, &candidates, &load, None)
        };
        let Ok(path) = choose(view, DEMAND) else {
            continue;
        };
        found += 1;
        let mut at = 0;
        let mut used = Vec::new();
        for hop in &path.hops {
            expect_that!(hop.layers.first, eq(at));
            expect_false!(used.contains(&hop.id));
            let held = candidates.iter().find(|c| c.id == hop.id).unwrap().layers;
            expect_that!(hop.layers.first, ge(held.first));
            expect_that!(hop.layers.end, le(held.end));
            used.push(hop.id.clone());
            at = hop.layers.end;
        }
        expect_that!(at, eq(80));
    }
    expect_that!(found, gt(100));
}

/// Guards against paying for the links between zones where a whole chain is at hand.
#[gtest]
fn a_chain_inside_the_zone_goes_before_a_faster_one_over_zones() {
    let candidates = [
        part("a1", "a", (0, 40), 5.6),
        part("a2", "a", (40, 80), 5.6),
        part("b1", "b", (40, 80), 5.0),
    ];
    expect_that!(
        pick(&candidates, &Load::default()),
        ok(eq(&vec!["a1:0-40".to_owned(), "a2:40-80".to_owned()]))
    );
}

/// Guards against sending ever more prompts over a link on which tokens already wait.
#[gtest]
fn a_link_with_many_prompts_under_way_is_left_alone() {
    let candidates = [
        part("a1", "a", (0, 40), 2.4),
        part("b2", "b", (40, 80), 2.4),
        part("c2", "c", (40, 80), 2.4),
    ];
    let mut load = Load::default();
    load.begin_transfer(zone_pair(&Arc::from("b"), &Arc::from("a")), 30_000);
    expect_that!(
        pick(&candidates, &load),
        ok(eq(&vec!["a1:0-40".to_owned(), "c2:40-80".to_owned()]))
    );
}

/// Replays the load after a lost target: one part of the fast chain is full, and its layers are
/// taken over by the parts of other chains that have room.
#[gtest]
fn a_full_part_is_replaced_by_parts_of_other_chains() {
    let mut candidates = vec![
        part("fast1", "a", (0, 40), 2.4),
        part("fast2", "a", (40, 80), 2.4),
        part("slow1", "a", (40, 60), 16.0),
        part("slow2", "a", (60, 80), 16.0),
    ];
    candidates[1].work.kv = candidates[1].kv_capacity;
    let expected = ["fast1:0-40", "slow1:40-60", "slow2:60-80"];
    expect_that!(
        pick(&candidates, &Load::default()),
        ok(eq(&expected.map(str::to_owned).to_vec()))
    );
    candidates[2].work.kv = candidates[2].kv_capacity;
    expect_that!(pick(&candidates, &Load::default()), err(eq(&NoPath::Full)));
}

/// Replays the load at which callers left before their first event: prompts that wait at every path
/// lead to a refusal at once, while there is room.
#[gtest]
fn waiting_prompts_lead_to_a_refusal() {
    let mut candidates = vec![
        part("t1", "a", (0, 40), 2.4),
        part("t2", "a", (40, 80), 2.4),
    ];
    candidates[0].work.unread = 100 * 800 * 40;
    expect_that!(pick(&candidates, &Load::default()), err(eq(&NoPath::Slow)));
}

/// Guards against a refusal that blames load where layers are missing.
#[gtest]
fn missing_layers_are_told_apart_from_full_ones() {
    let candidates = [
        part("t1", "a", (0, 40), 2.4),
        part("t2", "a", (41, 80), 2.4),
    ];
    expect_that!(
        pick(&candidates, &Load::default()),
        err(eq(&NoPath::Incomplete))
    );
}

/// Guards against a running request being led over another first part, which would run it again.
#[gtest]
fn a_running_request_keeps_its_first_part() {
    let engine = engine();
    let candidates = [
        part("first", "a", (0, 40), 16.0),
        part("faster", "a", (0, 40), 2.4),
        part("second", "a", (30, 80), 2.4),
    ];
    let first = hop("first", (0, 35));
    let running = Some(std::slice::from_ref(&first));
    let load = Load::default();
    let path = choose(view(&engine, &candidates, &load, running), DEMAND).unwrap();
    expect_that!(path.hops[0], eq(&first));
    expect_that!(path.hops[1].layers, eq(LayerRange::new(35, 80)));
}

/// Replays the load at which 90 requests waited at one fast first part while slow ones stood idle:
/// a first part without a free slot is left out.
#[gtest]
fn a_first_part_without_a_free_slot_is_left_out() {
    let mut candidates = vec![
        part("fast", "a", (0, 40), 2.4),
        part("slow", "a", (0, 40), 16.0),
        part("rest", "a", (40, 80), 2.4),
    ];
    candidates[0].work.first_parts = 190;
    expect_that!(
        pick(&candidates, &Load::default()),
        ok(eq(&vec!["slow:0-40".to_owned(), "rest:40-80".to_owned()]))
    );
    candidates[1].work.first_parts = 190;
    expect_that!(pick(&candidates, &Load::default()), err(eq(&NoPath::Full)));
}

/// Guards against a refusal whose log does not tell which layers were short.
#[gtest]
fn the_narrowest_layer_explains_a_refusal() {
    let engine = engine();
    let mut candidates = vec![
        part("t1", "a", (0, 40), 2.4),
        part("t2", "a", (40, 80), 2.4),
        part("t3", "a", (40, 60), 2.4),
    ];
    candidates[1].work.kv = candidates[1].kv_capacity;
    let load = Load::default();
    let view = view(&engine, &candidates, &load, None);
    let expected = Narrowest {
        layer: 60,
        holders: 1,
        with_room: 0,
    };
    expect_that!(narrowest(view, DEMAND), eq(expected));
}

/// Guards against the crash that ended connections without an answer (brandstaetter-ki-grown
/// trouble-1, seed 645923789222): the only cover crosses a link that takes no more prompts.
#[gtest]
fn a_link_that_takes_no_more_prompts_means_full() {
    let candidates = [
        part("a1", "a", (0, 40), 2.4),
        part("b2", "b", (40, 80), 2.4),
    ];
    let mut load = Load::default();
    load.begin_transfer(zone_pair(&Arc::from("a"), &Arc::from("b")), 1_000_000);
    expect_that!(pick(&candidates, &load), err(eq(&NoPath::Full)));
}

/// Load pattern: a part dies under many streams. Guards against leaving the parts that hold a stream's
/// tokens, which all streams would have to read again elsewhere at the same time.
#[gtest]
fn a_changed_path_keeps_the_parts_that_hold_the_tokens() {
    let candidates = [
        part("a1", "a", (0, 26), 2.4),
        part("a3", "a", (52, 66), 5.6),
        part("a4", "a", (66, 80), 5.6),
        part("b1", "b", (26, 54), 5.6),
        part("b2", "b", (54, 80), 5.6),
    ];
    let running = [
        hop("a1", (0, 26)),
        hop("a2", (26, 52)),
        hop("a3", (52, 66)),
        hop("a4", (66, 80)),
    ];
    let engine = engine();
    let load = Load::default();
    let path = choose(view(&engine, &candidates, &load, Some(&running)), DEMAND).unwrap();
    expect_that!(
        names(&path),
        elements_are![
            eq("a1:0-26"),
            eq("b1:26-52"),
            eq("a3:52-66"),
            eq("a4:66-80")
        ]
    );
}

/// Load pattern: as above. Guards against all streams choosing the same new part at once.
#[gtest]
fn handicaps_spread_the_new_parts() {
    let mut candidates = [
        part("a1", "a", (0, 40), 5.6),
        part("a2", "a", (40, 80), 5.6),
        part("a3", "a", (40, 80), 5.6),
    ];
    let first = [hop("a1", (0, 40))];
    let (engine, load) = (engine(), Load::default());
    for (handicaps, expected) in [((1.0, 1.3), "a2"), ((1.3, 1.0), "a3")] {
        (candidates[1].handicap, candidates[2].handicap) = handicaps;
        let path = choose(view(&engine, &candidates, &load, Some(&first)), DEMAND).unwrap();
        expect_that!(&*path.hops[1].id, eq(expected));
    }
}

/// Load pattern: a burst of prompts at a part that decodes for many streams, which takes a bounded
/// piece of the prompts along with each step. Guards against taking its queue for a short one.
#[gtest]
fn a_part_that_decodes_reads_prompts_more_slowly() {
    let idle = part("a1", "a", (0, 16), 16.0);
    let mut busy = idle.clone();
    busy.work.requests = 60;
    let engine = engine();
    let (alone, _) = part_cost(&engine, &idle, DEMAND, 16);
    let (beside, _) = part_cost(&engine, &busy, DEMAND, 16);
    expect_that!(beside, gt(alone * 1.2));
    let mut queued = busy.clone();
    queued.work.unread = 20 * 800 * 16;
    let (behind, _) = part_cost(&engine, &queued, DEMAND, 16);
    expect_that!(behind, ge(beside * 20.0));
}

/// Replays the 502s of Hyotan's inc-49de: a target broke connections after the request had arrived,
/// and the second attempt went to it again, because its path was still the cheapest.
#[gtest]
fn a_first_part_that_failed_the_request_comes_last() {
    let mut candidates = [
        part("a1", "a", (0, 40), 2.4),
        part("a2", "a", (40, 80), 5.6),
        part("b1", "b", (0, 40), 16.0),
    ];
    let first = |candidates: &[Candidate]| {
        pick(candidates, &Load::default()).map(|path| path.first().cloned().unwrap_or_default())
    };
    expect_that!(first(&candidates), ok(eq("a1:0-40")));
    candidates[0].is_tried = true;
    expect_that!(first(&candidates), ok(eq("b1:0-40")));
    // It is better than none.
    expect_that!(first(&candidates[..2]), ok(eq("a1:0-40")));
}
