//! Generates answers to the configuration questionnaire for deployments up to the planned size.

use std::fmt::Write as _;

/// Number of models at the planned size.
pub const MODELS: usize = 8;
/// Number of zones at the planned size.
const ZONES: usize = 11;
/// Numbers of accounts, and of replicas in each group of targets. The last pair is the planned size
/// with 3,300 targets.
pub const SIZES: [(usize, usize); 4] = [(4_750, 9), (9_500, 19), (14_250, 28), (19_000, 37)];

/// Returns the answers for a deployment with `accounts` accounts that have a quota of `quota`
/// tokens per second each. Each zone has a group of targets for each model, 88 groups in all, with
/// `replicas` or one more targets.
pub fn answers(accounts: usize, replicas: usize, quota: u64) -> String {
    let mut out = String::from(
        "trade: {name: scale}\nplatform: {store: [\"http://10.0.0.1:7300\"]}\nsites:\n",
    );
    for z in 0..ZONES {
        let _ = writeln!(out, "- {{name: s{z}, region: r{}, zones: [z{z}]}}", z % 5);
    }
    out.push_str("entries:\n- {node: e, zone: z0, callers: \"10.0.0.2:80\", peer: \"10.0.0.2:81\", operations: \"10.0.0.2:82\"}\naccounts:\n");
    for a in 0..accounts {
        let _ = writeln!(out, "- {{name: a{a}, quota_tokens_per_second: {quota}}}");
    }
    out.push_str("models:\n");
    for m in 0..MODELS {
        let _ = writeln!(
            out,
            "- {{model: m{m}, version: v1, layers: 80, hidden_size: 8192, max_tokens: 8192, compute: [{{accelerator: l4, decode_us: 300, prefill_ns: 9000}}]}}"
        );
    }
    out.push_str("targets:\n");
    for (z, m) in (0..ZONES).flat_map(|z| (0..MODELS).map(move |m| (z, m))) {
        // Half of the groups have one replica more, for a total of 3,300 at the largest size.
        let replicas = replicas + (z * MODELS + m) % 2;
        let _ = writeln!(
            out,
            "- {{name: g{z}-{m}, zone: z{z}, replicas: {replicas}, peer: \"10.{}.{m}.1:7400\", checks_orders: true, accelerator: l4, model: m{m}}}",
            z + 1
        );
    }
    out
}
