//! Finds the stage that blocks a stalled chain by asking all its stages for their progress.

use std::time::Duration;

use coriandercove_base::{NodeId, RequestId, Time};
use coriandercove_peer::{Address, Frame, StageProgress};

use super::stream::Stream;
use super::{Core, CoreAction};

/// Timeout of the replies of agents. It is a few round trips within a region; an agent that needs
/// longer is too slow for its streams.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// A query for the progress of all stages of a chain, with the replies so far.
pub struct ProgressQuery {
    since: Time,
    replies: Vec<(NodeId, StageProgress)>,
}

/// The decision about a stalled chain.
pub enum StallDecision {
    /// Query the stages, for the first time or again.
    Query,
    /// Wait for replies, or for a token if all stages replied that they are open.
    Wait,
    /// Replace the stages with these indices. Without any, all stages are kept in a new attempt,
    /// because only frames between them can have been lost.
    Replace(Vec<u16>),
}

impl ProgressQuery {
    /// Decides by the replies of `agents`, which are in the order of the chain. Closed stages are
    /// replaced at once, stages without a reply after the timeout. If all stages are open and the
    /// chain is overdue, the running stages with the lowest position are replaced.
    fn stall_decision(&self, agents: &[Address], is_overdue: bool, now: Time) -> StallDecision {
        let has_time = now.saturating_sub(self.since) < REPLY_TIMEOUT;
        let reply_of = |agent: &Address| self.replies.iter().find(|(node, _)| *node == agent.node);
        let silent = indices(agents, |a| reply_of(a).is_none());
        let closed = indices(agents, |a| reply_of(a).is_some_and(|(_, p)| !p.open));
        if !closed.is_empty() {
            return StallDecision::Replace(closed);
        }
        if !silent.is_empty() {
            return if has_time {
                StallDecision::Wait
            } else {
                StallDecision::Replace(silent)
            };
        }
        if is_overdue {
            let running_position = |a: &Address| {
                reply_of(a)
                    .filter(|(_, p)| p.running)
                    .map(|(_, p)| p.next_out)
            };
            let lowest = agents.iter().filter_map(running_position).min();
            return StallDecision::Replace(indices(agents, |a| {
                lowest.is_some() && running_position(a) == lowest
            }));
        }
        if has_time {
            StallDecision::Wait
        } else {
            StallDecision::Query
        }
    }
}

/// Returns the indices of the agents that match.
fn indices(agents: &[Address], is_in: impl Fn(&Address) -> bool) -> Vec<u16> {
    let found = (0..).zip(agents).filter(|(_, agent)| is_in(agent));
    found.map(|(i, _)| i).collect()
}

impl Core {
    /// Handles an agent's report of a stage's progress. Reports about other attempts are ignored.
    pub fn on_progress(&mut self, from: &NodeId, progress: &StageProgress) {
        let Some(stream) = self.streams.get_mut(&progress.req) else {
            return;
        };
        let is_current = stream.attempt() == progress.attempt;
        if let Some(progress_query) = stream.progress_query.as_mut().filter(|_| is_current) {
            progress_query.replies.retain(|(node, _)| node != from);
            progress_query.replies.push((from.clone(), *progress));
        }
    }

    /// Sends a progress query to all stages of a stalled chain.
    pub(super) fn query_progress(&mut self, now: Time, req: RequestId) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        stream.progress_query = Some(ProgressQuery {
            since: now,
            replies: Vec::new(),
        });
        let attempt = stream.attempt();
        for agent in stream.agents() {
            let query = Frame::AskProgress { req, attempt };
            self.actions.push(CoreAction::Send(agent.clone(), query));
        }
    }
}

/// Decides about a stream whose chain has stalled; the first step is a query.
pub fn stall_decision(stream: &Stream, now: Time) -> StallDecision {
    stream
        .progress_query
        .as_ref()
        .map_or(StallDecision::Query, |progress_query| {
            progress_query.stall_decision(stream.agents(), stream.is_overdue(now), now)
        })
}
