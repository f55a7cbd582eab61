//! Checks that the fuzz tests find each deliberate fault; see [`Fault`].

use coriandercove_state::fault::Fault;
use proptest_state_machine::StateMachineTest;

use crate::calls::Calls;
use crate::leases::Leases;
use crate::runner::steps_to_find;
use crate::shards::Shards;

fn assert_found<T: StateMachineTest>(fault: Fault, steps: usize) {
    let found = steps_to_find::<T>(fault, 60, steps);
    let steps = found.unwrap_or_else(|| panic!("{fault:?} was not found"));
    println!("{fault:?} found after {steps} steps");
}

/// Guards against a fuzz test of calls that cannot fail; so do the following tests.
#[test]
fn calls_find_dispatch_before_durable() {
    assert_found::<Calls>(Fault::DispatchBeforeDurable, 400);
}

#[test]
fn calls_find_ticket_of_other_incarnation() {
    assert_found::<Calls>(Fault::AcceptOtherIncarnation, 400);
}

#[test]
fn calls_find_probe_that_does_not_burn() {
    assert_found::<Calls>(Fault::ProbeDoesNotBurn, 400);
}

#[test]
fn calls_find_ignored_conflict() {
    assert_found::<Calls>(Fault::IgnoreConflict, 400);
}

#[test]
fn calls_find_lost_write_taken_for_failure() {
    assert_found::<Calls>(Fault::LostWriteIsFailure, 400);
}

#[test]
fn calls_find_lost_answer_taken_for_failure() {
    assert_found::<Calls>(Fault::LostAnswerIsNotRun, 400);
}

#[test]
fn calls_find_refusal_that_does_not_burn() {
    assert_found::<Calls>(Fault::RefusalDoesNotBurn, 400);
}

#[test]
fn calls_find_run_of_forgotten_ticket() {
    assert_found::<Calls>(Fault::RunForgotten, 400);
}

/// Guards against a fuzz test of leases that cannot fail.
#[test]
fn leases_find_fence_gate_not_read() {
    assert_found::<Leases>(Fault::FenceGateNotRead, 300);
}

/// Guards against a fuzz test of shards that cannot fail; so do the following tests.
#[test]
fn shards_find_ignored_conflict() {
    assert_found::<Shards>(Fault::IgnoreConflict, 600);
}

#[test]
fn shards_find_unconfirmed_create() {
    assert_found::<Shards>(Fault::CreateNotConfirmed, 600);
}

#[test]
fn shards_find_writes_to_sealed_segments() {
    assert_found::<Shards>(Fault::WriteToSealed, 600);
}
