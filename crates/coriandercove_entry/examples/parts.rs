//! Measures the CPU time and memory of admission, demand digests, hints about cached prefixes and
//! metrics, for growing numbers of accounts, entries, hints and series. Prints one JSON line for
//! each figure.

#[path = "../../coriandercove_state/examples/measure/mod.rs"]
mod measure;

use coriandercove_base::Time;
use coriandercove_base::telemetry::{Metrics, count};
use coriandercove_policy::admission::{
    AccountLimits, Admission, AdmissionConfig, Admitted, Arrival, Demand, DemandDigest,
};
use coriandercove_policy::affinity::{Affinity, AffinityConfig, CacheEvent};
use std::time::Duration;

const NOW: Time = Duration::from_secs(1);
/// Number of requests of 500 tokens in one minute that use 0.8 of 10,000 tokens per second.
const REQUESTS: u32 = 960;
/// Number of accounts in one demand digest.
const IN_DIGEST: usize = 16;

fn print(what: &str, x: &str, y: &str, points: &[(f64, f64)]) {
    measure::print(what, x, y, 0, &measure::fit(points));
}

fn admission(accounts: usize) -> Admission {
    let mut admission = Admission::new(AdmissionConfig::new("entry-000".into()));
    admission.set_slots("m0", 4_000);
    for a in 0..accounts {
        let limits = AccountLimits {
            weight: 1.0,
            tokens_per_second: Some(1e12),
            burst: 1e12,
        };
        admission.set_limits(&format!("a{a:05}").into(), limits);
    }
    admission
}

fn arrival(req: u128, accounts: usize) -> Arrival {
    Arrival {
        req,
        account: format!("a{:05}", (req * 7_919) as usize % accounts).into(),
        pool: "m0".into(),
        cost: 500,
        priority: 0,
        deadline: Duration::from_secs(3600),
        service_time: Duration::from_millis(100),
    }
}

/// Measures admission by the number of accounts.
fn accounts() {
    let (mut memory, mut request) = (vec![], vec![]);
    for accounts in [1_000, 5_000, 10_000, 19_000] {
        let n = accounts as f64;
        let before = measure::allocated();
        let mut admission = admission(accounts);
        memory.push((n, measure::allocated() - before));
        let mut req = 0;
        let us = measure::micros_per_call(|| {
            req += 1;
            admission.offer(NOW, arrival(req, accounts));
            admission.release(NOW, req, 500);
        });
        request.push((n, us));
    }
    print("admission_memory", "accounts", "bytes", &memory);
    print("admission_request", "accounts", "us", &request);
}

fn digest(entry: usize) -> DemandDigest {
    DemandDigest {
        accounts: (0..IN_DIGEST)
            .map(|i| Demand {
                account: format!("a{:05}", (entry * 40 + i) % 19_000).into(),
                tokens_per_second: 100.0,
            })
            .collect(),
        is_complete: false,
    }
}

/// Measures demand digests by the number of entries.
fn demands() {
    let (mut memory, mut take, mut make) = (vec![], vec![], vec![]);
    for entries in [60, 120, 240, 480] {
        let n = entries as f64;
        let names: Vec<std::sync::Arc<str>> = (0..entries)
            .map(|e| format!("entry-{e:03}").into())
            .collect();
        let mut admission = admission(19_000);
        admission.set_entries(&names);
        for req in 1..=1_000 {
            admission.offer(NOW, arrival(req, 19_000));
        }
        let before = measure::allocated();
        for (e, name) in names.iter().enumerate() {
            admission.on_digest(name, &digest(e), NOW);
        }
        memory.push((n, measure::allocated() - before));
        let mut e = 0;
        let us = measure::micros_per_call(|| {
            e = (e + 1) % entries;
            admission.on_digest(&names[e], &digest(e), NOW);
        });
        take.push((n, us));
        let us = measure::micros_per_call(|| drop(admission.digest(NOW, IN_DIGEST)));
        make.push((n, us));
    }
    print("demand_memory", "entries", "bytes", &memory);
    print("demand_take_in", "entries", "us", &take);
    print("demand_digest", "entries", "us", &make);
}

/// Measures the share of the requests that one entry admits within a minute, from an account that
/// sends it 0.8 of its quota, while no digest of the other entries has arrived.
fn shares() {
    let mut admitted = vec![];
    for entries in [1_u32, 10, 100, 480] {
        let names: Vec<std::sync::Arc<str>> = (0..entries)
            .map(|e| format!("entry-{e:03}").into())
            .collect();
        let mut admission = Admission::new(AdmissionConfig::new("entry-000".into()));
        admission.set_slots("m0", 4_000);
        admission.set_entries(&names);
        let limits = AccountLimits {
            weight: 1.0,
            tokens_per_second: Some(10_000.0),
            burst: 10_000.0,
        };
        admission.set_limits(&"a00000".into(), limits);
        let mut dispatched = 0;
        for req in 0..REQUESTS {
            let now = NOW + Duration::from_micros(62_500) * req;
            let mut arrival = arrival(u128::from(req) + 1, 1);
            arrival.deadline = now + Duration::from_millis(700);
            let taken = admission.offer(now, arrival);
            dispatched += u32::from(taken == Admitted::Dispatch);
            admission.poll(now);
            admission.release(now, u128::from(req) + 1, 500);
        }
        admitted.push((
            f64::from(entries),
            f64::from(dispatched) / f64::from(REQUESTS),
        ));
    }
    print(
        "quota_admitted_without_digests",
        "entries",
        "share",
        &admitted,
    );
}

/// Measures events that store four new blocks each, as one turn of a conversation does.
fn hints() {
    let (mut memory, mut event) = (vec![], vec![]);
    let targets: Vec<std::sync::Arc<str>> = (0..3_300).map(|t| format!("t{t:04}").into()).collect();
    for hints in [50_000, 100_000, 200_000] {
        let before = measure::allocated();
        let mut map = Affinity::new(AffinityConfig {
            max_hints: hints,
            ..AffinityConfig::default()
        });
        let mut number = 0_u64;
        let mut next = || {
            number += 1;
            let blocks = (0..4).map(|b| number * 4 + b).collect();
            let target = &targets[number as usize % targets.len()];
            map.on_event(target, number, &CacheEvent::Stored(blocks));
        };
        (0..hints).for_each(|_| next());
        memory.push((hints as f64, measure::allocated() - before));
        event.push((hints as f64, measure::micros_per_call(next)));
    }
    print("hints_memory", "hints", "bytes", &memory);
    print("hints_event_of_4_blocks", "hints", "us", &event);
}

/// Measures the encoding of metrics by the number of series.
fn series() {
    let (mut bytes, mut us) = (vec![], vec![]);
    for series in [100, 400, 1_600] {
        let metrics = Metrics::default();
        let family = metrics.counters("refusals", "Refusals, by reason");
        for i in 0..series {
            count(&family, "reason", &format!("reason_{i}"));
        }
        bytes.push((series as f64, metrics.encode().len() as f64));
        us.push((
            series as f64,
            measure::micros_per_call(|| drop(metrics.encode())),
        ));
    }
    print("metrics_scrape", "series", "bytes", &bytes);
    print("metrics_scrape", "series", "us", &us);
}

fn main() {
    accounts();
    demands();
    shares();
    hints();
    series();
}
