//! Ranks a request among those that all entries place at about the same time.
//!
//! Two load patterns are answered. With many entries, each places its requests by digests of its
//! peers that are some hundred milliseconds old; without a rank, all of them choose the same
//! cheapest chain until the next digests arrive. And when one client account sends many times its
//! usual, its requests take the places that those of the other accounts need.
//!
//! A request's rank is the number of requests that count as placed before it. The requests of an
//! account that uses less come first; the rank among those of one account is drawn at random. All
//! entries together so spread their requests as one entry would that saw each of them.
//!
//! Once requests find no room, [`ShareLimiter`] divides the places that the fleet has by max-min
//! fairness: an account gets what it asks for up to a limit that is the same for all accounts.

use std::time::Duration;

use coriandercove_base::Time;

use crate::usage::{AccountKey, AccountUse};

/// What has happened since the peers' last digests, as far as it can be expected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Unseen {
    /// Requests that have arrived at the peers.
    pub arrived: f64,
    /// Share of the peers' requests in flight that have not ended.
    pub left: f64,
}

/// Requests that accounts with less use may add until the next digests, for which a request leaves
/// places free, as a share of their unseen arrivals.
const UPCOMING_SHARE: f64 = 1.0;

/// Position of a new request among those that all entries place at about the same time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rank {
    /// Number of requests that count as placed before it.
    pub ahead: f64,
    /// Share of the requests that belong to accounts that use less than its own; between 0 and 1.
    /// The request must leave some room for them.
    pub yields_to: f64,
    /// Number of requests of its own account that count as in flight.
    pub own_requests: f64,
}

/// Ranks a new request of `account`. `uses` are the requests of all entries by account, and `draw` is
/// a random number between 0 and 1.
#[must_use]
pub fn rank(account: AccountKey, uses: &[AccountUse], unseen: Unseen, draw: f64) -> Rank {
    let found = uses.iter().find(|u| u.account == account);
    let own = found.copied().unwrap_or(AccountUse {
        account,
        ..AccountUse::default()
    });
    // Accounts that use the same are ranked by their key, alike in all entries.
    let order = |u: &AccountUse| (u.requests, u.account);
    let all = uses.iter().map(AccountUse::rate).sum::<f64>().max(MIN_RATE);
    let before = uses.iter().filter(|u| order(u) < order(&own));
    let yields_to = before.map(AccountUse::rate).sum::<f64>() / all;
    let own_ahead = unseen.arrived * draw * own.rate() / all;
    Rank {
        ahead: unseen.arrived * yields_to * (1.0 + UPCOMING_SHARE) + own_ahead,
        yields_to,
        own_requests: requests(&own) * unseen.left + own_ahead,
    }
}

/// Lower bound of the rate by which shares of it are divided, per second.
const MIN_RATE: f64 = 0.1;

fn requests(u: &AccountUse) -> f64 {
    f64::from(u.requests)
}

/// Factor by which an account below the limit may grow before the next digests; places for that are
/// left free.
const GROWTH: f64 = 1.6;
/// Share of the places that is divided. The rest covers what the entries do not know of each other.
const DIVIDED_SHARE: f64 = 0.88;
/// Growth of the assumed places per second since requests last found no room.
const GROWTH_PER_SECOND: f64 = 0.3;
/// Time without such a request after which no limit applies; a few digests arrive within it.
const MEMORY: Duration = Duration::from_millis(1500);
/// Requests that must find no room, each within [`MEMORY`] of the one before, until a limit applies.
/// A single one may be too large for the room that is left, or for a link.
const MIN_FULL: u32 = 2;

/// Limits the requests in flight of each account while the fleet is full.
///
/// The number of requests that the fleet carries is not known in advance, as it depends on their
/// sizes, on the links and on failures. It is taken to be what was in flight when requests found no
/// room, as their moving mean.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShareLimiter {
    full: Option<Full>,
}

/// Requests that found no room lately.
#[derive(Debug, Clone, Copy)]
struct Full {
    /// Number of requests that the fleet carries.
    places: f64,
    /// Requests that found no room, in a row.
    count: u32,
    /// Time of the last one.
    at: Time,
}

impl ShareLimiter {
    /// Records that a request found no room while `in_flight` requests counted as in flight, those
    /// ahead of it included.
    pub fn on_full(&mut self, in_flight: f64, now: Time) {
        let known = self.full.filter(|f| now.saturating_sub(f.at) < MEMORY);
        self.full = Some(match known {
            Some(f) => Full {
                places: f.places_at(now).midpoint(in_flight),
                count: f.count.saturating_add(1),
                at: now,
            },
            None => Full {
                places: in_flight,
                count: 1,
                at: now,
            },
        });
    }

    /// Places that are divided, while the fleet is full.
    pub(crate) fn places(&self, now: Time) -> Option<f64> {
        let full = self.full.filter(|f| f.count >= MIN_FULL)?;
        (now.saturating_sub(full.at) < MEMORY).then(|| full.places_at(now))
    }

    /// Whether an account with `own_requests` in flight may have one more.
    #[must_use]
    pub fn allows(&self, own_requests: f64, uses: &[AccountUse], left: f64, now: Time) -> bool {
        let Some(places) = self.places(now) else {
            return true;
        };
        let uses = uses.iter().map(|u| requests(u) * left);
        own_requests < max_min_limit(uses.collect(), places * DIVIDED_SHARE)
    }
}

impl Full {
    fn places_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at);
        self.places * (1.0 + GROWTH_PER_SECOND * age.as_secs_f64())
    }
}

/// The limit at which the uses, each grown by [`GROWTH`] and cut to the limit, add up to `places`;
/// infinite if they do not reach it.
fn max_min_limit(uses: Vec<f64>, places: f64) -> f64 {
    max_min_limit_with(uses, places, GROWTH)
}

/// The same with another factor of growth.
pub(crate) fn max_min_limit_with(mut uses: Vec<f64>, places: f64, growth: f64) -> f64 {
    uses.sort_by(f64::total_cmp);
    let mut left = places;
    for (i, used) in uses.iter().enumerate() {
        let equal = left / (uses.len() - i) as f64;
        if *used > equal {
            return equal;
        }
        left -= (used * growth).min(equal);
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests;
