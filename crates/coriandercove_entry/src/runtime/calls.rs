//! Calls to plain services that wait for their agents.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::telemetry::count;
use coriandercove_base::{NodeId, RequestId, TargetId};
use coriandercove_peer::{Address, Call, CallOutcome, CallReply, Frame};
use tokio::sync::oneshot;

use super::Inner;

/// Replicas tried for one call.
const MAX_TRIES: usize = 3;
/// Time beyond a call's deadline that its agent gets to answer that the deadline has passed.
const REPLY_ALLOWANCE: Duration = Duration::from_millis(100);

/// Calls that wait for their agents.
#[derive(Default)]
pub struct Calls {
    waiting: RefCell<HashMap<RequestId, (NodeId, oneshot::Sender<CallOutcome>)>>,
}

impl Calls {
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn wait(&self, req: RequestId, node: NodeId) -> oneshot::Receiver<CallOutcome> {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(req, (node, tx));
        rx
    }

    /// An agent answered.
    pub fn reply(&self, reply: CallReply) {
        self.settle(reply.req, reply.outcome);
    }

    /// The call never left this process.
    pub fn not_sent(&self, req: RequestId) {
        self.settle(
            req,
            CallOutcome::Refused {
                reason: "agent_unreachable".into(),
            },
        );
    }

    /// The link to an agent closed; its calls may have run. Calls that never left are settled
    /// before by [`Calls::not_sent`] or were not registered.
    pub fn link_down(&self, node: &NodeId) {
        let waiting = self.waiting.borrow();
        let lost: Vec<_> = waiting
            .iter()
            .filter(|(_, (n, _))| n == node)
            .map(|(req, _)| *req)
            .collect();
        drop(waiting);
        for req in lost {
            self.settle(
                req,
                CallOutcome::Unknown {
                    reason: "agent_link_lost".into(),
                },
            );
        }
    }

    fn settle(&self, req: RequestId, outcome: CallOutcome) {
        if let Some((_, tx)) = self.waiting.borrow_mut().remove(&req) {
            // The caller may have gone away meanwhile.
            let _ = tx.send(outcome);
        }
    }
}

impl Inner {
    /// Runs a call that may repeat: tries further replicas if one does not answer it.
    pub async fn call_repeatable(&self, call: Call) -> CallOutcome {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut last = CallOutcome::Refused {
            reason: "no_target".into(),
        };
        while tried.len() < MAX_TRIES {
            let Some(to) = self
                .core
                .borrow_mut()
                .router_mut()
                .choose_replica(&call.service, &tried)
            else {
                return last;
            };
            if !tried.is_empty() {
                count(&self.retries, "reason", "call");
            }
            tried.push(to.node.clone());
            last = self.call_agent(&to, call.clone()).await;
            if matches!(last, CallOutcome::Answer { .. }) {
                return last;
            }
        }
        last
    }

    /// Sends a call to one agent and waits for its answer or the deadline.
    async fn call_agent(&self, to: &Address, call: Call) -> CallOutcome {
        let (req, deadline) = (call.req, call.deadline);
        let rx = self.calls.wait(req, to.node.clone());
        let sent = self
            .links
            .get()
            .map(|links| links.send(to, Frame::Call(Box::new(call))));
        if !matches!(sent, Some(Ok(()))) {
            self.calls.not_sent(req);
        }
        match tokio::time::timeout(deadline + REPLY_ALLOWANCE, rx).await {
            Ok(Ok(outcome)) => outcome,
            _ => {
                self.calls.waiting.borrow_mut().remove(&req);
                CallOutcome::Unknown {
                    reason: "deadline_passed".into(),
                }
            }
        }
    }
}
