//! Scenarios without failures.

use coriandercove_config::Account;
use coriandercove_config::keys::generate_key;
use coriandercove_local::Deployment;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use super::{BenchError, Context, Outcome, slots};
use crate::bound;
use crate::direct::{DirectLoad, engines};
use crate::load::record::{Record, quantile_ms, round};
use crate::load::{Arrivals, Load};
use crate::profile::AcceleratorMix;

/// Starts the deployment of the profile.
fn start_deployment(cx: &Context, mix: AcceleratorMix) -> Result<Deployment, BenchError> {
    Ok(Deployment::start(cx.profile.plan(mix, cx.seed))?)
}

/// Returns the upper bound of answers/s.
fn answer_bound(cx: &Context, deployment: &Deployment) -> f64 {
    bound::answers_per_second(deployment.plan(), cx.profile.request_lengths())
}

/// Runs a closed loop with 1.5 times as many callers as sequences fit in. Returns its record, the
/// share of the throughput bound that it reached, and the figures.
fn saturate(cx: &Context, deployment: &Deployment) -> Result<(Record, f64, Value), BenchError> {
    let bound = bound::tokens_per_second(deployment.plan(), cx.profile.request_lengths());
    let callers = slots(deployment.plan()) * 3 / 2;
    let before = iterations(deployment);
    let record = cx.load(deployment, Arrivals::Closed(callers)).run()?;
    let share = record.tokens_per_second() / bound;
    let figures = json!({
        "bound_tokens_per_s": round(bound),
        "share": round(share),
        "callers": callers,
        "slots": slots(deployment.plan()),
        "fill": mean_items_per_iteration(deployment, &before),
        "load": record.figures(),
    });
    Ok((record, share, figures))
}

/// Returns the number of iterations and items of each engine so far.
fn iterations(deployment: &Deployment) -> Vec<(u64, u64)> {
    let engines = deployment.agents.iter().filter_map(|a| match &a.standin {
        coriandercove_local::Standin::Engine(engine) => Some(engine.stats()),
        coriandercove_local::Standin::Service(_) => None,
    });
    engines.map(|s| (s.iterations, s.items)).collect()
}

/// Returns the mean number of items in an iteration since `before`, by layer range and accelerator.
fn mean_items_per_iteration(deployment: &Deployment, before: &[(u64, u64)]) -> Value {
    let mut groups: std::collections::BTreeMap<String, (u64, u64)> = Default::default();
    let now = iterations(deployment);
    let plan = deployment.plan().engines.iter();
    for ((engine, after), before) in plan.zip(now).zip(before) {
        let name = format!("{}-{}", engine.first_layer, engine.accelerator);
        let group = groups.entry(name).or_default();
        group.0 += after.0 - before.0;
        group.1 += after.1 - before.1;
    }
    let mean = |(iterations, items): (u64, u64)| round(items as f64 / iterations.max(1) as f64);
    groups
        .into_iter()
        .map(|(k, v)| (k, json!(mean(v))))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

/// Measures the share of the throughput bound that is reached at saturation.
pub fn throughput(cx: &Context) -> Result<Outcome, BenchError> {
    let deployment = start_deployment(cx, AcceleratorMix::Mixed)?;
    let (record, share, figures) = saturate(cx, &deployment)?;
    Ok(Outcome {
        figures,
        target: "share >= 0.90; no answer wrong, cut or lost".to_owned(),
        pass: share >= 0.90 && record.is_sound(),
    })
}

/// Compares the throughput at saturation with and without the compute times of the accelerators in
/// the configuration.
pub fn mixed_accelerators(cx: &Context) -> Result<Outcome, BenchError> {
    let mut plan = cx.profile.plan(AcceleratorMix::Mixed, cx.seed);
    let informed = Deployment::start(plan.clone())?;
    let (record, share, figures) = saturate(cx, &informed)?;
    drop(informed);
    plan.tuning.compute_known = false;
    let (_, blind_share, blind) = saturate(cx, &Deployment::start(plan)?)?;
    Ok(Outcome {
        figures: json!({"informed": figures, "blind": blind}),
        target: "share with known costs >= 0.90 and not below the share without".to_owned(),
        pass: share >= 0.90 && share >= blind_share && record.is_sound(),
    })
}

/// Measures the time added to direct calls of the engines, at half load. Both loads run twice in
/// turn. All engines have the same accelerator, so that the choice of chains has no influence.
pub fn overhead(cx: &Context) -> Result<Outcome, BenchError> {
    let deployment = start_deployment(cx, AcceleratorMix::Uniform)?;
    let rate = answer_bound(cx, &deployment) * 0.5;
    let mut routed = Record::new(cx.window(), 1);
    let mut direct = Record::new(cx.window(), 1);
    for round in 0..2 {
        let load = DirectLoad {
            engines: engines(&deployment),
            lengths: cx.profile.request_lengths(),
            rate,
            window: cx.window(),
            seed: cx.seed + round,
        };
        direct.merge(load.run()?);
        let mut load = cx.load(&deployment, Arrivals::Open(rate));
        load.seed = cx.seed + round;
        routed.merge(load.run()?);
    }
    let median = |r: &Record| (quantile_ms(&r.first_token, 0.5), quantile_ms(&r.gap, 0.5));
    let ((first, gap), (direct_first, direct_gap)) = (median(&routed), median(&direct));
    let (first, gap) = (first - direct_first, gap - direct_gap);
    Ok(Outcome {
        figures: json!({
            "added_first_token_ms": round(first),
            "added_gap_ms": round(gap),
            "requests_per_s": round(rate),
            "routed": routed.figures(),
            "direct": direct.figures(),
        }),
        target: "median: first token <= +2 ms, between tokens <= +1 ms".to_owned(),
        pass: first <= 2.0 && gap <= 1.0 && routed.is_sound(),
    })
}

/// Measures the time until the first token and between tokens at 0.8 of the throughput bound.
pub fn latency(cx: &Context) -> Result<Outcome, BenchError> {
    let deployment = start_deployment(cx, AcceleratorMix::Mixed)?;
    let rate = answer_bound(cx, &deployment) * 0.8;
    let record = cx.load(&deployment, Arrivals::Open(rate)).run()?;
    let first = quantile_ms(&record.first_token, 0.95);
    let gap = quantile_ms(&record.gap, 0.95);
    Ok(Outcome {
        figures: json!({"requests_per_s": round(rate), "load": record.figures()}),
        target: "95 in 100: first token <= 700 ms, between tokens <= 60 ms".to_owned(),
        pass: first <= 700.0 && gap <= 60.0 && record.is_sound(),
    })
}

/// Measures goodput at 1, 2 and 5 times the throughput bound. An answer counts if it is complete
/// and right and its first token arrived within 0.7 s, the `first_token_deadline` of the pipeline.
/// The figures also contain the goodput without that limit.
pub fn overload(cx: &Context) -> Result<Outcome, BenchError> {
    let mut figures = serde_json::Map::new();
    let mut records = Vec::new();
    for factor in [1.0, 2.0, 5.0] {
        let deployment = start_deployment(cx, AcceleratorMix::Mixed)?;
        let rate = answer_bound(cx, &deployment) * factor;
        let mut load = cx.load(&deployment, Arrivals::Open(rate));
        load.window = cx.overload_window();
        let record = load.run()?;
        figures.insert(format!("{factor}x"), record.figures());
        records.push(record);
    }
    let share = |i: usize, goodput: fn(&Record) -> f64| {
        round(goodput(&records[i]) / goodput(&records[0]).max(1.0))
    };
    for (name, i) in [("2x", 1), ("5x", 2)] {
        let timely = share(i, Record::timely_goodput_per_second);
        figures.insert(format!("share_{name}"), json!(timely));
        let untimed = share(i, Record::goodput_per_second);
        figures.insert(format!("untimed_share_{name}"), json!(untimed));
    }
    let sound = records.iter().all(Record::is_sound);
    Ok(Outcome {
        figures: figures.into(),
        target: "goodput (first token within 0.7 s) at 5x >= 0.95 of that at 1x".to_owned(),
        pass: share(2, Record::timely_goodput_per_second) >= 0.95 && sound,
    })
}

/// Measures a small account with a load of 0.3 of the throughput bound, first alone and then beside
/// a large account of the same weight with ten times the load. The fair share of each is half of
/// the bound, so the small one should get as much as it got alone.
pub fn fairness(cx: &Context) -> Result<Outcome, BenchError> {
    let mut deployment = start_deployment(cx, AcceleratorMix::Mixed)?;
    let large_key = add_account(&mut deployment, "large", cx.seed)?;
    let rate = answer_bound(cx, &deployment) * 0.3;
    let mut small = cx.load(&deployment, Arrivals::Open(rate));
    small.window = cx.overload_window();
    let alone = small.run()?;
    let mut large = Load {
        arrivals: Arrivals::Open(rate * 10.0),
        seed: cx.seed + 1,
        ..small.clone()
    };
    large.endpoints.keys = vec![large_key];
    let (small, large) = (small.start()?, large.start()?);
    let (beside, large) = (small.join(), large.join());
    let kept = beside.goodput_per_second() / alone.goodput_per_second().max(1.0);
    let sound = alone.is_sound() && beside.is_sound() && large.is_sound();
    Ok(Outcome {
        figures: json!({
            "kept": round(kept),
            "small_alone": alone.figures(),
            "small_beside_large": beside.figures(),
            "large": large.figures(),
        }),
        target: "kept >= 0.95".to_owned(),
        pass: kept >= 0.95 && sound,
    })
}

/// Adds an account with the same limits as the deployment's own; returns its API key.
fn add_account(deployment: &mut Deployment, name: &str, seed: u64) -> Result<String, BenchError> {
    let new_key = generate_key(&mut StdRng::seed_from_u64(seed));
    let config = deployment.config_mut();
    let account = Account {
        name: name.into(),
        weight: 1,
        quota_tokens_per_second: 1_000_000,
        burst_tokens: 10_000_000,
        concurrency: 4096,
        priority: 4,
        keys: vec![new_key.hash],
    };
    config.accounts.push(account);
    deployment.publish()?;
    Ok(new_key.key)
}
