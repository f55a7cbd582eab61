//! Dispatches frames and link events of peers to the agent.

use std::rc::{Rc, Weak};

use coriandercove_base::telemetry::count;
use coriandercove_base::{Clock, NodeId};
use coriandercove_peer::{Address, Frame, LinkHandler, PeerInfo};

use super::Inner;

/// Handler of the agent's links. It holds a weak reference, because the agent owns the links and
/// they own the handler.
pub struct Handler {
    agent: Weak<Inner>,
}

impl Handler {
    pub fn new(agent: &Rc<Inner>) -> Self {
        Self {
            agent: Rc::downgrade(agent),
        }
    }
}

impl LinkHandler for Handler {
    fn on_frame(&self, from: &PeerInfo, frame: Frame) {
        let Some(agent) = self.agent.upgrade() else {
            return;
        };
        let now = agent.clock.now();
        let Some(frame) = agent.handle_control_frame(from, frame) else {
            return;
        };
        match frame {
            Frame::OpenStage(open) => agent.open_stage(*open),
            Frame::Feed(feed) => agent.stages.borrow_mut().feed(&feed),
            Frame::Activation(activation) => agent.stages.borrow_mut().activation(activation),
            Frame::Credit {
                req,
                attempt,
                up_to,
            } => {
                agent.stages.borrow_mut().credit(req, attempt, up_to);
            }
            Frame::CancelStage { req, attempt } => {
                agent.stages.borrow_mut().cancel(now, req, attempt);
            }
            Frame::AskProgress { req, attempt } => {
                let from = from.address();
                agent.stages.borrow_mut().ask_progress(from, req, attempt);
            }
            Frame::Call(call) => agent.call(from.address(), *call),
            Frame::Probe { req, ticket } => agent.probe(&from.address(), req, &ticket),
            Frame::Peek { req, ticket } => agent.peek(&from.address(), req, &ticket),
            _ => count(&agent.dropped, "reason", "unexpected"),
        }
        agent.flush();
    }

    fn on_down(&self, node: &NodeId) {
        let Some(agent) = self.agent.upgrade() else {
            return;
        };
        agent.stages.borrow_mut().link_down(agent.clock.now(), node);
        if let Some(control) = agent.control.get() {
            control.config.on_link_down(node);
        }
        agent.flush();
    }

    fn on_undelivered(&self, to: &Address, frames: Vec<Frame>) {
        let Some(agent) = self.agent.upgrade() else {
            return;
        };
        for frame in frames {
            if let Some(control) = agent.control.get() {
                control.config.on_undelivered(&to.node, &frame);
            }
            agent.stages.borrow_mut().undelivered(to, &frame);
        }
        agent.flush();
    }
}
