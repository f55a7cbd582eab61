//! Fuzz test of the configuration log over a simulated store and network.

use crate::runner::{check, count_step};
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_base::{ConfigVersion, NodeId, Time};
use coriandercove_state::config_log::{
    AcceptError, ConfigAction, ConfigEvent, ConfigLog, ConfigLogSettings, Edit, OpId, PullConfig,
    PullReply, StoreAnswer, StoreCall,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::RngCore;
use std::collections::BTreeMap;
use std::time::Duration;

#[cfg(feature = "faults")]
thread_local! {
    /// Deliberate fault of the state machines that are created, if any.
    pub static FAULT: std::cell::Cell<Option<coriandercove_state::config_log::ConfigFault>> =
        const { std::cell::Cell::new(None) };
}

const ENTRIES: usize = 5;
const NODES: usize = 7;
const TICK: Duration = Duration::from_millis(200);
/// Ticks without faults after which all nodes must agree: 30 s.
const QUIET_TICKS: u32 = 150;

/// Availability of the simulated store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Calls take up to 5 s in place of 60 ms.
    Slow,
    Down,
}

/// A transition of the simulated cluster.
#[derive(Debug, Clone)]
pub enum Step {
    /// Run this number of ticks.
    Wait(u32),
    /// An operator at a node accepts a change based on the version `behind` versions ago.
    Accept {
        node: usize,
        behind: u64,
    },
    /// Operators at two nodes accept changes at the same time.
    Race {
        a: usize,
        b: usize,
    },
    /// An operator accepts many changes in a row, which leads to snapshots and compaction.
    Burst {
        node: usize,
        changes: u32,
    },
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Store(StoreMode),
    /// Let this number of the next creates take effect, but lose their answers.
    LoseAnswers(u32),
    /// Report this number of the next creates as lost, and let them take effect later.
    DelayCreates(u32),
    /// Cut the nodes whose bit is set off from the others.
    Partition(u8),
    /// Cut the nodes whose bit is set off from the store.
    CutStore(u8),
    /// Damage this number of the next answers of peers in flight.
    Damage(u32),
    /// Deliver this number of the next messages twice, the second time late.
    Duplicate(u32),
}

/// A message between nodes.
#[derive(Debug, Clone)]
enum Message {
    Version(ConfigVersion),
    Pull(PullConfig),
    Reply(PullReply),
}

struct Node {
    log: Option<ConfigLog>,
    /// Number of the run; answers to earlier runs are dropped.
    run: u32,
    paused: bool,
    inbox: Vec<ConfigEvent>,
    version: ConfigVersion,
}

struct Call {
    at: Time,
    node: usize,
    run: u32,
    id: OpId,
    call: StoreCall,
    /// Whether the call is a delayed create that was already answered as lost.
    answered: bool,
    /// Whether the answer is lost.
    lose_answer: bool,
}

/// Simulated nodes, their network and the store.
pub struct World {
    now: Time,
    rng: Rng,
    nodes: Vec<Node>,
    store: BTreeMap<String, Vec<u8>>,
    mode: StoreMode,
    calls: Vec<Call>,
    /// Messages in flight: time of arrival, sender, receiver, message.
    messages: Vec<(Time, usize, usize, Message)>,
    /// Numbers of creates, answers and messages that will still suffer each fault.
    lost_answers_left: u32,
    delayed_creates_left: u32,
    damages_left: u32,
    duplicates_left: u32,
    /// Bits of the nodes that are cut off from the others.
    partition: u8,
    /// Bits of the nodes that are cut off from the store.
    store_cut: u8,
    next_op: OpId,
    /// Digest of each version that was in force at any node.
    digests: BTreeMap<ConfigVersion, u128>,
    /// Accept that became each version.
    accepted: BTreeMap<ConfigVersion, OpId>,
    /// Accepts that were refused and must not take effect.
    refused: Vec<OpId>,
}

fn name(i: usize) -> NodeId {
    format!("node-{i}").into()
}

fn index(node: &str) -> usize {
    node.trim_start_matches("node-").parse().unwrap()
}

fn new_log(i: usize) -> ConfigLog {
    let seeds = (0..ENTRIES).filter(|s| *s != i).map(name).collect();
    let log = ConfigLog::new(ConfigLogSettings::new(name(i), i < ENTRIES, seeds));
    #[cfg(feature = "faults")]
    if let Some(fault) = FAULT.get() {
        return log.with_fault(fault);
    }
    log
}

impl World {
    pub fn new(seed: u64) -> Self {
        let node = |i| Node {
            log: Some(new_log(i)),
            run: 0,
            paused: false,
            inbox: Vec::new(),
            version: 0,
        };
        Self {
            now: Time::ZERO,
            rng: seeded(seed),
            nodes: (0..NODES).map(node).collect(),
            store: BTreeMap::new(),
            mode: StoreMode::Up,
            calls: Vec::new(),
            messages: Vec::new(),
            lost_answers_left: 0,
            delayed_creates_left: 0,
            damages_left: 0,
            duplicates_left: 0,
            partition: 0,
            store_cut: 0,
            next_op: 1,
            digests: BTreeMap::new(),
            accepted: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        (self.partition >> a) & 1 == (self.partition >> b) & 1
    }

    /// Delivers an event to node `i`, and executes the actions; a paused node gets it on resuming.
    fn send_event(&mut self, i: usize, event: ConfigEvent) {
        let node = &mut self.nodes[i];
        let Some(log) = &mut node.log else {
            return;
        };
        if node.paused {
            if event != ConfigEvent::Tick {
                node.inbox.push(event);
            }
            return;
        }
        let actions = log.on_event(self.now, event);
        for action in actions {
            self.handle_action(i, action);
        }
        self.check_node(i);
    }

    /// Checks that a node's version never decreases, and that all nodes have the same objects for
    /// the same version.
    fn check_node(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let version = node.log.as_ref().unwrap().version();
        assert!(
            version >= node.version,
            "node {i} went from version {} to {version}",
            node.version
        );
        node.version = version;
        let digest = node.log.as_ref().unwrap().digest();
        if version > 0 {
            let known = *self.digests.entry(version).or_insert(digest);
            assert_eq!(known, digest, "version {version} differs at node {i}");
        }
    }

    fn handle_action(&mut self, i: usize, action: ConfigAction) {
        match action {
            ConfigAction::Store { id, call } => self.begin_store_call(i, id, call),
            ConfigAction::Pull { peer, req } => {
                self.send_message(i, index(&peer), Message::Pull(req));
            }
            ConfigAction::Reply { peer, reply } => {
                let reply = self.damage_if_due(reply);
                self.send_message(i, index(&peer), Message::Reply(reply));
            }
            ConfigAction::Accepted { op, version } => {
                let other = self.accepted.insert(version, op);
                assert_eq!(other, None, "two accepts share version {version}");
            }
            ConfigAction::Refused { op, error } => {
                if !matches!(error, AcceptError::Unsettled { .. }) {
                    self.refused.push(op);
                }
            }
            ConfigAction::InForce { .. } => {}
        }
    }

    fn damage_if_due(&mut self, mut reply: PullReply) -> PullReply {
        if self.damages_left > 0 {
            self.damages_left -= 1;
            match &mut reply {
                PullReply::Changes(changes) => {
                    for change in changes {
                        change.upserts.insert("damaged/x".into(), "1".into());
                    }
                }
                PullReply::Snapshot { part, .. } => {
                    part.objects.push(("damaged/x".into(), "1".into()));
                }
            }
        }
        reply
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        let at = self.now + Duration::from_millis(self.random_below(300));
        if self.duplicates_left > 0 {
            self.duplicates_left -= 1;
            let late = at + Duration::from_secs(self.random_below(20));
            self.messages.push((late, from, to, message.clone()));
        }
        self.messages.push((at, from, to, message));
    }

    /// Queues a store call, or answers it at once if the store is down or the answer is lost.
    fn begin_store_call(&mut self, node: usize, id: OpId, call: StoreCall) {
        let slow = if self.mode == StoreMode::Slow {
            5000
        } else {
            60
        };
        let mut at = self.now + Duration::from_millis(self.random_below(slow));
        let run = self.nodes[node].run;
        let create = matches!(call, StoreCall::Create { .. });
        let down = self.mode == StoreMode::Down || (self.store_cut >> node) & 1 == 1;
        if down {
            let answer = if self.random_below(2) == 0 {
                StoreAnswer::Lost
            } else {
                StoreAnswer::Unavailable
            };
            let event = ConfigEvent::Store { id, answer };
            self.send_event(node, event);
            return;
        }
        let (mut lose_answer, mut answered) = (false, false);
        if create && self.delayed_creates_left > 0 {
            self.delayed_creates_left -= 1;
            answered = true;
            at += Duration::from_secs(self.random_below(20));
        } else if create && self.lost_answers_left > 0 {
            self.lost_answers_left -= 1;
            lose_answer = true;
        }
        self.calls.push(Call {
            at,
            node,
            run,
            id,
            call,
            answered,
            lose_answer,
        });
        if answered {
            let answer = StoreAnswer::Lost;
            self.send_event(node, ConfigEvent::Store { id, answer });
        }
    }

    fn names(&self, prefix: &str, after: &str) -> Vec<String> {
        let names = self.store.keys().filter(|k| k.starts_with(prefix));
        names.filter(|k| k.as_str() > after).cloned().collect()
    }

    /// Executes a call in the store; `None` if it is a watch without news.
    fn execute(&mut self, call: &StoreCall) -> Option<StoreAnswer> {
        Some(match call {
            StoreCall::Get { name } => StoreAnswer::Object(self.store.get(name).cloned()),
            StoreCall::List { prefix } => StoreAnswer::Names(self.names(prefix, "")),
            StoreCall::Create { name, body } => {
                assert!(
                    body.len() <= 1_000_000,
                    "{name} has {} bytes, the store accepts 1000000",
                    body.len()
                );
                if self.store.contains_key(name) {
                    StoreAnswer::Exists
                } else {
                    self.store.insert(name.clone(), body.clone());
                    StoreAnswer::Created
                }
            }
            StoreCall::Delete { name } => {
                self.store.remove(name);
                StoreAnswer::Deleted
            }
            StoreCall::Watch { prefix, after } => {
                let names = self.names(prefix, after);
                if names.is_empty() {
                    return None;
                }
                StoreAnswer::Names(names)
            }
        })
    }

    fn run_calls(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<Call>, Vec<Call>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|c| c.at <= now);
        self.calls = rest;
        for call in due {
            let cut = self.mode == StoreMode::Down || (self.store_cut >> call.node) & 1 == 1;
            let answer = if cut && !call.answered {
                Some(StoreAnswer::Lost)
            } else {
                self.execute(&call.call)
            };
            match answer {
                None => self.calls.push(call),
                Some(_) if call.answered => {}
                Some(_) if self.nodes[call.node].run != call.run => {}
                Some(answer) => {
                    let answer = if call.lose_answer {
                        StoreAnswer::Lost
                    } else {
                        answer
                    };
                    let id = call.id;
                    self.send_event(call.node, ConfigEvent::Store { id, answer });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.messages = rest;
        for (_, from, to, message) in due {
            let peer = name(from);
            if !self.connected(from, to) || self.nodes[to].log.is_none() {
                if matches!(message, Message::Pull(_)) {
                    self.send_event(from, ConfigEvent::PullFailed { peer: name(to) });
                }
                continue;
            }
            let event = match message {
                Message::Version(version) => ConfigEvent::PeerVersion { peer, version },
                Message::Pull(req) => ConfigEvent::Pull { peer, req },
                Message::Reply(reply) => ConfigEvent::Pulled { peer, reply },
            };
            self.send_event(to, event);
        }
    }

    /// Stands in for membership: once a second each node sends its version to two random nodes and
    /// learns which entries are live.
    fn send_heartbeats(&mut self) {
        for i in 0..NODES {
            if self.nodes[i].log.is_none() || self.nodes[i].paused {
                continue;
            }
            for _ in 0..2 {
                let to = self.random_below(NODES as u64) as usize;
                let version = self.nodes[i].version;
                self.send_message(i, to, Message::Version(version));
            }
            let live = (0..ENTRIES)
                .filter(|e| self.connected(i, *e) && self.nodes[*e].log.is_some())
                .map(name)
                .collect();
            self.send_event(i, ConfigEvent::Entries(live));
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.run_calls();
        self.deliver();
        if self.now.as_millis().is_multiple_of(1000) {
            self.send_heartbeats();
        }
        for i in 0..NODES {
            self.send_event(i, ConfigEvent::Tick);
        }
    }

    pub fn accept(&mut self, node: usize, behind: u64) {
        let op = self.next_op;
        self.next_op += 1;
        let mut edit = Edit::default();
        edit.upserts.insert(format!("op/{op}"), "true".into());
        edit.upserts.insert("last/op".into(), op.to_string().into());
        if self.random_below(3) == 0 {
            edit.removes.push(format!("gone/{}", op - 1));
        } else {
            edit.upserts.insert(format!("gone/{op}"), "{}".into());
        }
        let event = ConfigEvent::Accept {
            op,
            expected: self.nodes[node].version.saturating_sub(behind),
            write_id: u128::from(op) << 64 | u128::from(self.rng.next_u64()),
            author: format!("operator-{node}"),
            edit,
        };
        self.send_event(node, event);
    }

    fn kill(&mut self, i: usize) {
        self.nodes[i].log = None;
        self.nodes[i].run += 1;
        self.nodes[i].inbox.clear();
        self.nodes[i].paused = false;
    }

    fn restart(&mut self, i: usize) {
        if self.nodes[i].log.is_none() {
            self.nodes[i].log = Some(new_log(i));
            self.nodes[i].version = 0;
        }
    }

    fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        for event in std::mem::take(&mut self.nodes[i].inbox) {
            self.send_event(i, event);
        }
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait(ticks) => (0..ticks).for_each(|_| self.tick()),
            Step::Accept { node, behind } => self.accept(node, behind),
            Step::Race { a, b } => {
                self.accept(a, 0);
                self.accept(b, 0);
            }
            Step::Burst { node, changes } => {
                for _ in 0..changes {
                    self.accept(node, 0);
                    self.tick();
                    self.tick();
                }
            }
            Step::Kill(i) => self.kill(i),
            Step::Restart(i) => self.restart(i),
            Step::Pause(i) => self.nodes[i].paused = true,
            Step::Resume(i) => self.resume(i),
            Step::Store(mode) => self.mode = mode,
            Step::LoseAnswers(n) => self.lost_answers_left = n,
            Step::DelayCreates(n) => self.delayed_creates_left = n,
            Step::Partition(mask) => self.partition = mask,
            Step::CutStore(mask) => self.store_cut = mask,
            Step::Damage(n) => self.damages_left = n,
            Step::Duplicate(n) => self.duplicates_left = n,
        }
        self.tick();
    }

    /// Ends all faults, runs the quiet ticks, and checks that all nodes have the same version, that
    /// all accepted changes are in force, and that no refused one is.
    pub fn finish(&mut self) {
        self.mode = StoreMode::Up;
        (self.partition, self.store_cut) = (0, 0);
        (self.lost_answers_left, self.delayed_creates_left) = (0, 0);
        (self.damages_left, self.duplicates_left) = (0, 0);
        for i in 0..NODES {
            self.resume(i);
            self.restart(i);
        }
        (0..QUIET_TICKS).for_each(|_| self.tick());
        let newest = self.nodes.iter().map(|n| n.version).max().unwrap();
        for (i, node) in self.nodes.iter().enumerate() {
            assert_eq!(
                node.version, newest,
                "node {i} is behind after the quiet ticks"
            );
        }
        let objects = self.nodes[0].log.as_ref().unwrap().objects();
        for (version, op) in &self.accepted {
            let in_force = objects.get(&format!("op/{op}")).is_some();
            assert!(
                in_force,
                "accept {op} became version {version} but is not in force"
            );
        }
        for op in &self.refused {
            let in_force = objects.get(&format!("op/{op}")).is_some();
            assert!(!in_force, "accept {op} was refused but is in force");
        }
    }
}

/// Generates the transitions. Its state is only the seed of the simulation.
pub struct ConfigModel;

impl ReferenceStateMachine for ConfigModel {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let entry = 0..ENTRIES;
        let mode = prop_oneof![
            2 => Just(StoreMode::Up),
            1 => Just(StoreMode::Slow),
            1 => Just(StoreMode::Down)
        ];
        prop_oneof![
            6 => (1..30u32).prop_map(Step::Wait),
            6 => (entry.clone(), 0..3u64).prop_map(|(node, b)| {
                let behind = b.saturating_sub(1);
                Step::Accept { node, behind }
            }),
            3 => (entry.clone(), entry.clone()).prop_map(|(a, b)| Step::Race { a, b }),
            1 => (entry, 1..80u32).prop_map(|(node, changes)| Step::Burst { node, changes }),
            1 => node.clone().prop_map(Step::Kill),
            2 => node.clone().prop_map(Step::Restart),
            1 => node.clone().prop_map(Step::Pause),
            2 => node.prop_map(Step::Resume),
            2 => mode.prop_map(Step::Store),
            2 => (1..3u32).prop_map(Step::LoseAnswers),
            1 => (1..3u32).prop_map(Step::DelayCreates),
            1 => any::<u8>().prop_map(Step::Partition),
            1 => Just(Step::Partition(0)),
            1 => any::<u8>().prop_map(Step::CutStore),
            1 => Just(Step::CutStore(0)),
            1 => (1..4u32).prop_map(Step::Damage),
            2 => (1..9u32).prop_map(Step::Duplicate),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

pub struct ConfigTest;

impl StateMachineTest for ConfigTest {
    type SystemUnderTest = World;
    type Reference = ConfigModel;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        count_step();
        world.step(&step);
        world
    }

    fn teardown(mut world: World, _: u64) {
        world.finish();
    }
}

/// Guards against accepts that are lost, take effect twice or are reverted, and against nodes that
/// do not reach the latest version.
#[test]
fn configuration_is_ordered_and_arrives() {
    check::<ConfigTest>("config", &[1, 2, 3, 4], 48, 60);
}

/// Guards against a node that needs the store to start, although it can pull from its peers.
#[test]
fn nodes_start_while_the_store_is_down() {
    let mut world = World::new(1);
    world.accept(0, 0);
    world.step(&Step::Wait(50));
    world.step(&Step::Store(StoreMode::Down));
    for node in [0, NODES - 1] {
        world.step(&Step::Kill(node));
        world.step(&Step::Restart(node));
        assert!(!world.nodes[node].log.as_ref().unwrap().is_ready());
        world.step(&Step::Wait(25));
        assert!(
            world.nodes[node].log.as_ref().unwrap().is_ready(),
            "node {node} is not ready while the store is down"
        );
    }
}
