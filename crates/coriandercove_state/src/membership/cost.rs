//! Network cost of membership for a cluster of a given size, measured with the real state machines
//! and encoders.
//!
//! This measures bytes and the time until all entries know of a change. It does not model a
//! network: every datagram arrives one step later and none is lost.

use super::{
    AgentMembership, EntryMembership, LoadReport, MemberInfo, MemberRecord, MembershipAction,
    MembershipCounters, MembershipEvent, MembershipSettings, Role, State,
};
use super::{Liveness, MemberEvent};
use coriandercove_base::Time;
use coriandercove_base::hash::mix64;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

/// Region of each zone of the planned deployment.
const ZONE_REGIONS: [usize; 11] = [0, 0, 0, 1, 1, 2, 2, 3, 3, 4, 4];
/// Simulated time between two ticks of a node.
const STEP: Duration = Duration::from_millis(200);
/// Steps before the measurement, in which the agents find their observers.
const WARM_UP_STEPS: u32 = 50;
/// Steps over which bytes are counted, without failures.
const MEASURED_STEPS: u32 = 200;
/// Highest number of steps after the failure.
const MAX_SPREAD_STEPS: u32 = 150;

/// Traffic of the nodes of one role in one region, in bytes per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionCost {
    /// Mean over the nodes of the bytes sent, headers included.
    pub sent_mean: f64,
    /// Bytes sent by the node that sends most, headers included.
    pub sent_max: f64,
    /// Mean over the nodes of the bytes received, headers included.
    pub received_mean: f64,
    /// Bytes received by the node that receives most, headers included.
    pub received_max: f64,
    /// Bytes sent and received by the busiest node, without the overhead of datagrams.
    pub payload_max: f64,
}

/// Result of [`control_cost`].
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControlCost {
    /// Traffic of entries, by region.
    pub entries: Vec<RegionCost>,
    /// Traffic of agents, by region.
    pub agents: Vec<RegionCost>,
    /// Time from the stop of an agent until all entries see it as suspect, dead or unreachable;
    /// `None` if that did not happen in the run.
    pub suspect_everywhere: Option<Duration>,
    /// Time from the stop of an agent until all entries see it as dead; `None` if that did not
    /// happen in the run.
    pub dead_everywhere: Option<Duration>,
    /// Time from an agent's announcement that it leaves until all entries see it as leaving; `None`
    /// if that did not happen in the run.
    pub leaving_everywhere: Option<Duration>,
    /// Number of reports by entries that a live member is suspect, dead or unreachable.
    pub false_suspicions: u64,
}

impl ControlCost {
    /// Bytes per second sent by the node that sends most, headers included.
    #[must_use]
    pub fn sent_max(&self) -> f64 {
        let all = self.entries.iter().chain(&self.agents);
        all.map(|c| c.sent_max).fold(0.0, f64::max)
    }

    /// Bytes per second received by the node that receives most, headers included.
    #[must_use]
    pub fn received_max(&self) -> f64 {
        let all = self.entries.iter().chain(&self.agents);
        all.map(|c| c.received_max).fold(0.0, f64::max)
    }
}

impl ControlCost {
    /// Payload bytes per second of the busiest node, both directions together.
    #[must_use]
    pub fn payload_max(&self) -> f64 {
        let all = self.entries.iter().chain(&self.agents);
        all.map(|c| c.payload_max).fold(0.0, f64::max)
    }
}

/// Measures the control traffic of so many entries and agents in 11 zones of 5 regions. Entries are
/// spread evenly over the zones; some zones have three times as many agents as others.
#[must_use]
pub fn control_cost(entries: usize, agents: usize) -> ControlCost {
    let mut fleet = Fleet::new(entries, agents);
    fleet.run(WARM_UP_STEPS);
    let before = fleet.all_counters();
    fleet.run(MEASURED_STEPS);
    let mut cost = fleet.cost(&before);
    fleet.measure_spread(&mut cost);
    cost.false_suspicions = fleet.false_suspicions;
    cost
}

struct Fleet {
    now: Time,
    entries: Vec<EntryMembership>,
    agents: Vec<AgentMembership>,
    /// Index of the stopped agent, if any.
    dead: Option<usize>,
    /// Datagrams to deliver in the next step: sender's address, receiver's index, bytes.
    in_flight: Vec<(SocketAddr, usize, Vec<u8>)>,
    false_suspicions: u64,
    /// Overhead of each datagram in bytes, as set in the settings.
    overhead: f64,
}

impl Fleet {
    fn new(entry_count: usize, agent_count: usize) -> Self {
        let infos: Vec<MemberInfo> = (0..entry_count + agent_count)
            .map(|i| info(i, entry_count))
            .collect();
        let seeds: Vec<SocketAddr> = infos
            .iter()
            .take(entry_count.min(3))
            .map(|i| i.udp)
            .collect();
        let records: Vec<MemberRecord> = infos.iter().map(record).collect();
        let cfg = |i: &MemberInfo| MembershipSettings::new(i.clone(), 1 << 60, seeds.clone());
        let mut entries: Vec<_> = (0..entry_count)
            .map(|i| EntryMembership::new(cfg(&infos[i]), i as u64))
            .collect();
        for entry in &mut entries {
            entry.load_table(&records);
        }
        let agents = infos[entry_count..]
            .iter()
            .map(|i| AgentMembership::new(cfg(i)));
        Self {
            now: Time::ZERO,
            entries,
            agents: agents.collect(),
            dead: None,
            in_flight: Vec::new(),
            false_suspicions: 0,
            overhead: cfg(&infos[0]).overhead_bytes as f64,
        }
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, bytes) in std::mem::take(&mut self.in_flight) {
            self.event(to, MembershipEvent::Received { from, bytes });
        }
        for node in 0..self.entries.len() + self.agents.len() {
            // Each node's load changes every five seconds, at different times for different nodes.
            let step = (self.now.as_millis() / STEP.as_millis()) as u64;
            if (step + node as u64).is_multiple_of(25) {
                let queued = (mix64(step ^ node as u64) % 100) as u16;
                let load = LoadReport {
                    queued,
                    ..LoadReport::default()
                };
                self.event(node, MembershipEvent::Load(load));
            }
            self.event(node, MembershipEvent::Tick);
        }
    }

    fn event(&mut self, node: usize, event: MembershipEvent) {
        let entries = self.entries.len();
        let actions = if node < entries {
            self.entries[node].on_event(self.now, event)
        } else if self.dead == Some(node - entries) {
            return;
        } else {
            self.agents[node - entries].on_event(self.now, event)
        };
        let from = address(node, 1);
        for action in actions {
            match action {
                MembershipAction::Send { to, bytes } => {
                    self.in_flight.push((from, index(to), bytes));
                }
                MembershipAction::Event(
                    MemberEvent::Suspect { node }
                    | MemberEvent::Dead { node }
                    | MemberEvent::Unreachable { node },
                ) => {
                    let dead = self.dead.map(|i| name(entries + i, entries));
                    self.false_suspicions += u64::from(dead.as_deref() != Some(&node));
                }
                _ => {}
            }
        }
    }

    fn counters(&self, node: usize) -> MembershipCounters {
        match node.checked_sub(self.entries.len()) {
            None => *self.entries[node].counters(),
            Some(agent) => *self.agents[agent].counters(),
        }
    }

    fn all_counters(&self) -> Vec<MembershipCounters> {
        (0..self.entries.len() + self.agents.len())
            .map(|i| self.counters(i))
            .collect()
    }

    fn cost(&self, before: &[MembershipCounters]) -> ControlCost {
        let of = |nodes: std::ops::Range<usize>| {
            (0..5)
                .map(|region| {
                    let nodes = nodes.clone();
                    self.region_cost(
                        before,
                        nodes.filter(|i| ZONE_REGIONS[self.zone(*i)] == region),
                    )
                })
                .collect()
        };
        let entries = self.entries.len();
        ControlCost {
            entries: of(0..entries),
            agents: of(entries..entries + self.agents.len()),
            ..ControlCost::default()
        }
    }

    fn zone(&self, node: usize) -> usize {
        zone(node, self.entries.len())
    }

    #[expect(clippy::cast_precision_loss, reason = "byte counts are far below 2^52")]
    fn region_cost(
        &self,
        before: &[MembershipCounters],
        nodes: impl Iterator<Item = usize>,
    ) -> RegionCost {
        let seconds = (STEP * MEASURED_STEPS).as_secs_f64();
        let mut cost = RegionCost::default();
        let mut count = 0.0;
        for node in nodes {
            let after = self.counters(node);
            let sent = (after.bytes_sent - before[node].bytes_sent) as f64 / seconds;
            let received = (after.bytes_received - before[node].bytes_received) as f64 / seconds;
            cost.sent_max = cost.sent_max.max(sent);
            cost.received_max = cost.received_max.max(received);
            let datagrams = after.sent + after.received - before[node].sent - before[node].received;
            let overhead = datagrams as f64 * self.overhead / seconds;
            cost.payload_max = cost.payload_max.max(sent + received - overhead);
            cost.sent_mean += sent;
            cost.received_mean += received;
            count += 1.0;
        }
        if count > 0.0 {
            cost.sent_mean /= count;
            cost.received_mean /= count;
        }
        cost
    }

    /// Stops one agent and makes another one leave, and measures how long it takes until all
    /// entries know it.
    fn measure_spread(&mut self, cost: &mut ControlCost) {
        let agents = self.agents.len();
        if agents < 2 {
            return;
        }
        let entries = self.entries.len();
        let (dead, leaving) = (name(entries, entries), name(entries + 1, entries));
        self.dead = Some(0);
        self.event(entries + 1, MembershipEvent::Leave);
        let start = self.now;
        for _ in 0..MAX_SPREAD_STEPS {
            self.step();
            let passed = Some(self.now - start);
            if cost.leaving_everywhere.is_none()
                && self.all_entries(&leaving, |s| s == State::Leaving)
            {
                cost.leaving_everywhere = passed;
            }
            if cost.suspect_everywhere.is_none() && self.all_entries(&dead, |s| s != State::Alive) {
                cost.suspect_everywhere = passed;
            }
            if cost.dead_everywhere.is_none() && self.all_entries(&dead, |s| s == State::Dead) {
                cost.dead_everywhere = passed;
                return;
            }
        }
    }

    /// Whether all entries have a state of `node` that passes `test`.
    fn all_entries(&self, node: &str, test: impl Fn(State) -> bool) -> bool {
        self.entries
            .iter()
            .all(|e| e.state(node).is_some_and(&test))
    }
}

/// Returns the zone of a node. Entries are spread evenly. Of each 21 agents, zones 0, 3 and 6
/// get three, zones 1, 4, 7 and 9 two, and the others one.
fn zone(node: usize, entries: usize) -> usize {
    const SHARES: [usize; 21] = [
        0, 0, 0, 1, 1, 2, 3, 3, 3, 4, 4, 5, 6, 6, 6, 7, 7, 8, 9, 9, 10,
    ];
    match node.checked_sub(entries) {
        None => node % ZONE_REGIONS.len(),
        Some(agent) => SHARES[agent % SHARES.len()],
    }
}

fn name(node: usize, entries: usize) -> String {
    match node.checked_sub(entries) {
        None => format!("entry-{node:04}"),
        Some(agent) => format!("agent-{agent:04}"),
    }
}

fn info(node: usize, entries: usize) -> MemberInfo {
    let role = if node < entries {
        Role::Entry
    } else {
        Role::Agent
    };
    MemberInfo {
        node: name(node, entries).into(),
        zone: format!("zone-{:02}", zone(node, entries)).into(),
        role,
        udp: address(node, 1),
        tcp: address(node, 2),
        detail: String::new(),
        detail_version: 0,
    }
}

fn record(info: &MemberInfo) -> MemberRecord {
    MemberRecord {
        info: info.clone(),
        incarnation: 1 << 60,
        beat: 0,
        liveness: Liveness::Alive,
        leaving: false,
    }
}

fn address(node: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + node as u32);
    SocketAddr::V4(SocketAddrV4::new(ip, port))
}

fn index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) as usize,
        std::net::IpAddr::V6(_) => 0,
    }
}
