use googletest::prelude::*;

use super::ClusterKey;

/// Guards against a MAC that also verifies a message whose parts were split differently, and
/// against accepting a truncated MAC.
#[gtest]
fn mac_depends_on_how_the_parts_are_split() {
    let key = ClusterKey::new([7; 32]);
    let mac = key.mac(&[b"ab", b"c"]);
    expect_true!(key.verify(&[b"ab", b"c"], &mac));
    expect_false!(key.verify(&[b"a", b"bc"], &mac));
    expect_false!(key.verify(&[b"ab", b"c"], &mac[..15]));
}
