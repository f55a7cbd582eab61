//! Measures the membership traffic of a cluster with the given numbers of entries and targets, and
//! the CPU time of all its nodes: `control ENTRIES TARGETS`. Prints one JSON line.

mod measure;

use coriandercove_state::membership::{RegionCost, control_cost};
use serde_json::json;

/// Returns the largest value of a figure over all regions.
fn largest(regions: &[RegionCost], of: impl Fn(&RegionCost) -> f64) -> f64 {
    regions.iter().map(of).fold(0.0, f64::max)
}

/// Returns the largest figures of the nodes of one role as JSON.
fn role_figures(regions: &[RegionCost]) -> serde_json::Value {
    json!({
        "sent_mean": largest(regions, |r| r.sent_mean),
        "sent_max": largest(regions, |r| r.sent_max),
        "received_mean": largest(regions, |r| r.received_mean),
        "received_max": largest(regions, |r| r.received_max),
        "payload_max": largest(regions, |r| r.payload_max),
    })
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|a| a.parse().ok());
    let entries: usize = args.next().unwrap_or(33);
    let targets: usize = args.next().unwrap_or(231);
    let (micros, cost) = measure::micros_of(|| control_cost(entries, targets));
    let result = json!({
        "entries": entries,
        "targets": targets,
        "bytes_per_second_in_the_busiest_region": {
            "entry": role_figures(&cost.entries),
            "agent": role_figures(&cost.agents),
        },
        "suspect_everywhere_s": cost.suspect_everywhere.map(|d| d.as_secs_f64()),
        "dead_everywhere_s": cost.dead_everywhere.map(|d| d.as_secs_f64()),
        "leaving_everywhere_s": cost.leaving_everywhere.map(|d| d.as_secs_f64()),
        "false_suspicions": cost.false_suspicions,
        "cpu_of_all_nodes_s": micros / 1e6,
    });
    measure::print("control", "fleet", "cost", 0, &result);
}
