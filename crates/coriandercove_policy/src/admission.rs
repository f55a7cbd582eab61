//! Admission at the door and the fair order of waiting requests.
//!
//! A request passes the account's quota, the bounds of the queues and the estimate of its wait.
//! It then waits in the fair queue of its pool for a slot. What cannot meet its deadline is
//! refused early, so that beyond saturation the slots serve only requests that still count.

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
pub use quota::split;
pub use types::{
    AccountLimits, AdmissionAction, AdmissionConfig, Admitted, Arrival, Demand, DemandDigest,
};

/// Shortest time after which a refused caller is asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    place: Place,
    /// Latest time of dispatch that meets the deadline.
    latest: Time,
}

#[derive(Debug)]
struct Running {
    arrival: Arrival,
    place: Place,
    since: Time,
    is_answered: bool,
}

/// Admission of one entry.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    accounts: Accounts,
    pools: SortedMap<Arc<str>, Pool>,
    /// Never more than `cfg.entry_queue`, except for requests put back by `requeue`.
    waiting: HashMap<RequestId, Waiting>,
    running: HashMap<RequestId, Running>,
    /// Waiting requests by the latest time of dispatch that meets their deadline.
    expiry: BTreeSet<(Time, RequestId)>,
    arrivals: u64,
}

impl Admission {
    /// Admission without accounts or pools.
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

    /// Sets the limits of an account.
    pub fn set_limits(&mut self, account: &AccountId, limits: AccountLimits) {
        self.accounts.set_limits(account, limits);
    }

    /// Forgets an account without waiting requests.
    pub fn remove_account(&mut self, account: &str) {
        self.accounts.remove(account);
    }

    /// Sets the requests that a pool takes at once from this entry.
    pub fn set_slots(&mut self, pool: &str, slots: u32) {
        let pool = self.pools.get_or_insert_with(pool.into(), Pool::default);
        pool.slots = slots;
    }

    /// Sets the live entries, this one included; quotas are split among them.
    pub fn set_entries(&mut self, entries: &[NodeId]) {
        self.accounts.set_entries(entries);
    }

    /// Takes another entry's demand digest in.
    pub fn on_digest(&mut self, from: &NodeId, digest: &DemandDigest, now: Time) {
        self.accounts.on_digest(from, digest, now);
    }

    /// This entry's demand, for its next digest, with at most `max` accounts.
    #[must_use]
    pub fn digest(&self, now: Time, max: usize) -> DemandDigest {
        self.accounts.digest(now, max)
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Time, arrival: Arrival) -> Admitted {
        self.accounts
            .note_demand(&arrival.account, now, arrival.cost);
        if self.waiting.contains_key(&arrival.req) || self.running.contains_key(&arrival.req) {
            return Admitted::Refused(refusal(RefusalReason::DuplicateRequest, Duration::ZERO));
        }
        let wait = match self.judge(now, &arrival) {
            Ok(wait) => wait,
            Err(refusal) => return Admitted::Refused(refusal),
        };
        let at_once = self
            .pools
            .get(&arrival.pool)
            .is_some_and(|p| p.is_idle(now));
        self.accounts
            .charge(&arrival.account, now, arrival.cost as f64);
        let (req, pool) = (arrival.req, arrival.pool.clone());
        self.arrivals += 1;
        let place = (arrival.priority, self.arrivals);
        self.enqueue(arrival, place);
        if at_once {
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

    /// What [`Admission::offer`] would decide, with the figures behind it; changes nothing.
    #[must_use]
    pub fn explain(&self, now: Time, arrival: &Arrival) -> AdmissionExplanation {
        let weight = self.accounts.weight(&arrival.account);
        let pool = self.pools.get(&arrival.pool);
        AdmissionExplanation {
            account: arrival.account.clone(),
            refusal: self.judge(now, arrival).err(),
            estimated_wait: pool.map_or(Duration::ZERO, |p| self.wait(p, now, arrival)),
            account_queue: self.accounts.get(&arrival.account).map_or(0, |a| a.queued),
            entry_queue: self.waiting.len(),
            share: pool.map_or(0.0, |p| p.share(&arrival.account, weight)),
            quota_left: self.accounts.quota_left(&arrival.account, now),
        }
    }

    /// Dispatches and refuses waiting requests; called after a release and at least every 100 ms.
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

    /// Returns a dispatched request that could not start, for want of a chain, to the head of
    /// its account's queue. The pool pauses for 20 ms or until a slot is freed.
    pub fn requeue(&mut self, now: Time, req: RequestId) {
        let Some(run) = self.running.remove(&req) else {
            return;
        };
        let weight = self.accounts.weight(&run.arrival.account);
        if let Some(pool) = self.pools.get_mut(&run.arrival.pool) {
            pool.in_use = pool.in_use.saturating_sub(1);
            pool.block(now);
            let popped = Popped {
                account: run.arrival.account.clone(),
                place: run.place,
                item: item(&run.arrival),
            };
            pool.fair.put_back(popped, weight);
        }
        let service = run.arrival.service_time;
        self.remember(run.arrival, run.place, service);
    }

    /// Notes that a dispatched request has reached what its deadline asks for, such as the first
    /// token. Admission learns from it how far service times exceed the expected ones.
    pub fn answered(&mut self, now: Time, req: RequestId) {
        let Some(run) = self.running.get_mut(&req).filter(|r| !r.is_answered) else {
            return;
        };
        run.is_answered = true;
        let actual = now.saturating_sub(run.since);
        if let Some(pool) = self.pools.get_mut(&run.arrival.pool) {
            pool.answered(run.arrival.service_time, actual);
        }
    }

    /// Frees the slot of a dispatched request; `actual_cost` corrects the account's quota and
    /// its place in the fair queue.
    pub fn release(&mut self, now: Time, req: RequestId, actual_cost: u64) {
        let Some(run) = self.running.remove(&req) else {
            return;
        };
        let correction = actual_cost as f64 - run.arrival.cost as f64;
        self.accounts.charge(&run.arrival.account, now, correction);
        if let Some(pool) = self.pools.get_mut(&run.arrival.pool) {
            let (account, declared) = (&run.arrival.account, run.arrival.cost);
            pool.fair.correct(account, declared, actual_cost);
            pool.complete(actual_cost, now.saturating_sub(run.since));
        }
    }

    /// Removes a waiting request whose caller went away; false if it does not wait.
    pub fn cancel(&mut self, now: Time, req: RequestId) -> bool {
        self.forget(now, req).is_some()
    }

    /// Waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Dispatched requests that hold a slot.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.running.len()
    }

    /// The estimated wait, or why the request is refused at the door.
    fn judge(&self, now: Time, arrival: &Arrival) -> Result<Duration, Refusal> {
        let Some(pool) = self.pools.get(&arrival.pool) else {
            return Err(refusal(RefusalReason::UnknownModel, Duration::ZERO));
        };
        let quota = self
            .accounts
            .quota_wait(&arrival.account, now, arrival.cost);
        if !quota.is_zero() {
            return Err(refusal(RefusalReason::QuotaExceeded, quota));
        }
        let wait = self.wait(pool, now, arrival);
        if pool.slots == 0 {
            return Err(refusal(RefusalReason::NoCapacity, wait));
        }
        let mut service = arrival.service_time;
        if !pool.is_idle(now) {
            self.check_bounds(&arrival.account, wait)?;
            // Under load, the slots go to requests that will nearly surely be in time. Half of
            // those that allow only for the mean service time would be served in vain.
            service = pool.cautious(service);
        }
        let finish = now.saturating_add(wait).saturating_add(service);
        if finish > arrival.deadline {
            let late = finish - arrival.deadline;
            return Err(refusal(RefusalReason::DeadlineTooShort, late));
        }
        Ok(wait)
    }

    fn check_bounds(&self, account: &AccountId, wait: Duration) -> Result<(), Refusal> {
        let queued = self.accounts.get(account).map_or(0, |a| a.queued);
        if queued >= self.cfg.account_queue {
            return Err(refusal(RefusalReason::AccountQueueFull, wait));
        }
        if self.waiting.len() >= self.cfg.entry_queue {
            return Err(refusal(RefusalReason::EntryQueueFull, wait));
        }
        Ok(())
    }

    fn wait(&self, pool: &Pool, now: Time, arrival: &Arrival) -> Duration {
        let weight = self.accounts.weight(&arrival.account);
        pool.wait(arrival, weight, now)
    }

    fn enqueue(&mut self, arrival: Arrival, place: Place) {
        let weight = self.accounts.weight(&arrival.account);
        let mut service = arrival.service_time;
        if let Some(pool) = self.pools.get_mut(&arrival.pool) {
            pool.fair
                .push(&arrival.account, weight, place, item(&arrival));
            service = pool.cautious(service);
        }
        self.remember(arrival, place, service);
    }

    /// Notes a waiting request that is to be dispatched `service` before its deadline.
    fn remember(&mut self, arrival: Arrival, place: Place, service: Duration) {
        self.accounts.get_mut(&arrival.account).queued += 1;
        let latest = arrival.deadline.saturating_sub(service);
        self.expiry.insert((latest, arrival.req));
        let req = arrival.req;
        let wait = Waiting {
            arrival,
            place,
            latest,
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
        self.expiry.remove(&(wait.latest, wait.arrival.req));
        self.accounts.get_mut(&wait.arrival.account).queued -= 1;
        let run = Running {
            arrival: wait.arrival,
            place: wait.place,
            since: now,
            is_answered: false,
        };
        self.running.insert(popped.item.req, run);
        Some(popped.item.req)
    }

    fn expire(&mut self, now: Time) -> Vec<AdmissionAction> {
        let mut out = Vec::new();
        while let Some((latest, req)) = self.expiry.first().copied() {
            if latest >= now {
                break;
            }
            let Some(arrival) = self.forget(now, req) else {
                break;
            };
            let pool = self.pools.get(&arrival.pool);
            let wait = pool.map_or(Duration::ZERO, |p| self.wait(p, now, &arrival));
            out.push(AdmissionAction::Refuse {
                req,
                refusal: refusal(RefusalReason::DeadlinePassed, wait),
            });
        }
        out
    }

    /// Removes a waiting request and returns its cost to the quota.
    fn forget(&mut self, now: Time, req: RequestId) -> Option<Arrival> {
        let wait = self.waiting.remove(&req)?;
        self.expiry.remove(&(wait.latest, req));
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

fn item(arrival: &Arrival) -> FairItem {
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
