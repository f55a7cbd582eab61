//! Calls to plain services that may be repeated, until their agents reply.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::telemetry::count;
use coriandercove_base::{NodeId, RequestId, TargetId};
use coriandercove_peer::{Address, Call, CallOutcome, CallReply, Frame};
use tokio::sync::oneshot;

use super::Inner;

/// Maximum number of replicas tried for one call.
const MAX_ATTEMPTS: usize = 3;
/// Time beyond a call's deadline for which the entry still waits, so that the agent's own reply
/// that the deadline has passed can arrive.
const REPLY_ALLOWANCE: Duration = Duration::from_millis(100);

/// Calls that were sent to an agent and wait for its reply.
#[derive(Default)]
pub struct PendingCalls {
    /// Agent of each call and the channel for its outcome.
    waiting: RefCell<HashMap<RequestId, (NodeId, oneshot::Sender<CallOutcome>)>>,
}

impl PendingCalls {
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn wait(&self, req: RequestId, node: NodeId) -> oneshot::Receiver<CallOutcome> {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(req, (node, tx));
        rx
    }

    /// Completes a call with the reply of its agent.
    pub fn reply(&self, reply: CallReply) {
        self.complete(reply.req, reply.outcome);
    }

    /// Completes a call that was never sent as refused.
    pub fn not_sent(&self, req: RequestId) {
        self.complete(
            req,
            CallOutcome::Refused {
                reason: "agent_unreachable".into(),
            },
        );
    }

    /// Completes the calls of an agent whose link closed with an unknown outcome, because they may
    /// have run. Calls that were never sent are already completed by [`PendingCalls::not_sent`] or
    /// were not registered.
    pub fn link_down(&self, node: &NodeId) {
        let waiting = self.waiting.borrow();
        let lost: Vec<_> = waiting
            .iter()
            .filter(|(_, (n, _))| n == node)
            .map(|(req, _)| *req)
            .collect();
        drop(waiting);
        for req in lost {
            self.complete(
                req,
                CallOutcome::Unknown {
                    reason: "agent_link_lost".into(),
                },
            );
        }
    }

    fn complete(&self, req: RequestId, outcome: CallOutcome) {
        if let Some((_, tx)) = self.waiting.borrow_mut().remove(&req) {
            // The receiver is dropped if the caller has disconnected.
            let _ = tx.send(outcome);
        }
    }
}

impl Inner {
    /// Runs a call that may be repeated: tries further replicas until one answers.
    pub async fn call_repeatable(&self, call: Call) -> CallOutcome {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut last = CallOutcome::Refused {
            reason: "no_target".into(),
        };
        while tried.len() < MAX_ATTEMPTS {
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

    /// Sends a call to one agent and waits for its reply or the deadline.
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
