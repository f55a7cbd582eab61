//! Tracks what client accounts ask for and have in flight: at this entry, and at the other entries
//! by their reports.
//!
//! A digest of work in flight is outdated on arrival. Between two digests a large deployment
//! receives hundreds of requests; their number follows from the rates of arrival.

use std::time::Duration;

use coriandercove_base::hash::hash64;
use coriandercove_base::{NodeId, SortedMap, Time, data};

use crate::load::DIGEST_LIFETIME;

/// Short key of a client account, equal in all entries; 0 for requests without an account.
///
/// Two accounts with the same key share what one of them would get.
pub type AccountKey = u32;

/// The key of the account with this name.
#[must_use]
pub fn account_key(name: Option<&str>) -> AccountKey {
    name.map_or(0, |name| hash64(&[name.as_bytes()]) as AccountKey)
}

/// Number of accounts that a report names, those with most requests first. It bounds the size of a
/// datagram; the accounts left out have few requests.
const MAX_REPORTED_ACCOUNTS: usize = 32;
/// Time constant of the rates of arrival.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Arrivals in the window below which an account without requests in flight is dropped.
const MIN_ARRIVALS: f64 = 0.02;

data! {
    /// Model requests of one client account, as sent to the peers.
    #[derive(Copy, Eq, Default)]
    pub struct AccountUse {
        /// Key of the account.
        pub account: AccountKey,
        /// Requests in flight.
        pub requests: u32,
        /// Requests that arrive in 10 seconds, whether admitted or not.
        pub arrivals: u32,
    }

    /// Model requests of one entry, as sent to its peers.
    #[derive(Default, Eq)]
    pub struct UsageReport {
        /// Requests by account.
        pub accounts: Vec<AccountUse>,
    }
}

impl AccountUse {
    /// Requests that arrive per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        f64::from(self.arrivals) / 10.0
    }

    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.arrivals = self.arrivals.saturating_add(other.arrivals);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.arrivals = self.arrivals.saturating_sub(other.arrivals);
    }
}

/// Requests of one account at this entry.
#[derive(Debug, Clone, Copy)]
struct OwnUse {
    requests: u32,
    /// Arrivals, each of which loses weight with [`RATE_WINDOW`].
    arrivals: f64,
    last_update: Time,
}

impl OwnUse {
    fn new(now: Time) -> Self {
        Self {
            requests: 0,
            arrivals: 0.0,
            last_update: now,
        }
    }

    fn arrivals_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.last_update);
        self.arrivals * (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }
}

/// Model requests by client account, of this entry and of the others.
#[derive(Debug, Default)]
pub struct UsageTracker {
    own: SortedMap<AccountKey, OwnUse>,
    /// Last report of each peer, with the time of its arrival.
    peers: SortedMap<NodeId, (Time, UsageReport)>,
    /// Sums over the peers' last reports; accounts without requests and arrivals are left out.
    others: SortedMap<AccountKey, AccountUse>,
}

impl UsageTracker {
    /// Counts a model request that arrived from a caller.
    pub fn on_arrival(&mut self, account: AccountKey, now: Time) {
        let own = self.own.get_or_insert_with(account, || OwnUse::new(now));
        own.arrivals = own.arrivals_at(now) + 1.0;
        own.last_update = now;
    }

    /// Adds a model request in flight of this entry.
    pub fn begin(&mut self, account: AccountKey, now: Time) {
        let own = self.own.get_or_insert_with(account, || OwnUse::new(now));
        own.requests += 1;
    }

    /// Removes a model request that was added with [`Self::begin`].
    pub fn end(&mut self, account: AccountKey) {
        if let Some(own) = self.own.get_mut(&account) {
            own.requests = own.requests.saturating_sub(1);
        }
    }

    fn own_uses(&self, now: Time) -> impl Iterator<Item = AccountUse> {
        self.own.iter().map(move |(account, own)| AccountUse {
            account: *account,
            requests: own.requests,
            arrivals: (own.arrivals_at(now) / RATE_WINDOW.as_secs_f64() * 10.0).round() as u32,
        })
    }

    /// Requests of this entry, to be sent to the peers.
    #[must_use]
    pub fn report(&self, now: Time) -> UsageReport {
        let mut accounts: Vec<AccountUse> = self
            .own_uses(now)
            .filter(|u| u.requests > 0 || u.arrivals > 0)
            .collect();
        accounts.sort_by_key(|u| std::cmp::Reverse((u.requests, u.arrivals)));
        accounts.truncate(MAX_REPORTED_ACCOUNTS);
        UsageReport { accounts }
    }

    /// Replaces a peer's report.
    pub fn on_report(&mut self, from: NodeId, report: UsageReport, now: Time) {
        for u in &report.accounts {
            add(&mut self.others, *u);
        }
        if let Some((_, old)) = self.peers.insert(from, (now, report)) {
            subtract(&mut self.others, &old);
        }
    }

    /// Drops reports that are older than [`DIGEST_LIFETIME`], and accounts of this entry without
    /// requests.
    pub fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        self.peers.retain(|_, (at, report)| {
            let is_recent = now.saturating_sub(*at) < DIGEST_LIFETIME;
            if !is_recent {
                expired.push(std::mem::take(report));
            }
            is_recent
        });
        for report in expired {
            subtract(&mut self.others, &report);
        }
        self.own
            .retain(|_, own| own.requests > 0 || own.arrivals_at(now) >= MIN_ARRIVALS);
    }

    /// Requests of all entries by account, sorted by account.
    #[must_use]
    pub fn uses(&self, now: Time) -> Vec<AccountUse> {
        let mut sums = self.others.clone();
        for own in self.own_uses(now) {
            add(&mut sums, own);
        }
        sums.values().copied().collect()
    }

    /// Expected number of requests that have arrived at the peers since their last reports.
    #[must_use]
    pub fn unseen(&self, now: Time) -> f64 {
        let rate: f64 = self.others.values().map(AccountUse::rate).sum();
        rate * self.mean_age(now).as_secs_f64()
    }

    /// Mean age of the peers' last reports; zero without peers.
    #[must_use]
    pub fn mean_age(&self, now: Time) -> Duration {
        let ages = self.peers.values().map(|(at, _)| now.saturating_sub(*at));
        let count = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        ages.sum::<Duration>()
            .checked_div(count)
            .unwrap_or_default()
    }
}

fn add(sums: &mut SortedMap<AccountKey, AccountUse>, used: AccountUse) {
    let empty = || AccountUse {
        account: used.account,
        ..AccountUse::default()
    };
    sums.get_or_insert_with(used.account, empty).add(used);
}

fn subtract(sums: &mut SortedMap<AccountKey, AccountUse>, report: &UsageReport) {
    for u in &report.accounts {
        if let Some(sum) = sums.get_mut(&u.account) {
            sum.subtract(*u);
            if sum.requests == 0 && sum.arrivals == 0 {
                sums.remove(&u.account);
            }
        }
    }
}

#[cfg(test)]
mod tests;
