use googletest::prelude::*;

use super::{DatagramError, Envelope, open, seal};
use crate::ClusterKey;

fn envelope() -> Envelope<u32> {
    Envelope {
        from: "agent-1".into(),
        incarnation: 3,
        sequence: 9,
        message: 42,
    }
}

/// Guards against heartbeats injected by a sender on the network that does not hold the cluster
/// key.
#[gtest]
fn rejects_datagrams_of_another_deployment() {
    let bytes = seal(&ClusterKey::new([1; 32]), &envelope()).unwrap();
    expect_that!(
        open::<u32>(&ClusterKey::new([1; 32]), &bytes),
        ok(eq(&envelope()))
    );
    expect_that!(
        open::<u32>(&ClusterKey::new([2; 32]), &bytes),
        err(matches_pattern!(DatagramError::Foreign))
    );
    expect_that!(
        open::<u32>(&ClusterKey::new([1; 32]), &bytes[..7]),
        err(matches_pattern!(DatagramError::Foreign))
    );
}
