//! Scenarios in which parts fail while streams run.

use std::time::{Duration, Instant};

use coriandercove_base::rng::{Rng, seeded};
use coriandercove_local::{Deployment, EnginePlan, Standin};
use coriandercove_standin::engine::{EngineFaults, EngineStats, Nonsense};
use rand::Rng as _;
use serde_json::json;

use super::{BenchError, Context, Outcome, WARM_UP};
use crate::bound;
use crate::load::record::{Record, Stall, round};
use crate::load::{Arrivals, Running};
use crate::profile::{Fleet, ZONES};

/// Time between two failures. A stream that one of them stalls goes on before the next.
const BETWEEN: Duration = Duration::from_secs(3);
/// Time after a failure in which a stall that it caused begins: the first gap after it.
const ONSET: Duration = Duration::from_millis(1_000);
/// Goal for the length of a stall at the 95th percentile.
const GOAL: Duration = Duration::from_secs(1);

pub const RECOVERY_TARGET: &str =
    "stalls of the affected streams <= 1 s at the 95th percentile; no stream lost";

/// A deployment at half load, and the load.
fn half_load(cx: &Context) -> Result<(Deployment, Running), BenchError> {
    let plan = cx.profile.plan(Fleet::Mixed, cx.seed);
    let rate = bound::answers_per_second(&plan, cx.profile.shape()) * 0.5;
    let deployment = Deployment::start(plan)?;
    let load = cx.load(&deployment, Arrivals::Open(rate)).start()?;
    Ok((deployment, load))
}

/// Times of the failures of a run, from the start of the load.
fn failure_times(cx: &Context) -> Vec<Duration> {
    let mut at = WARM_UP;
    let mut times = Vec::new();
    while at + BETWEEN <= WARM_UP + cx.duration {
        times.push(at);
        at += BETWEEN;
    }
    times
}

/// Stalls that began shortly before or after one of the failures. A stream stalls from its last
/// token, which may lie one gap before the failure.
fn caused(record: &Record, failures: &[Duration]) -> Vec<Stall> {
    let by = |stall: &&Stall| {
        failures
            .iter()
            .any(|f| stall.from + stall.length >= *f && stall.from <= *f + ONSET)
    };
    record.stalls.iter().filter(by).copied().collect()
}

/// Stalls that no failure explains: the noise of the run.
fn unexplained(record: &Record, failures: &[Duration]) -> usize {
    record.stalls.len() - caused(record, failures).len()
}

pub fn recovery(record: &Record, failures: &[Duration]) -> Outcome {
    let mut stalls: Vec<Duration> = caused(record, failures).iter().map(|s| s.length).collect();
    stalls.sort_unstable();
    let at = |q: f64| {
        let i = (stalls.len() as f64 * q).ceil() as usize;
        let stall = stalls.get(i.saturating_sub(1));
        stall.copied().unwrap_or_default()
    };
    let p95 = at(0.95);
    let ms = |d: Duration| round(d.as_secs_f64() * 1000.0);
    Outcome {
        figures: json!({
            "failures": failures.len(),
            "stalls": {"n": stalls.len(), "p50_ms": ms(at(0.5)), "p95_ms": ms(p95), "max_ms": ms(at(1.0))},
            "unexplained_stalls": unexplained(record, failures),
            "load": record.figures(),
        }),
        target: RECOVERY_TARGET.to_owned(),
        pass: p95 <= GOAL && record.is_sound(),
    }
}

/// Fails a random engine at each failure time by `fail`.
fn one_by_one(
    cx: &Context,
    mut fail: impl FnMut(&mut Deployment, usize, &Running) -> Result<(), BenchError>,
) -> Result<Outcome, BenchError> {
    let (mut deployment, load) = half_load(cx)?;
    let mut rng = seeded(cx.seed ^ 0xfa11);
    let mut failures = Vec::new();
    let mut items = Vec::new();
    for at in failure_times(cx) {
        load.wait_until(at);
        let victim = any_engine(&deployment, &mut rng);
        failures.push(load.epoch.elapsed());
        items.push(items_run(&deployment, victim));
        fail(&mut deployment, victim, &load)?;
    }
    let record = load.join();
    let mut outcome = recovery(&record, &failures);
    // Failures of idle engines would show nothing.
    outcome.pass &= items.iter().any(|n| *n > 0);
    outcome.figures["failed_at_ms"] = failures.iter().map(|f| f.as_millis() as u64).collect();
    outcome.figures["items_before_failure"] = items.into();
    Ok(outcome)
}

/// Items that an engine has run: it serves streams if there are any.
fn items_run(deployment: &Deployment, i: usize) -> u64 {
    stats(&deployment.agents[i].standin).items
}

fn any_engine(deployment: &Deployment, rng: &mut Rng) -> usize {
    loop {
        let i = rng.random_range(0..deployment.agents.len());
        if matches!(deployment.agents[i].standin, Standin::Engine(_)) {
            return i;
        }
    }
}

/// Kills the VM of an engine and lets another VM with the same layers join.
pub fn stage_loss(cx: &Context) -> Result<Outcome, BenchError> {
    one_by_one(cx, |deployment, victim, _| {
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

/// A VM like the one called `name`, from the configuration.
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

/// Lets an engine close every connection without an answer, as a process that crashes at each
/// start. Its agent lives. The engine is back after 2 s.
pub fn target_loss(cx: &Context) -> Result<Outcome, BenchError> {
    one_by_one(cx, |deployment, victim, _| {
        let dead = EngineFaults {
            nonsense: Nonsense::Disconnect,
            ..EngineFaults::default()
        };
        set_faults(deployment, victim, dead);
        std::thread::sleep(Duration::from_secs(2));
        set_faults(deployment, victim, EngineFaults::default());
        Ok(())
    })
}

/// Freezes an engine for 2.5 s: it takes connections and answers nothing.
pub fn engine_freeze(cx: &Context) -> Result<Outcome, BenchError> {
    one_by_one(cx, |deployment, victim, _| {
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

/// Kills all targets of one zone at once. The entries live.
pub fn zone_loss(cx: &Context) -> Result<Outcome, BenchError> {
    let (mut deployment, load) = half_load(cx)?;
    load.wait_until(WARM_UP + cx.duration / 3);
    let (lost, kept): (Vec<_>, Vec<_>) = deployment
        .agents
        .drain(..)
        .partition(|a| &*a.info.zone == ZONES[0]);
    deployment.agents = kept;
    let at = load.epoch.elapsed();
    // The end of a role waits for its thread, so the VMs end on threads of their own.
    let ends: Vec<_> = lost
        .into_iter()
        .map(|vm| std::thread::spawn(move || vm.kill()))
        .collect();
    for end in ends {
        // A panic was printed by its thread.
        let _ = end.join();
    }
    let spread = load.epoch.elapsed() - at;
    let record = load.join();
    let mut outcome = recovery(&record, &[at]);
    outcome.figures["kill_took_ms"] = json!(round(spread.as_secs_f64() * 1000.0));
    Ok(outcome)
}

/// Lets a target leave. After 3 s its engine must take no new sequence, and no stream may be cut.
pub fn drain(cx: &Context) -> Result<Outcome, BenchError> {
    let (mut deployment, load) = half_load(cx)?;
    load.wait_until(WARM_UP + cx.duration / 4);
    let victim = any_engine(&deployment, &mut seeded(cx.seed ^ 0xfa11));
    let agent = deployment.agents.swap_remove(victim);
    let started = Instant::now();
    let leaving = agent.role.start_drain();
    std::thread::sleep(Duration::from_secs(3).saturating_sub(started.elapsed()));
    let after_3_s = stats(&agent.standin);
    let record = load.join();
    let at_end = stats(&agent.standin);
    if let Some(thread) = leaving {
        // A panic was printed by its thread.
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

fn stats(standin: &Standin) -> EngineStats {
    match standin {
        Standin::Engine(engine) => engine.stats(),
        Standin::Service(_) => EngineStats::default(),
    }
}
