//! Proves that the fuzz tests can fail: they must find each deliberate fault.
#![expect(clippy::print_stdout, reason = "the output reports the step counts")]

use crate::config::{self, ConfigTest};
use crate::membership::{self, MembershipTest};
use crate::placement::{self, PlacementTest};
use crate::runner::run;
use coriandercove_state::config_log::ConfigFault;
use coriandercove_state::membership::MembershipFault;
use coriandercove_state::placement::PlacementFault;
use proptest_state_machine::StateMachineTest;

/// Seeds that are tried for each fault; the first one finds nearly all faults.
const SEEDS: std::ops::Range<u64> = 1..9;

/// Runs seeds until one finds the fault that is switched on; panics if none does.
fn must_find<T: StateMachineTest>(fault: &str, cases: u32, len: usize) {
    let mut steps = 0;
    for seed in SEEDS {
        match run::<T>(seed, cases, len, false) {
            Some(failure) => {
                let steps = steps + failure.steps;
                let what = failure.message.lines().next().unwrap_or_default();
                println!("{fault}: found after {steps} steps, {what}");
                return;
            }
            None => steps += u64::from(cases) * len as u64,
        }
    }
    panic!("{fault} was not found in {steps} steps");
}

fn config_fault(fault: ConfigFault) {
    config::FAULT.set(Some(fault));
    must_find::<ConfigTest>(&format!("{fault:?}"), 48, 60);
    config::FAULT.set(None);
}

fn membership_fault(fault: MembershipFault) {
    membership::FAULT.set(Some(fault));
    must_find::<MembershipTest>(&format!("{fault:?}"), 24, 50);
    membership::FAULT.set(None);
}

fn placement_fault(fault: PlacementFault) {
    placement::FAULT.set(Some(fault));
    must_find::<PlacementTest>(&format!("{fault:?}"), 64, 50);
    placement::FAULT.set(None);
}

#[test]
fn lower_version_applied_is_found() {
    config_fault(ConfigFault::LowerVersionApplied);
}

#[test]
fn conditional_create_ignored_is_found() {
    config_fault(ConfigFault::ConditionalCreateIgnored);
}

#[test]
fn lost_answer_as_failure_is_found() {
    config_fault(ConfigFault::LostAnswerIsFailure);
}

#[test]
fn digest_ignored_is_found() {
    config_fault(ConfigFault::DigestIgnored);
}

#[test]
fn leaving_overwritten_is_found() {
    membership_fault(MembershipFault::LeavingOverwritten);
}

#[test]
fn partition_rule_off_is_found() {
    membership_fault(MembershipFault::PartitionRuleOff);
}

#[test]
fn forgotten_members_coming_back_are_found() {
    membership_fault(MembershipFault::ForgottenComeBack);
}

#[test]
fn missing_refutation_is_found() {
    membership_fault(MembershipFault::NoRefutation);
}

#[test]
fn last_replica_taken_is_found() {
    placement_fault(PlacementFault::LastReplicaTaken);
}

#[test]
fn skipped_confirmation_is_found() {
    placement_fault(PlacementFault::ConfirmSkipped);
}

#[test]
fn loads_together_are_found() {
    placement_fault(PlacementFault::LoadsTogether);
}
