//! The agent's table of tickets, which makes sure that each ticket runs at most once.
//!
//! An entry issues a ticket for each dispatch of a call. An agent burns a ticket when it promises
//! never to run it: a burned ticket is proof that the call did not run under it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use coriandercove_base::{Incarnation, NodeId, TicketId, Time, data};

use crate::fault::{self, Fault};

data! {
    /// Permission to run one call at most once, at one incarnation of one agent.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Ticket {
        /// Unique random identifier.
        pub id: TicketId,
        /// Wall clock of the issuing entry in ms since 1970. Tickets are evicted in this
        /// order; safety does not depend on the clock being right.
        pub issued_ms: u64,
        /// The agent that may run the call.
        pub node: NodeId,
        /// The only incarnation of the agent that may run the call.
        pub incarnation: Incarnation,
    }

    /// Response of a service to a call.
    #[derive(Eq)]
    pub struct Answer {
        /// HTTP status code.
        pub status: u16,
        /// Response body, absent if it was too large to be kept.
        pub body: Option<Arc<[u8]>>,
    }

    /// State of a ticket at its agent. `Done`, `Failed` and `Burned` are final.
    #[derive(Eq)]
    pub enum TicketState {
        /// Accepted and queued, not yet passed to the service.
        Seen,
        /// Passed to the service, which has not answered yet.
        Running,
        /// The service answered; kept to answer repeats of the dispatch and probes.
        Done(Answer),
        /// The call ended without a known result, for example because the service closed
        /// the connection.
        Failed,
        /// Invalidated: the ticket has not run and never will.
        Burned,
    }

    /// Reply of an agent to a dispatch or a probe of a ticket.
    #[derive(Eq)]
    pub enum TicketReply {
        /// The service gave this answer.
        Done(Answer),
        /// The call was accepted earlier and is queued or running; this message changed nothing.
        Running,
        /// Proof that the call did not run under this ticket and never will.
        NotRun(NotRunReason),
        /// The call may or may not have run.
        Unknown(UnknownReason),
    }

    /// Why a call did not run under its ticket.
    #[derive(Copy, Eq)]
    pub enum NotRunReason {
        /// A probe burned the ticket, or it had been burned earlier by a probe or a refusal.
        Burned,
        /// The deadline passed before the call started.
        Deadline,
        /// The agent is leaving the cluster.
        Leaving,
        /// The agent or its service is at its limit of calls.
        Overloaded,
        /// No connection to the service could be made.
        Unreachable,
    }

    /// Why the agent cannot tell whether a call ran.
    #[derive(Copy, Eq)]
    pub enum UnknownReason {
        /// The ticket was issued for another incarnation of the agent, or for another agent.
        OtherIncarnation,
        /// The ticket is so old that the agent may have evicted it.
        Forgotten,
        /// The service may have run the call, but its answer was lost.
        Failed,
    }
}

/// Decision on a dispatched call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accept {
    /// Queue the call, and call [`TicketTable::start`] right before passing it to the service.
    Run,
    /// Do not run the call; send this reply to the entry.
    Reply(TicketReply),
}

/// Limits of a [`TicketTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketLimits {
    /// Most tickets kept. Calls that are queued or running are never evicted and may exceed it.
    pub tickets: usize,
    /// Most bytes of answer bodies kept, over all tickets.
    pub body_bytes: usize,
    /// Age in ms from which on a new ticket is not run. Must be well under the retention of
    /// claims ([`crate::once::OnceSettings::retention`]), so that a dispatch that is delayed
    /// until its claim was deleted is not run.
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

struct StoredTicket {
    state: TicketState,
    issued_ms: u64,
    deadline: Time,
}

/// The tickets of one incarnation of an agent.
///
/// A ticket that is not in the table and was not issued after `forgotten_until_ms` may have been
/// evicted: it is neither run nor reported as not run.
pub struct TicketTable {
    node: NodeId,
    incarnation: Incarnation,
    limits: TicketLimits,
    tickets: HashMap<TicketId, StoredTicket>,
    /// Issue time and id of the tickets in a final state, which may be evicted, oldest first.
    evictable: BTreeSet<(u64, TicketId)>,
    body_bytes: usize,
    /// A ticket that is not in the table counts as forgotten if it was issued at this time or
    /// earlier, in ms since 1970. Never falls.
    forgotten_until_ms: u64,
}

impl TicketTable {
    /// Creates an empty table for one incarnation of the agent `node`.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            node,
            incarnation,
            limits,
            tickets: HashMap::new(),
            evictable: BTreeSet::new(),
            body_bytes: 0,
            forgotten_until_ms: 0,
        }
    }

    /// Decides on a dispatched call. `wall_ms` is the agent's wall clock in ms since 1970,
    /// `deadline` the time on the agent's monotonic clock from which on the call must not start.
    pub fn accept(&mut self, now: Time, wall_ms: u64, ticket: &Ticket, deadline: Time) -> Accept {
        if let Some(reply) = self.reply_unless_new(wall_ms, ticket) {
            return Accept::Reply(reply);
        }
        if now >= deadline {
            return Accept::Reply(self.refuse_new(ticket, NotRunReason::Deadline));
        }
        self.insert(ticket, TicketState::Seen, deadline);
        Accept::Run
    }

    /// Refuses a dispatched call. Burns the ticket, so that a duplicate of the dispatch cannot
    /// run after this refusal. A ticket that is not new keeps its state, which is
    /// returned as the reply.
    pub fn refuse(&mut self, wall_ms: u64, ticket: &Ticket, reason: NotRunReason) -> TicketReply {
        match self.reply_unless_new(wall_ms, ticket) {
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

    /// Answers a probe. Burns a ticket that never arrived.
    pub fn probe(&mut self, wall_ms: u64, ticket: &Ticket) -> TicketReply {
        if let Some(reply) = self.reply_unless_new(wall_ms, ticket) {
            return reply;
        }
        if !fault::is_on(Fault::ProbeDoesNotBurn) {
            self.insert(ticket, TicketState::Burned, Time::ZERO);
        }
        TicketReply::NotRun(NotRunReason::Burned)
    }

    /// Returns the state of a ticket without burning it. A ticket that never arrived may still
    /// do so, therefore the reply for it is [`TicketReply::Running`].
    pub fn peek(&mut self, wall_ms: u64, ticket: &Ticket) -> TicketReply {
        self.reply_unless_new(wall_ms, ticket)
            .unwrap_or(TicketReply::Running)
    }

    /// Marks an accepted call as running, right before it is passed to the service.
    ///
    /// # Errors
    /// The reply to send to the entry if the call must not be passed to the service, because its
    /// deadline has passed or the ticket is not in state [`TicketState::Seen`].
    pub fn start(&mut self, now: Time, id: TicketId) -> Result<(), TicketReply> {
        let Some(stored) = self.tickets.get_mut(&id) else {
            return Err(TicketReply::Unknown(UnknownReason::Forgotten));
        };
        if stored.state != TicketState::Seen {
            return Err(reply_of(&stored.state));
        }
        if now >= stored.deadline {
            self.set_final(id, TicketState::Burned);
            return Err(TicketReply::NotRun(NotRunReason::Deadline));
        }
        stored.state = TicketState::Running;
        Ok(())
    }

    /// Burns the ticket of an accepted call that has not started, for example when the agent
    /// leaves. A ticket in another state is left alone. Returns the reply to send.
    pub fn withdraw(&mut self, id: TicketId, reason: NotRunReason) -> TicketReply {
        match self.tickets.get(&id).map(|e| &e.state) {
            None => TicketReply::Unknown(UnknownReason::Forgotten),
            Some(TicketState::Seen) => {
                self.set_final(id, TicketState::Burned);
                TicketReply::NotRun(reason)
            }
            Some(state) => reply_of(state),
        }
    }

    /// Burns the ticket of a running call of which no byte has reached the service, because no
    /// connection to the service could be made. Returns the reply to send.
    pub fn withdraw_running(&mut self, id: TicketId) -> TicketReply {
        match self.tickets.get(&id).map(|e| &e.state) {
            None => TicketReply::Unknown(UnknownReason::Forgotten),
            Some(TicketState::Running) => {
                self.set_final(id, TicketState::Burned);
                TicketReply::NotRun(NotRunReason::Unreachable)
            }
            Some(state) => reply_of(state),
        }
    }

    /// Records the answer of a running call, or `None` if it ended without a known result.
    /// Returns the reply to send.
    pub fn finish(&mut self, id: TicketId, answer: Option<Answer>) -> TicketReply {
        let is_running = self.tickets.get(&id).map(|e| &e.state) == Some(&TicketState::Running);
        let state = answer.map_or(TicketState::Failed, TicketState::Done);
        let reply = reply_of(&state);
        if is_running {
            self.set_final(id, state);
        }
        reply
    }

    /// Returns the state of a ticket that is in the table.
    #[must_use]
    pub fn state(&self, id: TicketId) -> Option<&TicketState> {
        self.tickets.get(&id).map(|e| &e.state)
    }

    /// Returns the number of tickets in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether the table has no tickets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the bytes of answer bodies kept, over all tickets.
    #[must_use]
    pub const fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the reply for a ticket that must not be treated as new: it belongs to another
    /// incarnation, is in the table, or may have been evicted.
    fn reply_unless_new(&mut self, wall_ms: u64, ticket: &Ticket) -> Option<TicketReply> {
        let is_own =
            ticket.incarnation == self.incarnation || fault::is_on(Fault::AcceptOtherIncarnation);
        if !is_own || ticket.node != self.node {
            return Some(TicketReply::Unknown(UnknownReason::OtherIncarnation));
        }
        if let Some(stored) = self.tickets.get(&ticket.id) {
            return Some(reply_of(&stored.state));
        }
        let oldest = wall_ms.saturating_sub(self.limits.max_age_ms);
        self.forgotten_until_ms = self.forgotten_until_ms.max(oldest);
        let is_forgotten =
            ticket.issued_ms <= self.forgotten_until_ms && !fault::is_on(Fault::RunForgotten);
        is_forgotten.then_some(TicketReply::Unknown(UnknownReason::Forgotten))
    }

    fn insert(&mut self, ticket: &Ticket, state: TicketState, deadline: Time) {
        let is_final = state == TicketState::Burned;
        let issued_ms = ticket.issued_ms;
        let stored = StoredTicket {
            state,
            issued_ms,
            deadline,
        };
        self.tickets.insert(ticket.id, stored);
        if is_final {
            self.evictable.insert((issued_ms, ticket.id));
        }
        self.evict();
    }

    /// Moves a ticket in the table to a final state.
    fn set_final(&mut self, id: TicketId, state: TicketState) {
        self.body_bytes += body_len(&state);
        if let Some(stored) = self.tickets.get_mut(&id) {
            stored.state = state;
            self.evictable.insert((stored.issued_ms, id));
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.tickets.len() > self.limits.tickets || self.body_bytes > self.limits.body_bytes {
            let Some((issued, id)) = self.evictable.pop_first() else {
                return;
            };
            self.forgotten_until_ms = self.forgotten_until_ms.max(issued);
            if let Some(stored) = self.tickets.remove(&id) {
                self.body_bytes -= body_len(&stored.state);
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
