//! Scenarios in which links or entries fail.

use std::time::Duration;

use coriandercove_local::{Deployment, Network, ZoneLink};
use serde_json::json;

use super::failures::recovery_outcome;
use super::{BenchError, Context, Outcome, WARM_UP};
use crate::bound;
use crate::load::record::{quantile_ms, round};
use crate::load::{Arrivals, Endpoints, Load, RunningLoad};
use crate::profile::{AcceleratorMix, ZONES};

/// Link between two zones without a failure.
const NORMAL_LINK: ZoneLink = ZoneLink::Open {
    delay: Duration::from_micros(400),
    bandwidth: 1_000_000_000,
};
/// The same link with 100 times the delay and a hundredth of the bandwidth.
const SLOW_LINK: ZoneLink = ZoneLink::Open {
    delay: Duration::from_millis(40),
    bandwidth: 10_000_000,
};

/// Sets the links between the first zone and the others.
fn set_first_zone(network: &Network, link: ZoneLink) {
    for zone in &ZONES[1..] {
        network.set(ZONES[0], zone, link);
    }
}

/// Starts a deployment with simulated links, and returns a load of half its throughput bound
/// through all entries but the first, which is in the first zone.
fn start_with_network(cx: &Context) -> Result<(Deployment, Network, Load), BenchError> {
    let network = Network::default();
    set_first_zone(&network, NORMAL_LINK);
    network.set(ZONES[1], ZONES[2], NORMAL_LINK);
    let mut plan = cx.profile.plan(AcceleratorMix::Mixed, cx.seed);
    plan.network = Some(network.clone());
    let rate = bound::answers_per_second(&plan, cx.profile.request_lengths()) * 0.5;
    let deployment = Deployment::start(plan)?;
    let mut load = cx.load(&deployment, Arrivals::Open(rate));
    load.endpoints = without_first_entry(&load.endpoints);
    Ok((deployment, network, load))
}

fn without_first_entry(endpoints: &Endpoints) -> Endpoints {
    Endpoints {
        urls: endpoints.urls[1..].to_vec(),
        keys: endpoints.keys.clone(),
    }
}

/// Makes the links of a zone 100 times slower. The baseline is the same load before that.
pub fn slow_link(cx: &Context) -> Result<Outcome, BenchError> {
    let (_deployment, network, load) = start_with_network(cx)?;
    let before = load.run()?;
    set_first_zone(&network, SLOW_LINK);
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

/// Cuts a zone off from the others for 5 s. Callers use the entries of the other zones.
pub fn partition(cx: &Context) -> Result<Outcome, BenchError> {
    let (_deployment, network, load) = start_with_network(cx)?;
    let running: RunningLoad = load.start()?;
    running.wait_until(WARM_UP + cx.duration / 4);
    let cut = running.epoch.elapsed();
    set_first_zone(&network, ZoneLink::Cut);
    std::thread::sleep(Duration::from_secs(5));
    let healed = running.epoch.elapsed();
    set_first_zone(&network, NORMAL_LINK);
    Ok(recovery_outcome(&running.join(), &[cut, healed]))
}

/// Kills one entry. Its own callers lose their connections; streams of the other entries must not
/// be affected.
pub fn entry_loss(cx: &Context) -> Result<Outcome, BenchError> {
    let (mut deployment, _, load) = start_with_network(cx)?;
    let others = load.start()?;
    let own = Load {
        endpoints: Endpoints {
            urls: vec![format!("http://{}", deployment.entries[0].caller_addr)],
            keys: load.endpoints.keys.clone(),
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
