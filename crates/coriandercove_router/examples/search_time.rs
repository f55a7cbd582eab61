//! Measures the time of a path search over 58 candidates in three zones, for prompts of usual size
//! and long ones, without and with the decisions on long prompts.
//!
//! `cargo run --release -p coriandercove_router --example search_time`
#![allow(clippy::print_stdout, reason = "the figures are the result")]

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng as _;

use coriandercove_base::rng::seeded;
use coriandercove_router::fleet::LayerRange;
use coriandercove_router::load::{Digest, Load, Work};
use coriandercove_router::path::interference::Interference;
use coriandercove_router::path::{Candidate, Demand, SearchContext, choose};
use coriandercove_router::routes::EngineModel;

const ROUNDS: u32 = 4000;
const OBJECTIVE: Duration = Duration::from_millis(500);

fn main() {
    let mut rng = seeded(1);
    let engine = EngineModel {
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 918_000.0,
        step: Duration::from_micros(1020),
        step_per_sequence_ms: 0.007,
        step_per_context_ms: 0.009,
        prefill_per_ms: 105.0,
        prefill_chunk: 512.0,
        usual_prompt: 770.0,
        usual_answer: 153.0,
        activation_bytes: 45_900.0,
        zone_link_mbps: 22_000.0,
        zone_delays: Vec::new(),
        accelerators: Vec::new(),
    };
    let mut load = Load::default();
    let mut candidates: Vec<Candidate> = (0..58)
        .map(|i| {
            let first = i * 7 % 64;
            let end = (first + 12 + i % 13).min(80);
            Candidate {
                id: format!("t{i}").into(),
                address: SocketAddr::from(([10, 0, 0, 1], 1000 + i)),
                zone: ["a", "b", "c"][usize::from(i % 3)].into(),
                layers: LayerRange::new(first, end),
                slots: 192,
                kv_capacity: 1_600_000,
                decode_factor: rng.random_range(2.0..16.0),
                prefill_factor: rng.random_range(3.0..8.0),
                work: Work::default(),
                jitter: rng.random_range(1.0..1.1),
                is_tried: false,
            }
        })
        .collect();
    for peer in 0..49 {
        let mut work = Vec::new();
        for c in &candidates {
            let demand = Demand {
                prompt: rng.random_range(200..2280),
                answer: 153,
            };
            let mut at = Work::of_hop(demand, c.layers, true);
            if rng.random_bool(0.97) {
                at.pending_prefill = 0;
            }
            work.push((c.address, at));
        }
        let digest = Digest {
            work,
            links: Vec::new(),
        };
        load.on_digest(format!("e{peer}").as_str().into(), digest, Duration::ZERO);
    }
    for c in &mut candidates {
        c.work = load.total(c.address);
    }
    for prompt in [500, 2000] {
        let times = [None, Some(Duration::ZERO)].map(|waited| {
            let context = SearchContext {
                engine: &engine,
                candidates: &candidates,
                load: &load,
                entry_zone: "a",
                first_event_limit: OBJECTIVE,
                yields_to: 0.0,
                running: None,
                interference: waited.map(|waited| Interference {
                    objective: OBJECTIVE,
                    waited,
                }),
            };
            let demand = Demand {
                prompt,
                answer: 153,
            };
            let start = Instant::now();
            for _ in 0..ROUNDS {
                let _ = black_box(choose(black_box(context), black_box(demand)));
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
        });
        println!(
            "prompt {prompt}: {:.1} us without, {:.1} us with",
            times[0], times[1]
        );
    }
}
