//! Fuzz test of membership over a simulated network.

use crate::runner::{check, count_step};
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_base::{Incarnation, Time};
use coriandercove_state::membership::{
    AgentMembership, EntryMembership, Liveness, LoadReport, MemberEvent, MemberInfo, MemberRecord,
    MembershipAction, MembershipEvent, MembershipSettings, Message, Role, State, VmListed,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::RngCore;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

#[cfg(feature = "faults")]
thread_local! {
    /// Deliberate fault of the state machines that are created, if any.
    pub static FAULT: std::cell::Cell<Option<coriandercove_state::membership::MembershipFault>> =
        const { std::cell::Cell::new(None) };
}

const ENTRIES: usize = 6;
const NODES: usize = 18;
const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(200);
/// Ticks without faults after which the tables must agree: 60 s.
const QUIET_TICKS: u32 = 300;

/// A transition of the simulated cluster.
#[derive(Debug, Clone)]
pub enum Step {
    /// Run this number of ticks.
    Wait(u32),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    /// Change the detail of this node.
    Detail(usize),
    /// Set the number of waiting requests of this node.
    Load(usize, u16),
    /// Let the VM list show the VM of this node as leaving.
    VmLeaving(usize),
    /// Cut the zones whose bit is set off from the others.
    Partition(u8),
    /// Lose this percentage of datagrams.
    Loss(u64),
    /// Deliver this number of the next datagrams twice, the second time late.
    Duplicate(u32),
    /// Move the wall clock of this node by this number of seconds.
    WallClock(usize, i64),
    /// After a quiet time, cut this zone off as a whole, and reconnect it.
    SilentZone(usize),
    /// The same, but kill all processes of the zone as well.
    DeadZone(usize),
}

enum Machine {
    Entry(Box<EntryMembership>),
    Agent(Box<AgentMembership>),
}

struct Node {
    machine: Option<Machine>,
    paused: bool,
    inbox: Vec<MembershipEvent>,
    incarnation: Incarnation,
    leaving: bool,
    vm_leaving: bool,
    /// Error of the wall clock in seconds.
    clock_error: i64,
    /// Members and incarnations that this entry has reported as leaving.
    reported_leaving: BTreeSet<(usize, Incarnation)>,
    /// Heartbeat number at which this entry forgot each member and incarnation.
    forgotten_at: BTreeMap<(usize, Incarnation), u64>,
    /// Incarnation and heartbeat number of each member at the end of the last tick, to know the
    /// number at which it is forgotten.
    last_beats: BTreeMap<usize, (Incarnation, u64)>,
}

/// Simulated nodes, their network and the platform's VM list.
pub struct World {
    now: Time,
    rng: Rng,
    nodes: Vec<Node>,
    /// Datagrams in flight: time of arrival, sender, receiver, bytes.
    datagrams: Vec<(Time, usize, usize, Vec<u8>)>,
    /// Pulled tables in flight: time of arrival, receiver, records.
    tables: Vec<(Time, usize, Vec<MemberRecord>)>,
    /// VM lists, each with the time at which the entries see it.
    lists: Vec<(Time, Vec<VmListed>)>,
    /// Bits of the zones that are cut off from the others.
    partition: u8,
    loss_percent: u64,
    /// Number of datagrams that will still be duplicated.
    duplicates_left: u32,
}

fn info(i: usize) -> MemberInfo {
    let role = if i < ENTRIES {
        Role::Entry
    } else {
        Role::Agent
    };
    MemberInfo {
        node: format!("node-{i}").into(),
        zone: format!("zone-{}", i % ZONES).into(),
        role,
        udp: address(i, 1),
        tcp: address(i, 2),
        detail: String::new(),
        detail_version: 0,
    }
}

fn address(i: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], port))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => a.ip().octets()[3] as usize,
        SocketAddr::V6(_) => unreachable!("the model uses IPv4"),
    }
}

fn node_index(name: &str) -> usize {
    name.trim_start_matches("node-").parse().unwrap()
}

fn machine(i: usize, incarnation: Incarnation, seed: u64) -> Machine {
    let seeds = (0..ENTRIES).filter(|s| *s != i).map(|s| address(s, 1));
    let mut cfg = MembershipSettings::new(info(i), incarnation, seeds.collect());
    cfg.forget_dead = Duration::from_secs(20);
    if i >= ENTRIES {
        return Machine::Agent(Box::new(AgentMembership::new(cfg)));
    }
    let entry = EntryMembership::new(cfg, seed);
    #[cfg(feature = "faults")]
    if let Some(fault) = FAULT.get() {
        return Machine::Entry(Box::new(entry.with_fault(fault)));
    }
    Machine::Entry(Box::new(entry))
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            rng: seeded(seed),
            nodes: Vec::new(),
            datagrams: Vec::new(),
            tables: Vec::new(),
            lists: Vec::new(),
            partition: 0,
            loss_percent: 0,
            duplicates_left: 0,
        };
        for i in 0..NODES {
            world.nodes.push(Node {
                machine: None,
                paused: false,
                inbox: Vec::new(),
                incarnation: 0,
                leaving: false,
                vm_leaving: false,
                clock_error: 0,
                reported_leaving: BTreeSet::new(),
                forgotten_at: BTreeMap::new(),
                last_beats: BTreeMap::new(),
            });
            world.restart(i);
        }
        world
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn restart(&mut self, i: usize) {
        if self.nodes[i].machine.is_some() {
            return;
        }
        let wall = 1_000_000 + self.now.as_millis() as i64 + self.nodes[i].clock_error * 1000;
        let incarnation = wall as u64 * 1_000_000 + self.random_below(1000);
        let seed = self.random_below(u64::MAX);
        let node = &mut self.nodes[i];
        node.machine = Some(machine(i, incarnation, seed));
        node.incarnation = incarnation;
        (node.leaving, node.vm_leaving, node.paused) = (false, false, false);
        node.reported_leaving.clear();
        node.forgotten_at.clear();
        node.last_beats.clear();
    }

    fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
        self.nodes[i].inbox.clear();
        self.nodes[i].paused = false;
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        (self.partition >> (a % ZONES)) & 1 == (self.partition >> (b % ZONES)) & 1
    }

    /// Delivers an event to node `i`, and executes the actions; a paused node gets it on resuming.
    fn send_event(&mut self, i: usize, event: MembershipEvent) {
        let node = &mut self.nodes[i];
        if node.paused {
            if event != MembershipEvent::Tick {
                node.inbox.push(event);
            }
            return;
        }
        let actions = match &mut node.machine {
            None => return,
            Some(Machine::Entry(entry)) => entry.on_event(self.now, event),
            Some(Machine::Agent(agent)) => agent.on_event(self.now, event),
        };
        for action in actions {
            self.execute(i, action);
        }
    }

    fn execute(&mut self, i: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, bytes } => self.send_datagram(i, index(to), bytes),
            MembershipAction::Event(event) => self.check_event(i, &event),
            MembershipAction::PullTable { tcp } => self.pull_table(i, index(tcp)),
            MembershipAction::AdoptIncarnation(new) => self.nodes[i].incarnation = new,
            MembershipAction::Superseded(_) => {
                self.kill(i);
                self.restart(i);
            }
            MembershipAction::PeerConfig { .. } => {}
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        check_digest_size(&bytes);
        if self.random_below(100) < self.loss_percent {
            return;
        }
        let at = self.now + Duration::from_millis(self.random_below(250));
        if self.duplicates_left > 0 {
            self.duplicates_left -= 1;
            let late = at + Duration::from_secs(self.random_below(40));
            self.datagrams.push((late, from, to, bytes.clone()));
        }
        self.datagrams.push((at, from, to, bytes));
    }

    fn pull_table(&mut self, i: usize, peer: usize) {
        if let Some(Machine::Entry(entry)) = &self.nodes[peer].machine
            && self.connected(i, peer)
        {
            let at = self.now + Duration::from_millis(300);
            self.tables.push((at, i, entry.table()));
        }
    }

    fn entry(&self, i: usize) -> Option<&EntryMembership> {
        match &self.nodes[i].machine {
            Some(Machine::Entry(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Checks an event for the router: a leaving member does not become available again in the same
    /// incarnation, and a forgotten one comes back only with a higher heartbeat number.
    fn check_event(&mut self, i: usize, event: &MemberEvent) {
        match event {
            MemberEvent::Leaving { node } => {
                let record = self.entry(i).and_then(|e| e.record(node)).unwrap();
                let key = (node_index(node), record.incarnation);
                self.nodes[i].reported_leaving.insert(key);
            }
            MemberEvent::Forgotten { node } => {
                let member = node_index(node);
                if let Some((incarnation, beat)) = self.nodes[i].last_beats.get(&member).copied() {
                    self.nodes[i]
                        .forgotten_at
                        .insert((member, incarnation), beat);
                }
            }
            MemberEvent::Up { info, incarnation } => {
                let key = (node_index(&info.node), *incarnation);
                let was_leaving = self.nodes[i].reported_leaving.contains(&key);
                assert!(
                    !was_leaving,
                    "entry {i} reports {} as available although it is leaving",
                    info.node
                );
                let beat = self
                    .entry(i)
                    .and_then(|e| e.record(&info.node))
                    .unwrap()
                    .beat;
                let forgotten_at = self.nodes[i].forgotten_at.get(&key).copied();
                assert!(
                    forgotten_at.is_none_or(|at| beat > at),
                    "entry {i} lists {} again at heartbeat {beat}, forgotten at {forgotten_at:?}",
                    info.node
                );
            }
            _ => {}
        }
    }

    /// Stores the heartbeat numbers of all members that entry `i` knows.
    fn store_beats(&mut self, i: usize) {
        let Some(entry) = self.entry(i) else {
            return;
        };
        let last_beats = entry
            .records()
            .map(|r| (node_index(&r.info.node), (r.incarnation, r.beat)))
            .collect();
        self.nodes[i].last_beats = last_beats;
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.datagrams = rest;
        for (_, from, to, bytes) in due {
            if self.connected(from, to) {
                let from = address(from, 1);
                self.send_event(to, MembershipEvent::Received { from, bytes });
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.tables)
            .into_iter()
            .partition(|t| t.0 <= now);
        self.tables = rest;
        for (_, to, records) in due {
            self.send_event(to, MembershipEvent::Table(records));
        }
    }

    /// Makes a VM list every 5 s, and delivers it to the entries up to 15 s later.
    fn update_vm_lists(&mut self) {
        if self.now.as_millis().is_multiple_of(5000) {
            let list = (0..NODES).map(|i| VmListed {
                info: info(i),
                leaving: self.nodes[i].vm_leaving,
            });
            let list = list.collect();
            let at = self.now + Duration::from_secs(self.random_below(15));
            self.lists.push((at, list));
        }
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.lists)
            .into_iter()
            .partition(|l| l.0 <= now);
        self.lists = rest;
        for (_, list) in due {
            for i in 0..ENTRIES {
                self.send_event(i, MembershipEvent::VmList(list.clone()));
            }
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.deliver();
        self.update_vm_lists();
        for i in 0..NODES {
            self.send_event(i, MembershipEvent::Tick);
        }
        for i in 0..ENTRIES {
            self.store_beats(i);
        }
    }

    fn ticks(&mut self, n: u32) {
        (0..n).for_each(|_| self.tick());
    }

    fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        self.send_event(i, MembershipEvent::Tick);
        for event in std::mem::take(&mut self.nodes[i].inbox) {
            self.send_event(i, event);
        }
    }

    /// Ends all faults, and starts the nodes that are stopped or leaving as new runs.
    fn heal(&mut self) {
        (self.partition, self.loss_percent, self.duplicates_left) = (0, 0, 0);
        for i in 0..NODES {
            self.resume(i);
            // A node that announced that it leaves is replaced by a new run.
            if self.nodes[i].leaving || self.nodes[i].vm_leaving {
                self.kill(i);
            }
            self.restart(i);
        }
    }

    /// Cuts a zone off for 30 s, and checks that the entries of the other zones do not take more
    /// than half of its members for dead.
    fn silence_zone(&mut self, zone: usize, kill: bool) {
        self.heal();
        self.ticks(QUIET_TICKS);
        self.partition = 1 << zone;
        if kill {
            (0..NODES)
                .filter(|i| i % ZONES == zone)
                .for_each(|i| self.kill(i));
        }
        for _ in 0..150 {
            self.tick();
            for i in (0..ENTRIES).filter(|i| i % ZONES != zone) {
                let entry = self.entry(i).unwrap();
                let dead = entry
                    .records()
                    .filter(|r| *r.info.zone == *format!("zone-{zone}"))
                    .filter(|r| r.state() == State::Dead)
                    .count();
                assert!(
                    dead * 2 <= NODES / ZONES,
                    "entry {i} takes {dead} members of the silent zone {zone} for dead"
                );
            }
        }
        self.heal();
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait(n) => self.ticks(n),
            Step::Kill(i) => self.kill(i),
            Step::Restart(i) => self.restart(i),
            Step::Pause(i) => self.nodes[i].paused = self.nodes[i].machine.is_some(),
            Step::Resume(i) => self.resume(i),
            Step::Leave(i) if !self.nodes[i].paused => {
                self.nodes[i].leaving = self.nodes[i].machine.is_some();
                self.send_event(i, MembershipEvent::Leave);
            }
            Step::Leave(_) => {}
            Step::Detail(i) => {
                self.send_event(i, MembershipEvent::Detail(format!("{:?}", self.now)));
            }
            Step::Load(i, queued) => {
                let load = LoadReport {
                    queued,
                    ..LoadReport::default()
                };
                self.send_event(i, MembershipEvent::Load(load));
            }
            Step::VmLeaving(i) => self.nodes[i].vm_leaving = self.nodes[i].machine.is_some(),
            Step::Partition(mask) => self.partition = mask,
            Step::Loss(percent) => self.loss_percent = percent,
            Step::Duplicate(n) => self.duplicates_left = n,
            Step::WallClock(i, seconds) => self.nodes[i].clock_error += seconds,
            Step::SilentZone(zone) => self.silence_zone(zone, false),
            Step::DeadZone(zone) => self.silence_zone(zone, true),
        }
        self.tick();
    }

    /// Ends all faults, runs the quiet ticks, and checks that all entries agree and are right about
    /// every process.
    pub fn finish(&mut self) {
        (self.partition, self.loss_percent, self.duplicates_left) = (0, 0, 0);
        for i in 0..NODES {
            self.resume(i);
            if i < ENTRIES {
                self.restart(i);
            }
        }
        self.ticks(QUIET_TICKS);
        for i in 0..ENTRIES {
            self.check_entry(i);
        }
    }

    fn check_entry(&self, i: usize) {
        let entry = self.entry(i).unwrap();
        let first = self.entry(0).unwrap();
        for (member, node) in self.nodes.iter().enumerate() {
            let name = format!("node-{member}");
            let record = entry.record(&name);
            let state = record.map(MemberRecord::state);
            if node.machine.is_none() {
                let liveness = record.map(|r| r.liveness);
                let given_up = [None, Some(Liveness::Dead), Some(Liveness::Unreachable)];
                assert!(
                    given_up.contains(&liveness),
                    "entry {i} lists the stopped {name} as {record:?}"
                );
                continue;
            }
            let incarnation = record.map(|r| r.incarnation);
            assert_eq!(
                incarnation,
                Some(node.incarnation),
                "entry {i}: incarnation of {name}"
            );
            assert_eq!(
                record.map(|r| r.liveness),
                Some(Liveness::Alive),
                "entry {i}: liveness of {name}"
            );
            if node.leaving {
                assert_eq!(
                    state,
                    Some(State::Leaving),
                    "entry {i}: state of the leaving {name}"
                );
            }
            assert_eq!(
                state,
                first.state(&name),
                "entries 0 and {i}: state of {name}"
            );
            let detail = |e: &EntryMembership| e.record(&name).map(|r| r.info.detail_version);
            assert_eq!(
                detail(entry),
                detail(first),
                "entries 0 and {i}: detail version of {name}"
            );
        }
    }
}

/// Checks that a digest is within the size limit of its kind.
fn check_digest_size(bytes: &[u8]) {
    if let Some(Message::Digest(digest)) = Message::decode(bytes) {
        let limit = if digest.full.is_empty() { 120 } else { 1200 };
        assert!(
            bytes.len() <= limit,
            "a digest has {} bytes, at most {limit} are allowed",
            bytes.len()
        );
    }
}

/// Generates the transitions. Its state is only the seed of the simulation.
pub struct MembershipModel;

impl ReferenceStateMachine for MembershipModel {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        prop_oneof![
            8 => (1..50u32).prop_map(Step::Wait),
            3 => node().prop_map(Step::Kill),
            4 => node().prop_map(Step::Restart),
            2 => node().prop_map(Step::Pause),
            3 => node().prop_map(Step::Resume),
            2 => node().prop_map(Step::Leave),
            2 => node().prop_map(Step::Detail),
            1 => (node(), 0..99u16).prop_map(|(i, q)| Step::Load(i, q)),
            1 => node().prop_map(Step::VmLeaving),
            1 => (0..8u8).prop_map(Step::Partition),
            2 => Just(Step::Partition(0)),
            1 => (0..40u64).prop_map(Step::Loss),
            1 => Just(Step::Loss(0)),
            2 => (1..40u32).prop_map(Step::Duplicate),
            1 => (node(), -100..100i64).prop_map(|(i, s)| Step::WallClock(i, s)),
            1 => (0..ZONES).prop_map(Step::SilentZone),
            1 => (0..ZONES).prop_map(Step::DeadZone),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

pub struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = World;
    type Reference = MembershipModel;

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

/// Guards against tables that do not converge, leaving members that become available again, silent
/// zones whose members are taken for dead, and digests above the size limit.
#[test]
fn tables_converge() {
    check::<MembershipTest>("membership", &[1, 2, 3, 4], 24, 50);
}
