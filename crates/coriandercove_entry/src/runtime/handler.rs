//! Dispatches received frames and link events to the components of the entry.

use std::cell::OnceCell;
use std::rc::Rc;

use coriandercove_base::telemetry::count;
use coriandercove_base::{Clock, NodeId};
use coriandercove_peer::{Address, Frame, LinkHandler, PeerInfo, TicketRequest};

use coriandercove_state::once::Event;

use super::Inner;

/// Dispatches received frames and link events to the components of the entry. Ignores them until
/// the cell is filled.
pub struct Handler {
    entry: Rc<OnceCell<Rc<Inner>>>,
}

impl Handler {
    pub const fn new(entry: Rc<OnceCell<Rc<Inner>>>) -> Self {
        Self { entry }
    }
}

impl LinkHandler for Handler {
    fn on_frame(&self, from: &PeerInfo, frame: Frame) {
        let Some(entry) = self.entry.get() else {
            return;
        };
        let now = entry.clock.now();
        let Some(frame) = entry.control_frame(from, frame) else {
            return entry.run_actions();
        };
        match frame {
            Frame::Token(token) => entry
                .core
                .borrow_mut()
                .on_token(now, &from.address(), &token),
            Frame::StageFailed(failure) => entry.core.borrow_mut().stage_failed(now, &failure),
            Frame::Progress(progress) => {
                entry.core.borrow_mut().on_progress(&from.node, &progress);
            }
            Frame::Leaving => entry.core.borrow_mut().member_leaving(now, &from.node),
            Frame::CallReply(reply) => entry.calls.reply(*reply),
            Frame::TicketReply {
                req,
                ticket,
                asked,
                reply,
            } => match asked {
                TicketRequest::Dispatch => entry.ticket_reply(req, ticket, reply),
                TicketRequest::Probe => entry.probe_done(req, ticket, Some(reply)),
                TicketRequest::Peek => entry.peek_done(req, Some(reply)),
            },
            Frame::ForwardClaim {
                id,
                service,
                change,
            } => {
                let (from, service) = (from.node.clone(), service.into());
                entry.once_event(Event::Forwarded {
                    from,
                    id,
                    service,
                    change: *change,
                });
            }
            Frame::ClaimResult { id, result } => entry.forward_ended(id, Some(*result)),
            _ => count(&entry.dropped, "reason", "unexpected"),
        }
        entry.run_actions();
    }

    fn on_down(&self, node: &NodeId) {
        let Some(entry) = self.entry.get() else {
            return;
        };
        entry.core.borrow_mut().link_down(entry.clock.now(), node);
        entry.calls.link_down(node);
        if let Some(control) = entry.control.get() {
            control.config.on_link_down(node);
        }
        entry.once_link_down(node);
        entry.run_actions();
    }

    fn on_undelivered(&self, to: &Address, frames: Vec<Frame>) {
        let Some(entry) = self.entry.get() else {
            return;
        };
        for frame in frames {
            if let Some(control) = entry.control.get() {
                control.config.on_undelivered(&to.node, &frame);
            }
            match &frame {
                Frame::Call(call) => match &call.ticket {
                    Some(ticket) => entry.once_not_sent(ticket.id),
                    None => entry.calls.not_sent(call.req),
                },
                Frame::Peek { req, .. } => entry.peek_done(*req, None),
                Frame::ForwardClaim { id, .. } => entry.forward_ended(*id, None),
                Frame::Probe { req, ticket } => entry.probe_done(*req, ticket.id, None),
                _ => {}
            }
            entry
                .core
                .borrow_mut()
                .undelivered(entry.clock.now(), to, &frame);
        }
        entry.run_actions();
    }
}
