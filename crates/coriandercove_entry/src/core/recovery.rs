//! Moving streams to other chains.

use std::time::Duration;

use coriandercove_base::{Position, RequestId, Time};
use coriandercove_caller::Outcome;
use coriandercove_peer::StageFailureReason;
use coriandercove_policy::RefusalReason;
use coriandercove_policy::chain::{Chain, ChainHop};
use coriandercove_policy::explain::Refusal;
use coriandercove_policy::retry::{FailedAttempt, Failure};

use super::question::{Verdict, verdict};
use super::stream::{CHAIN_RETRY, Stream};
use super::{Core, CoreAction, DOWN_FOR};

/// Wait of a stream whose further move the retry budget does not allow, so that streams that fail
/// everywhere do not load the targets with prefills. When two stages die together, most streams
/// move twice, and both moves have to fit into the recovery goal of 1 s.
const MOVE_BACKOFF: Duration = Duration::from_millis(250);
/// Chains tried for one stream. Each failure excludes a target, so more would try hopeless ones.
const MAX_ATTEMPTS: u32 = 12;

impl Core {
    /// Moves a stream after an agent reported a failure.
    pub(super) fn recover(
        &mut self,
        now: Time,
        req: RequestId,
        stage: Option<u16>,
        label: &'static str,
        reason: StageFailureReason,
    ) {
        let lost = match (reason, stage) {
            // The stage upstream cannot replay either, so nothing of the chain is of use.
            (StageFailureReason::ReplayUnavailable, _) | (_, None) => Lost::default(),
            (reason, Some(stage)) => Lost {
                hops: vec![stage],
                // The target itself works, only the state that the attempt builds on is gone.
                may_reuse: reason == StageFailureReason::StateLost,
                keep_others: true,
            },
        };
        self.move_stream(now, req, &lost, label);
    }

    /// Moves a stream whose stage at index `hop` is lost.
    pub(super) fn recover_lost(
        &mut self,
        now: Time,
        req: RequestId,
        hop: u16,
        label: &'static str,
    ) {
        self.move_stream(now, req, &Lost::hops(vec![hop]), label);
    }

    /// Notices stalls and passed deadlines, and finds chains for streams without one.
    pub(super) fn check_streams(&mut self, now: Time) {
        let mut reqs: Vec<(RequestId, Check)> = self
            .streams
            .values()
            .filter_map(|s| Some((s.req(), check(s, now)?)))
            .collect();
        // Without an order, a run could not be repeated.
        reqs.sort_unstable_by_key(|(req, _)| *req);
        for (req, check) in reqs {
            match check {
                Check::Deadline => self.give_up(now, req, RefusalReason::DeadlinePassed),
                Check::Ask => self.ask(now, req),
                Check::Replace(hops) => {
                    self.move_stream(now, req, &Lost::hops(hops), "stalled");
                }
                Check::WantsChain => self.find_chain(now, req),
            }
        }
    }

    /// Leaves the current chain and goes on at the next token on another one.
    fn move_stream(&mut self, now: Time, req: RequestId, lost: &Lost, label: &'static str) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        if stream.attempt() >= MAX_ATTEMPTS {
            return self.give_up(now, req, RefusalReason::AttemptsFailed);
        }
        let Some(old) = stream.release_chain(&mut self.router) else {
            return;
        };
        let is_first = stream.count_move();
        let deadline = stream.deadline();
        if lost.keep_others && lost.hops.is_empty() && !is_first {
            // The chain has stalled again although all its stages answer, so it is not used again
            // as long as there are others.
            old.hops
                .iter()
                .for_each(|h| stream.exclude(h.target.clone()));
            old.hops.iter().for_each(|h| stream.lose(&h.target));
        }
        let hops = lost.hops.iter();
        for hop in hops.filter_map(|i| old.hops.get(usize::from(*i))) {
            stream.lose(&hop.target);
            if !lost.may_reuse {
                stream.exclude(hop.target.clone());
            }
        }
        self.actions.push(CoreAction::Retried(label));
        let at_once = is_first || self.may_move_again(now, deadline);
        let repair = if at_once && lost.keep_others {
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

    /// Whether the retry budget allows a further move before the stream has got a token. A stream
    /// whose move is not allowed waits and is not given up.
    fn may_move_again(&mut self, now: Time, deadline: Time) -> bool {
        let attempt = FailedAttempt {
            failure: Failure::Unknown,
            repeatable: true,
            attempts: 1,
            deadline,
        };
        self.retry.decide(now, &attempt, &mut self.rng).is_ok()
    }

    /// A chain that keeps the surviving stages with their state and replaces the lost ones.
    /// Only possible once a token has come, because only then all stages hold the same positions.
    fn repair(
        &mut self,
        now: Time,
        req: RequestId,
        old: &Chain,
        lost: &Lost,
    ) -> Option<(Chain, Vec<Position>)> {
        let stream = self.streams.get(&req)?;
        // A stage that was being rebuilt when the chain failed again is rebuilt from the start.
        let is_lost =
            |hop: &ChainHop| !stream.is_intact(&hop.target) || self.router.is_down(&hop.target);
        let rebuild: Vec<bool> = old.hops.iter().map(is_lost).collect();
        if stream.emitted().is_empty() || !rebuild.contains(&false) {
            return None;
        }
        let held = stream.next_position() - 1;
        let mut need = stream.chain_request();
        let kept = old
            .hops
            .iter()
            .zip(&rebuild)
            .filter(|(_, r)| !**r || !lost.may_reuse);
        need.exclude.extend(kept.map(|(hop, _)| hop.target.clone()));
        let mut hops: Vec<ChainHop> = Vec::new();
        let mut positions = Vec::new();
        for (i, hop) in old.hops.iter().enumerate() {
            if rebuild[i] {
                need.exclude.sort();
                need.exclude.dedup();
                let part = self
                    .router
                    .choose_part(&need, old, i, now, &mut self.rng)
                    .ok()?;
                need.exclude
                    .extend(part.hops.iter().map(|h| h.target.clone()));
                positions.extend(part.hops.iter().map(|_| 0));
                hops.extend(part.hops);
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

    /// Frees stages of the old chain that the new one does not use.
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

    /// Starts the stream on a new chain, or lets it wait for one.
    fn find_chain(&mut self, now: Time, req: RequestId) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        match self
            .router
            .choose(&stream.chain_request(), now, &mut self.rng)
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

    /// Ends a stream without a whole answer.
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

/// Which part of a chain is lost. By default the whole chain is given up.
#[derive(Default)]
struct Lost {
    /// Indices of the stages to replace.
    hops: Vec<u16>,
    /// Whether the same targets may rebuild them.
    may_reuse: bool,
    /// Whether the other stages go on with their state.
    keep_others: bool,
}

impl Lost {
    const fn hops(hops: Vec<u16>) -> Self {
        Self {
            hops,
            may_reuse: false,
            keep_others: true,
        }
    }
}

enum Check {
    Deadline,
    Ask,
    Replace(Vec<u16>),
    WantsChain,
}

fn check(stream: &Stream, now: Time) -> Option<Check> {
    if stream.attempt() > 0 && stream.deadline_passed(now) {
        Some(Check::Deadline)
    } else if stream.stalled(now) {
        match verdict(stream, now) {
            Verdict::Ask => Some(Check::Ask),
            Verdict::Wait => None,
            Verdict::Replace(hops) => Some(Check::Replace(hops)),
        }
    } else if stream.wants_chain(now) {
        Some(if stream.deadline_passed(now) {
            Check::Deadline
        } else {
            Check::WantsChain
        })
    } else {
        None
    }
}
