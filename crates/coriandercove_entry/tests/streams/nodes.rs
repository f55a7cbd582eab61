//! Entries and agents of the simulation, and their configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_agent::stage::{Job, JobOutcome, StageLimits, Stages};
use coriandercove_base::{Attempt, Layer, NodeId, Position, RequestId, Time};
use coriandercove_config::{Account, Config, Limits, Pipeline, Placement, Target, TargetKind};
use coriandercove_entry::core::{Core, CoreConfig};
use coriandercove_peer::Address;
use coriandercove_peer::frame::loopback;

use crate::engine::Engine;
use crate::network::NodeIndex;
use crate::runner::rng;

pub const ENTRIES: usize = 2;
pub const LAYERS: Layer = 6;
/// Number of tokens that a chain may generate ahead of what the caller has read.
pub const CREDIT: u32 = 6;
/// Limit of the outputs that an agent retains, in bytes; small, so that outputs are dropped in some
/// cases.
pub const MAX_RETAINED_BYTES: usize = 400;
/// Layer range of each agent. The target of the last one is not configured at first.
pub const RANGES: [(Layer, Layer); 9] = [
    (0, 2),
    (0, 2),
    (2, 4),
    (2, 4),
    (4, 6),
    (4, 6),
    (2, 6),
    (0, 4),
    (0, 6),
];
pub const AGENTS: usize = RANGES.len();
pub const NODES: usize = ENTRIES + AGENTS;
/// Timeout of a call of an agent to its engine.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub fn address(node: NodeIndex) -> Address {
    let name = if node < ENTRIES {
        format!("entry{node}")
    } else {
        format!("target{}", node - ENTRIES)
    };
    loopback(&name, 1000 + node as u16)
}

pub fn node_of(address: &Address) -> NodeIndex {
    usize::from(address.addr.port()) - 1000
}

pub fn name(node: NodeIndex) -> NodeId {
    address(node).node
}

/// An entry of the simulation.
pub struct Entry {
    pub core: Core,
    /// Time since which the process is paused.
    pub frozen: Option<Time>,
    /// Targets that the entry was told are leaving.
    pub known_leaving: Vec<NodeIndex>,
}

impl Entry {
    pub fn new(entry: NodeIndex, run: u64, with_last_target: bool) -> Self {
        let cfg = CoreConfig {
            own: address(entry),
            zone: "a".into(),
            credit_tokens: CREDIT,
        };
        let mut core = Core::new(cfg, rng(entry as u64 * 1000 + run));
        core.set_config(Time::ZERO, &config(with_last_target));
        let names: Vec<NodeId> = (0..ENTRIES).map(name).collect();
        core.set_entries(Time::ZERO, &names);
        Self {
            core,
            frozen: None,
            known_leaving: Vec::new(),
        }
    }
}

/// An operation that an agent has sent to its engine.
pub enum Op {
    /// Runs a job. `abandoned` is set once the agent no longer waits for the result.
    Run { job: Job, at: Time, abandoned: bool },
    /// Frees the state of a request.
    Free(RequestId),
}

impl Op {
    pub const fn req(&self) -> RequestId {
        match self {
            Self::Run { job, .. } => job.req,
            Self::Free(req) => *req,
        }
    }

    const fn is_abandoned(&self) -> bool {
        matches!(
            self,
            Self::Run {
                abandoned: true,
                ..
            }
        )
    }
}

pub type JobResult = (RequestId, Attempt, Position, JobOutcome);

/// An agent of the simulation with its engine.
pub struct Agent {
    pub stages: Stages,
    pub engine: Engine,
    pub ops: Vec<Op>,
    pub results: Vec<JobResult>,
    pub alive: bool,
    /// Time since which the agent is unreachable without closing its connections, because its
    /// process is paused or its VM has failed.
    pub silent: Option<Time>,
    pub frozen: bool,
    /// Number of stages opened until the agent began to leave.
    pub leaving: Option<u64>,
    /// Next position that each attempt of a stream must run.
    pub next: HashMap<(RequestId, Attempt), Position>,
}

impl Agent {
    pub fn new(agent: usize) -> Self {
        let (first, end) = RANGES[agent];
        Self {
            stages: new_stages(),
            engine: Engine::new(first, end),
            ops: Vec::new(),
            results: Vec::new(),
            alive: true,
            silent: None,
            frozen: false,
            leaving: None,
            next: HashMap::new(),
        }
    }

    /// Returns the indices of the operations that the engine can run now. The operations of a
    /// request run in order, except that an abandoned one can run at any time.
    pub fn ready_ops(&self) -> Vec<usize> {
        let is_ready = |i: &usize| {
            let op = &self.ops[*i];
            let mut earlier = self.ops[..*i].iter();
            op.is_abandoned() || !earlier.any(|o| o.req() == op.req() && !o.is_abandoned())
        };
        (0..self.ops.len()).filter(is_ready).collect()
    }

    pub fn is_running(&self) -> bool {
        self.alive && !self.frozen
    }

    /// Restarts the process. The engine keeps running unless the whole VM is new.
    pub fn restart(&mut self, agent: usize, new_vm: bool) {
        if new_vm {
            *self = Self::new(agent);
            return;
        }
        self.stages = new_stages();
        self.results.clear();
        self.next.clear();
        for op in &mut self.ops {
            if let Op::Run { abandoned, .. } = op {
                *abandoned = true;
            }
        }
        (self.alive, self.silent, self.frozen, self.leaving) = (true, None, false, None);
    }
}

fn new_stages() -> Stages {
    Stages::new(StageLimits {
        max_streams: 16,
        max_retained_bytes: MAX_RETAINED_BYTES,
        prefill_chunk: 3,
        ..StageLimits::default()
    })
}

/// Returns the configuration with or without the target of the last agent.
pub fn config(with_last_target: bool) -> Config {
    let agents = AGENTS - usize::from(!with_last_target);
    let mut config = Config {
        pipelines: vec![Pipeline {
            model: "m".into(),
            version: "1".to_owned(),
            layers: LAYERS,
            hidden_size: 64,
            bytes_per_value: 2,
            max_tokens: 1000,
            first_token_deadline: Duration::from_millis(700),
            token_deadline: Duration::from_millis(60),
            request_deadline: Duration::from_secs(120),
            priority: 4,
            compute: Vec::new(),
        }],
        accounts: ["large", "small"].map(account).to_vec(),
        limits: Limits {
            replica_concurrency: 6,
            ..Limits::default()
        },
        ..Config::default()
    };
    for (agent, (first_layer, end_layer)) in RANGES.into_iter().enumerate().take(agents) {
        let id = name(ENTRIES + agent);
        config.targets.push(target(agent));
        let same = |p: &&mut Placement| (p.first_layer, p.end_layer) == (first_layer, end_layer);
        match config.placements.iter_mut().find(same) {
            Some(placement) => placement.targets.push(id),
            None => config.placements.push(Placement {
                model: "m".into(),
                version: "1".to_owned(),
                first_layer,
                end_layer,
                targets: vec![id],
            }),
        }
    }
    config.sort();
    config
}

fn target(agent: usize) -> Target {
    let Address { node, addr } = address(ENTRIES + agent);
    Target {
        id: node,
        zone: if agent.is_multiple_of(2) { "a" } else { "b" }.into(),
        peer: addr,
        operations: SocketAddr::from(([127, 0, 0, 1], 1)),
        kind: TargetKind::Engine {
            accelerator: "l4".to_owned(),
        },
        checks_orders: true,
    }
}

fn account(name: &str) -> Account {
    Account {
        name: name.into(),
        weight: 1,
        quota_tokens_per_second: 1_000_000,
        burst_tokens: 10_000_000,
        concurrency: 4096,
        priority: 4,
        keys: Vec::new(),
    }
}
