//! Admission control: checks on arrival and fair queueing of waiting requests.
//!
//! An arriving request is checked against the account's quota, the limits of the queues and its
//! estimated wait. It then waits for a slot in the fair queue of its pool. A request that cannot
//! meet its deadline is refused early, so that an overloaded entry spends its slots only on
//! requests that can still be answered in time.

mod accounts;
mod fair;
mod pool;
mod quota;
mod types;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{AccountId, NodeId, RequestId, SortedMap, Time};

use crate::explain::{AdmissionExplanation, Refusal, RefusalReason};
use accounts::Accounts;
use pool::Pool;

pub use fair::{FairItem, FairQueue, Place, Popped};
pub use quota::quota_share;
pub use types::{
    AccountLimits, AdmissionAction, AdmissionConfig, Admitted, Arrival, Demand, DemandDigest,
};

/// Lower bound of the retry delay that a refusal gives to its caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    place: Place,
    /// Latest time of dispatch at which the deadline is expected to be met.
    dispatch_by: Time,
}

#[derive(Debug)]
struct Running {
    arrival: Arrival,
    place: Place,
    dispatched_at: Time,
    is_service_time_recorded: bool,
}

/// Admission control of one entry: account quotas, fair queues and the slots of its pools.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    accounts: Accounts,
    pools: SortedMap<Arc<str>, Pool>,
    /// Queued requests; at most `cfg.entry_queue`, except for those put back by `requeue`.
    waiting: HashMap<RequestId, Waiting>,
    running: HashMap<RequestId, Running>,
    /// Queued requests, ordered by `dispatch_by`.
    expiry: BTreeSet<(Time, RequestId)>,
    /// Number of requests queued so far, which orders them by arrival.
    arrivals: u64,
}

impl Admission {
    /// Creates an admission control without accounts or pools.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            accounts: Accounts::new(cfg.node.clone(), cfg.default_limits.clone()),
            cfg,
            pools: SortedMap::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            expiry: BTreeSet::new(),
            arrivals: 0,
        }
    }

    /// Sets the weight and quota of an account, which replace the default limits.
    pub fn set_limits(&mut self, account: &AccountId, limits: AccountLimits) {
        self.accounts.set_limits(account, limits);
    }

    /// Removes an account's limits, demand and quota, unless requests of the account are queued.
    pub fn remove_account(&mut self, account: &str) {
        self.accounts.remove(account);
    }

    /// Sets how many requests of this entry a pool serves at the same time.
    pub fn set_slots(&mut self, pool: &str, slots: u32) {
        let pool = self.pools.get_or_insert_with(pool.into(), Pool::default);
        pool.slots = slots;
    }

    /// Sets the live entries, this one included; quotas are split among them.
    pub fn set_entries(&mut self, entries: &[NodeId]) {
        self.accounts.set_entries(entries);
    }

    /// Stores the demand digest of another entry; the quota shares are computed from the digests.
    pub fn on_digest(&mut self, from: &NodeId, digest: &DemandDigest, now: Time) {
        self.accounts.on_digest(from, digest, now);
    }

    /// Returns this entry's demand for the other entries: the `max` accounts of highest demand.
    #[must_use]
    pub fn digest(&self, now: Time, max: usize) -> DemandDigest {
        self.accounts.digest(now, max)
    }

    /// Dispatches, queues or refuses a new request. A request that is not refused is charged to the
    /// account's quota at its declared cost.
    pub fn offer(&mut self, now: Time, arrival: Arrival) -> Admitted {
        self.accounts
            .record_demand(&arrival.account, now, arrival.cost);
        if self.waiting.contains_key(&arrival.req) || self.running.contains_key(&arrival.req) {
            return Admitted::Refused(refusal(RefusalReason::DuplicateRequest, Duration::ZERO));
        }
        let wait = match self.check_arrival(now, &arrival) {
            Ok(wait) => wait,
            Err(refusal) => return Admitted::Refused(refusal),
        };
        let dispatch_now = self
            .pools
            .get(&arrival.pool)
            .is_some_and(|p| p.can_dispatch_at_once(now));
        self.accounts
            .charge(&arrival.account, now, arrival.cost as f64);
        let (req, pool) = (arrival.req, arrival.pool.clone());
        self.arrivals += 1;
        let place = (arrival.priority, self.arrivals);
        self.enqueue(arrival, place);
        if dispatch_now {
            let dispatched = self.dispatch(&pool, now);
            debug_assert_eq!(
                dispatched,
                Some(req),
                "an empty queue yields the new request"
            );
            return Admitted::Dispatch;
        }
        Admitted::Queued {
            estimated_wait: wait,
        }
    }

    /// Returns what [`Admission::offer`] would decide and the figures behind the decision, without
    /// changing any state. Duplicate request ids are not checked.
    #[must_use]
    pub fn explain(&self, now: Time, arrival: &Arrival) -> AdmissionExplanation {
        let weight = self.accounts.weight(&arrival.account);
        let pool = self.pools.get(&arrival.pool);
        AdmissionExplanation {
            account: arrival.account.clone(),
            refusal: self.check_arrival(now, arrival).err(),
            estimated_wait: pool.map_or(Duration::ZERO, |p| self.estimate_wait(p, now, arrival)),
            account_queue: self.accounts.get(&arrival.account).map_or(0, |a| a.queued),
            entry_queue: self.waiting.len(),
            share: pool.map_or(0.0, |p| p.share(&arrival.account, weight)),
            quota_left: self.accounts.quota_left(&arrival.account, now),
        }
    }

    /// Dispatches queued requests to free slots, and refuses those that can no longer meet their
    /// deadline. Called after a release and at least every 100 ms.
    pub fn poll(&mut self, now: Time) -> Vec<AdmissionAction> {
        let mut out = self.expire(now);
        let ready: Vec<Arc<str>> = self
            .pools
            .iter()
            .filter(|(_, p)| !p.fair.is_empty() && p.has_slot(now))
            .map(|(name, _)| name.clone())
            .collect();
        for pool in ready {
            while let Some(req) = self.dispatch(&pool, now) {
                out.push(AdmissionAction::Dispatch { req });
            }
        }
        out
    }

    /// Returns a dispatched request that could not start, because no chain was available, to the
    /// head of its account's queue. The pool pauses dispatching for 20 ms or until a slot is freed.
    pub fn requeue(&mut self, now: Time, req: RequestId) {
        let Some(run) = self.running.remove(&req) else {
            return;
        };
        let weight = self.accounts.weight(&run.arrival.account);
        if let Some(pool) = self.pools.get_mut(&run.arrival.pool) {
            pool.in_use = pool.in_use.saturating_sub(1);
            pool.pause(now);
            let popped = Popped {
                account: run.arrival.account.clone(),
                place: run.place,
                item: fair_item(&run.arrival),
            };
            pool.fair.put_back(popped, weight);
        }
        let service = run.arrival.service_time;
        self.add_waiting(run.arrival, run.place, service);
    }

    /// Records that a dispatched request has reached the event that its deadline bounds, such as
    /// the first token. The ratio of actual to expected service time is estimated from these
    /// events; later calls for the same request are ignored.
    pub fn record_service_time(&mut self, now: Time, req: RequestId) {
        let Some(run) = self
            .running
            .get_mut(&req)
            .filter(|r| !r.is_service_time_recorded)
        else {
            return;
        };
        run.is_service_time_recorded = true;
        let actual = now.saturating_sub(run.dispatched_at);
        if let Some(pool) = self.pools.get_mut(&run.arrival.pool) {
            pool.record_service_time(run.arrival.service_time, actual);
        }
    }

    /// Frees the slot of a dispatched request. `actual_cost`, in tokens, replaces the declared cost
    /// in the account's quota and in its start tag in the fair queue.
    pub fn release(&mut self, now: Time, req: RequestId, actual_cost: u64) {
        let Some(run) = self.running.remove(&req) else {
            return;
        };
        let correction = actual_cost as f64 - run.arrival.cost as f64;
        self.accounts.charge(&run.arrival.account, now, correction);
        if let Some(pool) = self.pools.get_mut(&run.arrival.pool) {
            let (account, declared) = (&run.arrival.account, run.arrival.cost);
            pool.fair.adjust_cost(account, declared, actual_cost);
            pool.complete(actual_cost, now.saturating_sub(run.dispatched_at));
        }
    }

    /// Removes a queued request whose caller went away. Returns false if it is not queued.
    pub fn cancel(&mut self, now: Time, req: RequestId) -> bool {
        self.remove_waiting(now, req).is_some()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Number of dispatched requests that hold a slot.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.running.len()
    }

    /// Returns the estimated wait, or the reason for refusing the request on arrival.
    fn check_arrival(&self, now: Time, arrival: &Arrival) -> Result<Duration, Refusal> {
        let Some(pool) = self.pools.get(&arrival.pool) else {
            return Err(refusal(RefusalReason::UnknownModel, Duration::ZERO));
        };
        let quota = self
            .accounts
            .quota_wait(&arrival.account, now, arrival.cost);
        if !quota.is_zero() {
            return Err(refusal(RefusalReason::QuotaExceeded, quota));
        }
        let wait = self.estimate_wait(pool, now, arrival);
        if pool.slots == 0 {
            return Err(refusal(RefusalReason::NoCapacity, wait));
        }
        let mut service = arrival.service_time;
        if !pool.can_dispatch_at_once(now) {
            self.check_queue_limits(&arrival.account, wait)?;
            // Under load, slots go only to requests that will very probably meet their deadline.
            // About half of the requests that allow only for the mean service time would miss it
            // after they had used a slot.
            service = pool.service_time_at_quantile(service);
        }
        let finish = now.saturating_add(wait).saturating_add(service);
        if finish > arrival.deadline {
            let late = finish - arrival.deadline;
            return Err(refusal(RefusalReason::DeadlineTooShort, late));
        }
        Ok(wait)
    }

    fn check_queue_limits(&self, account: &AccountId, wait: Duration) -> Result<(), Refusal> {
        let queued = self.accounts.get(account).map_or(0, |a| a.queued);
        if queued >= self.cfg.account_queue {
            return Err(refusal(RefusalReason::AccountQueueFull, wait));
        }
        if self.waiting.len() >= self.cfg.entry_queue {
            return Err(refusal(RefusalReason::EntryQueueFull, wait));
        }
        Ok(())
    }

    fn estimate_wait(&self, pool: &Pool, now: Time, arrival: &Arrival) -> Duration {
        let weight = self.accounts.weight(&arrival.account);
        pool.estimate_wait(arrival, weight, now)
    }

    fn enqueue(&mut self, arrival: Arrival, place: Place) {
        let weight = self.accounts.weight(&arrival.account);
        let mut service = arrival.service_time;
        if let Some(pool) = self.pools.get_mut(&arrival.pool) {
            pool.fair
                .push(&arrival.account, weight, place, fair_item(&arrival));
            service = pool.service_time_at_quantile(service);
        }
        self.add_waiting(arrival, place, service);
    }

    /// Records a queued request that must be dispatched at least `service` before its deadline.
    fn add_waiting(&mut self, arrival: Arrival, place: Place, service: Duration) {
        self.accounts.get_mut(&arrival.account).queued += 1;
        let dispatch_by = arrival.deadline.saturating_sub(service);
        self.expiry.insert((dispatch_by, arrival.req));
        let req = arrival.req;
        let wait = Waiting {
            arrival,
            place,
            dispatch_by,
        };
        self.waiting.insert(req, wait);
    }

    /// Moves the next request of a pool from the queue to a slot.
    fn dispatch(&mut self, pool: &str, now: Time) -> Option<RequestId> {
        let pool = self.pools.get_mut(pool)?;
        if !pool.has_slot(now) {
            return None;
        }
        let popped = pool.fair.pop()?;
        pool.in_use += 1;
        let wait = self.waiting.remove(&popped.item.req)?;
        self.expiry.remove(&(wait.dispatch_by, wait.arrival.req));
        self.accounts.get_mut(&wait.arrival.account).queued -= 1;
        let run = Running {
            arrival: wait.arrival,
            place: wait.place,
            dispatched_at: now,
            is_service_time_recorded: false,
        };
        self.running.insert(popped.item.req, run);
        Some(popped.item.req)
    }

    fn expire(&mut self, now: Time) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        while let Some((dispatch_by, req)) = self.expiry.first().copied() {
            if dispatch_by >= now {
                break;
            }
            let Some(arrival) = self.remove_waiting(now, req) else {
                break;
            };
            let pool = self.pools.get(&arrival.pool);
            let wait = pool.map_or(Duration::ZERO, |p| self.estimate_wait(p, now, &arrival));
            out.push(AdmissionAction::Refuse {
                req,
                refusal: refusal(RefusalReason::DeadlinePassed, wait),
            });
        }
        out
    }

    /// Removes a queued request and returns its cost to the account's quota.
    fn remove_waiting(&mut self, now: Time, req: RequestId) -> Option<Arrival> {
        let wait = self.waiting.remove(&req)?;
        self.expiry.remove(&(wait.dispatch_by, req));
        let (arrival, place) = (wait.arrival, wait.place);
        if let Some(pool) = self.pools.get_mut(&arrival.pool) {
            pool.fair.remove(&arrival.account, place);
        }
        self.accounts.get_mut(&arrival.account).queued -= 1;
        self.accounts
            .charge(&arrival.account, now, -(arrival.cost as f64));
        Some(arrival)
    }
}

fn fair_item(arrival: &Arrival) -> FairItem {
    FairItem {
        req: arrival.req,
        cost: arrival.cost.max(1),
    }
}

fn refusal(reason: RefusalReason, wait: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: wait.max(MIN_RETRY_AFTER),
    }
}

#[cfg(test)]
mod tests;
