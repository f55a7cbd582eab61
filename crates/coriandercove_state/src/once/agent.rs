//! Handles the replies of agents to dispatches and probes, and failed dispatches.

use coriandercove_base::{RequestId, TicketId};

use super::call::Phase;
use super::call_table::{OnceCallTable, ReadPurpose, done_state};
use super::{Outcome, Refusal, UnknownOutcomeReason};
use crate::claim::ClaimState;
use crate::fault::{self, Fault};
use crate::ticket::{Answer, NotRunReason, Ticket, TicketReply, UnknownReason};

impl OnceCallTable {
    /// Returns the ticket of the call itself if it has the id `ticket` and may be running.
    fn running_ticket(&self, req: RequestId, ticket: TicketId) -> Option<Ticket> {
        match &self.calls.get(&req)?.phase {
            Phase::Dispatched { ticket: own }
            | Phase::Probing {
                ticket: own,
                is_own: true,
            } if own.id == ticket => Some(own.clone()),
            _ => None,
        }
    }

    fn is_keyed(&self, req: RequestId) -> bool {
        self.calls
            .get(&req)
            .is_some_and(|c| c.request.key.is_some())
    }

    pub(super) fn on_agent_reply(&mut self, req: RequestId, ticket: TicketId, reply: TicketReply) {
        if self.running_ticket(req, ticket).is_none() {
            return;
        }
        match reply {
            TicketReply::Done(answer) => self.on_done(req, ticket, answer, false),
            TicketReply::Running => {}
            TicketReply::NotRun(reason) => self.on_not_run(req, ticket, reason),
            TicketReply::Unknown(reason) => self.on_unknown(req, ticket, reason),
        }
    }

    fn on_done(&mut self, req: RequestId, ticket: TicketId, answer: Answer, replayed: bool) {
        self.record(req, ticket, done_state(&answer));
        self.finish(req, Outcome::Answer { answer, replayed });
    }

    /// Continues a call whose own ticket provably did not run.
    fn on_not_run(&mut self, req: RequestId, ticket: TicketId, reason: NotRunReason) {
        self.active_tickets.remove(&ticket);
        let is_keyed = self.is_keyed(req);
        let Some(call) = self.calls.get_mut(&req) else {
            return;
        };
        call.last_refusal = Some(reason);
        if is_keyed && reason == NotRunReason::Burned && !call.replied {
            // A repeat of the request at another entry burned the ticket and may run under
            // a new one.
            call.phase = Phase::Reading { ticket };
            if let Some(shard) = self.shard_of_call(req) {
                self.refresh_shard(req, &shard, ReadPurpose::Call);
            }
            return;
        }
        self.choose_target(req, is_keyed.then_some(ticket));
    }

    fn on_unknown(&mut self, req: RequestId, ticket: TicketId, reason: UnknownReason) {
        self.record(req, ticket, ClaimState::Unknown);
        self.finish(req, Outcome::Unknown(UnknownOutcomeReason::Agent(reason)));
    }

    /// Chooses another agent for a call whose dispatch was not sent.
    pub(super) fn on_not_sent(&mut self, req: RequestId, ticket: TicketId) {
        let is_outdated = !matches!(
            self.calls.get(&req).map(|c| &c.phase),
            Some(Phase::Dispatched { ticket: own }) if own.id == ticket
        );
        if is_outdated {
            return;
        }
        self.active_tickets.remove(&ticket);
        let replaces = self.is_keyed(req).then_some(ticket);
        self.choose_target(req, replaces);
    }

    pub(super) fn on_link_lost(&mut self, req: RequestId, ticket: TicketId) {
        let Some(ticket) = self.running_ticket(req, ticket) else {
            return;
        };
        if fault::is_on(Fault::LostAnswerIsNotRun) {
            return self.finish(req, Outcome::NotRun(Refusal::NoTarget));
        }
        if !self.is_keyed(req) {
            return self.finish(req, Outcome::Unknown(UnknownOutcomeReason::NoAnswer));
        }
        if self.calls.get(&req).is_some_and(|c| c.replied) {
            return self.remove_call(req);
        }
        let is_own = true;
        self.set_phase(req, Phase::Probing { ticket, is_own });
        self.schedule_probe(req);
    }

    /// Schedules the next probe of a call, at its deadline at the latest.
    fn schedule_probe(&mut self, req: RequestId) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        let time = (self.now + self.settings.probe_gap).min(call.request.deadline);
        self.set_due(req, time);
    }

    pub(super) fn on_probed(
        &mut self,
        req: RequestId,
        ticket: TicketId,
        reply: Option<TicketReply>,
    ) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        let is_own = match &call.phase {
            Phase::Probing { ticket: t, is_own } if t.id == ticket => *is_own,
            _ => return,
        };
        if call.replied && !matches!(reply, Some(TicketReply::Done(_))) {
            return;
        }
        match reply {
            Some(TicketReply::Done(answer)) => self.on_done(req, ticket, answer, !is_own),
            Some(TicketReply::NotRun(reason)) if is_own => self.on_not_run(req, ticket, reason),
            Some(TicketReply::NotRun(_)) => self.choose_target(req, Some(ticket)),
            Some(TicketReply::Unknown(reason)) => self.on_unknown(req, ticket, reason),
            Some(TicketReply::Running) | None if is_own => self.schedule_probe(req),
            Some(TicketReply::Running) => self.finish(req, Outcome::InProgress),
            None => self.finish(
                req,
                Outcome::Unknown(UnknownOutcomeReason::AgentUnreachable),
            ),
        }
    }
}
