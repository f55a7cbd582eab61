//! Simulation of an entry under load: Poisson arrivals, one pool of slots, callers with deadlines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use coriandercove_base::{RequestId, Time, rng};
use coriandercove_policy::admission::{
    AccountLimits, Admission, AdmissionAction, AdmissionConfig, Admitted, Arrival,
};
use rand::Rng as _;

/// Load of one account.
pub struct Load {
    pub account: &'static str,
    pub weight: f64,
    /// Request rate as a multiple of the pool's capacity.
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

/// Cost of each request, in tokens.
const COST: u64 = 100;
/// Time from arrival to the deadline, in seconds.
const DEADLINE: f64 = 5.0;
/// Mean service time in seconds; actual times are uniformly distributed from half to one and a half
/// of it.
const SERVICE_TIME: f64 = 1.0;
/// Simulated time, in seconds.
const SECONDS: f64 = 300.0;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

struct Model {
    admission: Admission,
    /// Account index and deadline of each request.
    requests: HashMap<RequestId, (usize, Time)>,
    /// Completion times of the running requests.
    completions: BinaryHeap<Reverse<(Time, RequestId)>>,
    /// Number of answers in time for each account.
    in_time: Vec<f64>,
    rng: rng::Rng,
}

impl Model {
    fn start(&mut self, now: Time, req: RequestId) {
        let took = secs(SERVICE_TIME * self.rng.random_range(0.5..1.5));
        self.completions.push(Reverse((now + took, req)));
    }

    fn poll(&mut self, now: Time) {
        for action in self.admission.poll(now) {
            if let AdmissionAction::Dispatch { req } = action {
                self.start(now, req);
            }
        }
    }

    fn finish_until(&mut self, until: Time) {
        while let Some(Reverse((now, req))) = self.completions.peek().copied() {
            if now > until {
                break;
            }
            self.completions.pop();
            self.admission.record_service_time(now, req);
            self.admission.release(now, req, COST);
            let (account, deadline) = self.requests[&req];
            if now <= deadline {
                self.in_time[account] += 1.0;
            }
            self.poll(now);
        }
    }
}

/// Returns the number of answers in time for each account, as a share of the capacity.
pub fn run(seed: u64, slots: u32, loads: &[Load]) -> Vec<f64> {
    let mut model = Model {
        admission: Admission::new(AdmissionConfig::new("e1".into())),
        requests: HashMap::new(),
        completions: BinaryHeap::new(),
        in_time: vec![0.0; loads.len()],
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
        model.requests.insert(req, (i, deadline));
        let arrival = Arrival {
            req,
            account: loads[i].account.into(),
            pool: "m".into(),
            cost: COST,
            priority: 1,
            deadline,
            service_time: secs(SERVICE_TIME),
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
    model.in_time.iter().map(|g| g / capacity).collect()
}
