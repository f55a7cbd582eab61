//! Moving streams to other chains.

use coriandercove_base::{Position, RequestId, Time};
use coriandercove_caller::Outcome;
use coriandercove_peer::StageFailureReason;
use coriandercove_policy::RefusalReason;
use coriandercove_policy::chain::{Chain, ChainHop};
use coriandercove_policy::explain::Refusal;

use super::stream::Stream;
use super::{Core, CoreAction, DOWN_FOR};

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
        // The target itself works, only the state that the attempt builds on is gone.
        let keeps_target = matches!(
            reason,
            StageFailureReason::StateLost | StageFailureReason::ReplayUnavailable
        );
        if keeps_target {
            self.move_stream(now, req, None, label);
        } else {
            self.move_stream(now, req, stage, label);
        }
    }

    /// Moves a stream whose stage at index `hop` is lost.
    pub(super) fn recover_lost(
        &mut self,
        now: Time,
        req: RequestId,
        hop: u16,
        label: &'static str,
    ) {
        self.move_stream(now, req, Some(hop), label);
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
                Check::Stalled => self.move_stream(now, req, None, "stalled"),
                Check::WantsChain => self.find_chain(now, req, None),
            }
        }
    }

    /// Leaves the current chain and goes on at the next token on another one. `lost` is the index
    /// of the stage to replace; without it the whole chain is given up.
    fn move_stream(&mut self, now: Time, req: RequestId, lost: Option<u16>, label: &'static str) {
        let Some(stream) = self.streams.get_mut(&req) else {
            return;
        };
        if stream.attempt() >= MAX_ATTEMPTS {
            return self.give_up(now, req, RefusalReason::AttemptsFailed);
        }
        let Some(old) = stream.release_chain(&mut self.router) else {
            return;
        };
        let lost = lost.map(usize::from).filter(|i| *i < old.hops.len());
        if let Some(i) = lost {
            stream.exclude(old.hops[i].target.clone());
        }
        self.actions.push(CoreAction::Retried(label));
        let repair = lost.and_then(|i| self.repair(now, req, &old, i));
        self.cancel_unused(req, &old, repair.as_ref());
        match repair {
            Some((chain, held)) => self.start_on(now, req, chain, &held),
            None => self.find_chain(now, req, lost.map(|i| old.hops[i].target.clone())),
        }
    }

    /// A chain that keeps the surviving stages with their state and replaces one stage.
    /// Only possible once a token has come, because only then all stages hold the same positions.
    fn repair(
        &mut self,
        now: Time,
        req: RequestId,
        old: &Chain,
        lost: usize,
    ) -> Option<(Chain, Vec<Position>)> {
        let stream = self.streams.get(&req)?;
        if stream.emitted().is_empty() || old.hops.len() < 2 {
            return None;
        }
        let held = stream.next_position() - 1;
        let mut need = stream.chain_request();
        need.exclude
            .extend(old.hops.iter().map(|h| h.target.clone()));
        need.exclude.sort();
        need.exclude.dedup();
        let part = self
            .router
            .choose_part(&need, old, lost, now, &mut self.rng)
            .ok()?;
        let mut hops: Vec<ChainHop> = Vec::new();
        let mut positions = Vec::new();
        for (i, hop) in old.hops.iter().enumerate() {
            if i == lost {
                positions.extend(part.hops.iter().map(|_| 0));
                hops.extend(part.hops.iter().cloned());
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
    fn find_chain(
        &mut self,
        now: Time,
        req: RequestId,
        _lost: Option<coriandercove_base::TargetId>,
    ) {
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
                stream.wait_for_chain(now);
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

enum Check {
    Deadline,
    Stalled,
    WantsChain,
}

fn check(stream: &Stream, now: Time) -> Option<Check> {
    if stream.attempt() > 0 && stream.deadline_passed(now) {
        Some(Check::Deadline)
    } else if stream.stalled(now) {
        Some(Check::Stalled)
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
