//! The state of one call: its phases, its deadline, and how it proceeds when its key is claimed.

use coriandercove_base::{RequestId, TicketId, Time};

use super::call_table::{OnceCallTable, kept_answer};
use super::{Action, OnceRequest, Outcome, Refusal, UnknownOutcomeReason};
use crate::claim::{ChangeResult, Claim, ClaimState};
use crate::ticket::{NotRunReason, Ticket};

/// What a call is waiting for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The choice of an agent. A claim with the ticket `replaces`, which provably did not run, is
    /// to be replaced.
    Choosing { replaces: Option<TicketId> },
    /// The write of its claim. The ticket has not been dispatched.
    Claiming {
        ticket: Ticket,
        replaces: Option<TicketId>,
    },
    /// The answer of the agent to the dispatch.
    Dispatched { ticket: Ticket },
    /// The reply of an agent to a probe. `is_own` tells whether the ticket is that of the call
    /// itself, or that of another request with the same key.
    Probing { ticket: Ticket, is_own: bool },
    /// A read of the current claim, because the ticket of the call was burned.
    Reading { ticket: TicketId },
}

impl Phase {
    /// Returns the ticket under which the call itself may be running.
    pub const fn own_ticket(&self) -> Option<TicketId> {
        match self {
            Self::Dispatched { ticket }
            | Self::Probing {
                ticket,
                is_own: true,
            } => Some(ticket.id),
            _ => None,
        }
    }
}

/// A call that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub request: OnceRequest,
    pub phase: Phase,
    /// Number of agents that were requested for the call.
    pub targets_tried: u32,
    /// Reason of the last refusal by an agent.
    pub last_refusal: Option<NotRunReason>,
    /// Whether a claim of this request is known to be written.
    pub is_claimed: bool,
    /// Whether a claim of this request was forwarded to another entry without a result, so that
    /// it may be written at any time.
    pub may_be_written_elsewhere: bool,
    /// Whether the caller was answered.
    pub replied: bool,
    /// When the call must next be handled, as listed in `due` of [`OnceCallTable`].
    pub due: Time,
}

impl Call {
    pub const fn new(request: OnceRequest) -> Self {
        Self {
            due: request.deadline,
            request,
            phase: Phase::Choosing { replaces: None },
            targets_tried: 0,
            last_refusal: None,
            is_claimed: false,
            may_be_written_elsewhere: false,
            replied: false,
        }
    }
}

impl OnceCallTable {
    /// Proceeds with a call whose key was claimed by an earlier or concurrent request.
    pub(super) fn on_existing_claim(&mut self, req: RequestId, claim: Claim) {
        let Some(hashes) = self.calls.get(&req).and_then(|c| c.request.key) else {
            return;
        };
        if claim.fingerprint != hashes.fingerprint {
            return self.finish(req, Outcome::KeyReused);
        }
        match claim.state {
            ClaimState::Done { status, body } => {
                let answer = kept_answer(status, body.as_ref());
                let replayed = true;
                self.finish(req, Outcome::Answer { answer, replayed });
            }
            ClaimState::Unknown => {
                self.finish(req, Outcome::Unknown(UnknownOutcomeReason::Recorded));
            }
            ClaimState::NotRun => self.choose_target(req, Some(claim.ticket.id)),
            ClaimState::Open if self.active_tickets.contains_key(&claim.ticket.id) => {
                self.finish(req, Outcome::InProgress);
            }
            ClaimState::Open => {
                let ticket = claim.ticket;
                let is_own = false;
                self.set_phase(
                    req,
                    Phase::Probing {
                        ticket: ticket.clone(),
                        is_own,
                    },
                );
                self.actions.push(Action::Probe { req, ticket });
            }
        }
    }

    /// Answers the caller and ends the call.
    pub(super) fn finish(&mut self, req: RequestId, outcome: Outcome) {
        self.reply(req, outcome);
        self.remove_call(req);
    }

    /// Handles the result of writing the claim of a call.
    pub(super) fn on_claimed(&mut self, req: RequestId, result: ChangeResult) {
        let Some(call) = self.calls.get_mut(&req) else {
            return;
        };
        let Phase::Claiming { ticket, .. } = call.phase.clone() else {
            return;
        };
        let (replied, is_claimed, deadline) =
            (call.replied, call.is_claimed, call.request.deadline);
        let may_be_written_elsewhere = call.may_be_written_elsewhere;
        call.is_claimed |= result == ChangeResult::Written;
        match result {
            ChangeResult::Written if replied || self.now >= deadline => {
                // The ticket was never dispatched. With this record, a repeat needs no probe to
                // find that out.
                self.record(req, ticket.id, ClaimState::NotRun);
                self.finish(req, Outcome::NotRun(Refusal::Deadline));
            }
            ChangeResult::Written => self.dispatch(req, ticket),
            ChangeResult::Refused(Some(claim)) if !replied => self.on_existing_claim(req, *claim),
            ChangeResult::Refused(_) => self.remove_call(req),
            ChangeResult::Unavailable | ChangeResult::Overloaded if may_be_written_elsewhere => {
                self.finish(req, Outcome::Unknown(UnknownOutcomeReason::ClaimUnsettled));
            }
            ChangeResult::Unavailable if is_claimed => self.refuse(req, Refusal::ClaimNotReplaced),
            ChangeResult::Unavailable => self.refuse(req, Refusal::StoreUnavailable),
            ChangeResult::Overloaded => self.refuse(req, Refusal::Overloaded),
        }
    }

    /// Proceeds with a call whose ticket was burned, after the claims were read. `is_read` tells
    /// whether the store could be read.
    pub(super) fn on_read_back(&mut self, req: RequestId, is_read: bool) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        let Phase::Reading { ticket } = call.phase else {
            return;
        };
        let key = call.request.key;
        let claim = key.and_then(|k| self.lookup(req, k.key));
        match claim {
            _ if !is_read => self.refuse(req, Refusal::Agent(NotRunReason::Burned)),
            Some(c) if c.ticket.id != ticket && c.state == ClaimState::Open => {
                // Another request burned the ticket in order to run. Probing its ticket could burn
                // that one too.
                self.finish(req, Outcome::InProgress);
            }
            Some(c) if c.ticket.id != ticket => self.on_existing_claim(req, c),
            _ => self.choose_target(req, Some(ticket)),
        }
    }

    /// Handles the calls that are due.
    pub(super) fn handle_due_calls(&mut self) {
        while let Some(&(time, req)) = self.due.first() {
            if time > self.now {
                return;
            }
            self.due.pop_first();
            self.on_due(req);
        }
    }

    fn on_due(&mut self, req: RequestId) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        let deadline = call.request.deadline;
        if call.replied {
            // If the claim is still being written, its result must be awaited first.
            if !matches!(call.phase, Phase::Claiming { .. }) {
                self.remove_call(req);
            }
        } else if self.now >= deadline {
            self.on_deadline(req);
        } else if let Phase::Probing { ticket, .. } = &call.phase {
            let ticket = ticket.clone();
            self.set_due(req, deadline);
            self.actions.push(Action::Probe { req, ticket });
        } else {
            self.set_due(req, deadline);
        }
    }

    fn on_deadline(&mut self, req: RequestId) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        match call.phase.clone() {
            Phase::Choosing { .. } | Phase::Reading { .. } => self.refuse(req, Refusal::Deadline),
            Phase::Claiming { .. } if self.withdraw(req) => self.refuse(req, Refusal::Deadline),
            Phase::Claiming { .. } => {
                self.reply(req, Outcome::Unknown(UnknownOutcomeReason::ClaimUnsettled));
            }
            Phase::Probing { is_own: false, .. } => {
                self.finish(
                    req,
                    Outcome::Unknown(UnknownOutcomeReason::AgentUnreachable),
                );
            }
            Phase::Dispatched { .. } | Phase::Probing { .. } => {
                self.reply(req, Outcome::Unknown(UnknownOutcomeReason::NoAnswer));
                let until = self.now + self.settings.linger;
                self.set_due(req, until);
            }
        }
    }
}
