//! Sequences of steps with which the fuzz tests found faults.

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

/// Guards against taking a refused conditional write for proof that nothing was written: the
/// refusal answered the second copy of a doubled request, the first copy had taken effect, and
/// reading back failed (`calls`, seed 1034).
#[test]
fn refused_copy_of_a_write_is_no_proof() {
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
