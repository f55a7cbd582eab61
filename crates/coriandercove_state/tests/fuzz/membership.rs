//! Fuzzing of membership over an in-memory network.

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
    pub static FAULT: std::cell::Cell<Option<coriandercove_state::membership::MembershipFault>> =
        const { std::cell::Cell::new(None) };
}

const ENTRIES: usize = 6;
const NODES: usize = 18;
const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(200);
/// Quiet rounds after which the tables must agree: 60 s.
const QUIET: u32 = 300;

/// What happens to the world.
#[derive(Debug, Clone)]
pub enum Step {
    Wait(u32),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Detail(usize),
    Load(usize, u16),
    /// The platform is about to take a VM away.
    VmLeaving(usize),
    /// Zones with the bit set are cut off from the others.
    Partition(u8),
    /// Of a hundred datagrams, so many are lost.
    Loss(u64),
    /// The next datagrams arrive twice, the second time late.
    Double(u32),
    /// The wall clock of a node steps by so many seconds.
    WallClock(usize, i64),
    /// After a quiet time, a zone falls silent as a whole, and comes back.
    SilentZone(usize),
    /// The same with all processes of the zone killed.
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
    /// Seconds by which the wall clock is off.
    clock: i64,
    /// Incarnations that this entry's router was told to be leaving.
    left: BTreeSet<(usize, Incarnation)>,
    /// Highest beat of each incarnation that this entry forgot.
    forgot: BTreeMap<(usize, Incarnation), u64>,
    /// Last record of each member, to know the beat at which it is forgotten.
    last: BTreeMap<usize, (Incarnation, u64)>,
}

pub struct World {
    now: Time,
    rng: Rng,
    nodes: Vec<Node>,
    mail: Vec<(Time, usize, usize, Vec<u8>)>,
    tables: Vec<(Time, usize, Vec<MemberRecord>)>,
    /// VM lists as they were, with the time at which entries see them.
    lists: Vec<(Time, Vec<VmListed>)>,
    partition: u8,
    loss: u64,
    double: u32,
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
            mail: Vec::new(),
            tables: Vec::new(),
            lists: Vec::new(),
            partition: 0,
            loss: 0,
            double: 0,
        };
        for i in 0..NODES {
            world.nodes.push(Node {
                machine: None,
                paused: false,
                inbox: Vec::new(),
                incarnation: 0,
                leaving: false,
                vm_leaving: false,
                clock: 0,
                left: BTreeSet::new(),
                forgot: BTreeMap::new(),
                last: BTreeMap::new(),
            });
            world.restart(i);
        }
        world
    }

    fn pick(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn restart(&mut self, i: usize) {
        if self.nodes[i].machine.is_some() {
            return;
        }
        let wall = 1_000_000 + self.now.as_millis() as i64 + self.nodes[i].clock * 1000;
        let incarnation = wall as u64 * 1_000_000 + self.pick(1000);
        let seed = self.pick(u64::MAX);
        let node = &mut self.nodes[i];
        node.machine = Some(machine(i, incarnation, seed));
        node.incarnation = incarnation;
        (node.leaving, node.vm_leaving, node.paused) = (false, false, false);
        node.left.clear();
        node.forgot.clear();
        node.last.clear();
    }

    fn kill(&mut self, i: usize) {
        self.nodes[i].machine = None;
        self.nodes[i].inbox.clear();
        self.nodes[i].paused = false;
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        (self.partition >> (a % ZONES)) & 1 == (self.partition >> (b % ZONES)) & 1
    }

    fn event(&mut self, i: usize, event: MembershipEvent) {
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
            self.action(i, action);
        }
    }

    fn action(&mut self, i: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, bytes } => self.post(i, index(to), bytes),
            MembershipAction::Event(event) => self.routed(i, &event),
            MembershipAction::PullTable { tcp } => self.pull(i, index(tcp)),
            MembershipAction::AdoptIncarnation(new) => self.nodes[i].incarnation = new,
            MembershipAction::Superseded(_) => {
                self.kill(i);
                self.restart(i);
            }
            MembershipAction::PeerConfig { .. } => {}
        }
    }

    fn post(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        check_size(&bytes);
        if self.pick(100) < self.loss {
            return;
        }
        let at = self.now + Duration::from_millis(self.pick(250));
        if self.double > 0 {
            self.double -= 1;
            let late = at + Duration::from_secs(self.pick(40));
            self.mail.push((late, from, to, bytes.clone()));
        }
        self.mail.push((at, from, to, bytes));
    }

    fn pull(&mut self, i: usize, peer: usize) {
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

    /// A leaving member is not available again in the same incarnation, and a forgotten one does
    /// not come back by what was known when it was forgotten.
    fn routed(&mut self, i: usize, event: &MemberEvent) {
        match event {
            MemberEvent::Leaving { node } => {
                let record = self.entry(i).and_then(|e| e.record(node)).unwrap();
                let key = (node_index(node), record.incarnation);
                self.nodes[i].left.insert(key);
            }
            MemberEvent::Forgotten { node } => {
                let member = node_index(node);
                if let Some((incarnation, beat)) = self.nodes[i].last.get(&member).copied() {
                    self.nodes[i].forgot.insert((member, incarnation), beat);
                }
            }
            MemberEvent::Up { info, incarnation } => {
                let key = (node_index(&info.node), *incarnation);
                let left = self.nodes[i].left.contains(&key);
                assert!(
                    !left,
                    "entry {i} reports leaving {} as available",
                    info.node
                );
                let beat = self
                    .entry(i)
                    .and_then(|e| e.record(&info.node))
                    .unwrap()
                    .beat;
                let forgot = self.nodes[i].forgot.get(&key).copied();
                assert!(
                    forgot.is_none_or(|at| beat > at),
                    "entry {i} brought {} back at beat {beat}, forgotten at {forgot:?}",
                    info.node
                );
            }
            _ => {}
        }
    }

    fn remember(&mut self, i: usize) {
        let Some(entry) = self.entry(i) else {
            return;
        };
        let last = entry
            .records()
            .map(|r| (node_index(&r.info.node), (r.incarnation, r.beat)))
            .collect();
        self.nodes[i].last = last;
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.mail = rest;
        for (_, from, to, bytes) in due {
            if self.connected(from, to) {
                let from = address(from, 1);
                self.event(to, MembershipEvent::Received { from, bytes });
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.tables)
            .into_iter()
            .partition(|t| t.0 <= now);
        self.tables = rest;
        for (_, to, records) in due {
            self.event(to, MembershipEvent::Table(records));
        }
    }

    /// Every 5 s the platform lists the VMs; entries see the list up to 15 s later.
    fn vm_lists(&mut self) {
        if self.now.as_millis().is_multiple_of(5000) {
            let list = (0..NODES).map(|i| VmListed {
                info: info(i),
                leaving: self.nodes[i].vm_leaving,
            });
            let list = list.collect();
            let at = self.now + Duration::from_secs(self.pick(15));
            self.lists.push((at, list));
        }
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.lists)
            .into_iter()
            .partition(|l| l.0 <= now);
        self.lists = rest;
        for (_, list) in due {
            for i in 0..ENTRIES {
                self.event(i, MembershipEvent::VmList(list.clone()));
            }
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.deliver();
        self.vm_lists();
        for i in 0..NODES {
            self.event(i, MembershipEvent::Tick);
        }
        for i in 0..ENTRIES {
            self.remember(i);
        }
    }

    fn ticks(&mut self, n: u32) {
        (0..n).for_each(|_| self.tick());
    }

    fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        self.event(i, MembershipEvent::Tick);
        for event in std::mem::take(&mut self.nodes[i].inbox) {
            self.event(i, event);
        }
    }

    fn heal(&mut self) {
        (self.partition, self.loss, self.double) = (0, 0, 0);
        for i in 0..NODES {
            self.resume(i);
            // An announced departure ends in a new run.
            if self.nodes[i].leaving || self.nodes[i].vm_leaving {
                self.kill(i);
            }
            self.restart(i);
        }
    }

    /// A zone that falls silent is not emptied at the entries elsewhere.
    fn silence(&mut self, zone: usize, kill: bool) {
        self.heal();
        self.ticks(QUIET);
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
                assert!(dead * 2 <= NODES / ZONES, "entry {i} empties zone {zone}");
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
                self.event(i, MembershipEvent::Leave);
            }
            Step::Leave(_) => {}
            Step::Detail(i) => self.event(i, MembershipEvent::Detail(format!("{:?}", self.now))),
            Step::Load(i, queued) => {
                let load = LoadReport {
                    queued,
                    ..LoadReport::default()
                };
                self.event(i, MembershipEvent::Load(load));
            }
            Step::VmLeaving(i) => self.nodes[i].vm_leaving = self.nodes[i].machine.is_some(),
            Step::Partition(mask) => self.partition = mask,
            Step::Loss(percent) => self.loss = percent,
            Step::Double(n) => self.double = n,
            Step::WallClock(i, seconds) => self.nodes[i].clock += seconds,
            Step::SilentZone(zone) => self.silence(zone, false),
            Step::DeadZone(zone) => self.silence(zone, true),
        }
        self.tick();
    }

    /// After the quiet rounds all entries agree, and they are right about every process.
    pub fn finish(&mut self) {
        (self.partition, self.loss, self.double) = (0, 0, 0);
        for i in 0..NODES {
            self.resume(i);
            if i < ENTRIES {
                self.restart(i);
            }
        }
        self.ticks(QUIET);
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
                    "entry {i} has dead {name} as {record:?}"
                );
                continue;
            }
            let incarnation = record.map(|r| r.incarnation);
            assert_eq!(
                incarnation,
                Some(node.incarnation),
                "entry {i}: run of {name}"
            );
            assert_eq!(
                record.map(|r| r.liveness),
                Some(Liveness::Alive),
                "entry {i}: {name}"
            );
            if node.leaving {
                assert_eq!(state, Some(State::Leaving), "entry {i}: {name}");
            }
            assert_eq!(state, first.state(&name), "entries 0 and {i}: {name}");
            let detail = |e: &EntryMembership| e.record(&name).map(|r| r.info.detail_version);
            assert_eq!(
                detail(entry),
                detail(first),
                "entries 0 and {i}: detail of {name}"
            );
        }
    }
}

/// Digests stay within the byte bound of their kind.
fn check_size(bytes: &[u8]) {
    if let Some(Message::Digest(digest)) = Message::decode(bytes) {
        let bound = if digest.full.is_empty() { 120 } else { 1200 };
        assert!(bytes.len() <= bound, "a digest of {} bytes", bytes.len());
    }
}

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
            2 => (1..40u32).prop_map(Step::Double),
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

/// Guards against tables that do not converge, leaving members that come back, silent zones that
/// are emptied, and digests above the byte bound.
#[test]
fn tables_converge() {
    check::<MembershipTest>("membership", &[1, 2, 3, 4], 24, 50);
}
