use std::time::Duration;

use coriandercove_base::Time;
use googletest::prelude::*;
use proptest::prelude::*;

use super::*;
use crate::store_call::{StoreCall, StoreReply};

const MS: Duration = Duration::from_millis(1);

fn claim(key: u128, body: usize) -> Claim {
    let state = match body {
        0 => ClaimState::Open,
        n => ClaimState::Done {
            status: 200,
            body: Some(vec![1; n]),
        },
    };
    Claim {
        key,
        fingerprint: 1,
        req: key,
        ticket: Ticket {
            id: key,
            issued_ms: 5,
            node: "a".into(),
            incarnation: 1,
        },
        state,
        at_ms: 5,
    }
}

fn segment(claims: Vec<Claim>) -> Segment {
    Segment {
        write_id: 1,
        sealed: false,
        claims,
    }
}

/// A shard that loaded an empty segment of version 1 at time zero.
fn loaded() -> Shard {
    let settings = ShardSettings::new(shard_prefix("s", 0));
    let mut shard = Shard::new(settings, coriandercove_base::rng::seeded(1));
    let names = || StoreReply::Names(vec!["claims/s/000/000000000001".into()]);
    let value = segment(Vec::new()).encode().expect("small");
    let version = 1;
    shard.refresh(Time::ZERO);
    shard.on_store(Time::ZERO, names());
    shard.on_store(Time::ZERO, StoreReply::Value { version, value });
    let actions = shard.on_store(Time::ZERO, names());
    let up_to = 1;
    let is_read = true;
    assert_eq!(actions, vec![ShardAction::Refreshed { up_to, is_read }]);
    shard
}

fn keys_written(actions: &[ShardAction]) -> Vec<u128> {
    let write = actions.iter().find_map(|a| match a {
        ShardAction::Store(StoreCall::PutIf { value, .. }) => Some(value),
        _ => None,
    });
    let segment =
        write.map(|value| Segment::decode(value).expect("the written value is a segment"));
    segment.map_or(Vec::new(), |s| s.claims.iter().map(|c| c.key).collect())
}

/// Guards against more than ten writes per second to a shard, against a delayed write of a shard
/// that was idle, and against writing the queued claims in more than one write.
#[gtest]
fn waiting_claims_share_a_write() {
    let mut shard = loaded();
    let first = shard.submit(MS, 1, Change::Claim(claim(1, 0)));
    expect_that!(keys_written(&first), elements_are![eq(&1)]);
    for key in 2..5 {
        let actions = shard.submit(2 * MS, key, Change::Claim(claim(key, 0)));
        expect_that!(actions, is_empty());
    }
    let settled = shard.on_store(10 * MS, StoreReply::Written(2));
    expect_that!(keys_written(&settled), is_empty());
    expect_that!(shard.next_wake(), some(eq(101 * MS)));
    expect_that!(shard.tick(100 * MS), is_empty());
    let second = shard.tick(101 * MS);
    expect_that!(
        keys_written(&second),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
}

/// Guards against reporting a change as not written while its write may still take effect.
#[gtest]
fn an_unsettled_change_is_kept() {
    let mut shard = loaded();
    shard.submit(MS, 1, Change::Claim(claim(1, 0)));
    shard.on_store(2 * MS, StoreReply::Lost);
    shard.submit(2 * MS, 2, Change::Claim(claim(2, 0)));
    let actions = shard.on_store(3 * MS, StoreReply::Unavailable);
    let unavailable = |tag| ShardAction::Settled {
        tag,
        result: ChangeResult::Unavailable,
    };
    expect_that!(actions, elements_are![eq(&unavailable(2))]);
    expect_that!(shard.withdraw(1), eq(false));
}

/// Guards against a repeated request that overwrites the claim of the first one.
#[gtest]
fn a_second_claim_is_refused() {
    let mut shard = loaded();
    shard.submit(MS, 1, Change::Claim(claim(1, 0)));
    shard.on_store(2 * MS, StoreReply::Written(2));
    let mut other = claim(1, 0);
    other.ticket.id = 77;
    let actions = shard.submit(200 * MS, 2, Change::Claim(other));
    let result = ChangeResult::Refused(Some(Box::new(claim(1, 0))));
    expect_that!(
        actions,
        elements_are![eq(&ShardAction::Settled { tag: 2, result })]
    );
}

/// Guards against a queue of changes that grows without bound.
#[gtest]
fn waiting_changes_are_bounded() {
    let settings = ShardSettings {
        max_waiting: 2,
        ..ShardSettings::new(shard_prefix("s", 0))
    };
    let mut shard = Shard::new(settings, coriandercove_base::rng::seeded(1));
    for tag in 0..2 {
        shard.submit(MS, tag, Change::Claim(claim(tag, 0)));
    }
    let actions = shard.submit(MS, 2, Change::Claim(claim(2, 0)));
    let result = ChangeResult::Overloaded;
    expect_that!(
        actions,
        elements_are![eq(&ShardAction::Settled { tag: 2, result })]
    );
}

/// Guards against writing a claim whose body is too large: readers would reject the whole segment.
#[gtest]
fn a_long_body_is_refused() {
    let mut shard = loaded();
    let actions = shard.submit(MS, 1, Change::Claim(claim(1, MAX_CLAIM_BODY + 1)));
    let (tag, result) = (1, ChangeResult::Overloaded);
    expect_that!(
        actions,
        elements_are![eq(&ShardAction::Settled { tag, result })]
    );
}

/// Guards against encoding or decoding a segment that exceeds a limit or has another format.
#[gtest]
fn segments_have_limits() {
    let many = segment((0..100).map(|key| claim(key, MAX_CLAIM_BODY)).collect());
    expect_that!(
        many.encode(),
        err(matches_pattern!(SegmentError::TooLarge { .. }))
    );
    let long = segment(vec![claim(1, MAX_CLAIM_BODY + 1)]);
    let bytes = long.encode().expect("below the size of a segment");
    expect_that!(
        Segment::decode(&bytes),
        err(matches_pattern!(SegmentError::Malformed { .. }))
    );
    expect_that!(
        Segment::decode(&[]),
        err(matches_pattern!(SegmentError::Format { .. }))
    );
    expect_that!(
        Segment::decode(&[9]),
        err(matches_pattern!(SegmentError::Format { .. }))
    );
}

/// Guards against an encoding that needs more bytes for each claim: the claims of 1 h at 10
/// claims/s in a shard should fit into few segments.
#[gtest]
fn a_segment_holds_many_claims() {
    let claims = |n: u128| {
        (0..n).map(|i| Claim {
            key: u128::MAX - i,
            fingerprint: u128::MAX - i,
            req: u128::MAX - i,
            ticket: Ticket {
                id: u128::MAX - i,
                issued_ms: 1_800_000_000_000,
                node: "agent-kumamoto-0123".into(),
                incarnation: 1_800_000_000_000_000_000,
            },
            state: ClaimState::Open,
            at_ms: 1_800_000_000_000,
        })
    };
    let one = segment(claims(1).collect()).encode().expect("small").len();
    let bytes = segment(claims(2001).collect())
        .encode()
        .map_or(MAX_SEGMENT_BYTES, |b| b.len());
    println!("an open claim takes {} bytes", (bytes - one) / 2000);
    expect_that!(bytes, lt(MAX_SEGMENT_BYTES));
}

proptest! {
    /// Guards against a panic on malformed bytes, and against decoding them to a segment that does
    /// not survive encoding.
    #[test]
    fn decoding_any_bytes_is_safe(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        if let Ok(segment) = Segment::decode(&bytes) {
            let again = Segment::decode(&segment.encode().expect("it was decoded"));
            prop_assert_eq!(again, Ok(segment));
        }
    }

    /// Guards against claims that encoding and decoding changes.
    #[test]
    fn segments_survive_encoding(keys in prop::collection::vec((any::<u128>(), 0..64_usize), 0..20)) {
        let claims = keys.into_iter().map(|(key, body)| claim(key, body)).collect();
        let segment = segment(claims);
        prop_assert_eq!(Segment::decode(&segment.encode().expect("small")), Ok(segment));
    }
}
