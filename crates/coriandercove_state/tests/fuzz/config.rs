//! Fuzzing of the configuration log over an in-memory store and network.

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
    pub static FAULT: std::cell::Cell<Option<coriandercove_state::config_log::ConfigFault>> =
        const { std::cell::Cell::new(None) };
}

const ENTRIES: usize = 5;
const NODES: usize = 7;
const TICK: Duration = Duration::from_millis(200);
/// Quiet rounds after which all nodes must agree: 30 s.
const QUIET: u32 = 150;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Slow,
    Down,
}

/// What happens to the world.
#[derive(Debug, Clone)]
pub enum Step {
    Wait(u32),
    /// An operator at a node accepts a change, seen `behind` versions ago.
    Accept {
        node: usize,
        behind: u64,
    },
    /// Operators at two nodes accept at the same time.
    Race {
        a: usize,
        b: usize,
    },
    /// Many changes in a row, which brings snapshots and compaction.
    Burst {
        node: usize,
        changes: u32,
    },
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Store(StoreMode),
    /// The next creates take effect but their answers are lost.
    LoseAnswers(u32),
    /// The next creates are reported as lost and take effect later.
    DelayCreates(u32),
    /// Nodes with the bit set are cut off from the others.
    Partition(u8),
    /// Nodes with the bit set are cut off from the store.
    CutStore(u8),
    /// The next answers of peers are damaged on the way.
    Damage(u32),
    /// The next messages arrive twice, the second time late.
    Double(u32),
}

#[derive(Debug, Clone)]
enum Mail {
    Version(ConfigVersion),
    Pull(PullConfig),
    Reply(PullReply),
}

struct Node {
    log: Option<ConfigLog>,
    /// Number of the run; answers for earlier runs are dropped.
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
    /// Answer given before the call takes effect, if it is delayed.
    answered: bool,
    lose: bool,
}

pub struct World {
    now: Time,
    rng: Rng,
    nodes: Vec<Node>,
    store: BTreeMap<String, Vec<u8>>,
    mode: StoreMode,
    calls: Vec<Call>,
    mail: Vec<(Time, usize, usize, Mail)>,
    lose: u32,
    delay: u32,
    damage: u32,
    double: u32,
    partition: u8,
    store_cut: u8,
    next_op: OpId,
    /// Digest of each version that was in force anywhere.
    digests: BTreeMap<ConfigVersion, u128>,
    accepted: BTreeMap<ConfigVersion, OpId>,
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
            mail: Vec::new(),
            lose: 0,
            delay: 0,
            damage: 0,
            double: 0,
            partition: 0,
            store_cut: 0,
            next_op: 1,
            digests: BTreeMap::new(),
            accepted: BTreeMap::new(),
            refused: Vec::new(),
        }
    }

    fn pick(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        (self.partition >> a) & 1 == (self.partition >> b) & 1
    }

    fn event(&mut self, i: usize, event: ConfigEvent) {
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
            self.action(i, action);
        }
        self.check_node(i);
    }

    /// An accepted configuration never reverts at a node.
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

    fn action(&mut self, i: usize, action: ConfigAction) {
        match action {
            ConfigAction::Store { id, call } => self.store_call(i, id, call),
            ConfigAction::Pull { peer, req } => self.post(i, index(&peer), Mail::Pull(req)),
            ConfigAction::Reply { peer, reply } => {
                let reply = self.maybe_damaged(reply);
                self.post(i, index(&peer), Mail::Reply(reply));
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

    fn maybe_damaged(&mut self, mut reply: PullReply) -> PullReply {
        if self.damage > 0 {
            self.damage -= 1;
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

    fn post(&mut self, from: usize, to: usize, mail: Mail) {
        let at = self.now + Duration::from_millis(self.pick(300));
        if self.double > 0 {
            self.double -= 1;
            let late = at + Duration::from_secs(self.pick(20));
            self.mail.push((late, from, to, mail.clone()));
        }
        self.mail.push((at, from, to, mail));
    }

    fn store_call(&mut self, node: usize, id: OpId, call: StoreCall) {
        let slow = if self.mode == StoreMode::Slow {
            5000
        } else {
            60
        };
        let mut at = self.now + Duration::from_millis(self.pick(slow));
        let run = self.nodes[node].run;
        let create = matches!(call, StoreCall::Create { .. });
        let down = self.mode == StoreMode::Down || (self.store_cut >> node) & 1 == 1;
        if down {
            let answer = if self.pick(2) == 0 {
                StoreAnswer::Lost
            } else {
                StoreAnswer::Unavailable
            };
            let event = ConfigEvent::Store { id, answer };
            self.event(node, event);
            return;
        }
        let (mut lose, mut answered) = (false, false);
        if create && self.delay > 0 {
            self.delay -= 1;
            answered = true;
            at += Duration::from_secs(self.pick(20));
        } else if create && self.lose > 0 {
            self.lose -= 1;
            lose = true;
        }
        self.calls.push(Call {
            at,
            node,
            run,
            id,
            call,
            answered,
            lose,
        });
        if answered {
            let answer = StoreAnswer::Lost;
            self.event(node, ConfigEvent::Store { id, answer });
        }
    }

    fn names(&self, prefix: &str, after: &str) -> Vec<String> {
        let names = self.store.keys().filter(|k| k.starts_with(prefix));
        names.filter(|k| k.as_str() > after).cloned().collect()
    }

    fn execute(&mut self, call: &StoreCall) -> Option<StoreAnswer> {
        Some(match call {
            StoreCall::Get { name } => StoreAnswer::Object(self.store.get(name).cloned()),
            StoreCall::List { prefix } => StoreAnswer::Names(self.names(prefix, "")),
            StoreCall::Create { name, body } => {
                assert!(body.len() <= 1_000_000, "{name} is too large for the store");
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
                    let answer = if call.lose { StoreAnswer::Lost } else { answer };
                    let id = call.id;
                    self.event(call.node, ConfigEvent::Store { id, answer });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.mail = rest;
        for (_, from, to, mail) in due {
            let peer = name(from);
            if !self.connected(from, to) || self.nodes[to].log.is_none() {
                if matches!(mail, Mail::Pull(_)) {
                    self.event(from, ConfigEvent::PullFailed { peer: name(to) });
                }
                continue;
            }
            let event = match mail {
                Mail::Version(version) => ConfigEvent::PeerVersion { peer, version },
                Mail::Pull(req) => ConfigEvent::Pull { peer, req },
                Mail::Reply(reply) => ConfigEvent::Pulled { peer, reply },
            };
            self.event(to, event);
        }
    }

    /// A simple membership: once a second each node tells two others its version, and entries
    /// learn who is live.
    fn heartbeats(&mut self) {
        for i in 0..NODES {
            if self.nodes[i].log.is_none() || self.nodes[i].paused {
                continue;
            }
            for _ in 0..2 {
                let to = self.pick(NODES as u64) as usize;
                let version = self.nodes[i].version;
                self.post(i, to, Mail::Version(version));
            }
            let live = (0..ENTRIES)
                .filter(|e| self.connected(i, *e) && self.nodes[*e].log.is_some())
                .map(name)
                .collect();
            self.event(i, ConfigEvent::Entries(live));
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.run_calls();
        self.deliver();
        if self.now.as_millis().is_multiple_of(1000) {
            self.heartbeats();
        }
        for i in 0..NODES {
            self.event(i, ConfigEvent::Tick);
        }
    }

    pub fn accept(&mut self, node: usize, behind: u64) {
        let op = self.next_op;
        self.next_op += 1;
        let mut edit = Edit::default();
        edit.upserts.insert(format!("op/{op}"), "true".into());
        edit.upserts.insert("last/op".into(), op.to_string().into());
        if self.pick(3) == 0 {
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
        self.event(node, event);
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
            self.event(i, event);
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
            Step::LoseAnswers(n) => self.lose = n,
            Step::DelayCreates(n) => self.delay = n,
            Step::Partition(mask) => self.partition = mask,
            Step::CutStore(mask) => self.store_cut = mask,
            Step::Damage(n) => self.damage = n,
            Step::Double(n) => self.double = n,
        }
        self.tick();
    }

    /// Heals everything and runs the quiet rounds; then all nodes have the same version, all
    /// accepted changes are in force, and no refused one is.
    pub fn finish(&mut self) {
        self.mode = StoreMode::Up;
        (self.partition, self.store_cut) = (0, 0);
        (self.lose, self.delay, self.damage, self.double) = (0, 0, 0, 0);
        for i in 0..NODES {
            self.resume(i);
            self.restart(i);
        }
        (0..QUIET).for_each(|_| self.tick());
        let newest = self.nodes.iter().map(|n| n.version).max().unwrap();
        for (i, node) in self.nodes.iter().enumerate() {
            assert_eq!(
                node.version, newest,
                "node {i} is behind after the quiet rounds"
            );
        }
        let objects = self.nodes[0].log.as_ref().unwrap().objects();
        for (version, op) in &self.accepted {
            let there = objects.get(&format!("op/{op}")).is_some();
            assert!(there, "accept {op}, version {version}, is not in force");
        }
        for op in &self.refused {
            let there = objects.get(&format!("op/{op}")).is_some();
            assert!(!there, "accept {op} was refused and is in force");
        }
    }
}

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
            2 => (1..9u32).prop_map(Step::Double),
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

/// Guards against accepts that are lost, doubled or reverted, and against nodes that do not
/// reach the latest version.
#[test]
fn configuration_is_ordered_and_arrives() {
    check::<ConfigTest>("config", &[1, 2, 3, 4], 48, 60);
}

/// Guards against a node that needs the store to start: it learns from its peers.
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
            "node {node}"
        );
    }
}
