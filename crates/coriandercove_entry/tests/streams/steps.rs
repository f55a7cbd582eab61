//! Steps of the fuzz test of streams and the weights with which they are generated.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::nodes::{AGENTS, ENTRIES, NODES};
use crate::runner;
use crate::simulation::Simulation;

/// One step of a case. An index into what is currently possible is taken modulo its count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A caller submits a request with so many prompt tokens; `slow` callers do not read, `short`
    /// ones have a short deadline.
    Submit {
        entry: usize,
        prompt: usize,
        max_tokens: u32,
        slow: bool,
        short: bool,
    },
    /// Up to `events` events happen in an order that the seed decides: arrivals of frames,
    /// operations of engines, results of engines and callers that read tokens.
    Run {
        seed: u64,
        events: usize,
    },
    /// So many milliseconds pass.
    Advance(u64),
    /// The connection between two nodes breaks, and its newest frames are lost.
    BreakLink(usize, usize),
    /// Two nodes are partitioned from each other, without closing their connection.
    Partition(usize, usize),
    /// All partitions end.
    HealPartitions,
    /// The next frame between two nodes arrives twice.
    Duplicate(usize),
    /// The process of an agent ends, or its whole VM if the flag is set.
    Kill(usize, bool),
    /// An agent starts again, on a new VM if the flag is set.
    Restart(usize, bool),
    /// The process of an agent is paused.
    Freeze(usize),
    Wake(usize),
    FreezeEntry(usize),
    WakeEntry(usize),
    RestartEntry(usize),
    /// An engine stops answering.
    FreezeEngine(usize),
    WakeEngine(usize),
    /// An engine loses the state of all requests.
    LoseState(usize),
    /// So many of the next jobs of an engine fail.
    FailItems(usize, u32),
    /// The agent does not get an engine's result.
    LoseAnswer(usize),
    /// A caller disconnects.
    CallerGone(usize),
    /// A caller stops or resumes reading.
    CallerSlow(usize, bool),
    /// An agent begins to leave.
    Leave(usize),
    /// The drain deadline of one of the leaving agents passes.
    Evict(usize),
    /// The target of the last agent is added to the configuration or removed from it.
    Join(bool),
}

/// The state machine test of streams.
pub struct Streams;

impl ReferenceStateMachine for Streams {
    /// Number of requests so far. After 30, the weight of further requests is low.
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
            3 => (node.clone(), node).prop_map(|(a, b)| Step::Partition(a, b)),
            4 => Just(Step::HealPartitions),
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
    type SystemUnderTest = Simulation;
    type Reference = Self;

    fn init_test(_: &usize) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, _: &usize, step: Step) -> Simulation {
        runner::count_step();
        simulation.step(step);
        simulation
    }

    fn teardown(mut simulation: Simulation, _: usize) {
        simulation.settle();
    }
}

/// Guards against wrong, duplicated or missing tokens, refusals with a wrong outcome, streams that
/// never end and stages that are never freed, after any combination of failures.
#[test]
fn streams_survive_failures_1() {
    runner::check::<Streams>("streams", 1, 200, 250);
}

/// The same test from other seeds; two tests can run in parallel.
#[test]
fn streams_survive_failures_2() {
    runner::check::<Streams>("streams", 1001, 200, 250);
}
