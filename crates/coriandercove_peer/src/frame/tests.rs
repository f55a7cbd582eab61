use std::time::Duration;

use googletest::prelude::*;

use super::{Hop, OpenStage, loopback};

fn open(ranges: &[(u16, u16)], stage: u16) -> OpenStage {
    let hop = |&(first_layer, end_layer): &(u16, u16)| Hop {
        agent: loopback("a", 1),
        first_layer,
        end_layer,
        held: 0,
    };
    OpenStage {
        req: 1,
        attempt: 1,
        entry: loopback("e", 2),
        chain: ranges.iter().map(hop).collect(),
        stage,
        end_position: 10,
        priority: 0,
        deadline: Duration::from_secs(1),
    }
}

/// Guards against a chain that would skip a layer or run one twice.
#[gtest]
fn accepts_only_chains_without_gap_or_overlap() {
    expect_true!(open(&[(0, 4), (4, 8)], 1).is_valid());
    expect_false!(open(&[(0, 4), (5, 8)], 1).is_valid());
    expect_false!(open(&[(0, 4), (3, 8)], 1).is_valid());
    expect_false!(open(&[(0, 4), (4, 4)], 1).is_valid());
    expect_false!(open(&[(0, 4)], 1).is_valid());
    expect_false!(open(&[], 0).is_valid());
}
