//! Entries and agents of the fuzz test of at-most-once calls.

use std::time::Duration;

use coriandercove_base::{NodeId, RequestId, TicketId};
use coriandercove_state::once::{OnceCallTable, OnceSettings};
use coriandercove_state::ticket::{Ticket, TicketLimits, TicketTable};

use crate::calls::AGENTS;
use crate::oracle::Run;
use crate::runner::rng;

pub struct Entry {
    /// Number of restarts.
    pub run: u32,
    pub once: OnceCallTable,
    pub paused: bool,
    /// Whether the link to each agent, and to the store (index `AGENTS`), is cut.
    pub cut: [bool; AGENTS + 1],
}

pub struct Agent {
    pub incarnation: u64,
    /// The incarnation that entries know, which may be an earlier one.
    pub known: u64,
    pub table: TicketTable,
    /// Accepted calls that have not started.
    pub queue: Vec<(Run, RequestId, TicketId)>,
    /// Calls that were passed to the service.
    pub running: Vec<(Run, RequestId, TicketId)>,
    pub paused: bool,
    /// Whether the agent refuses new calls.
    pub refuses: bool,
}

pub fn agent_name(agent: usize) -> NodeId {
    format!("agent{agent}").into()
}

pub fn entry_name(entry: usize) -> NodeId {
    format!("entry{entry}").into()
}

pub fn new_entry(entry: usize, run: u32) -> Entry {
    // With one shard, changes of all keys share writes. Segments are small so that they get sealed.
    let settings = OnceSettings {
        shards: 1,
        segment_bytes: 700,
        linger: Duration::from_secs(3),
        ..OnceSettings::default()
    };
    Entry {
        run,
        once: OnceCallTable::new(settings, rng(entry as u64 * 1000 + u64::from(run))),
        paused: false,
        cut: [false; AGENTS + 1],
    }
}

pub fn new_agent(agent: usize, incarnation: u64, known: u64) -> Agent {
    // The table keeps few tickets so that tickets get evicted.
    let limits = TicketLimits {
        tickets: 4,
        ..TicketLimits::default()
    };
    Agent {
        incarnation,
        known,
        table: TicketTable::new(agent_name(agent), incarnation, limits),
        queue: Vec::new(),
        running: Vec::new(),
        paused: false,
        refuses: false,
    }
}

pub fn agent_of(ticket: &Ticket) -> usize {
    (0..AGENTS)
        .find(|a| *agent_name(*a) == *ticket.node)
        .unwrap()
}
