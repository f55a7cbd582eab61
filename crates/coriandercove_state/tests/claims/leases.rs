//! Fuzz test of candidates for one lease, late holders and agents with fence gates.

use std::time::Duration;

use coriandercove_base::{Fence, Time};
use coriandercove_state::fence::FenceGate;
use coriandercove_state::lease::{Lease, LeaseAction, LeaseTimes, decode, fence_of, object_name};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::runner::{self, rng, tally, violation};
use crate::store::{StoreNet, duplicate, pick, remove};

const NODES: usize = 3;
const AGENTS: usize = 2;
const JOB: &str = "placement";

/// One step of a case. Indices of messages and orders are taken modulo their number.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Arrive(usize),
    Reply(usize),
    Flush(usize),
    Duplicate(usize),
    DropRequest(usize),
    Timeout(usize, usize),
    Down(bool),
    /// A node that considers itself the holder sends an order to an agent. If it is paused, it last
    /// checked that before the pause.
    Order {
        node: usize,
        agent: usize,
    },
    DeliverOrder(usize),
    DuplicateOrder(usize),
    RestartNode(usize),
    RestartAgent(usize),
    Pause(usize, bool),
    /// A node wants to hold the lease (`true`) or releases it.
    Release(usize, bool),
    /// Time passes, in ms.
    Advance(u64),
}

struct Node {
    run: u32,
    lease: Lease,
    calls: u64,
    paused: bool,
    /// Fencing token of the lease that the node considers itself to hold.
    fence: Option<Fence>,
}

struct Agent {
    run: u32,
    gate: FenceGate,
    calls: u64,
    /// Fencing tokens of the orders that reached the engine, which checks none and keeps running
    /// when the agent restarts.
    applied: Vec<Fence>,
}

pub struct World {
    now: Time,
    nodes: Vec<Node>,
    agents: Vec<Agent>,
    store: StoreNet,
    /// Orders in flight: index of the agent and fencing token.
    orders: Vec<(usize, Fence)>,
    /// Tenures: fencing token, index of the node and its run.
    acquired: Vec<(Fence, usize, u32)>,
}

fn new_node(node: usize, run: u32) -> Node {
    let times = LeaseTimes {
        ttl: Duration::from_millis(1500),
        renew: Duration::from_millis(400),
    };
    let name = format!("entry{node}").into();
    let rng = rng(node as u64 * 1000 + u64::from(run));
    Node {
        run,
        lease: Lease::new(JOB.into(), name, run.into(), times, rng),
        calls: 0,
        paused: false,
        fence: None,
    }
}

impl World {
    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(i) => self.arrive(i),
            Step::Reply(i) => self.reply(i),
            Step::Flush(n) => (0..n).for_each(|_| {
                self.arrive(0);
                self.reply(0);
            }),
            Step::Duplicate(i) => duplicate(&mut self.store.requests, i),
            Step::DropRequest(i) => remove(&mut self.store.requests, i),
            Step::Timeout(at, i) => {
                let paused = at < NODES && self.nodes[at].paused;
                if !paused && self.store.time_out(at, i).is_some() {
                    self.on_store(at, &StoreReply::Lost);
                }
            }
            Step::Down(down) => self.store.down = down,
            Step::Order { node, agent } => {
                // A paused holder sends orders with the fencing token from before the pause.
                self.orders
                    .extend(self.nodes[node].fence.map(|fence| (agent, fence)));
            }
            Step::DeliverOrder(i) => self.deliver(i),
            Step::DuplicateOrder(i) => duplicate(&mut self.orders, i),
            Step::RestartNode(node) => {
                self.store.forget_node(node);
                self.nodes[node] = new_node(node, self.nodes[node].run + 1);
            }
            Step::RestartAgent(agent) => {
                self.store.forget_node(NODES + agent);
                self.agents[agent].run += 1;
                self.agents[agent].gate = FenceGate::new();
            }
            Step::Pause(node, on) => self.nodes[node].paused = on,
            Step::Release(node, wanted) => self.nodes[node].lease.set_wanted(wanted),
            Step::Advance(ms) => self.advance(ms),
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        for at in 0..NODES {
            if !self.nodes[at].paused {
                let actions = self.nodes[at].lease.tick(self.now);
                self.act(at, actions);
            }
        }
        for at in 0..AGENTS {
            let agent = &mut self.agents[at];
            let waits = self.store.waiting.iter().any(|id| id.0 == NODES + at);
            if !agent.gate.is_known(JOB) && !waits {
                agent.calls += 1;
                let name = object_name(JOB);
                let id = (NODES + at, agent.run, agent.calls);
                self.store.send(id, StoreCall::Get { name });
            }
        }
    }

    fn act(&mut self, at: usize, actions: Vec<LeaseAction>) {
        for action in actions {
            let node = &mut self.nodes[at];
            match action {
                LeaseAction::Store(call) => {
                    node.calls += 1;
                    self.store.send((at, node.run, node.calls), call);
                }
                LeaseAction::Acquired(fence) => {
                    tally("acquired");
                    node.fence = Some(fence);
                    let run = node.run;
                    let other = |a: &&(Fence, usize, u32)| a.0 == fence && (a.1, a.2) != (at, run);
                    if self.acquired.iter().any(|a| other(&a)) {
                        violation("two holders have the same fencing token");
                    }
                    self.acquired.push((fence, at, run));
                }
                LeaseAction::Lost => {
                    tally("lost");
                    node.fence = None;
                }
                LeaseAction::Malformed => violation("the lease object is malformed"),
            }
        }
    }

    fn on_store(&mut self, at: usize, reply: &StoreReply) {
        if at < NODES {
            let actions = self.nodes[at].lease.on_store(self.now, reply);
            return self.act(at, actions);
        }
        let gate = &mut self.agents[at - NODES].gate;
        match reply {
            StoreReply::Absent => gate.on_read(JOB, 0),
            StoreReply::Value { version, value } => {
                gate.on_read(JOB, fence_of(*version, &decode(value).unwrap()));
            }
            _ => {}
        }
    }

    fn deliver(&mut self, i: usize) {
        let Some(i) = pick(i, self.orders.len()) else {
            return;
        };
        let (at, fence) = self.orders.remove(i);
        let agent = &mut self.agents[at];
        if agent.gate.check(JOB, fence).is_ok() {
            if agent.applied.last().is_some_and(|last| *last > fence) {
                violation("an order of an earlier holder took effect after a later one's");
            }
            tally("order");
            agent.applied.push(fence);
        } else {
            tally("refused order");
        }
    }

    fn arrive(&mut self, i: usize) {
        if let Some(i) = pick(i, self.store.requests.len()) {
            self.store.arrive(i);
        }
    }

    fn reply(&mut self, i: usize) {
        let Some(i) = pick(i, self.store.replies.len()) else {
            return;
        };
        let (at, run, _) = self.store.replies[i].0;
        if at < NODES && self.nodes[at].paused {
            return;
        }
        let current = match at {
            0..NODES => self.nodes[at].run,
            _ => self.agents[at - NODES].run,
        };
        if let Some((_, reply)) = self.store.take_reply(i)
            && run == current
        {
            self.on_store(at, &reply);
        }
    }
}

pub struct Leases;

impl ReferenceStateMachine for Leases {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let agent = 0..AGENTS;
        let any = 0..32_usize;
        prop_oneof![
            12 => any.clone().prop_map(Step::Arrive),
            12 => any.clone().prop_map(Step::Reply),
            16 => (1..6_usize).prop_map(Step::Flush),
            3 => any.clone().prop_map(Step::Duplicate),
            2 => any.clone().prop_map(Step::DropRequest),
            3 => (0..NODES + AGENTS, any.clone()).prop_map(|(n, i)| Step::Timeout(n, i)),
            2 => prop::bool::weighted(0.3).prop_map(Step::Down),
            12 => (node.clone(), agent.clone()).prop_map(|(node, agent)| Step::Order { node, agent }),
            12 => any.clone().prop_map(Step::DeliverOrder),
            3 => any.prop_map(Step::DuplicateOrder),
            2 => node.clone().prop_map(Step::RestartNode),
            2 => agent.prop_map(Step::RestartAgent),
            4 => (node.clone(), prop::bool::weighted(0.4)).prop_map(|(n, on)| Step::Pause(n, on)),
            2 => (node, prop::bool::weighted(0.7)).prop_map(|(n, on)| Step::Release(n, on)),
            16 => (50..600_u64).prop_map(Step::Advance),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl StateMachineTest for Leases {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test((): &()) -> World {
        let agent = |_| Agent {
            run: 0,
            gate: FenceGate::new(),
            calls: 0,
            applied: Vec::new(),
        };
        World {
            now: Time::ZERO,
            nodes: (0..NODES).map(|n| new_node(n, 0)).collect(),
            agents: (0..AGENTS).map(agent).collect(),
            store: StoreNet::default(),
            orders: Vec::new(),
            acquired: Vec::new(),
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        runner::count_step();
        world.step(step);
        world
    }

    /// Ends all failures, after which exactly one node must acquire the lease and the agents must
    /// accept its orders.
    fn teardown(mut world: World, (): ()) {
        world.store.down = false;
        for node in &mut world.nodes {
            node.paused = false;
            node.lease.set_wanted(true);
        }
        (0..NODES + AGENTS).for_each(|n| world.step(Step::Timeout(n, 0)));
        for _ in 0..40 {
            world.step(Step::Flush(40));
            world.step(Step::Advance(100));
        }
        world.step(Step::Flush(40));
        let holders: Vec<_> = world
            .nodes
            .iter()
            .filter_map(|n| n.lease.held_fence(world.now))
            .collect();
        let [fence] = holders[..] else {
            violation("not exactly one node holds the lease after all failures ended");
        };
        for agent in &mut world.agents {
            if agent.gate.check(JOB, fence).is_err() {
                violation("an agent refuses the holder's order after all failures ended");
            }
        }
    }
}

/// Guards against an order of an earlier holder that takes effect after one of a later holder, and
/// against a lease that no node can acquire.
#[test]
fn late_holders_are_fenced() {
    let reached = ["acquired", "lost", "order", "refused order"];
    runner::check::<Leases>("leases", 40, 300, &reached);
}
