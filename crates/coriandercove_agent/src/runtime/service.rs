//! Calls to the plain service, and the check that stages run only on an engine.

use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use coriandercove_base::byte_budget::{BASE_BYTES, accounted};
use coriandercove_base::telemetry::count;
use coriandercove_base::{Clock, RequestId, TicketId};
use coriandercove_peer::{Address, Call, CallOutcome, CallReply, Frame, OpenStage, TicketRequest};
use coriandercove_state::ticket::{Accept, Answer, NotRunReason, Ticket, TicketReply};
use coriandercove_target::{Service, ServiceAnswer, ServiceCall, ServiceError};

use super::Inner;

impl Inner {
    /// Opens a stage if the target is an engine; drops the frame otherwise.
    pub(super) fn open_stage(&self, open: OpenStage) {
        if self.driver.get().is_some() {
            self.stages.borrow_mut().open(self.clock.now(), open);
        } else {
            count(&self.dropped, "reason", "not_an_engine");
        }
    }

    /// Runs a call on the service and answers the entry. A call with a ticket must not be repeated,
    /// so its ticket decides whether it runs; refusing such a call also records the refusal for the
    /// ticket.
    pub(super) fn call(self: &Rc<Self>, from: Address, mut call: Call) {
        let share = self.bytes.admit(BASE_BYTES + call.body.len());
        let refusal = self.refusal().or(share.is_none().then_some("memory"));
        if let Some(share) = share {
            call.body = accounted(call.body, share);
        }
        if let Some(reason) = refusal {
            count(&self.refused, "reason", reason);
        }
        match (call.ticket.clone(), refusal, self.service.clone()) {
            (Some(ticket), Some(reason), _) => {
                let reason = ticket_reason(reason);
                let reply = self
                    .tickets
                    .borrow_mut()
                    .refuse(unix_time_ms(), &ticket, reason);
                self.reply_ticket(&from, call.req, ticket.id, TicketRequest::Dispatch, reply);
            }
            (None, Some(reason), _) => {
                let outcome = CallOutcome::Refused {
                    reason: reason.to_owned(),
                };
                self.reply(&from, call.req, outcome);
            }
            (Some(ticket), None, Some(service)) => {
                self.call_with_ticket(service, from, call, &ticket);
            }
            (None, None, Some(service)) => {
                self.calls.set(self.calls.get() + 1);
                actix_rt::spawn(Rc::clone(self).run_call(service, from, call));
            }
            (_, None, None) => {}
        }
    }

    /// Runs a call that must not be repeated, unless its ticket has been used or is not valid.
    fn call_with_ticket(
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
            .accept(now, unix_time_ms(), ticket, deadline);
        match accept {
            Accept::Reply(reply) => {
                self.reply_ticket(&from, call.req, ticket.id, TicketRequest::Dispatch, reply);
            }
            Accept::Run => {
                self.calls.set(self.calls.get() + 1);
                let agent = Rc::clone(self);
                actix_rt::spawn(agent.run_with_ticket(service, from, call, ticket.id));
            }
        }
    }

    async fn run_with_ticket(
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
                self.record_result(ticket, result)
            }
        };
        self.calls.set(self.calls.get() - 1);
        self.reply_ticket(&from, req, ticket, TicketRequest::Dispatch, reply);
    }

    /// Records what became of a call with a ticket, and returns the reply to the entry.
    fn record_result(
        &self,
        ticket: TicketId,
        result: Result<ServiceAnswer, ServiceError>,
    ) -> TicketReply {
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
            // No connection to the service was made, so the call did not run.
            Err(_) => tickets.withdraw_running(ticket),
        }
    }

    /// Replies with the state of a ticket, and invalidates the ticket if it is not known, so that
    /// its call cannot run later.
    pub(super) fn probe(&self, from: &Address, req: RequestId, ticket: &Ticket) {
        let reply = self.tickets.borrow_mut().probe(unix_time_ms(), ticket);
        self.reply_ticket(from, req, ticket.id, TicketRequest::Probe, reply);
    }

    /// Replies with the state of a ticket without changing it.
    pub(super) fn peek(&self, from: &Address, req: RequestId, ticket: &Ticket) {
        let reply = self.tickets.borrow_mut().peek(unix_time_ms(), ticket);
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

    /// Reason to refuse a call now, or `None`. Also a label of the counter of refusals.
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

    /// Runs a call without a ticket.
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
        timeout: Some(call.deadline),
    }
}

/// Maps the service's result to the outcome of a call without a ticket.
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

/// Wall clock time in milliseconds since the Unix epoch; tickets carry it as their time of issue.
fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
