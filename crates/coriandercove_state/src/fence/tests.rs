use googletest::prelude::*;

use super::*;

/// Guards against accepting an order before the lease object was read from the store, or after an
/// order of a later holder.
#[gtest]
fn orders_need_a_known_and_current_number() {
    let mut gate = FenceGate::new();
    expect_that!(
        FenceGate::check(&mut gate, "p", 9),
        err(eq(FenceRefusal::Unknown))
    );
    gate.on_read("p", 5);
    let old = FenceRefusal::Old { highest: 5 };
    expect_that!(FenceGate::check(&mut gate, "p", 4), err(eq(old)));
    expect_that!(FenceGate::check(&mut gate, "p", 5), ok(eq(())));
    expect_that!(FenceGate::check(&mut gate, "p", 8), ok(eq(())));
    let old = FenceRefusal::Old { highest: 8 };
    expect_that!(FenceGate::check(&mut gate, "p", 5), err(eq(old)));
    expect_that!(
        FenceGate::check(&mut gate, "q", 9),
        err(eq(FenceRefusal::Unknown))
    );
}

/// Guards against a delayed store read that lowers the highest fencing token.
#[gtest]
fn a_late_read_does_not_lower_the_number() {
    let mut gate = FenceGate::new();
    gate.on_read("p", 8);
    gate.on_read("p", 5);
    let old = FenceRefusal::Old { highest: 8 };
    expect_that!(FenceGate::check(&mut gate, "p", 7), err(eq(old)));
}
