//! Calls to the plain service beside the agent.

use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use coriandercove_base::telemetry::count;
use coriandercove_base::{Clock, RequestId, TicketId};
use coriandercove_peer::{Address, Call, CallOutcome, CallReply, Frame, OpenStage, TicketRequest};
use coriandercove_state::ticket::{Accept, Answer, NotRunReason, Ticket, TicketReply};
use coriandercove_target::{Service, ServiceAnswer, ServiceCall, ServiceError};

use super::Inner;

impl Inner {
    /// Opens a stage, unless the target is no engine.
    pub(super) fn open_stage(&self, open: OpenStage) {
        if self.driver.get().is_some() {
            self.stages.borrow_mut().open(self.clock.now(), open);
        } else {
            count(&self.dropped, "reason", "not_an_engine");
        }
    }

    /// Runs a call and answers the entry.
    pub(super) fn call(self: &Rc<Self>, from: Address, call: Call) {
        let refusal = self.refusal();
        if let Some(reason) = refusal {
            count(&self.refused, "reason", reason);
        }
        match (call.ticket.clone(), refusal, self.service.clone()) {
            (Some(ticket), Some(reason), _) => {
                let reason = ticket_reason(reason);
                let reply = self.tickets.borrow_mut().refuse(wall_ms(), &ticket, reason);
                self.reply_ticket(&from, call.req, ticket.id, TicketRequest::Dispatch, reply);
            }
            (None, Some(reason), _) => {
                let outcome = CallOutcome::Refused {
                    reason: reason.to_owned(),
                };
                self.reply(&from, call.req, outcome);
            }
            (Some(ticket), None, Some(service)) => self.call_once(service, from, call, &ticket),
            (None, None, Some(service)) => {
                self.calls.set(self.calls.get() + 1);
                actix_rt::spawn(Rc::clone(self).run_call(service, from, call));
            }
            (_, None, None) => {}
        }
    }

    /// Runs a call that must not repeat, if its ticket allows it.
    fn call_once(
        self: &Rc<Self>,
        service: Rc<dyn Service>,
        from: Address,
        call: Call,
        ticket: &Ticket,
    ) {
        let now = self.clock.now();
        let deadline = now + call.deadline;
        let accept = self
            .tickets
            .borrow_mut()
            .accept(now, wall_ms(), ticket, deadline);
        match accept {
            Accept::Reply(reply) => {
                self.reply_ticket(&from, call.req, ticket.id, TicketRequest::Dispatch, reply);
            }
            Accept::Run => {
                self.calls.set(self.calls.get() + 1);
                let agent = Rc::clone(self);
                actix_rt::spawn(agent.run_once(service, from, call, ticket.id));
            }
        }
    }

    async fn run_once(
        self: Rc<Self>,
        service: Rc<dyn Service>,
        from: Address,
        call: Call,
        ticket: TicketId,
    ) {
        let req = call.req;
        let started = self.tickets.borrow_mut().start(self.clock.now(), ticket);
        let reply = match started {
            Err(reply) => reply,
            Ok(()) => {
                let result = service.call(service_call(call)).await;
                self.settle(ticket, result)
            }
        };
        self.calls.set(self.calls.get() - 1);
        self.reply_ticket(&from, req, ticket, TicketRequest::Dispatch, reply);
    }

    fn settle(&self, ticket: TicketId, result: Result<ServiceAnswer, ServiceError>) -> TicketReply {
        let mut tickets = self.tickets.borrow_mut();
        match result {
            Ok(answer) => {
                let body = Some(Arc::from(&answer.body[..]));
                tickets.finish(
                    ticket,
                    Some(Answer {
                        status: answer.status,
                        body,
                    }),
                )
            }
            Err(e) if e.may_have_run() => tickets.finish(ticket, None),
            // No connection was made, so the call did not reach the service.
            Err(_) => tickets.withdraw_running(ticket),
        }
    }

    /// Says what became of a ticket, and burns it if it has never been seen.
    pub(super) fn probe(&self, from: &Address, req: RequestId, ticket: &Ticket) {
        let reply = self.tickets.borrow_mut().probe(wall_ms(), ticket);
        self.reply_ticket(from, req, ticket.id, TicketRequest::Probe, reply);
    }

    /// Says what became of a ticket and leaves it as it is.
    pub(super) fn peek(&self, from: &Address, req: RequestId, ticket: &Ticket) {
        let reply = self.tickets.borrow_mut().peek(wall_ms(), ticket);
        self.reply_ticket(from, req, ticket.id, TicketRequest::Peek, reply);
    }

    fn reply_ticket(
        &self,
        to: &Address,
        req: RequestId,
        ticket: TicketId,
        asked: TicketRequest,
        reply: TicketReply,
    ) {
        self.send(
            to,
            Frame::TicketReply {
                req,
                ticket,
                asked,
                reply,
            },
        );
    }

    fn refusal(&self) -> Option<&'static str> {
        if self.service.is_none() {
            Some("not_a_service")
        } else if self.leaving.get() {
            Some("leaving")
        } else if self.calls.get() >= self.max_calls {
            Some("overloaded")
        } else {
            None
        }
    }

    async fn run_call(self: Rc<Self>, service: Rc<dyn Service>, from: Address, call: Call) {
        let req = call.req;
        let result = service.call(service_call(call)).await;
        self.calls.set(self.calls.get() - 1);
        self.reply(&from, req, outcome(result));
    }

    fn reply(&self, to: &Address, req: RequestId, outcome: CallOutcome) {
        self.send(to, Frame::CallReply(Box::new(CallReply { req, outcome })));
    }
}

fn service_call(call: Call) -> ServiceCall {
    ServiceCall {
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        must_not_repeat: call.ticket.is_some(),
        timeout: Some(call.deadline),
    }
}

fn outcome(result: Result<ServiceAnswer, ServiceError>) -> CallOutcome {
    match result {
        Ok(answer) => CallOutcome::Answer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        },
        Err(e) if e.may_have_run() => CallOutcome::Unknown {
            reason: "target_answer_lost".into(),
        },
        Err(_) => CallOutcome::Refused {
            reason: "target_unreachable".into(),
        },
    }
}

const fn ticket_reason(reason: &str) -> NotRunReason {
    match reason.as_bytes() {
        b"leaving" => NotRunReason::Leaving,
        _ => NotRunReason::Overloaded,
    }
}

/// Wall clock in milliseconds since 1970.
fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
