//! One call: its phases, deadlines and what a claim of its key means for it.

use coriandercove_base::{RequestId, TicketId, Time};

use super::entry::{OnceEntry, kept_answer};
use super::{Action, Doubt, OnceRequest, Outcome, Refusal};
use crate::claim::{ChangeResult, Claim, ClaimState};
use crate::ticket::{NotRunReason, Ticket};

/// What a call waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// An agent. The ticket in `replaces` provably did not run.
    Choosing { replaces: Option<TicketId> },
    /// The claim. The ticket has not been dispatched.
    Claiming {
        ticket: Ticket,
        replaces: Option<TicketId>,
    },
    /// The agent's answer.
    Dispatched { ticket: Ticket },
    /// The agent's answer to a probe, of the own ticket or of an earlier request's.
    Probing { ticket: Ticket, is_own: bool },
    /// The current claim, because the own ticket was burned.
    Reading { ticket: TicketId },
}

impl Phase {
    /// The ticket under which the call itself may be running.
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

/// A call under way.
#[derive(Debug)]
pub(super) struct Call {
    pub request: OnceRequest,
    pub phase: Phase,
    /// Agents asked for.
    pub tried: u32,
    /// Last refusal by an agent.
    pub refused: Option<NotRunReason>,
    /// Whether a claim of this request was written.
    pub claimed: bool,
    /// Whether another entry may write a claim of this request at any time.
    pub is_elsewhere: bool,
    pub replied: bool,
    /// Entry of the call in the list of due times.
    pub due: Time,
}

impl Call {
    pub const fn new(request: OnceRequest) -> Self {
        Self {
            due: request.deadline,
            request,
            phase: Phase::Choosing { replaces: None },
            tried: 0,
            refused: None,
            claimed: false,
            is_elsewhere: false,
            replied: false,
        }
    }
}

impl OnceEntry {
    /// Acts on the claim that an earlier or concurrent request made of the call's key.
    pub(super) fn follow(&mut self, req: RequestId, claim: Claim) {
        let Some(by) = self.calls.get(&req).and_then(|c| c.request.key) else {
            return;
        };
        if claim.fingerprint != by.fingerprint {
            return self.finish(req, Outcome::KeyReused);
        }
        match claim.state {
            ClaimState::Done { status, body } => {
                let answer = kept_answer(status, body.as_ref());
                let replayed = true;
                self.finish(req, Outcome::Answer { answer, replayed });
            }
            ClaimState::Unknown => self.finish(req, Outcome::Unknown(Doubt::Recorded)),
            ClaimState::NotRun => self.choose(req, Some(claim.ticket.id)),
            ClaimState::Open if self.live.contains_key(&claim.ticket.id) => {
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
                self.out.push(Action::Probe { req, ticket });
            }
        }
    }

    /// Answers the caller and forgets the call.
    pub(super) fn finish(&mut self, req: RequestId, outcome: Outcome) {
        self.reply(req, outcome);
        self.end(req);
    }

    /// Takes the result of the call's claim.
    pub(super) fn on_claimed(&mut self, req: RequestId, result: ChangeResult) {
        let Some(call) = self.calls.get_mut(&req) else {
            return;
        };
        let Phase::Claiming { ticket, .. } = call.phase.clone() else {
            return;
        };
        let (replied, claimed, deadline) = (call.replied, call.claimed, call.request.deadline);
        let is_elsewhere = call.is_elsewhere;
        call.claimed |= result == ChangeResult::Written;
        match result {
            ChangeResult::Written if replied || self.now >= deadline => {
                // The ticket was never dispatched, so repeats need no probe.
                self.record(req, ticket.id, ClaimState::NotRun);
                self.finish(req, Outcome::NotRun(Refusal::Deadline));
            }
            ChangeResult::Written => self.dispatch(req, ticket),
            ChangeResult::Refused(Some(claim)) if !replied => self.follow(req, *claim),
            ChangeResult::Refused(_) => self.end(req),
            ChangeResult::Unavailable | ChangeResult::Overloaded if is_elsewhere => {
                self.finish(req, Outcome::Unknown(Doubt::ClaimUnsettled));
            }
            ChangeResult::Unavailable if claimed => self.give_up(req, Refusal::ClaimNotReplaced),
            ChangeResult::Unavailable => self.give_up(req, Refusal::StoreUnavailable),
            ChangeResult::Overloaded => self.give_up(req, Refusal::Overloaded),
        }
    }

    /// Goes on after the claims were read, for a call whose ticket was burned.
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
            _ if !is_read => self.give_up(req, Refusal::Agent(NotRunReason::Burned)),
            Some(c) if c.ticket.id != ticket && c.state == ClaimState::Open => {
                // Another request burned the ticket in order to run. Probing its new ticket
                // could burn that one in turn.
                self.finish(req, Outcome::InProgress);
            }
            Some(c) if c.ticket.id != ticket => self.follow(req, c),
            _ => self.choose(req, Some(ticket)),
        }
    }

    /// Acts on the calls whose time has come.
    pub(super) fn tick_calls(&mut self) {
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
            // A claim that is still being written must be settled first.
            if !matches!(call.phase, Phase::Claiming { .. }) {
                self.end(req);
            }
        } else if self.now >= deadline {
            self.on_deadline(req);
        } else if let Phase::Probing { ticket, .. } = &call.phase {
            let ticket = ticket.clone();
            self.set_due(req, deadline);
            self.out.push(Action::Probe { req, ticket });
        } else {
            self.set_due(req, deadline);
        }
    }

    fn on_deadline(&mut self, req: RequestId) {
        let Some(call) = self.calls.get(&req) else {
            return;
        };
        match call.phase.clone() {
            Phase::Choosing { .. } | Phase::Reading { .. } => self.give_up(req, Refusal::Deadline),
            Phase::Claiming { .. } if self.withdraw(req) => self.give_up(req, Refusal::Deadline),
            Phase::Claiming { .. } => self.reply(req, Outcome::Unknown(Doubt::ClaimUnsettled)),
            Phase::Probing { is_own: false, .. } => {
                self.finish(req, Outcome::Unknown(Doubt::AgentUnreachable));
            }
            Phase::Dispatched { .. } | Phase::Probing { .. } => {
                self.reply(req, Outcome::Unknown(Doubt::NoAnswer));
                let until = self.now + self.settings.linger;
                self.set_due(req, until);
            }
        }
    }
}
