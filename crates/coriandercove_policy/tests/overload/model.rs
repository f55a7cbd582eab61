//! A model of an entry under load: Poisson arrivals, a pool of slots, callers with deadlines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use coriandercove_base::{RequestId, Time, rng};
use coriandercove_policy::admission::{
    AccountLimits, Admission, AdmissionAction, AdmissionConfig, Admitted, Arrival,
};
use rand::Rng as _;

/// Load of one account as a multiple of the capacity.
pub struct Load {
    pub account: &'static str,
    pub weight: f64,
    pub demand: f64,
}

impl Load {
    pub fn new(account: &'static str, demand: f64) -> Self {
        Self {
            account,
            weight: 1.0,
            demand,
        }
    }
}

const COST: u64 = 100;
const DEADLINE: f64 = 5.0;
/// Mean service time; the actual ones lie up to half of it above and below.
const EXPECTED: f64 = 1.0;
const SECONDS: f64 = 300.0;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

struct Model {
    admission: Admission,
    owners: HashMap<RequestId, (usize, Time)>,
    done: BinaryHeap<Reverse<(Time, RequestId)>>,
    good: Vec<f64>,
    rng: rng::Rng,
}

impl Model {
    fn start(&mut self, now: Time, req: RequestId) {
        let took = secs(EXPECTED * self.rng.random_range(0.5..1.5));
        self.done.push(Reverse((now + took, req)));
    }

    fn poll(&mut self, now: Time) {
        for action in self.admission.poll(now) {
            if let AdmissionAction::Dispatch { req } = action {
                self.start(now, req);
            }
        }
    }

    fn finish_until(&mut self, until: Time) {
        while let Some(Reverse((now, req))) = self.done.peek().copied() {
            if now > until {
                break;
            }
            self.done.pop();
            self.admission.answered(now, req);
            self.admission.release(now, req, COST);
            let (owner, deadline) = self.owners[&req];
            if now <= deadline {
                self.good[owner] += 1.0;
            }
            self.poll(now);
        }
    }
}

/// Answers in time for each account, as a share of the capacity.
pub fn run(seed: u64, slots: u32, loads: &[Load]) -> Vec<f64> {
    let mut model = Model {
        admission: Admission::new(AdmissionConfig::new("e1".into())),
        owners: HashMap::new(),
        done: BinaryHeap::new(),
        good: vec![0.0; loads.len()],
        rng: rng::seeded(seed),
    };
    model.admission.set_slots("m", slots);
    let mut next: BinaryHeap<Reverse<(Time, usize)>> = BinaryHeap::new();
    for (i, load) in loads.iter().enumerate() {
        let limits = AccountLimits {
            weight: load.weight,
            tokens_per_second: None,
            burst: 0.0,
        };
        model.admission.set_limits(&load.account.into(), limits);
        next.push(Reverse((Time::ZERO, i)));
    }
    let mut req: RequestId = 0;
    while let Some(Reverse((now, i))) = next.pop() {
        if now > secs(SECONDS) {
            break;
        }
        model.finish_until(now);
        req += 1;
        let deadline = now + secs(DEADLINE);
        model.owners.insert(req, (i, deadline));
        let arrival = Arrival {
            req,
            account: loads[i].account.into(),
            pool: "m".into(),
            cost: COST,
            priority: 1,
            deadline,
            service_time: secs(EXPECTED),
        };
        if model.admission.offer(now, arrival) == Admitted::Dispatch {
            model.start(now, req);
        }
        model.poll(now);
        let rate = loads[i].demand * f64::from(slots);
        let gap = -(1.0 - model.rng.random::<f64>()).ln() / rate;
        next.push(Reverse((now + secs(gap), i)));
    }
    let capacity = f64::from(slots) * SECONDS;
    model.good.iter().map(|g| g / capacity).collect()
}
