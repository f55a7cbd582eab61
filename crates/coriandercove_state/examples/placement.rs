//! Measures the cost of the placement job for growing numbers of targets: the CPU time of a tick
//! without work and of an update of all targets, the memory, and the orders after getting the
//! lease. Prints one JSON line per figure.

mod measure;

use coriandercove_base::Time;
use coriandercove_state::placement::{
    Assignment, DesiredRange, Placement, PlacementAction, PlacementEvent, PlacementSettings,
    RangeId, TargetView,
};
use std::time::Duration;

/// Numbers of targets; the last is the planned size.
const SIZES: [u32; 4] = [413, 825, 1_650, 3_300];
const MODELS: u32 = 8;
/// Layer ranges of each model.
const STAGES: u32 = 4;

fn range(i: u32) -> Assignment {
    let stage = ((i / MODELS) % STAGES) as u16;
    Assignment {
        range: RangeId {
            model: format!("m{}", i % MODELS).into(),
            first_layer: stage * 20,
            end_layer: stage * 20 + 20,
        },
        version: "v1".to_owned(),
    }
}

fn view(i: u32) -> TargetView {
    TargetView {
        target: format!("target-{i:05}").into(),
        zone: format!("zone-{:02}", i % 11).into(),
        accelerator: format!("kind{}", i % 4),
        incarnation: 1 << 60,
        revision: 1,
        available: true,
        holds: Some(range(i)),
        loading: None,
        adapters: Vec::new(),
        role: String::new(),
        load: 50,
    }
}

fn desired(targets: u32) -> Vec<DesiredRange> {
    let replicas = targets / (MODELS * STAGES);
    (0..MODELS * STAGES)
        .map(|i| DesiredRange {
            assignment: range(i),
            min_replicas: replicas.saturating_sub(5),
            max_replicas: replicas + 5,
            adapters: Vec::new(),
            roles: Vec::new(),
            accelerators: Vec::new(),
            weight_bytes: 20 << 30,
        })
        .collect()
}

/// Returns a lease holder whose targets have all confirmed, and the number of orders that it sent
/// when it got the lease.
fn holder(views: &[TargetView]) -> (Placement, u64) {
    let mut job = Placement::new(PlacementSettings::default());
    let now = Time::ZERO;
    job.on_event(now, PlacementEvent::Desired(desired(views.len() as u32)));
    job.on_event(now, PlacementEvent::Targets(views.to_vec()));
    let actions = job.on_event(now, PlacementEvent::Holder(1));
    let orders = actions
        .iter()
        .filter(|a| matches!(a, PlacementAction::Order { .. }));
    let orders = orders.count() as u64;
    for view in views {
        let view = view.clone();
        job.on_event(now, PlacementEvent::Confirmed { fence: 1, view });
    }
    (job, orders)
}

fn main() {
    let (mut tick, mut set_targets, mut memory, mut orders) = (vec![], vec![], vec![], vec![]);
    for targets in SIZES {
        let n = f64::from(targets);
        let views: Vec<_> = (0..targets).map(view).collect();
        let before = measure::allocated();
        let (mut job, confirms) = holder(&views);
        memory.push((n, measure::allocated() - before));
        orders.push((n, confirms as f64));
        let mut now = Duration::from_secs(20);
        let us = measure::micros_per_call(|| {
            now += Duration::from_millis(1);
            job.on_event(now, PlacementEvent::Tick);
        });
        tick.push((n, us));
        let us = measure::micros_per_call(|| {
            job.on_event(now, PlacementEvent::Targets(views.clone()));
        });
        set_targets.push((n, us));
    }
    let print = |what, y, points: &[(f64, f64)]| {
        measure::print(what, "targets", y, 0, &measure::fit(points));
    };
    print("placement_tick", "us", &tick);
    print("placement_set_targets", "us", &set_targets);
    print("placement_memory", "bytes", &memory);
    print("placement_confirms_at_takeover", "orders", &orders);
}
