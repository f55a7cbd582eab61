//! Limits, demand and quota shares of client accounts.

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::{AccountId, NodeId, SortedMap, Time};

use super::quota::{Bucket, RateMeter, quota_share};
use super::types::{AccountLimits, Demand, DemandDigest};

/// Age from which another entry's digest is treated as missing.
const DIGEST_TTL: Duration = Duration::from_secs(10);

/// Minimum time between two computations of an account's quota share.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Demand below which an account is left out of digests, in tokens per second.
const IDLE_DEMAND: f64 = 0.5;

#[derive(Debug)]
pub(super) struct Account {
    pub(super) limits: AccountLimits,
    pub(super) queued: usize,
    demand: RateMeter,
    bucket: Option<Bucket>,
    share_computed_at: Option<Time>,
}

#[derive(Debug)]
struct Digest {
    received_at: Time,
    is_complete: bool,
    demand: HashMap<AccountId, f64>,
}

/// All accounts and the live entries that share their quotas.
#[derive(Debug)]
pub(super) struct Accounts {
    node: NodeId,
    default_limits: AccountLimits,
    accounts: HashMap<AccountId, Account>,
    /// Other live entries with their last digest, if one has arrived.
    other_entries: SortedMap<NodeId, Option<Digest>>,
}

impl Account {
    fn new(limits: AccountLimits) -> Self {
        Self {
            limits,
            queued: 0,
            demand: RateMeter::default(),
            bucket: None,
            share_computed_at: None,
        }
    }
}

impl Accounts {
    pub(super) fn new(node: NodeId, default_limits: AccountLimits) -> Self {
        Self {
            node,
            default_limits,
            accounts: HashMap::new(),
            other_entries: SortedMap::new(),
        }
    }

    pub(super) fn set_limits(&mut self, account: &AccountId, limits: AccountLimits) {
        let entry = self.get_mut(account);
        entry.limits = limits;
        entry.share_computed_at = None;
        if entry.limits.tokens_per_second.is_none() {
            entry.bucket = None;
        }
    }

    pub(super) fn remove(&mut self, account: &str) {
        if self.accounts.get(account).is_some_and(|a| a.queued == 0) {
            self.accounts.remove(account);
        }
    }

    pub(super) fn set_entries(&mut self, entries: &[NodeId]) {
        let node = &self.node;
        self.other_entries.retain(|n, _| entries.contains(n));
        for entry in entries.iter().filter(|e| *e != node) {
            self.other_entries
                .get_or_insert_with(entry.clone(), || None);
        }
        for account in self.accounts.values_mut() {
            account.share_computed_at = None;
        }
    }

    /// Stores a digest; digests of entries that are not in the list of live entries are ignored.
    pub(super) fn on_digest(&mut self, from: &NodeId, digest: &DemandDigest, now: Time) {
        let Some(slot) = self.other_entries.get_mut(from) else {
            return;
        };
        let demand = digest.accounts.iter();
        *slot = Some(Digest {
            received_at: now,
            is_complete: digest.is_complete,
            demand: demand
                .map(|d| (d.account.clone(), d.tokens_per_second))
                .collect(),
        });
    }

    pub(super) fn digest(&self, now: Time, max: usize) -> DemandDigest {
        let with_quota = self.accounts.iter().filter(|(_, a)| a.bucket.is_some());
        let demand = with_quota.map(|(name, a)| Demand {
            account: name.clone(),
            tokens_per_second: a.demand.rate(now),
        });
        let mut accounts: Vec<Demand> = demand
            .filter(|d| d.tokens_per_second > IDLE_DEMAND)
            .collect();
        accounts.sort_by(|a, b| {
            let by_rate = b.tokens_per_second.total_cmp(&a.tokens_per_second);
            by_rate.then_with(|| a.account.cmp(&b.account))
        });
        let is_complete = accounts.len() <= max;
        accounts.truncate(max);
        DemandDigest {
            accounts,
            is_complete,
        }
    }

    pub(super) fn get(&self, account: &str) -> Option<&Account> {
        self.accounts.get(account)
    }

    pub(super) fn get_mut(&mut self, account: &AccountId) -> &mut Account {
        let limits = &self.default_limits;
        let entry = self.accounts.entry(account.clone());
        entry.or_insert_with(|| Account::new(limits.clone()))
    }

    pub(super) fn weight(&self, account: &str) -> f64 {
        let limits = self.accounts.get(account).map(|a| &a.limits);
        limits.unwrap_or(&self.default_limits).weight
    }

    /// Adds `cost` to the account's demand, and recomputes its quota share if that is due.
    pub(super) fn record_demand(&mut self, account: &AccountId, now: Time, cost: u64) {
        let entry = self.get_mut(account);
        entry.demand.add(now, cost as f64);
        let is_due = entry
            .share_computed_at
            .is_none_or(|t| now >= t + SHARE_INTERVAL);
        let (Some(quota), true) = (entry.limits.tokens_per_second, is_due) else {
            return;
        };
        let burst = entry.limits.burst;
        let own = entry.demand.rate(now);
        let rate = quota_share(quota, &self.demands(account, quota, own, now));
        let burst = burst * rate / quota.max(1e-9);
        let entry = self.get_mut(account);
        entry.share_computed_at = Some(now);
        match &mut entry.bucket {
            Some(bucket) => bucket.set_share(rate, burst, now),
            None => entry.bucket = Some(Bucket::new(rate, burst, now)),
        }
    }

    /// Returns the demand for an account at this entry, followed by that at each other entry. Where
    /// the demand is unknown, an even share of the quota is assumed, which keeps the sum of the
    /// shares within the quota.
    fn demands(&self, account: &AccountId, quota: f64, own: f64, now: Time) -> Vec<f64> {
        let even = quota / (self.other_entries.len() + 1) as f64;
        let of_digest = |digest: &Option<Digest>| match digest {
            Some(d) if now < d.received_at + DIGEST_TTL => match d.demand.get(account) {
                Some(rate) => *rate,
                None if d.is_complete => 0.0,
                None => even,
            },
            _ => even,
        };
        let other_entries = self.other_entries.values().map(of_digest);
        std::iter::once(own).chain(other_entries).collect()
    }

    /// Returns the time until the account's quota allows the cost; zero if it does now.
    pub(super) fn quota_wait(&self, account: &str, now: Time, cost: u64) -> Duration {
        let bucket = self.get(account).and_then(|a| a.bucket.as_ref());
        bucket.map_or(Duration::ZERO, |b| b.wait_time(now, cost as f64))
    }

    pub(super) fn quota_left(&self, account: &str, now: Time) -> Option<f64> {
        let bucket = self.get(account)?.bucket.as_ref()?;
        Some(bucket.level(now))
    }

    /// Deducts tokens from the account's quota, or returns them if `cost` is negative.
    pub(super) fn charge(&mut self, account: &AccountId, now: Time, cost: f64) {
        if let Some(bucket) = &mut self.get_mut(account).bucket {
            bucket.charge(now, cost);
        }
    }
}
