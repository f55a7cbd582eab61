//! Sequences of steps with which the fuzz test found faults.

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::steps::{Step, Streams};

fn replay(steps: &[Step]) {
    let mut requests = 0;
    let mut world = Streams::init_test(&requests);
    for step in steps {
        requests = <Streams as ReferenceStateMachine>::apply(requests, step);
        world = <Streams as StateMachineTest>::apply(world, &requests, *step);
    }
    Streams::teardown(world, requests);
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

/// Guards against stages of a dead entry that are never freed (seed 1).
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

/// Guards against a stage at a target that was taken out of the configuration and never hears
/// that the stream has ended (seed 101).
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

/// Guards against a new configuration that makes a leaving target ready again (seed 101).
#[test]
fn a_leaving_target_stays_so_in_a_new_configuration() {
    let mut steps = vec![Step::Leave(0), Step::Advance(5), Step::Join(true)];
    steps.extend((0..8).map(|_| submit(0, 3)));
    replay(&steps);
}

/// Guards against a stream that moves in circles between two stages, each of which is taken to be
/// intact while the other one is rebuilt (found by `streams_survive_the_loss_of_a_stage` of
/// `coriandercove_local`, in which such a stream was given up after 12 moves within 30 ms).
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

/// Guards against a stream that takes a token beyond its credit with each move (seed 1).
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
