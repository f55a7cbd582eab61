//! Scenarios in which targets fail or leave while streams run.

use std::time::{Duration, Instant};

use coriandercove_base::rng::{Rng, seeded};
use coriandercove_local::{Deployment, EnginePlan, Standin};
use coriandercove_standin::engine::{EngineFaults, EngineStats, InvalidReply};
use rand::Rng as _;
use serde_json::json;

use super::{BenchError, Context, Outcome, WARM_UP};
use crate::bound;
use crate::load::record::{Record, Stall, round};
use crate::load::{Arrivals, RunningLoad};
use crate::profile::{AcceleratorMix, ZONES};

/// Time between two failures, long enough for streams that one of them stalls to continue before
/// the next.
const FAILURE_PERIOD: Duration = Duration::from_secs(3);
/// Longest time between a failure and the start of a stall that is attributed to it. A stall starts
/// with the last token before it.
const MAX_STALL_ONSET: Duration = Duration::from_millis(1_000);
/// Goal for the 95th percentile of the lengths of stalls.
const MAX_P95_STALL: Duration = Duration::from_secs(1);

/// Description of the goal of scenarios with failures.
pub const RECOVERY_TARGET: &str =
    "stalls of the affected streams <= 1 s at the 95th percentile; no stream lost";

/// Starts a deployment, and a load of half its throughput bound.
fn start_half_load(cx: &Context) -> Result<(Deployment, RunningLoad), BenchError> {
    let plan = cx.profile.plan(AcceleratorMix::Mixed, cx.seed);
    let rate = bound::answers_per_second(&plan, cx.profile.request_lengths()) * 0.5;
    let deployment = Deployment::start(plan)?;
    let load = cx.load(&deployment, Arrivals::Open(rate)).start()?;
    Ok((deployment, load))
}

/// Returns the times of the failures of a run, from the start of the load.
fn failure_times(cx: &Context) -> Vec<Duration> {
    let mut at = WARM_UP;
    let mut times = Vec::new();
    while at + FAILURE_PERIOD <= WARM_UP + cx.duration {
        times.push(at);
        at += FAILURE_PERIOD;
    }
    times
}

/// Returns the stalls that lasted until a failure or began shortly after one. A stall counts from
/// the last token, which may have arrived one gap before the failure.
fn stalls_caused_by(record: &Record, failures: &[Duration]) -> Vec<Stall> {
    let is_caused = |stall: &&Stall| {
        failures
            .iter()
            .any(|f| stall.from + stall.length >= *f && stall.from <= *f + MAX_STALL_ONSET)
    };
    record.stalls.iter().filter(is_caused).copied().collect()
}

/// Returns the number of stalls that no failure explains, a measure of the noise of the run.
fn unexplained(record: &Record, failures: &[Duration]) -> usize {
    record.stalls.len() - stalls_caused_by(record, failures).len()
}

/// Returns the outcome of a run with failures at these times.
pub fn recovery_outcome(record: &Record, failures: &[Duration]) -> Outcome {
    let mut stalls: Vec<Duration> = stalls_caused_by(record, failures)
        .iter()
        .map(|s| s.length)
        .collect();
    stalls.sort_unstable();
    let quantile = |q: f64| {
        let i = (stalls.len() as f64 * q).ceil() as usize;
        let stall = stalls.get(i.saturating_sub(1));
        stall.copied().unwrap_or_default()
    };
    let p95 = quantile(0.95);
    let ms = |d: Duration| round(d.as_secs_f64() * 1000.0);
    Outcome {
        figures: json!({
            "failures": failures.len(),
            "stalls": {"n": stalls.len(), "p50_ms": ms(quantile(0.5)), "p95_ms": ms(p95), "max_ms": ms(quantile(1.0))},
            "unexplained_stalls": unexplained(record, failures),
            "load": record.figures(),
        }),
        target: RECOVERY_TARGET.to_owned(),
        pass: p95 <= MAX_P95_STALL && record.is_sound(),
    }
}

/// Runs a load and calls `fail` for a random engine at each failure time.
fn fail_engines_in_turn(
    cx: &Context,
    mut fail: impl FnMut(&mut Deployment, usize, &RunningLoad) -> Result<(), BenchError>,
) -> Result<Outcome, BenchError> {
    let (mut deployment, load) = start_half_load(cx)?;
    let mut rng = seeded(cx.seed ^ 0xfa11);
    let mut failures = Vec::new();
    let mut items = Vec::new();
    for at in failure_times(cx) {
        load.wait_until(at);
        let victim = random_engine(&deployment, &mut rng);
        failures.push(load.epoch.elapsed());
        items.push(items_run(&deployment, victim));
        fail(&mut deployment, victim, &load)?;
    }
    let record = load.join();
    let mut outcome = recovery_outcome(&record, &failures);
    // A run in which only idle engines failed proves nothing.
    outcome.pass &= items.iter().any(|n| *n > 0);
    outcome.figures["failed_at_ms"] = failures.iter().map(|f| f.as_millis() as u64).collect();
    outcome.figures["items_before_failure"] = items.into();
    Ok(outcome)
}

/// Returns the number of items that an engine has run; 0 means that it has served no stream.
fn items_run(deployment: &Deployment, i: usize) -> u64 {
    stats(&deployment.agents[i].standin).items
}

/// Returns the index of a random agent whose target is an engine.
fn random_engine(deployment: &Deployment, rng: &mut Rng) -> usize {
    loop {
        let i = rng.random_range(0..deployment.agents.len());
        if matches!(deployment.agents[i].standin, Standin::Engine(_)) {
            return i;
        }
    }
}

/// Kills VMs of engines one after the other; after each, another VM with the same layers joins.
pub fn stage_loss(cx: &Context) -> Result<Outcome, BenchError> {
    fail_engines_in_turn(cx, |deployment, victim, _| {
        let name = deployment.agents[victim].info.node.clone();
        let joining = replacement(deployment, &name);
        deployment.kill_target(&name);
        if let Some(joining) = joining {
            deployment.add_engine(&joining)?;
            deployment.publish()?;
        }
        Ok(())
    })
}

/// Returns the plan of an engine with the layers, accelerator and zone that the target `name` has
/// in the configuration.
fn replacement(deployment: &mut Deployment, name: &str) -> Option<EnginePlan> {
    let config = deployment.config_mut();
    let placement = config
        .placements
        .iter()
        .find(|p| p.targets.iter().any(|t| &**t == name))?;
    let target = config.target(name)?;
    let coriandercove_config::TargetKind::Engine { accelerator } = &target.kind else {
        return None;
    };
    Some(EnginePlan {
        first_layer: placement.first_layer,
        end_layer: placement.end_layer,
        accelerator: accelerator.clone(),
        zone: target.zone.clone(),
    })
}

fn set_faults(deployment: &Deployment, i: usize, faults: EngineFaults) {
    if let Standin::Engine(engine) = &deployment.agents[i].standin {
        engine.faults().update(|f| *f = faults);
    }
}

/// Makes engines, one after the other, close every connection without an answer for 2 s, as a
/// process does that crashes at each start. Their agents keep running.
pub fn target_loss(cx: &Context) -> Result<Outcome, BenchError> {
    fail_engines_in_turn(cx, |deployment, victim, _| {
        let dead = EngineFaults {
            invalid_reply: InvalidReply::Disconnect,
            ..EngineFaults::default()
        };
        set_faults(deployment, victim, dead);
        std::thread::sleep(Duration::from_secs(2));
        set_faults(deployment, victim, EngineFaults::default());
        Ok(())
    })
}

/// Freezes engines, one after the other, for 2.5 s: they accept connections and answer nothing.
pub fn engine_freeze(cx: &Context) -> Result<Outcome, BenchError> {
    fail_engines_in_turn(cx, |deployment, victim, _| {
        let frozen = EngineFaults {
            frozen: true,
            ..EngineFaults::default()
        };
        set_faults(deployment, victim, frozen);
        std::thread::sleep(Duration::from_millis(2_500));
        set_faults(deployment, victim, EngineFaults::default());
        Ok(())
    })
}

/// Kills all targets of one zone at once. The entries keep running.
pub fn zone_loss(cx: &Context) -> Result<Outcome, BenchError> {
    let (mut deployment, load) = start_half_load(cx)?;
    load.wait_until(WARM_UP + cx.duration / 3);
    let (lost, kept): (Vec<_>, Vec<_>) = deployment
        .agents
        .drain(..)
        .partition(|a| &*a.info.zone == ZONES[0]);
    deployment.agents = kept;
    let at = load.epoch.elapsed();
    // Killing a VM blocks until its threads have ended, so each is killed from a thread of its own.
    let ends: Vec<_> = lost
        .into_iter()
        .map(|vm| std::thread::spawn(move || vm.kill()))
        .collect();
    for end in ends {
        // The panic of a thread has already been printed by it.
        let _ = end.join();
    }
    let kill_time = load.epoch.elapsed() - at;
    let record = load.join();
    let mut outcome = recovery_outcome(&record, &[at]);
    outcome.figures["kill_took_ms"] = json!(round(kill_time.as_secs_f64() * 1000.0));
    Ok(outcome)
}

/// Drains a target. After 3 s its engine must get no new prompt, and no stream may be cut.
pub fn drain(cx: &Context) -> Result<Outcome, BenchError> {
    let (mut deployment, load) = start_half_load(cx)?;
    load.wait_until(WARM_UP + cx.duration / 4);
    let victim = random_engine(&deployment, &mut seeded(cx.seed ^ 0xfa11));
    let agent = deployment.agents.swap_remove(victim);
    let started = Instant::now();
    let leaving = agent.role.start_drain();
    std::thread::sleep(Duration::from_secs(3).saturating_sub(started.elapsed()));
    let after_3_s = stats(&agent.standin);
    let record = load.join();
    let at_end = stats(&agent.standin);
    if let Some(thread) = leaving {
        // The panic of a thread has already been printed by it.
        let _ = thread.join();
    }
    agent.standin.kill();
    let new_work = at_end.prefilled - after_3_s.prefilled;
    Ok(Outcome {
        figures: json!({
            "prompt_positions_after_3_s": new_work,
            "items_after_3_s": at_end.items - after_3_s.items,
            "longest_stall_ms": record.stalls.iter().map(|s| s.length.as_millis() as u64).max(),
            "load": record.figures(),
        }),
        target: "no prompt runs on the target after 3 s; no stream cut".to_owned(),
        pass: new_work == 0 && record.is_sound(),
    })
}

/// Returns the statistics of an engine; those of a service are all 0.
fn stats(standin: &Standin) -> EngineStats {
    match standin {
        Standin::Engine(engine) => engine.stats(),
        Standin::Service(_) => EngineStats::default(),
    }
}
