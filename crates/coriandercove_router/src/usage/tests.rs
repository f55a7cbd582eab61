use googletest::prelude::*;

use super::*;

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn used(account: AccountKey, requests: u32, arrivals: u32) -> AccountUse {
    AccountUse {
        account,
        requests,
        arrivals,
    }
}

fn report(accounts: &[AccountUse]) -> UsageReport {
    UsageReport {
        accounts: accounts.to_vec(),
    }
}

/// Guards against requests that stay invisible between two digests: a peer at which 100 requests
/// arrive a second has received 30 in the 300 ms since its last report.
#[gtest]
fn unseen_requests_follow_the_peers_rates() {
    let mut usage = UsageTracker::default();
    usage.on_report("e1".into(), report(&[used(7, 3, 1000)]), at(600));
    expect_that!(usage.mean_age(at(900)), eq(at(300)));
    expect_that!(usage.unseen(at(900)), near(30.0, 0.1));
    usage.expire(at(2100));
    expect_that!(usage.unseen(at(2100)), eq(0.0));
}

/// Guards against a rate that a burst leaves behind, or that refused requests do not raise.
#[gtest]
fn rates_follow_arrivals() {
    let mut usage = UsageTracker::default();
    for i in 0..300 {
        usage.on_arrival(7, at(i * 10));
    }
    let rate = usage.report(at(3000)).accounts[0].rate();
    expect_that!(rate, near(100.0, 3.0));
    usage.expire(at(9000));
    expect_that!(usage.report(at(9000)).accounts, is_empty());
}

/// Guards against requests of an account that remain after they end, expire or are replaced.
#[gtest]
fn requests_by_account_follow_the_last_reports() {
    let mut usage = UsageTracker::default();
    usage.begin(7, at(0));
    usage.begin(7, at(0));
    usage.on_report("e1".into(), report(&[used(7, 3, 0), used(8, 2, 5)]), at(0));
    usage.on_report("e1".into(), report(&[used(7, 1, 0)]), at(10));
    usage.end(7);
    expect_that!(usage.uses(at(10)), eq(&vec![used(7, 2, 0)]));
    usage.end(7);
    usage.expire(at(10) + DIGEST_LIFETIME);
    expect_that!(usage.uses(at(10)), is_empty());
}

/// Guards against datagrams that grow with the number of accounts, and against leaving out those
/// with most requests.
#[gtest]
fn a_report_names_the_heaviest_accounts() {
    let mut usage = UsageTracker::default();
    for account in 0..100 {
        for _ in 0..=account {
            usage.begin(account, at(0));
        }
    }
    let accounts = usage.report(at(0)).accounts;
    expect_that!(accounts, len(eq(MAX_REPORTED_ACCOUNTS)));
    expect_that!(accounts[0], eq(used(99, 100, 0)));
}
