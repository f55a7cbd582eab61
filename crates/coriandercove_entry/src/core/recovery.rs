//! Recovery of streams: moves them to other chains after failures and stalls.

use std::time::Duration;

use coriandercove_base::{Position, RequestId, Time};
use coriandercove_caller::Outcome;
use coriandercove_peer::StageFailureReason;
use coriandercove_policy::RefusalReason;
use coriandercove_policy::chain::{Chain, ChainHop};
use coriandercove_policy::explain::Refusal;
use coriandercove_policy::retry::{FailedAttempt, Failure};

use super::progress_query::{StallDecision, stall_decision};
use super::stream::{CHAIN_RETRY, Stream};
use super::{Core, CoreAction, DOWN_FOR};

/// Backoff of a stream that the retry budget does not allow to move again, so that streams that
/// fail everywhere do not load the targets with prefills. When two stages die together, most
/// streams move twice, and both moves must fit into the recovery goal of 1 s.
const MOVE_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of attempts of one stream. Each failure excludes a target, so further attempts
/// would have little hope of success.
const MAX_ATTEMPTS: u32 = 12;

impl Core {
    /// Moves a stream after an agent reported the failure of `stage`. `label` is the reason in the
    /// metric of retries.
    pub(super) fn recover(
        &mut self,
        now: Time,
        req: RequestId,
        stage: Option<u16>,
        label: &'static str,
        reason: StageFailureReason,
    ) {
        let lost = match (reason, stage) {
            // The outputs that a rebuilt stage needs are no longer retained upstream, so the whole
            // chain is replaced.
            (StageFailureReason::ReplayUnavailable, _) | (_, None) => StageLoss::default(),
            (reason, Some(stage)) => StageLoss {
                stages: vec![stage],
                // The target works; only the state that the attempt builds on is lost.
                may_reuse_targets: reason == StageFailureReason::StateLost,
                keep_survivors: true,
            },
        };
        self.move_stream(now, req, &lost, label);
    }

    /// Moves a stream whose stage at index `stage` is unreachable.
    pub(super) fn recover_unreachable(
        &mut self,
        now: Time,
        req: RequestId,
        stage: u16,
        label: &'static str,
    ) {
        self.move_stream(now, req, &StageLoss::of_stages(vec![stage]), label);
    }

    /// Handles passed deadlines, stalled chains and streams that wait for a chain.
    pub(super) fn check_streams(&mut self, now: Time) {
        let mut reqs: Vec<(RequestId, DueAction)> = self
            .streams
            .values()
            .filter_map(|s| Some((s.req(), due_action(s, now)?)))
            .collect();
        // The order of the map is random; sorting keeps runs with one seed repeatable.
        reqs.sort_unstable_by_key(|(req, _)| *req);
        for (req, action) in reqs {
            match action {
                DueAction::Deadline => self.give_up(now, req, RefusalReason::DeadlinePassed),
                DueAction::QueryProgress => self.query_progress(now, req),
                DueAction::Replace(stages) => {
                    self.move_stream(now, req, &StageLoss::of_stages(stages), "stalled");
                }
                DueAction::FindChain => self.find_chain(now, req),
            }
        }
    }

    /// Moves a stream to another chain, on which it continues with the next token. The first move
    /// after a token is immediate; a further one needs the retry budget or waits for
    /// [`MOVE_BACKOFF`].
    fn move_stream(&mut self, now: Time, req: RequestId, lost: &StageLoss, label: &'static str) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        if stream.attempt() >= MAX_ATTEMPTS {
            return self.give_up(now, req, RefusalReason::AttemptsFailed);
        }
        let Some(old) = stream.release_chain(&mut self.router) else {
            return;
        };
        let is_first = stream.record_move();
        let deadline = stream.deadline();
        if lost.keep_survivors && lost.stages.is_empty() && !is_first {
            // The chain stalled again although all its stages replied, so it is excluded as long as
            // other targets can be chosen.
            old.hops
                .iter()
                .for_each(|h| stream.exclude(h.target.clone()));
            old.hops.iter().for_each(|h| stream.mark_lost(&h.target));
        }
        let stages = lost.stages.iter();
        for hop in stages.filter_map(|i| old.hops.get(usize::from(*i))) {
            stream.mark_lost(&hop.target);
            if !lost.may_reuse_targets {
                stream.exclude(hop.target.clone());
            }
        }
        self.actions.push(CoreAction::Retried(label));
        let at_once = is_first || self.may_move_again(now, deadline);
        let repair = if at_once && lost.keep_survivors {
            self.repair(now, req, &old, lost)
        } else {
            None
        };
        self.cancel_unused(req, &old, repair.as_ref());
        match repair {
            Some((chain, held)) => self.start_on(now, req, chain, &held),
            None if at_once => self.find_chain(now, req),
            None => {
                if let Some(stream) = self.streams.get_mut(&req) {
                    stream.wait_for_chain(now, MOVE_BACKOFF);
                }
            }
        }
    }

    /// Returns whether the retry budget allows a further move since the stream's last token. A
    /// stream whose move is not allowed waits; it is not aborted.
    fn may_move_again(&mut self, now: Time, deadline: Time) -> bool {
        let attempt = FailedAttempt {
            failure: Failure::Unknown,
            repeatable: true,
            attempts: 1,
            deadline,
        };
        self.retry.decide(now, &attempt, &mut self.rng).is_ok()
    }

    /// Chooses a chain that keeps the surviving stages with their state and replaces the lost ones,
    /// and returns it with the number of positions whose state each stage holds. It is possible
    /// only after the first token, because only then do all stages hold the same positions.
    fn repair(
        &mut self,
        now: Time,
        req: RequestId,
        old: &Chain,
        lost: &StageLoss,
    ) -> Option<(Chain, Vec<Position>)> {
        let stream = self.streams.get(&req)?;
        // A stage that was still being rebuilt when the chain failed is rebuilt from the start.
        let is_lost =
            |hop: &ChainHop| !stream.is_intact(&hop.target) || self.router.is_down(&hop.target);
        let rebuild: Vec<bool> = old.hops.iter().map(is_lost).collect();
        if stream.emitted().is_empty() || !rebuild.contains(&false) {
            return None;
        }
        let held = stream.next_position() - 1;
        let mut requirements = stream.chain_requirements();
        let excluded = old
            .hops
            .iter()
            .zip(&rebuild)
            .filter(|(_, r)| !**r || !lost.may_reuse_targets);
        requirements
            .exclude
            .extend(excluded.map(|(hop, _)| hop.target.clone()));
        let mut hops: Vec<ChainHop> = Vec::new();
        let mut positions = Vec::new();
        for (i, hop) in old.hops.iter().enumerate() {
            if rebuild[i] {
                requirements.exclude.sort();
                requirements.exclude.dedup();
                let replacement = self
                    .router
                    .choose_replacement(&requirements, old, i, now, &mut self.rng)
                    .ok()?;
                requirements
                    .exclude
                    .extend(replacement.hops.iter().map(|h| h.target.clone()));
                positions.extend(replacement.hops.iter().map(|_| 0));
                hops.extend(replacement.hops);
            } else {
                positions.push(held);
                hops.push(hop.clone());
            }
        }
        Some((
            Chain {
                hops,
                ..old.clone()
            },
            positions,
        ))
    }

    /// Cancels the stages of the old chain whose targets the new one does not use.
    fn cancel_unused(&mut self, req: RequestId, old: &Chain, new: Option<&(Chain, Vec<Position>)>) {
        let Some(stream) = self.streams.get(&req) else {
            return;
        };
        for hop in &old.hops {
            let used = new.is_some_and(|(c, _)| c.hops.iter().any(|h| h.target == hop.target));
            if used {
                continue;
            }
            self.actions.extend(stream.cancel_at(&hop.target));
        }
    }

    /// Starts a stream on a chain whose stages hold state up to the positions in `held`.
    fn start_on(&mut self, now: Time, req: RequestId, chain: Chain, held: &[Position]) {
        if let Some(stream) = self.streams.get_mut(&req) {
            stream.begin_with(
                now,
                chain,
                held,
                &mut self.router,
                &self.cfg,
                &mut self.actions,
            );
        }
    }

    /// Starts a stream on a new chain. If there is none, the stream waits and may then use the
    /// targets again that failed it.
    fn find_chain(&mut self, now: Time, req: RequestId) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        match self
            .router
            .choose_chain(&stream.chain_requirements(), now, &mut self.rng)
        {
            Ok(chain) => {
                let held = vec![0; chain.hops.len()];
                self.start_on(now, req, chain, &held);
            }
            Err(_) => {
                stream.forget_failures();
                stream.wait_for_chain(now, CHAIN_RETRY);
            }
        }
    }

    /// Ends a stream without a complete response.
    pub(super) fn give_up(&mut self, now: Time, req: RequestId, reason: RefusalReason) {
        if let Some(stream) = self.streams.remove(&req) {
            let outcome = if stream.may_have_run() {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            };
            self.admission.cancel(now, req);
            self.end(now, stream);
            let refusal = Refusal {
                reason,
                retry_after: DOWN_FOR,
            };
            self.refuse(req, refusal, outcome);
        }
    }
}

/// Which stages of a chain a failure affects. By default no stage is kept.
#[derive(Default)]
struct StageLoss {
    /// Indices of the stages to replace.
    stages: Vec<u16>,
    /// Whether the same targets may rebuild these stages.
    may_reuse_targets: bool,
    /// Whether the other stages are kept with their state.
    keep_survivors: bool,
}

impl StageLoss {
    /// The stages at these indices and their targets are lost; the others are kept.
    const fn of_stages(stages: Vec<u16>) -> Self {
        Self {
            stages,
            may_reuse_targets: false,
            keep_survivors: true,
        }
    }
}

/// What is due for a stream at a tick.
enum DueAction {
    Deadline,
    QueryProgress,
    Replace(Vec<u16>),
    FindChain,
}

/// Returns what is due for a stream, if anything.
fn due_action(stream: &Stream, now: Time) -> Option<DueAction> {
    if stream.attempt() > 0 && stream.deadline_passed(now) {
        Some(DueAction::Deadline)
    } else if stream.is_stalled(now) {
        match stall_decision(stream, now) {
            StallDecision::Query => Some(DueAction::QueryProgress),
            StallDecision::Wait => None,
            StallDecision::Replace(stages) => Some(DueAction::Replace(stages)),
        }
    } else if stream.is_chain_retry_due(now) {
        Some(if stream.deadline_passed(now) {
            DueAction::Deadline
        } else {
            DueAction::FindChain
        })
    } else {
        None
    }
}
