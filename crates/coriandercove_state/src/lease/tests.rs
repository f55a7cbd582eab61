use googletest::prelude::*;

use super::*;

const S: Duration = Duration::from_secs(1);

fn lease(node: &str) -> Lease {
    let rng = coriandercove_base::rng::seeded(node.len() as u64);
    Lease::new("p".into(), node.into(), 1, LeaseTimes::default(), rng)
}

fn written(action: &LeaseAction) -> Vec<u8> {
    match action {
        LeaseAction::Store(StoreCall::Create { value, .. } | StoreCall::PutIf { value, .. }) => {
            value.clone()
        }
        other => panic!("expected a Create or PutIf call, got {other:?}"),
    }
}

/// Node `a`, which acquired the lease with version 3 at time zero.
fn holder() -> Lease {
    let mut a = lease("a");
    a.tick(Time::ZERO);
    a.on_store(Time::ZERO, &StoreReply::Absent);
    let actions = a.on_store(Time::ZERO, &StoreReply::Written(3));
    assert_eq!(actions, vec![LeaseAction::Acquired(3)]);
    a
}

/// Guards against a fencing token that changes with a renewal, for the holder or for agents that
/// read the lease object.
#[gtest]
fn renewals_keep_the_number() {
    let mut a = holder();
    let actions = a.tick(4 * S);
    let record = decode(&written(&actions[0])).expect("a record");
    expect_that!(fence_of(8, &record), eq(3));
    expect_that!(a.on_store(4 * S, &StoreReply::Written(8)), is_empty());
    expect_that!(a.held_fence(18 * S), some(eq(3)));
    expect_that!(a.held_fence(19 * S), none());
}

/// Guards against giving up the lease because the answer to a renewal was lost.
#[gtest]
fn a_lost_renewal_is_read_back() {
    let mut a = holder();
    let value = written(&a.tick(4 * S)[0]);
    let get = a.on_store(5 * S, &StoreReply::Lost);
    expect_that!(get, elements_are![matches_pattern!(LeaseAction::Store(_))]);
    let version = 8;
    a.on_store(5 * S, &StoreReply::Value { version, value });
    expect_that!(a.held_fence(18 * S), some(eq(3)));
}

/// Guards against a node that still reports the lease as held after a pause longer than `ttl`.
#[gtest]
fn an_expired_lease_is_reported_as_lost() {
    let mut a = holder();
    expect_that!(a.held_fence(20 * S), none());
    let actions = a.tick(20 * S);
    expect_that!(actions[0], eq(&LeaseAction::Lost));
}

/// Guards against acquiring a lease that its holder renews, and against never acquiring one that
/// is no longer renewed.
#[gtest]
fn only_an_unrenewed_lease_is_acquired() {
    let mut a = holder();
    let mut b = lease("bb");
    let mut value = written(&a.tick(4 * S)[0]);
    for (second, version, is_acquired) in
        [(4, 8, false), (20, 9, false), (34, 9, false), (38, 9, true)]
    {
        let now = second * S;
        b.tick(now);
        let reply = StoreReply::Value {
            version,
            value: value.clone(),
        };
        let actions = b.on_store(now, &reply);
        expect_that!(!actions.is_empty(), eq(is_acquired), "at {second} s");
        if is_acquired {
            value = written(&actions[0]);
        }
    }
    let record = decode(&value).expect("a record");
    expect_that!(fence_of(10, &record), eq(10));
}

/// Guards against a panic on a malformed lease object, and against decoding one that is too large.
#[gtest]
fn malformed_objects_are_refused() {
    expect_that!(decode(b"{}"), none());
    expect_that!(decode(&[b' '; MAX_LEASE_BYTES + 1]), none());
    let mut a = lease("a");
    a.tick(Time::ZERO);
    let reply = StoreReply::Value {
        version: 1,
        value: b"x".to_vec(),
    };
    let actions = a.on_store(Time::ZERO, &reply);
    expect_that!(actions, elements_are![eq(&LeaseAction::Malformed)]);
}
