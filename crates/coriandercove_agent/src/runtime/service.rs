//! Calls to the plain service beside the agent.

use std::rc::Rc;

use coriandercove_base::telemetry::count;
use coriandercove_peer::{Address, Call, CallOutcome, CallReply, Frame, OpenStage};
use coriandercove_target::{Service, ServiceCall, ServiceError};

use super::Inner;

impl Inner {
    /// Opens a stage, unless the target is no engine.
    pub(super) fn open_stage(&self, open: OpenStage) {
        if self.driver.get().is_some() {
            self.stages.borrow_mut().open(open);
        } else {
            count(&self.dropped, "reason", "not_an_engine");
        }
    }

    /// Runs a call and answers the entry.
    pub(super) fn call(self: &Rc<Self>, from: Address, call: Call) {
        match self.refusal() {
            Some(reason) => {
                count(&self.refused, "reason", reason);
                let outcome = CallOutcome::Refused {
                    reason: reason.to_owned(),
                };
                self.reply(&from, call.req, outcome);
            }
            None => {
                if let Some(service) = self.service.clone() {
                    self.calls.set(self.calls.get() + 1);
                    actix_rt::spawn(Rc::clone(self).run_call(service, from, call));
                }
            }
        }
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

    fn reply(&self, to: &Address, req: coriandercove_base::RequestId, outcome: CallOutcome) {
        self.send(to, Frame::CallReply(Box::new(CallReply { req, outcome })));
    }
}

fn service_call(call: Call) -> ServiceCall {
    ServiceCall {
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        once: call.ticket.is_some(),
        timeout: Some(call.deadline),
    }
}

fn outcome(result: Result<coriandercove_target::ServiceAnswer, ServiceError>) -> CallOutcome {
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
