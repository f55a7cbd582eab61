#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]

use googletest::prelude::*;

use super::*;
use crate::usage::AccountUse;

fn datagram() -> Datagram {
    Datagram {
        node: "e1".into(),
        number: 7,
        incarnation: 3,
        is_ready: true,
        digest: Digest::default(),
        placements: Vec::new(),
        revisions: Revisions::default(),
        peers: Vec::new(),
    }
}

/// Guards against entries that cannot read each other's datagrams while a version with reports of
/// usage replaces one without.
#[gtest]
fn versions_with_and_without_reports_read_each_other() {
    let without = postcard::to_allocvec(&datagram()).unwrap();
    let (read, usage) = decode(&without).unwrap();
    expect_that!(read, eq(&datagram()));
    expect_that!(usage, eq(&UsageReport::default()));
    let report = UsageReport {
        accounts: vec![AccountUse {
            account: 1,
            requests: 2,
            arrivals: 3,
        }],
    };
    let with = encode(&datagram(), &report).unwrap();
    expect_that!(decode(&with).unwrap().1, eq(&report));
    // An entry of the earlier version ignores what follows the datagram.
    expect_that!(
        postcard::from_bytes::<Datagram>(&with).unwrap(),
        eq(&datagram())
    );
}
