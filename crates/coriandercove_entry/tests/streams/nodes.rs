//! Entries and agents of the test, and their configuration.

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
use crate::net::Node;
use crate::runner::rng;

pub const ENTRIES: usize = 2;
pub const LAYERS: Layer = 6;
/// Tokens that the head may be ahead of a caller.
pub const CREDIT: u32 = 6;
/// Retained outputs of an agent; small, so that they are dropped in some cases.
pub const RETAINED: usize = 400;
/// Layer range of each agent; the last one joins later.
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
/// Time after which a call to an engine counts as failed.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub fn address(node: Node) -> Address {
    let name = if node < ENTRIES {
        format!("entry{node}")
    } else {
        format!("target{}", node - ENTRIES)
    };
    loopback(&name, 1000 + node as u16)
}

pub fn node_of(address: &Address) -> Node {
    usize::from(address.addr.port()) - 1000
}

pub fn name(node: Node) -> NodeId {
    address(node).node
}

pub struct Entry {
    pub core: Core,
    pub frozen: Option<Time>,
    /// Targets of which the entry was told that they leave.
    pub told_leaving: Vec<Node>,
}

impl Entry {
    pub fn new(entry: Node, run: u64, with_last: bool) -> Self {
        let cfg = CoreConfig {
            own: address(entry),
            zone: "a".into(),
            credit_tokens: CREDIT,
        };
        let mut core = Core::new(cfg, rng(entry as u64 * 1000 + run));
        core.set_config(Time::ZERO, &config(with_last));
        let names: Vec<NodeId> = (0..ENTRIES).map(name).collect();
        core.set_entries(Time::ZERO, &names);
        Self {
            core,
            frozen: None,
            told_leaving: Vec::new(),
        }
    }
}

/// What an agent has asked of its engine.
pub enum Op {
    Run { job: Job, at: Time, given_up: bool },
    Free(RequestId),
}

impl Op {
    pub const fn req(&self) -> RequestId {
        match self {
            Self::Run { job, .. } => job.req,
            Self::Free(req) => *req,
        }
    }

    const fn is_given_up(&self) -> bool {
        matches!(self, Self::Run { given_up: true, .. })
    }
}

pub type JobResult = (RequestId, Attempt, Position, JobOutcome);

pub struct Agent {
    pub stages: Stages,
    pub engine: Engine,
    pub ops: Vec<Op>,
    pub results: Vec<JobResult>,
    pub alive: bool,
    /// Out of reach without a sign: the process is paused or the VM is gone.
    pub silent: Option<Time>,
    pub frozen: bool,
    /// Streams that had been opened when the agent began to leave.
    pub leaving: Option<u64>,
    /// The position that each attempt of a stream has to run next.
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

    /// Operations that the engine can take up now. The agent keeps the order of those of a
    /// request, but a call that it has given up can run at any time.
    pub fn ready_ops(&self) -> Vec<usize> {
        let is_ready = |i: &usize| {
            let op = &self.ops[*i];
            let mut earlier = self.ops[..*i].iter();
            op.is_given_up() || !earlier.any(|o| o.req() == op.req() && !o.is_given_up())
        };
        (0..self.ops.len()).filter(is_ready).collect()
    }

    pub fn is_running(&self) -> bool {
        self.alive && !self.frozen
    }

    /// Starts the process again; the engine goes on unless the whole VM is new.
    pub fn restart(&mut self, agent: usize, new_vm: bool) {
        if new_vm {
            *self = Self::new(agent);
            return;
        }
        self.stages = new_stages();
        self.results.clear();
        self.next.clear();
        for op in &mut self.ops {
            if let Op::Run { given_up, .. } = op {
                *given_up = true;
            }
        }
        (self.alive, self.silent, self.frozen, self.leaving) = (true, None, false, None);
    }
}

fn new_stages() -> Stages {
    Stages::new(StageLimits {
        max_streams: 16,
        max_retained_bytes: RETAINED,
        prefill_chunk: 3,
        ..StageLimits::default()
    })
}

/// The configuration, with or without the target that joins later.
pub fn config(with_last: bool) -> Config {
    let agents = AGENTS - usize::from(!with_last);
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
