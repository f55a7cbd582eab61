//! Steps of the fuzz test of streams.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::nodes::{AGENTS, ENTRIES, NODES};
use crate::runner;
use crate::world::World;

/// One step. Numbers choose among what is possible, modulo its count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Submit {
        entry: usize,
        prompt: usize,
        max_tokens: u32,
        slow: bool,
        short: bool,
    },
    /// So many events happen, in an order that the seed decides: arrivals, engine steps, engine
    /// answers and callers that take tokens.
    Run {
        seed: u64,
        events: usize,
    },
    /// Milliseconds pass.
    Advance(u64),
    /// Loses connections of a pair of nodes, with the newest frames.
    BreakLink(usize, usize),
    /// Nothing passes between a pair of nodes.
    Cut(usize, usize),
    HealCuts,
    /// A frame arrives twice.
    Duplicate(usize),
    /// An agent's process ends, or its whole VM.
    Kill(usize, bool),
    Restart(usize, bool),
    Freeze(usize),
    Wake(usize),
    FreezeEntry(usize),
    WakeEntry(usize),
    RestartEntry(usize),
    FreezeEngine(usize),
    WakeEngine(usize),
    LoseState(usize),
    FailItems(usize, u32),
    /// The answer of an engine is lost.
    LoseAnswer(usize),
    CallerGone(usize),
    CallerSlow(usize, bool),
    Leave(usize),
    /// The drain deadline of one of the leaving agents passes.
    Evict(usize),
    /// The target that is not there at first joins or is taken out.
    Join(bool),
}

pub struct Streams;

impl ReferenceStateMachine for Streams {
    /// Requests so far, which bounds the number of requests in a case.
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(requests: &usize) -> BoxedStrategy<Step> {
        let submit = if *requests < 30 { 30 } else { 1 };
        let (entry, agent, node, any) = (0..ENTRIES, 0..AGENTS, 0..NODES, 0..64_usize);
        let yes = prop::bool::ANY;
        let rare = prop::bool::weighted(0.15);
        prop_oneof![
            submit => (entry.clone(), 1..24_usize, 1..14_u32, rare, rare)
                .prop_map(|(entry, prompt, max_tokens, slow, short)| Step::Submit { entry, prompt, max_tokens, slow, short }),
            120 => (proptest::num::u64::ANY, 1..60_usize).prop_map(|(seed, events)| Step::Run { seed, events }),
            30 => (5..400_u64).prop_map(Step::Advance),
            3 => (400..8000_u64).prop_map(Step::Advance),
            10 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::BreakLink(a, b)),
            3 => (node.clone(), node).prop_map(|(a, b)| Step::Cut(a, b)),
            4 => Just(Step::HealCuts),
            8 => any.clone().prop_map(Step::Duplicate),
            4 => (agent.clone(), yes).prop_map(|(a, vm)| Step::Kill(a, vm)),
            7 => (agent.clone(), yes).prop_map(|(a, vm)| Step::Restart(a, vm)),
            3 => agent.clone().prop_map(Step::Freeze),
            6 => agent.clone().prop_map(Step::Wake),
            1 => entry.clone().prop_map(Step::FreezeEntry),
            4 => entry.clone().prop_map(Step::WakeEntry),
            1 => entry.prop_map(Step::RestartEntry),
            2 => agent.clone().prop_map(Step::FreezeEngine),
            5 => agent.clone().prop_map(Step::WakeEngine),
            2 => agent.clone().prop_map(Step::LoseState),
            3 => (agent.clone(), 1..4_u32).prop_map(|(a, n)| Step::FailItems(a, n)),
            2 => agent.clone().prop_map(Step::LoseAnswer),
            3 => any.clone().prop_map(Step::CallerGone),
            5 => (any, yes).prop_map(|(i, slow)| Step::CallerSlow(i, slow)),
            3 => agent.clone().prop_map(Step::Leave),
            4 => agent.prop_map(Step::Evict),
            2 => yes.prop_map(Step::Join),
        ]
        .boxed()
    }

    fn apply(requests: usize, step: &Step) -> usize {
        requests + usize::from(matches!(step, Step::Submit { .. }))
    }
}

impl StateMachineTest for Streams {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test(_: &usize) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        runner::count_step();
        world.step(step);
        world
    }

    fn teardown(mut world: World, _: usize) {
        world.settle();
    }
}

/// Guards against a token that is wrong, doubled or missing, a refusal that is not honest, a
/// stream that never ends and a stage that is never freed.
#[test]
fn streams_survive_failures_1() {
    runner::check::<Streams>("streams", 1, 200, 250);
}

/// The same from other seeds, so that both run at once.
#[test]
fn streams_survive_failures_2() {
    runner::check::<Streams>("streams", 1001, 200, 250);
}
