//! Measures the time of one chain choice with 30 and with 3300 targets.
//!
//! Run with `cargo run --release -p coriandercove_policy --example choice`.

use std::io::Write as _;
use std::time::{Duration, Instant};

use coriandercove_base::{ModelId, TargetId, ZoneId, rng};
use coriandercove_policy::chain::{
    Candidate, Chain, ChainRequest, LinkCost, Planner, PlannerConfig, TargetState,
};

const LAYERS: u16 = 48;
const CHOICES: usize = 20_000;

struct Fleet {
    name: &'static str,
    targets: usize,
    models: usize,
    zones: usize,
    stages: u16,
    /// Number of chains kept in progress.
    in_progress: usize,
}

fn candidate(fleet: &Fleet, i: usize, zones: &[ZoneId]) -> Candidate {
    let stage = ((i / fleet.models) % usize::from(fleet.stages)) as u16;
    let width = LAYERS / fleet.stages;
    let micros = [100, 150, 220, 300][(i / 7) % 4];
    Candidate {
        target: format!("t{i:04}").into(),
        zone: zones[(i / fleet.models / usize::from(fleet.stages)) % zones.len()].clone(),
        model: format!("m{}", i % fleet.models).into(),
        version: "1".into(),
        first_layer: stage * width,
        end_layer: (stage + 1) * width,
        stops_early: false,
        prefill_per_layer: Duration::from_micros(micros / 20),
        decode_per_layer: Duration::from_micros(micros),
        batch_slots: 8,
        concurrency_limit: 32,
        kv_capacity_tokens: 1_000_000,
        state: TargetState::Ready,
    }
}

fn planner(fleet: &Fleet, zones: &[ZoneId]) -> Planner {
    let mut planner = Planner::new(PlannerConfig::default());
    for i in 0..fleet.targets {
        planner.upsert(candidate(fleet, i, zones));
    }
    for (a, from) in zones.iter().enumerate() {
        for (b, to) in zones.iter().enumerate() {
            let cost = LinkCost {
                delay: Duration::from_micros(100 + 700 * a.abs_diff(b) as u64),
                bandwidth: 1_000_000_000 / (1 + 10 * a.abs_diff(b) as u64),
            };
            planner.set_zone_link(from, to, cost);
        }
    }
    planner
}

fn choose(
    planner: &mut Planner,
    model: &ModelId,
    zone: &ZoneId,
    exclude: &[TargetId],
    rng: &mut rng::Rng,
) -> Option<Chain> {
    let req = ChainRequest {
        model,
        version: None,
        first_layer: 0,
        end_layer: LAYERS,
        from: zone,
        to: zone,
        ring: true,
        prompt_tokens: 300,
        output_tokens: 200,
        max_tokens: 400,
        activation_bytes: 8192,
        exclude,
        cached: &[],
    };
    planner.choose(&req, Duration::ZERO, rng).ok()
}

fn measure(fleet: &Fleet) -> std::io::Result<()> {
    let zones: Vec<ZoneId> = (0..fleet.zones)
        .map(|z| format!("z{z:02}").into())
        .collect();
    let models: Vec<ModelId> = (0..fleet.models).map(|m| format!("m{m}").into()).collect();
    let mut planner = planner(fleet, &zones);
    let mut rng = rng::seeded(1);
    let mut running = std::collections::VecDeque::new();
    let mut times = Vec::with_capacity(CHOICES);
    let mut refused = 0;
    for i in 0..CHOICES {
        let model = &models[i % models.len()];
        let start = Instant::now();
        let chain = choose(&mut planner, model, &zones[0], &[], &mut rng);
        times.push(start.elapsed());
        match chain {
            Some(chain) => {
                planner.begin(&chain);
                running.push_back(chain);
            }
            None => refused += 1,
        }
        if running.len() > fleet.in_progress
            && let Some(chain) = running.pop_front()
        {
            planner.finish(&chain);
        }
    }
    times.sort_unstable();
    let micros = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6;
    writeln!(
        std::io::stdout(),
        "{:<32} median {:.1} us p99 {:.1} us refused {refused} of {CHOICES}",
        fleet.name,
        micros(0.5),
        micros(0.99)
    )
}

fn main() -> std::io::Result<()> {
    let small = |name, in_progress| Fleet {
        name,
        targets: 30,
        models: 1,
        zones: 3,
        stages: 3,
        in_progress,
    };
    let large = |name, in_progress| Fleet {
        name,
        targets: 3300,
        models: 8,
        zones: 11,
        stages: 4,
        in_progress,
    };
    measure(&small("30 targets, half load", 160))?;
    measure(&small("30 targets, saturated", 1000))?;
    measure(&large("3300 targets, own share", 500))?;
    measure(&large("3300 targets, half load", 13_000))?;
    measure(&large("3300 targets, near saturation", 18_000))
}
