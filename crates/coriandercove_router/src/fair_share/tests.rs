use googletest::prelude::*;

use super::*;

/// Uses by account: requests in flight, of which each account starts as many a second.
fn uses(accounts: &[(AccountKey, u32)]) -> Vec<AccountUse> {
    let uses = accounts.iter().map(|(account, requests)| AccountUse {
        account: *account,
        requests: *requests,
        arrivals: *requests * 10,
    });
    uses.collect()
}

const UNSEEN: Unseen = Unseen {
    arrived: 300.0,
    left: 1.0,
};

/// Load pattern: 300 requests of all entries are placed between two digests. Guards against ranks
/// that leave a part of them out or count it twice, so that chains are crowded or stay idle.
#[gtest]
fn the_ranks_of_all_accounts_cover_the_unseen_requests_once() {
    let uses = uses(&[(1, 10), (2, 50), (3, 10), (4, 130)]);
    let mut ranges: Vec<(f64, f64)> = uses
        .iter()
        .map(|u| {
            let ahead = |draw| rank(u.account, &uses, UNSEEN, draw).ahead;
            (ahead(0.0), ahead(1.0))
        })
        .collect();
    ranges.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut placed = 0.0;
    for (first, last) in ranges {
        // The requests of lighter accounts, and as many places as they may ask for next.
        expect_that!(first, near(placed * (1.0 + UPCOMING_SHARE), 0.1));
        placed += last - first;
    }
    expect_that!(placed, near(300.0, 0.1));
}

/// Load pattern: one account sends many times its usual. Guards against requests of the others that
/// are ranked behind it.
#[gtest]
fn an_account_that_floods_comes_after_all_others() {
    let uses = uses(&[(1, 20), (2, 1000), (3, 40)]);
    let flood = rank(2, &uses, UNSEEN, 0.0);
    for other in [1, 3, 99] {
        let other = rank(other, &uses, UNSEEN, 1.0);
        expect_that!(other.ahead, lt(flood.ahead + 1.0));
        expect_that!(other.yields_to, lt(0.05));
    }
    expect_that!(flood.yields_to, near(60.0 / 1060.0, 0.001));
}

/// Guards against a rank that is no number while nothing is in flight.
#[gtest]
fn the_first_request_has_nothing_ahead() {
    let none = Unseen {
        arrived: 0.0,
        left: 1.0,
    };
    expect_that!(rank(1, &[], none, 0.7), eq(Rank::default()));
}

/// Load pattern: one account sends many times its usual while the fleet is full. Guards against a
/// limit for the accounts that use less, and against one that leaves no room for what they ask for
/// next.
#[gtest]
fn a_full_fleet_limits_the_account_that_floods() {
    let mut limiter = ShareLimiter::default();
    let now = Time::from_secs(1);
    let uses = uses(&[(1, 100), (2, 600), (3, 150)]);
    expect_true!(limiter.allows(600.0, &uses, 1.0, now));
    for _ in 1..MIN_FULL {
        limiter.on_full(900.0, now);
        // One large request that finds no room does not show that the fleet is full.
        expect_true!(limiter.allows(600.0, &uses, 1.0, now));
    }
    limiter.on_full(900.0, now);
    // The places less the 250 of the others and their growth.
    let rest = 900.0 * DIVIDED_SHARE - 250.0 * GROWTH;
    expect_false!(limiter.allows(rest + 1.0, &uses, 1.0, now));
    expect_true!(limiter.allows(rest - 1.0, &uses, 1.0, now));
    expect_true!(limiter.allows(150.0, &uses, 1.0, now));
    // Once there has been room for a while, no limit applies.
    expect_true!(limiter.allows(600.0, &uses, 1.0, now + MEMORY));
}

/// Guards against accounts that lose what they ask for although it is less than an equal share.
#[gtest]
fn the_limit_divides_the_places_by_max_min_fairness() {
    let rest = |used: f64, n: f64| (90.0 - used * GROWTH) / n;
    expect_that!(
        max_min_limit(vec![10.0, 50.0, 60.0], 90.0),
        near(rest(10.0, 2.0), 1e-9)
    );
    expect_that!(
        max_min_limit(vec![10.0, 20.0, 90.0], 90.0),
        near(rest(30.0, 1.0), 1e-9)
    );
    expect_that!(
        max_min_limit(vec![10.0, 20.0, 30.0], 90.0),
        eq(f64::INFINITY)
    );
    expect_that!(max_min_limit(vec![], 90.0), eq(f64::INFINITY));
    // Accounts that all ask for more than an equal share are given all places.
    expect_that!(max_min_limit(vec![40.0; 3], 90.0), eq(30.0));
}

/// Load pattern: all entries return after an outage, while few requests are in flight. Guards against
/// accounts held at what was in flight then while the fleet fills.
#[gtest]
fn the_limit_follows_a_fleet_that_recovers() {
    let mut limiter = ShareLimiter::default();
    let uses = uses(&[(1, 10), (2, 60)]);
    let mut now = Time::from_secs(1);
    for _ in 0..MIN_FULL {
        limiter.on_full(20.0, now);
    }
    expect_false!(limiter.allows(60.0, &uses, 1.0, now));
    for _ in 0..4 {
        now += Duration::from_millis(100);
        limiter.on_full(200.0, now);
    }
    expect_true!(limiter.allows(60.0, &uses, 1.0, now));
}
