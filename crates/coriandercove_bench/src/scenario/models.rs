//! Scenarios that evaluate a model without a deployment.

use coriandercove_policy::shuffle::{ShuffleModel, measure};
use coriandercove_state::membership::control_cost;
use serde_json::{Value, json};

use super::{BenchError, Context, Outcome};
use crate::load::record::round;

/// Goal for the payload of the control traffic of the busiest node, in bytes per second.
const MAX_CONTROL_PAYLOAD: f64 = 2_048.0;

/// Evaluates shuffle shards of 4, 8 and 16 replicas at 30 and at 3,300 replicas.
/// Never fails.
pub fn shuffle(cx: &Context) -> Result<Outcome, BenchError> {
    let mut figures = Vec::new();
    for (replicas, accounts) in [(30, 10), (3_300, 19_000)] {
        for shard in [4, 8, 16] {
            figures.push(shard_figures(cx, replicas, accounts, shard));
        }
    }
    Ok(Outcome {
        figures: figures.into(),
        target: "shards are used only where `served` >= 0.90".to_owned(),
        pass: true,
    })
}

/// Returns the figures of one size of shard.
fn shard_figures(cx: &Context, replicas: usize, accounts: usize, shard: usize) -> Value {
    let model = ShuffleModel {
        replicas,
        accounts,
        shard,
        skew: 1.0,
        prompts: 20,
        cache: 100,
        seed: cx.seed,
    };
    let f = measure(&model);
    json!({
        "replicas": replicas,
        "accounts": accounts,
        "shard": shard,
        "half_kept": round(f.half_kept),
        "all_lost": round(f.all_lost),
        "balance": round(f.balance),
        "served": round(f.served),
        "hits": round(f.hits),
        "hits_unsharded": round(f.hits_unsharded),
    })
}

/// Evaluates the control traffic of membership and the time in which changes spread.
/// Never fails.
pub fn control(cx: &Context) -> Result<Outcome, BenchError> {
    let cost = control_cost(cx.nodes, cx.targets);
    let seconds = |d: Option<std::time::Duration>| d.map(|d| round(d.as_secs_f64()));
    Ok(Outcome {
        figures: json!({
            "nodes": cx.nodes,
            "targets": cx.targets,
            "sent_max_bytes_per_s": round(cost.sent_max()),
            "received_max_bytes_per_s": round(cost.received_max()),
            "payload_max_bytes_per_s": round(cost.payload_max()),
            "suspect_everywhere_s": seconds(cost.suspect_everywhere),
            "dead_everywhere_s": seconds(cost.dead_everywhere),
            "leaving_everywhere_s": seconds(cost.leaving_everywhere),
            "false_suspicions": cost.false_suspicions,
        }),
        target: "payload of the busiest node <= 2048 bytes/s, leaving known within 3 s".to_owned(),
        pass: cost.payload_max() <= MAX_CONTROL_PAYLOAD
            && seconds(cost.leaving_everywhere).is_some_and(|s| s <= 3.0),
    })
}
