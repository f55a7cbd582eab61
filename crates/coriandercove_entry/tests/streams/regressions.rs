//! Step sequences that reproduce faults of entries and agents that were found by random tests.

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::steps::{Step, Streams};

fn replay(steps: &[Step]) {
    let mut requests = 0;
    let mut simulation = Streams::init_test(&requests);
    for step in steps {
        requests = <Streams as ReferenceStateMachine>::apply(requests, step);
        simulation = <Streams as StateMachineTest>::apply(simulation, &requests, *step);
    }
    Streams::teardown(simulation, requests);
}

const fn submit(entry: usize, max_tokens: u32) -> Step {
    Step::Submit {
        entry,
        prompt: 1,
        max_tokens,
        slow: false,
        short: false,
    }
}

/// Guards against stages that are never freed after their entry was restarted (found with seed 1).
#[test]
fn stages_of_a_dead_entry_are_freed() {
    for events in 0..30 {
        replay(&[
            submit(0, 9),
            Step::Run { seed: 1, events },
            Step::RestartEntry(0),
            submit(0, 1),
        ]);
    }
}

/// Guards against a stage that is never cancelled because its target was removed from the
/// configuration while the stream was running (found with seed 101).
#[test]
fn stages_at_a_removed_target_are_freed() {
    for events in 0..30 {
        replay(&[
            Step::Join(true),
            submit(1, 3),
            submit(1, 3),
            Step::Run { seed: 1, events },
            Step::Join(false),
        ]);
    }
}

/// Guards against a new configuration that makes a leaving target ready again (found with seed
/// 101).
#[test]
fn a_leaving_target_stays_so_in_a_new_configuration() {
    let mut steps = vec![Step::Leave(0), Step::Advance(5), Step::Join(true)];
    steps.extend((0..8).map(|_| submit(0, 3)));
    replay(&steps);
}

/// Guards against a stream that moves back and forth between two stages, because a stage that is
/// still being rebuilt counts as intact, so that the next move rebuilds the other one. In the test
/// `streams_survive_the_loss_of_a_stage` of `coriandercove_local`, which found it, such a stream
/// was aborted after 12 moves within 30 ms.
#[test]
fn a_stage_that_is_being_rebuilt_is_not_taken_for_intact() {
    for events in 20..120 {
        replay(&[
            submit(0, 12),
            Step::Run { seed: 1, events },
            Step::Restart(2, true),
            Step::Run {
                seed: 2,
                events: 12,
            },
            Step::LoseState(4),
            Step::LoseState(5),
            Step::LoseState(3),
        ]);
    }
}

/// Guards against a stream that gets one token beyond its credit with each move (found with seed
/// 1).
#[test]
fn moves_do_not_raise_the_credit() {
    let slow = Step::Submit {
        entry: 0,
        prompt: 2,
        max_tokens: 13,
        slow: true,
        short: false,
    };
    let mut steps = vec![slow];
    for agent in 0..8 {
        steps.push(Step::Run {
            seed: 1,
            events: 200,
        });
        steps.extend([Step::Restart(agent, true), Step::Advance(20)]);
    }
    replay(&steps);
}
