//! Start-time fair queueing over client accounts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use coriandercove_base::{AccountId, RequestId};

/// Virtual time that one token of cost takes at weight 1. The resolution keeps rounding errors far
/// below one token.
const VIRTUAL_TIME_PER_TOKEN: f64 = 1024.0;

/// Idle accounts are removed once the number of accounts exceeds twice the number of backlogged
/// ones by this much.
const IDLE_SLACK: usize = 64;

/// Place of a request in its account's queue: priority, then order of arrival; lowest first.
pub type Place = (u8, u64);

/// A request in a fair queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FairItem {
    /// Id of the request.
    pub req: RequestId,
    /// Cost in tokens.
    pub cost: u64,
}

/// A request that leaves the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Popped {
    /// Account that the request belongs to.
    pub account: AccountId,
    /// Place in the account's queue, needed to put the request back.
    pub place: Place,
    /// The request and its cost.
    pub item: FairItem,
}

#[derive(Debug)]
struct Flow {
    weight: f64,
    /// Start tag of the next request; at least the virtual time at which the flow became
    /// backlogged.
    start: u128,
    /// Sum of the costs of `items`.
    backlog: u64,
    items: BTreeMap<Place, FairItem>,
}

/// Queue that serves the requests of accounts in proportion to the accounts' weights.
///
/// The virtual time is the start tag of the last request served and never decreases. While only one
/// account has requests, the virtual time follows its start tags, so that capacity used without
/// competition does not count against the account later.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: u128,
    flows: HashMap<AccountId, Flow>,
    /// Backlogged accounts by the start tag of their next request.
    order: BTreeSet<(u128, AccountId)>,
    /// Sum of the backlogs of all flows.
    backlog: u64,
    len: usize,
}

impl Flow {
    fn virtual_duration(&self, cost: u64) -> u128 {
        ((cost as f64 * VIRTUAL_TIME_PER_TOKEN / self.weight) as u128).max(1)
    }
}

impl FairQueue {
    /// Number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is waiting.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sum of the costs of the waiting requests, in tokens.
    #[must_use]
    pub const fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Current virtual time; never decreases.
    #[must_use]
    pub const fn virtual_time(&self) -> u128 {
        self.virtual_time
    }

    /// Adds a request. `place` must be unique within the account.
    pub fn push(&mut self, account: &AccountId, weight: f64, place: Place, item: FairItem) {
        let now = self.virtual_time;
        let flow = self.flows.entry(account.clone()).or_insert_with(|| Flow {
            weight,
            start: now,
            backlog: 0,
            items: BTreeMap::new(),
        });
        flow.weight = weight.max(1e-6);
        if flow.items.is_empty() {
            flow.start = flow.start.max(now);
            self.order.insert((flow.start, account.clone()));
        }
        flow.backlog += item.cost;
        self.backlog += item.cost;
        if let Some(old) = flow.items.insert(place, item) {
            flow.backlog -= old.cost;
            self.backlog -= old.cost;
        } else {
            self.len += 1;
        }
    }

    /// Removes and returns the next request of the account with the lowest start tag.
    pub fn pop(&mut self) -> Option<Popped> {
        let (start, account) = self.order.pop_first()?;
        let flow = self.flows.get_mut(&account)?;
        let (place, item) = flow.items.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        flow.backlog -= item.cost;
        self.backlog -= item.cost;
        self.len -= 1;
        flow.start = start + flow.virtual_duration(item.cost);
        if !flow.items.is_empty() {
            self.order.insert((flow.start, account.clone()));
        }
        self.remove_idle_flows();
        Some(Popped {
            account,
            place,
            item,
        })
    }

    /// Puts back a request that was removed by [`FairQueue::pop`] but not served, and refunds its
    /// cost to the account.
    pub fn put_back(&mut self, popped: Popped, weight: f64) {
        let now = self.virtual_time;
        if let Some(flow) = self.flows.get_mut(&popped.account) {
            let refund = flow.virtual_duration(popped.item.cost);
            self.order.remove(&(flow.start, popped.account.clone()));
            flow.start = flow.start.saturating_sub(refund).max(now);
            if !flow.items.is_empty() {
                self.order.insert((flow.start, popped.account.clone()));
            }
        }
        self.push(&popped.account, weight, popped.place, popped.item);
    }

    /// Replaces the declared cost of a served request by its actual cost in the account's start
    /// tag. Without this, an account that declares too little would get more than its share.
    pub fn adjust_cost(&mut self, account: &AccountId, declared: u64, actual: u64) {
        let now = self.virtual_time;
        let Some(flow) = self.flows.get_mut(account) else {
            return;
        };
        let is_backlogged = !flow.items.is_empty();
        if is_backlogged {
            self.order.remove(&(flow.start, account.clone()));
        }
        let (declared, actual) = (
            flow.virtual_duration(declared),
            flow.virtual_duration(actual),
        );
        flow.start = (flow.start + actual).saturating_sub(declared).max(now);
        if is_backlogged {
            self.order.insert((flow.start, account.clone()));
        }
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, account: &AccountId, place: Place) -> Option<FairItem> {
        let flow = self.flows.get_mut(account)?;
        let item = flow.items.remove(&place)?;
        flow.backlog -= item.cost;
        self.backlog -= item.cost;
        self.len -= 1;
        if flow.items.is_empty() {
            self.order.remove(&(flow.start, account.clone()));
        }
        Some(item)
    }

    /// Returns the cost in tokens that would be served before a new request of the account.
    ///
    /// Each other account is served up to the start tag that the new request would get, or until
    /// its backlog is empty.
    #[must_use]
    pub fn cost_ahead(&self, account: &AccountId, weight: f64, priority: u8) -> f64 {
        let flow = self.flows.get(account);
        let own = flow.map_or(0, |f| {
            let before = f.items.range(..=(priority, u64::MAX));
            before.map(|(_, item)| item.cost).sum::<u64>()
        }) as f64;
        let start = flow.map_or(self.virtual_time, |f| f.start.max(self.virtual_time)) as f64;
        let tag = start + own * VIRTUAL_TIME_PER_TOKEN / weight.max(1e-6);
        let others = self.order.iter().filter(|(_, a)| a != account);
        let others = others.map(|(start, a)| {
            let other = &self.flows[a];
            let served = (tag - *start as f64).max(0.0) * other.weight / VIRTUAL_TIME_PER_TOKEN;
            served.min(other.backlog as f64)
        });
        own + others.sum::<f64>()
    }

    /// Returns the sum of the weights of the accounts with waiting requests, without `account`.
    #[must_use]
    pub fn other_weight(&self, account: &AccountId) -> f64 {
        let others = self.order.iter().filter(|(_, a)| a != account);
        others.map(|(_, a)| self.flows[a].weight).sum()
    }

    /// Removes idle accounts whose start tag is not above the virtual time. Their next request gets
    /// the virtual time as its start tag, whether or not the account is stored.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() > 2 * self.order.len() + IDLE_SLACK {
            let now = self.virtual_time;
            self.flows
                .retain(|_, f| !f.items.is_empty() || f.start > now);
        }
    }
}

#[cfg(test)]
mod tests;
