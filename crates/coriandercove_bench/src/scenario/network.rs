//! Scenarios in which links or entries fail.

use std::time::Duration;

use coriandercove_local::{Deployment, Network, ZoneLink};
use serde_json::json;

use super::failures::recovery;
use super::{BenchError, Context, Outcome, WARM_UP};
use crate::bound;
use crate::load::record::{quantile_ms, round};
use crate::load::{Aim, Arrivals, Load, Running};
use crate::profile::{Fleet, ZONES};

/// Delay and bandwidth between two zones in good order.
const GOOD: ZoneLink = ZoneLink::Open {
    delay: Duration::from_micros(400),
    bandwidth: 1_000_000_000,
};
/// The same link, 100 times slower.
const SLOW: ZoneLink = ZoneLink::Open {
    delay: Duration::from_millis(40),
    bandwidth: 10_000_000,
};

/// Sets the links between the first zone and the others.
fn set_first_zone(network: &Network, link: ZoneLink) {
    for zone in &ZONES[1..] {
        network.set(ZONES[0], zone, link);
    }
}

/// A deployment with a network in good order, at half load through the entries of the last two
/// zones.
fn shaped(cx: &Context) -> Result<(Deployment, Network, Load), BenchError> {
    let network = Network::default();
    set_first_zone(&network, GOOD);
    network.set(ZONES[1], ZONES[2], GOOD);
    let mut plan = cx.profile.plan(Fleet::Mixed, cx.seed);
    plan.network = Some(network.clone());
    let rate = bound::answers_per_second(&plan, cx.profile.shape()) * 0.5;
    let deployment = Deployment::start(plan)?;
    let mut load = cx.load(&deployment, Arrivals::Open(rate));
    load.aim = without_first_entry(&load.aim);
    Ok((deployment, network, load))
}

fn without_first_entry(aim: &Aim) -> Aim {
    Aim {
        urls: aim.urls[1..].to_vec(),
        keys: aim.keys.clone(),
    }
}

/// Slows the links of a zone 100 times down. The baseline is the same load before.
pub fn slow_link(cx: &Context) -> Result<Outcome, BenchError> {
    let (_deployment, network, load) = shaped(cx)?;
    let before = load.run()?;
    set_first_zone(&network, SLOW);
    let after = load.run()?;
    let gap = |r: &crate::load::record::Record| quantile_ms(&r.gap, 0.95);
    let kept = after.goodput_per_second() / before.goodput_per_second().max(1.0);
    Ok(Outcome {
        figures: json!({
            "gap_p95_before_ms": gap(&before),
            "gap_p95_after_ms": gap(&after),
            "goodput_kept": round(kept),
            "before": before.figures(),
            "after": after.figures(),
        }),
        target: "goodput kept >= 0.95, 95 in 100 gaps <= 60 ms; no stream lost".to_owned(),
        pass: kept >= 0.95 && gap(&after) <= 60.0 && before.is_sound() && after.is_sound(),
    })
}

/// Cuts a zone off for 5 s. Callers use the entries of the other zones.
pub fn partition(cx: &Context) -> Result<Outcome, BenchError> {
    let (_deployment, network, load) = shaped(cx)?;
    let running: Running = load.start()?;
    running.wait_until(WARM_UP + cx.duration / 4);
    let cut = running.epoch.elapsed();
    set_first_zone(&network, ZoneLink::Cut);
    std::thread::sleep(Duration::from_secs(5));
    let healed = running.epoch.elapsed();
    set_first_zone(&network, GOOD);
    Ok(recovery(&running.join(), &[cut, healed]))
}

/// Kills one entry. Its own callers lose their connections; those of the other entries must not
/// notice.
pub fn entry_loss(cx: &Context) -> Result<Outcome, BenchError> {
    let (mut deployment, _, load) = shaped(cx)?;
    let others = load.start()?;
    let own = Load {
        aim: Aim {
            urls: vec![format!("http://{}", deployment.entries[0].caller_addr)],
            keys: load.aim.keys.clone(),
        },
        arrivals: Arrivals::Closed(16),
        seed: cx.seed + 1,
        ..load
    };
    let own = own.start()?;
    others.wait_until(WARM_UP + cx.duration / 2);
    let at = others.epoch.elapsed();
    deployment.entries.remove(0).role.kill();
    let record = others.join();
    let own = own.join();
    let stalls = record.stalls.iter().filter(|s| s.from + s.length >= at);
    let longest = stalls.map(|s| s.length).max().unwrap_or_default();
    Ok(Outcome {
        figures: json!({
            "longest_stall_after_ms": longest.as_millis() as u64,
            "other_entries": record.figures(),
            "dead_entry": own.figures(),
        }),
        target: "no stream of another entry lost or stalled for 1 s; no answer wrong".to_owned(),
        pass: record.is_sound() && longest < Duration::from_secs(1) && own.count("wrong") == 0,
    })
}
