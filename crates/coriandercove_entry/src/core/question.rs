//! Finding the stage that holds a stalled stream up, by asking all of its stages.

use std::time::Duration;

use coriandercove_base::{NodeId, RequestId, Time};
use coriandercove_peer::{Address, Frame, StageProgress};

use super::stream::Stream;
use super::{Core, CoreAction};

/// Time that agents get to answer. A few round trips within a region; an agent that needs longer
/// is too slow for its streams.
const ANSWER_WAIT: Duration = Duration::from_millis(150);

/// A question to the stages of a chain.
pub struct Question {
    since: Time,
    answers: Vec<(NodeId, StageProgress)>,
}

/// What to do about a stalled chain.
pub enum Verdict {
    /// Ask the stages, for the first time or again.
    Ask,
    /// Wait for answers, or for a chain whose stages work.
    Wait,
    /// Replace the stages with these indices; with none, only frames between stages are lost.
    Replace(Vec<u16>),
}

impl Question {
    /// What the answers of `agents`, in the order of the chain, tell.
    fn verdict(&self, agents: &[Address], is_overdue: bool, now: Time) -> Verdict {
        let has_time = now.saturating_sub(self.since) < ANSWER_WAIT;
        let of = |agent: &Address| self.answers.iter().find(|(node, _)| *node == agent.node);
        let silent = indices(agents, |a| of(a).is_none());
        let closed = indices(agents, |a| of(a).is_some_and(|(_, p)| !p.open));
        if !closed.is_empty() {
            return Verdict::Replace(closed);
        }
        if !silent.is_empty() {
            return if has_time {
                Verdict::Wait
            } else {
                Verdict::Replace(silent)
            };
        }
        if is_overdue {
            let busy = |a: &Address| of(a).filter(|(_, p)| p.running).map(|(_, p)| p.next_out);
            let behind = agents.iter().filter_map(busy).min();
            return Verdict::Replace(indices(agents, |a| behind.is_some() && busy(a) == behind));
        }
        if has_time {
            Verdict::Wait
        } else {
            Verdict::Ask
        }
    }
}

fn indices(agents: &[Address], is_in: impl Fn(&Address) -> bool) -> Vec<u16> {
    let found = (0..).zip(agents).filter(|(_, agent)| is_in(agent));
    found.map(|(i, _)| i).collect()
}

impl Core {
    /// An agent tells how far a stage has come.
    pub fn progress(&mut self, from: &NodeId, progress: &StageProgress) {
        let Some(stream) = self.streams.get_mut(&progress.req) else {
            return;
        };
        let is_current = stream.attempt() == progress.attempt;
        if let Some(question) = stream.question.as_mut().filter(|_| is_current) {
            question.answers.retain(|(node, _)| node != from);
            question.answers.push((from.clone(), *progress));
        }
    }

    /// Asks all stages of a stalled chain how far they have come.
    pub(super) fn ask(&mut self, now: Time, req: RequestId) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        stream.question = Some(Question {
            since: now,
            answers: Vec::new(),
        });
        let attempt = stream.attempt();
        for agent in stream.agents() {
            let ask = Frame::AskProgress { req, attempt };
            self.actions.push(CoreAction::Send(agent.clone(), ask));
        }
    }
}

/// What to do about a stream whose chain has stalled.
pub fn verdict(stream: &Stream, now: Time) -> Verdict {
    stream.question.as_ref().map_or(Verdict::Ask, |question| {
        question.verdict(stream.agents(), stream.is_overdue(now), now)
    })
}
