//! Regression tests: sequences of steps with which the fuzz tests found faults.

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::calls::{Calls, Step};

fn replay(steps: &[Step]) {
    let mut calls = 0;
    let mut world = Calls::init_test(&calls);
    for step in steps {
        calls = <Calls as ReferenceStateMachine>::apply(calls, step);
        world = <Calls as StateMachineTest>::apply(world, &calls, *step);
    }
    Calls::teardown(world, calls);
}

/// Guards against treating a refused conditional write as proof that nothing was written. The
/// network duplicated the request: the first copy was written, the second one was refused, and
/// reading the segment back failed (`calls`, seed 1034).
#[test]
fn refused_duplicate_of_a_write_proves_nothing() {
    replay(&[
        Step::Call(0, 1, false),
        Step::Flush(5),
        Step::StoreDuplicate(0),
        Step::StoreDuplicate(0),
        Step::StoreArrive(0),
        Step::StoreArrive(0),
        Step::StoreArrive(0),
        Step::StoreReply(1),
        Step::StoreDrop(0),
    ]);
}
