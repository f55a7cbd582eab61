use googletest::prelude::*;

use super::Order;

/// Guards against a cancellation that overtakes a job of the attempt that it ends, or that is
/// overtaken by a job of the next attempt and frees its state.
#[gtest]
fn a_cancellation_keeps_its_place() {
    let mut order = Order::default();
    order.started(1);
    expect_false!(order.free(1), "a call is in flight");
    expect_true!(order.is_freeing(1));
    expect_true!(order.ended(1), "the call has ended");
    expect_true!(order.is_freeing(1), "the engine has not confirmed");
    expect_false!(order.freed(1));
    expect_false!(order.is_freeing(1));
}

/// Guards against a second cancellation that is lost while the first is in flight, and against
/// entries that are never removed.
#[gtest]
fn a_second_cancellation_follows_the_first() {
    let mut order = Order::default();
    expect_true!(order.free(1));
    expect_false!(order.free(1), "the first is in flight");
    expect_true!(order.freed(1), "the second is due");
    expect_true!(order.is_freeing(1));
    expect_false!(order.freed(1));
    expect_true!(order.calls.is_empty());
}
