use googletest::prelude::*;

use super::ClusterKey;

/// Guards against a key file with a stray or missing character being accepted.
#[gtest]
fn rejects_text_that_is_not_64_hexadecimal_digits() {
    expect_that!(ClusterKey::from_hex(&"ab".repeat(32)), ok(anything()));
    expect_that!(ClusterKey::from_hex(&"ab".repeat(31)), err(anything()));
    expect_that!(ClusterKey::from_hex(&"zz".repeat(32)), err(anything()));
    expect_that!(ClusterKey::from_hex("é"), err(anything()));
}

/// Guards against codes that accept a message whose parts were split differently.
#[gtest]
fn code_depends_on_how_the_parts_are_split() {
    let key = ClusterKey::new([7; 32]);
    let mac = key.mac(&[b"ab", b"c"]);
    expect_true!(key.verify(&[b"ab", b"c"], &mac));
    expect_false!(key.verify(&[b"a", b"bc"], &mac));
    expect_false!(key.verify(&[b"ab", b"c"], &mac[..15]));
}
