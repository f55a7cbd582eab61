//! Fuzz test of at-most-once calls, sent by several entries to several agents.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::calls_world::World;
use crate::runner;

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 2;

/// One step of a case. Indices of messages, calls and so on are taken modulo their number.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A caller sends a call to an entry, with a key (0 for none). The flag tells whether the body
    /// differs from that of other calls with the key.
    Call(usize, u8, bool),
    /// The oldest messages arrive, in order, so many of them.
    Flush(usize),
    /// One message arrives, perhaps before older ones.
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    StoreArrive(usize),
    StoreDuplicate(usize),
    StoreDrop(usize),
    StoreReply(usize),
    StoreTimeout(usize, usize),
    StoreDown(bool),
    LinkLost(usize),
    NotSent(usize),
    ProbeTimeout(usize),
    ForwardTimeout(usize),
    /// An entry considers these entries alive, given as a bit set.
    Live(usize, u8),
    /// A caller queries the state of a key.
    Query(usize, u8),
    /// An agent passes an accepted call to its service, where it takes effect.
    RunCall(usize, usize),
    /// A service answers a call (`true`), or closes the connection without an answer.
    EndCall(usize, usize, bool),
    AgentRefuses(usize, bool),
    RestartEntry(usize),
    RestartAgent(usize),
    /// A process is paused (`true`) or resumed. While paused, it neither receives nor acts, but its
    /// clock advances.
    PauseEntry(usize, bool),
    PauseAgent(usize, bool),
    /// The link of an entry to an agent, or to the store (index `AGENTS`), is cut (`true`) or
    /// restored.
    Cut(usize, usize, bool),
    /// Time passes, in ms.
    Advance(u64),
}

pub struct Calls;

impl ReferenceStateMachine for Calls {
    /// Calls made so far, which bounds the number of calls in a case.
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(calls: &usize) -> BoxedStrategy<Step> {
        let call_weight = if *calls < 40 { 14 } else { 1 };
        let entry = 0..ENTRIES;
        let agent = 0..AGENTS;
        let any = 0..64_usize;
        prop_oneof![
            call_weight => (entry.clone(), 0..7_u8, prop::bool::weighted(0.03))
                .prop_map(|(e, key, other)| Step::Call(e, key, other)),
            30 => (1..6_usize).prop_map(Step::Flush),
            8 => any.clone().prop_map(Step::Deliver),
            8 => any.clone().prop_map(Step::Duplicate),
            2 => any.clone().prop_map(Step::Drop),
            16 => any.clone().prop_map(Step::StoreArrive),
            3 => any.clone().prop_map(Step::StoreDuplicate),
            2 => any.clone().prop_map(Step::StoreDrop),
            16 => any.clone().prop_map(Step::StoreReply),
            4 => (entry.clone(), any.clone()).prop_map(|(e, i)| Step::StoreTimeout(e, i)),
            2 => prop::bool::weighted(0.3).prop_map(Step::StoreDown),
            4 => any.clone().prop_map(Step::LinkLost),
            2 => any.clone().prop_map(Step::NotSent),
            3 => any.clone().prop_map(Step::ProbeTimeout),
            3 => any.clone().prop_map(Step::ForwardTimeout),
            2 => (entry.clone(), 0..8_u8).prop_map(|(e, live)| Step::Live(e, live)),
            3 => (entry.clone(), 1..7_u8).prop_map(|(e, key)| Step::Query(e, key)),
            12 => (agent.clone(), any.clone()).prop_map(|(a, i)| Step::RunCall(a, i)),
            10 => (agent.clone(), any, prop::bool::weighted(0.9))
                .prop_map(|(a, i, answered)| Step::EndCall(a, i, answered)),
            4 => (agent.clone(), prop::bool::weighted(0.4)).prop_map(|(a, on)| Step::AgentRefuses(a, on)),
            2 => entry.clone().prop_map(Step::RestartEntry),
            2 => agent.clone().prop_map(Step::RestartAgent),
            3 => (entry.clone(), prop::bool::weighted(0.4)).prop_map(|(e, on)| Step::PauseEntry(e, on)),
            2 => (agent, prop::bool::weighted(0.4)).prop_map(|(a, on)| Step::PauseAgent(a, on)),
            3 => (entry, 0..=AGENTS, prop::bool::weighted(0.4)).prop_map(|(e, to, on)| Step::Cut(e, to, on)),
            14 => (10..400_u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply(calls: usize, step: &Step) -> usize {
        calls + usize::from(matches!(step, Step::Call(..)))
    }
}

impl StateMachineTest for Calls {
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
        world.end_failures();
        world.run_to_end();
    }
}

/// Guards against a call that takes effect twice, a refused request that takes effect, an answer
/// that belongs to another key, and a caller that gets no answer.
#[test]
fn calls_run_at_most_once() {
    let reached = [
        "effect",
        "answer",
        "replayed answer",
        "store unavailable",
        "not run",
        "claim unsettled",
        "unknown",
        "in progress",
        "key reused",
        "state of a key",
    ];
    runner::check::<Calls>("calls", 40, 400, &reached);
}
