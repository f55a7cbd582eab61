//! The agent's table of tickets, which lets each call run at most once.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use coriandercove_base::{Incarnation, NodeId, TicketId, Time, data};

use crate::fault::{self, Fault};

data! {
    /// Permission to run one call once, at one incarnation of one agent.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Ticket {
        /// Unique random identifier.
        pub id: TicketId,
        /// Wall clock of the issuing entry in ms since 1970. Orders tickets for eviction;
        /// safety does not depend on the clock being right.
        pub issued_ms: u64,
        /// The agent that may run the call.
        pub node: NodeId,
        /// The only incarnation of the agent that may run the call.
        pub incarnation: Incarnation,
    }

    /// Answer of a service to a call.
    #[derive(Eq)]
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Body; absent if it was larger than what is kept.
        pub body: Option<Arc<[u8]>>,
    }

    /// State of a ticket at its agent.
    #[derive(Eq)]
    pub enum TicketState {
        /// Accepted, not yet passed to the service.
        Seen,
        /// Passed to the service.
        Running,
        /// The service answered.
        Done(Answer),
        /// The call ended without a known result, for example because the service closed
        /// the connection.
        Failed,
        /// The ticket has not run and never will.
        Burned,
    }

    /// What an agent says about a ticket, in answer to a dispatch or a probe.
    #[derive(Eq)]
    pub enum TicketReply {
        /// The service answered.
        Done(Answer),
        /// The call is accepted or running. Neither a dispatch nor a probe changed it.
        Running,
        /// Proof that the call did not run and never will under this ticket.
        NotRun(NotRunReason),
        /// The call may or may not have run.
        Unknown(UnknownReason),
    }

    /// Why a ticket did not run.
    #[derive(Copy, Eq)]
    pub enum NotRunReason {
        /// A probe burned the ticket.
        Burned,
        /// The deadline passed before the call started.
        Deadline,
        /// The agent is leaving.
        Leaving,
        /// The agent or its service is at its limit.
        Overloaded,
        /// No connection to the service could be made.
        Unreachable,
    }

    /// Why it is not known whether a ticket ran.
    #[derive(Copy, Eq)]
    pub enum UnknownReason {
        /// The ticket is for another incarnation of the agent.
        OtherIncarnation,
        /// The ticket is older than what the agent remembers.
        Forgotten,
        /// The call ended without a known result.
        Failed,
    }
}

/// What the agent does with a dispatched call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accept {
    /// Queue the call, then call [`TicketTable::start`] right before it goes to the service.
    Run,
    /// Send this reply; do not run the call.
    Reply(TicketReply),
}

/// Limits of a [`TicketTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketLimits {
    /// Tickets remembered; calls that still run are never evicted and may exceed it.
    pub tickets: usize,
    /// Bytes of answer bodies kept in total.
    pub body_bytes: usize,
    /// Age at which a ticket counts as forgotten. Must be well under `claim_retention`, so
    /// that a dispatch delayed for longer than a claim lives is not run.
    pub max_age_ms: u64,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            tickets: 65_536,
            body_bytes: 16 << 20,
            max_age_ms: 30 * 60 * 1000,
        }
    }
}

struct Entry {
    state: TicketState,
    issued_ms: u64,
    deadline: Time,
}

/// Remembers tickets of one incarnation of an agent.
///
/// A ticket that is not in the table and not newer than `floor_ms` may have been evicted:
/// it is neither run nor reported as not run.
pub struct TicketTable {
    node: NodeId,
    incarnation: Incarnation,
    limits: TicketLimits,
    entries: HashMap<TicketId, Entry>,
    /// Tickets that may be evicted, oldest first. Holds those in a final state only.
    evictable: BTreeSet<(u64, TicketId)>,
    body_bytes: usize,
    floor_ms: u64,
}

impl TicketTable {
    /// An empty table for one run of the agent `node`.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            node,
            incarnation,
            limits,
            entries: HashMap::new(),
            evictable: BTreeSet::new(),
            body_bytes: 0,
            floor_ms: 0,
        }
    }

    /// Decides on a dispatched call. `wall_ms` is the agent's wall clock, `deadline` the
    /// time in the agent's clock after which the call must not start.
    pub fn accept(&mut self, now: Time, wall_ms: u64, ticket: &Ticket, deadline: Time) -> Accept {
        if let Some(reply) = self.known(wall_ms, ticket) {
            return Accept::Reply(reply);
        }
        if now >= deadline {
            return Accept::Reply(self.refuse_new(ticket, NotRunReason::Deadline));
        }
        self.insert(ticket, TicketState::Seen, deadline);
        Accept::Run
    }

    /// Refuses a dispatched call that the agent will not run now. The ticket is burned, so
    /// that a second copy of the same dispatch cannot run after this refusal.
    pub fn refuse(&mut self, wall_ms: u64, ticket: &Ticket, reason: NotRunReason) -> TicketReply {
        match self.known(wall_ms, ticket) {
            Some(reply) => reply,
            None => self.refuse_new(ticket, reason),
        }
    }

    fn refuse_new(&mut self, ticket: &Ticket, reason: NotRunReason) -> TicketReply {
        if !fault::is_on(Fault::RefusalDoesNotBurn) {
            self.insert(ticket, TicketState::Burned, Time::ZERO);
        }
        TicketReply::NotRun(reason)
    }

    /// Answers a probe. A ticket never seen is burned.
    pub fn probe(&mut self, wall_ms: u64, ticket: &Ticket) -> TicketReply {
        if let Some(reply) = self.known(wall_ms, ticket) {
            return reply;
        }
        if !fault::is_on(Fault::ProbeDoesNotBurn) {
            self.insert(ticket, TicketState::Burned, Time::ZERO);
        }
        TicketReply::NotRun(NotRunReason::Burned)
    }

    /// Answers a question about a ticket without burning it. A ticket never seen may still
    /// arrive, so the reply for it is [`TicketReply::Running`].
    pub fn peek(&mut self, wall_ms: u64, ticket: &Ticket) -> TicketReply {
        self.known(wall_ms, ticket).unwrap_or(TicketReply::Running)
    }

    /// Marks an accepted call as running, right before it goes to the service.
    ///
    /// # Errors
    /// The reply to send instead if the call must not go to the service: its deadline has
    /// passed, or the ticket is not in state [`TicketState::Seen`].
    pub fn start(&mut self, now: Time, id: TicketId) -> Result<(), TicketReply> {
        let Some(entry) = self.entries.get_mut(&id) else {
            return Err(TicketReply::Unknown(UnknownReason::Forgotten));
        };
        if entry.state != TicketState::Seen {
            return Err(reply_of(&entry.state));
        }
        if now >= entry.deadline {
            self.settle(id, TicketState::Burned);
            return Err(TicketReply::NotRun(NotRunReason::Deadline));
        }
        entry.state = TicketState::Running;
        Ok(())
    }

    /// Burns an accepted call that has not started, for example when the agent leaves.
    /// Returns the reply to send, whatever the state.
    pub fn withdraw(&mut self, id: TicketId, reason: NotRunReason) -> TicketReply {
        match self.entries.get(&id).map(|e| &e.state) {
            None => TicketReply::Unknown(UnknownReason::Forgotten),
            Some(TicketState::Seen) => {
                self.settle(id, TicketState::Burned);
                TicketReply::NotRun(reason)
            }
            Some(state) => reply_of(state),
        }
    }

    /// Burns a running call of which no byte has reached the service, because no connection to it
    /// could be made. Returns the reply for the entry.
    pub fn withdraw_running(&mut self, id: TicketId) -> TicketReply {
        match self.entries.get(&id).map(|e| &e.state) {
            None => TicketReply::Unknown(UnknownReason::Forgotten),
            Some(TicketState::Running) => {
                self.settle(id, TicketState::Burned);
                TicketReply::NotRun(NotRunReason::Unreachable)
            }
            Some(state) => reply_of(state),
        }
    }

    /// Records the answer of a running call, or `None` if it ended without a known result.
    /// Returns the reply for the entry.
    pub fn finish(&mut self, id: TicketId, answer: Option<Answer>) -> TicketReply {
        let running = self.entries.get(&id).map(|e| &e.state) == Some(&TicketState::Running);
        let state = answer.map_or(TicketState::Failed, TicketState::Done);
        let reply = reply_of(&state);
        if running {
            self.settle(id, state);
        }
        reply
    }

    /// State of a remembered ticket.
    #[must_use]
    pub fn state(&self, id: TicketId) -> Option<&TicketState> {
        self.entries.get(&id).map(|e| &e.state)
    }

    /// Number of tickets remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of answer bodies kept.
    #[must_use]
    pub const fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Reply for a ticket that may not be treated as new.
    fn known(&mut self, wall_ms: u64, ticket: &Ticket) -> Option<TicketReply> {
        let own =
            ticket.incarnation == self.incarnation || fault::is_on(Fault::AcceptOtherIncarnation);
        if !own || ticket.node != self.node {
            return Some(TicketReply::Unknown(UnknownReason::OtherIncarnation));
        }
        if let Some(entry) = self.entries.get(&ticket.id) {
            return Some(reply_of(&entry.state));
        }
        let oldest = wall_ms.saturating_sub(self.limits.max_age_ms);
        self.floor_ms = self.floor_ms.max(oldest);
        let forgotten = ticket.issued_ms <= self.floor_ms && !fault::is_on(Fault::RunForgotten);
        forgotten.then_some(TicketReply::Unknown(UnknownReason::Forgotten))
    }

    fn insert(&mut self, ticket: &Ticket, state: TicketState, deadline: Time) {
        let is_final = state == TicketState::Burned;
        let issued_ms = ticket.issued_ms;
        let entry = Entry {
            state,
            issued_ms,
            deadline,
        };
        self.entries.insert(ticket.id, entry);
        if is_final {
            self.evictable.insert((issued_ms, ticket.id));
        }
        self.evict();
    }

    /// Moves a remembered ticket to a final state.
    fn settle(&mut self, id: TicketId, state: TicketState) {
        self.body_bytes += body_len(&state);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.state = state;
            self.evictable.insert((entry.issued_ms, id));
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.entries.len() > self.limits.tickets || self.body_bytes > self.limits.body_bytes {
            let Some((issued, id)) = self.evictable.pop_first() else {
                return;
            };
            self.floor_ms = self.floor_ms.max(issued);
            if let Some(entry) = self.entries.remove(&id) {
                self.body_bytes -= body_len(&entry.state);
            }
        }
    }
}

fn body_len(state: &TicketState) -> usize {
    match state {
        TicketState::Done(answer) => answer.body.as_ref().map_or(0, |b| b.len()),
        _ => 0,
    }
}

fn reply_of(state: &TicketState) -> TicketReply {
    match state {
        TicketState::Seen | TicketState::Running => TicketReply::Running,
        TicketState::Done(answer) => TicketReply::Done(answer.clone()),
        TicketState::Failed => TicketReply::Unknown(UnknownReason::Failed),
        TicketState::Burned => TicketReply::NotRun(NotRunReason::Burned),
    }
}

#[cfg(test)]
mod tests;
