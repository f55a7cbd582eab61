//! Checks that the fuzz test of streams detects each deliberate fault of entries and agents.

use coriandercove_agent::stage::fault::Fault as Agent;
use coriandercove_entry::core::fault::Fault as Entry;

use crate::runner::{Fault, steps_to_find};
use crate::steps::Streams;

/// Checks that a violation is found with `fault` switched on.
fn assert_found(fault: Fault) {
    let steps = steps_to_find::<Streams>(fault, 60, 250);
    let steps = steps.unwrap_or_else(|| panic!("{fault:?} was not found"));
    println!("{fault:?} found after {steps} steps");
}

/// Guards, as all tests of this file, against a fuzz test that misses a fault.
#[test]
fn finds_duplicates_that_run() {
    assert_found(Fault::Agent(Agent::RunDuplicates));
}

#[test]
fn finds_gaps_that_are_skipped() {
    assert_found(Fault::Agent(Agent::SkipGaps));
}

#[test]
fn finds_crossed_activations() {
    assert_found(Fault::Agent(Agent::CrossActivations));
}

#[test]
fn finds_replay_out_of_order() {
    assert_found(Fault::Agent(Agent::ReplayOutOfOrder));
}

#[test]
fn finds_stages_opened_while_leaving() {
    assert_found(Fault::Agent(Agent::OpenWhileLeaving));
}

#[test]
fn finds_streams_cut_at_leave() {
    assert_found(Fault::Agent(Agent::CutAtLeave));
}

#[test]
fn finds_ignored_credit() {
    assert_found(Fault::Agent(Agent::IgnoreCredit));
}

#[test]
fn finds_tokens_in_any_order() {
    assert_found(Fault::Entry(Entry::AcceptAnyPosition));
}

#[test]
fn finds_crossed_requests() {
    assert_found(Fault::Entry(Entry::CrossRequests));
}

#[test]
fn finds_refusals_that_claim_not_run() {
    assert_found(Fault::Entry(Entry::RefuseAsNotRun));
}

#[test]
fn finds_new_work_for_leaving_targets() {
    assert_found(Fault::Entry(Entry::UseLeaving));
}

#[test]
fn finds_streams_given_up_at_drain() {
    assert_found(Fault::Entry(Entry::GiveUpDrained));
}
