//! Quarantine of requests that crash targets.
//!
//! Handles requests on which every target ends as soon as it begins the answer: those that share a
//! part of their prompts, or one whole request that comes again. Each of them is sent on to a further
//! target, so that a few requests a minute end the whole fleet, one target after the other, and with
//! it the answers of all callers.
//!
//! Requests are recognised by their marks ([`mark`]): the shared parts of the prompt, and the request
//! as a whole. Every entry records which of its attempts had just begun when a target ended, and how
//! the answers of the same marks went elsewhere. The entries exchange both, so that a decision rests on
//! the crashes that all of them saw: [`evidence`] finds the mark that explains them, [`history`]
//! knows which parts are common and which marks were answered lately. A request with a mark in
//! quarantine is refused before it is sent. The verdict ([`verdicts`]) is passed on by every entry that
//! knows it and kept in the platform's store, so that it outlasts restarts; an operator lifts it there.

mod answered_requests;
pub mod enforcement;
pub mod evidence;
pub mod history;
pub mod mark;
pub mod verdicts;

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{SortedMap, Time, data};

use evidence::{CrashedAttempt, Culprit, IncarnationKey, ObserverKey, RequestKey, find_culprit};
use history::MarkHistory;
use mark::Mark;
use verdicts::{Change, VerdictReport, Verdicts};

/// Time after which a crash no longer counts against a mark.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(300);
/// Maximum number of crashed attempts that are kept, those of peers included.
const MAX_ATTEMPTS: usize = 512;
/// Maximum number of attempts that one entry records for one crash; the latest begun are kept.
const MAX_ATTEMPTS_PER_CRASH: usize = 16;
/// Time between the break of a connection and the proof that the target has ended.
const CONFIRM_TIME: Duration = Duration::from_secs(2);
/// Maximum number of broken attempts that wait for this proof.
const MAX_BROKEN: usize = 256;
/// Time for which an entry repeats what it saw itself to its peers, so that lost datagrams do no
/// harm.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of marks, over all attempts, in one report; it bounds the size of a datagram.
const MAX_REPORTED_MARKS: usize = 192;
/// Maximum number of answered marks in one report.
const MAX_REPORTED_ANSWERS: usize = 32;

/// An attempt whose connection broke before its answer was well under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// Address of the target that the request was sent to.
    pub address: SocketAddr,
    /// Incarnation of that target.
    pub target: IncarnationKey,
    /// The request.
    pub request: RequestKey,
    /// Its marks.
    pub marks: Vec<Mark>,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Time at which its connection broke.
    pub ended_at: Time,
}

data! {
    /// An attempt that had just begun when its target ended, as sent to the peers.
    #[derive(Eq)]
    pub struct AttemptReport {
        /// Incarnation of the target.
        pub target: IncarnationKey,
        /// The request.
        pub request: RequestKey,
        /// Its marks.
        pub marks: Vec<Mark>,
        /// Time since it was sent, in ms.
        pub sent_age_ms: u32,
        /// Time since the target ended, in ms.
        pub ended_age_ms: u32,
    }

    /// A suspected mark that was answered, as sent to the peers.
    #[derive(Copy, Eq)]
    pub struct AnswerReport {
        /// The mark.
        pub mark: Mark,
        /// Time since an answer on it was last well under way, in ms.
        pub age_ms: u32,
    }

    /// What one entry knows of crashing marks, as sent to its peers.
    #[derive(Eq, Default)]
    pub struct QuarantineReport {
        /// Attempts of this entry at targets that ended lately.
        pub attempts: Vec<AttemptReport>,
        /// Suspected marks that this entry saw answered.
        pub answers: Vec<AnswerReport>,
        /// Verdicts that this entry knows.
        pub verdicts: Vec<VerdictReport>,
    }
}

/// What a peer's report changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportEffect {
    /// Verdicts that came into force or were lifted.
    pub verdicts: Vec<(Mark, Change)>,
    /// Whether it held a crash that was not known, so that the evidence is to be judged again.
    pub has_new_evidence: bool,
}

/// Evidence and verdicts of one entry.
#[derive(Debug, Default)]
pub struct Quarantine {
    history: MarkHistory,
    /// At most [`MAX_ATTEMPTS`], in the order of arrival; each pair of target and request once.
    attempts: Vec<CrashedAttempt>,
    /// Broken attempts whose target may have ended; at most [`MAX_BROKEN`].
    broken: Vec<BrokenAttempt>,
    /// Time at which each target was last found unreachable.
    unreachable: SortedMap<SocketAddr, Time>,
    /// Crashes that a verdict explains; they count against no other mark.
    explained: SortedMap<IncarnationKey, Time>,
    verdicts: Verdicts,
}

fn age_ms(at: Time, now: Time) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

fn time_of(age_ms: u32, now: Time) -> Time {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}

/// Observer of the attempts of this entry; peers have the hash of their name.
const OWN: ObserverKey = 0;

impl Quarantine {
    /// Counts a request of a caller.
    pub fn on_request(&mut self, marks: &[Mark], now: Time) {
        self.history.on_request(marks, now);
    }

    /// Records that the answer to a request is well under way or complete: its marks did not crash
    /// the target.
    pub fn on_answer(&mut self, marks: &[Mark], now: Time) {
        self.history.on_answer(marks, now);
    }

    /// The mark in quarantine, if these marks have one.
    #[must_use]
    pub fn convicted(&self, marks: &[Mark], now: Time) -> Option<Mark> {
        let mut marks = marks.iter().copied();
        marks.find(|p| self.verdicts.is_convicted(*p, now))
    }

    /// Verdicts by mark.
    #[must_use]
    pub fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// Records a broken attempt. It counts as evidence once its target is found to have ended.
    pub fn on_broken(&mut self, attempt: BrokenAttempt) {
        let has_ended = self
            .unreachable
            .get(&attempt.address)
            .is_some_and(|at| *at >= attempt.sent_at);
        if has_ended {
            self.add_own(attempt);
        } else if self.broken.len() < MAX_BROKEN {
            self.broken.push(attempt);
        }
    }

    /// Records an attempt under which its target is known to have ended. Of one crash, the attempts that
    /// were begun last are kept.
    pub fn on_crash(&mut self, attempt: BrokenAttempt) {
        let is_of_crash = |a: &CrashedAttempt| a.observer == OWN && a.target == attempt.target;
        let of_crash = self.attempts.iter().filter(|a| is_of_crash(a));
        if of_crash.clone().count() >= MAX_ATTEMPTS_PER_CRASH {
            let earliest = of_crash.map(|a| (a.sent_at, a.request)).min();
            let Some((_, request)) = earliest.filter(|(at, _)| *at < attempt.sent_at) else {
                return;
            };
            let target = attempt.target;
            self.attempts
                .retain(|a| a.target != target || a.request != request);
        }
        self.add_own(attempt);
    }

    /// Records that a target cannot be reached. Returns whether this is new evidence.
    pub fn on_unreachable(&mut self, target: SocketAddr, now: Time) -> bool {
        self.unreachable.insert(target, now);
        let (mut ended, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.broken)
            .into_iter()
            .filter(|b| now.saturating_sub(b.ended_at) < CONFIRM_TIME)
            .partition(|b| b.address == target);
        self.broken = waiting;
        ended.sort_by_key(|b| std::cmp::Reverse(b.sent_at));
        ended.truncate(MAX_ATTEMPTS_PER_CRASH);
        let has_ended = !ended.is_empty();
        for attempt in ended {
            self.add_own(attempt);
        }
        has_ended
    }

    /// Whether a target has ended under an attempt of this request that this entry sent.
    #[must_use]
    pub fn has_ended_target(&self, request: RequestKey) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|a| a.request == request && a.observer == OWN)
    }

    fn add_own(&mut self, broken: BrokenAttempt) {
        // A crash of its own is judged by the entry in any case.
        let _ = self.add(CrashedAttempt {
            target: broken.target,
            request: broken.request,
            observer: OWN,
            marks: broken.marks,
            sent_at: broken.sent_at,
            ended_at: broken.ended_at,
        });
    }

    /// Adds an attempt to the evidence. Returns whether it was not known.
    fn add(&mut self, attempt: CrashedAttempt) -> bool {
        let is_known = self
            .attempts
            .iter()
            .any(|a| a.target == attempt.target && a.request == attempt.request);
        if is_known || self.explained.contains(&attempt.target) {
            return false;
        }
        let at = attempt.ended_at;
        if self.convicted(&attempt.marks, at).is_some() {
            self.explain(&[attempt.target], at);
            return false;
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(attempt);
        true
    }

    /// Takes crashes out of the evidence.
    fn explain(&mut self, targets: &[IncarnationKey], now: Time) {
        for target in targets {
            self.explained.insert(*target, now);
        }
        let explained = &self.explained;
        self.attempts.retain(|a| !explained.contains(&a.target));
    }

    /// Convicts the mark that the evidence points to, if any; called until it returns none.
    /// `stamp` identifies the verdict.
    pub fn convict(&mut self, stamp: u64, now: Time) -> Option<Culprit> {
        let culprit = find_culprit(&self.attempts, &self.history, now)?;
        self.explain(&culprit.targets, now);
        self.verdicts.convict(culprit.mark, stamp, now);
        Some(culprit)
    }

    /// Lifts the verdict on a mark, and forgets what counts against it.
    pub fn lift(&mut self, mark: Mark, stamp: u64, now: Time) {
        self.verdicts.lift(mark, stamp, now);
        self.attempts.retain(|a| !a.marks.contains(&mark));
    }

    /// Applies a verdict of a peer or of the store. Returns what it changed.
    pub fn on_verdict(&mut self, report: VerdictReport, now: Time) -> Option<Change> {
        let change = self.verdicts.merge(report, now)?;
        let mark = report.mark;
        match change {
            Change::Convicted => {
                let of_mark = self.attempts.iter().filter(|a| a.marks.contains(&mark));
                let targets: Vec<IncarnationKey> = of_mark.map(|a| a.target).collect();
                self.explain(&targets, now);
            }
            Change::Lifted => self.attempts.retain(|a| !a.marks.contains(&mark)),
        }
        Some(change)
    }

    /// What the peers are told.
    #[must_use]
    pub fn report(&self, now: Time) -> QuarantineReport {
        let mut left = MAX_REPORTED_MARKS;
        let is_recent =
            |a: &&CrashedAttempt| a.observer == OWN && now.saturating_sub(a.ended_at) < REPORT_TIME;
        let attempts = self.attempts.iter().rev().filter(is_recent);
        let attempts = attempts.take_while(|a| {
            let fits = a.marks.len() <= left;
            left = left.saturating_sub(a.marks.len());
            fits
        });
        let mut suspects: Vec<Mark> = self.attempts.iter().flat_map(|a| a.marks.clone()).collect();
        suspects.sort_unstable();
        suspects.dedup();
        let answers = suspects.into_iter().filter_map(|mark| {
            let at = self.history.own_answer(mark)?;
            let age_ms = age_ms(at, now);
            Some(AnswerReport { mark, age_ms })
        });
        let mut answers: Vec<AnswerReport> = answers.collect();
        answers.sort_by_key(|a| a.age_ms);
        answers.truncate(MAX_REPORTED_ANSWERS);
        QuarantineReport {
            attempts: attempts
                .map(|a| AttemptReport {
                    target: a.target,
                    request: a.request,
                    marks: a.marks.clone(),
                    sent_age_ms: age_ms(a.sent_at, now),
                    ended_age_ms: age_ms(a.ended_at, now),
                })
                .collect(),
            answers,
            verdicts: self.verdicts.report(now),
        }
    }

    /// Applies a peer's report. Peers repeat their reports, most of which change nothing.
    pub fn on_report(
        &mut self,
        observer: ObserverKey,
        report: QuarantineReport,
        now: Time,
    ) -> ReportEffect {
        let mut effect = ReportEffect::default();
        for verdict in report.verdicts {
            if let Some(change) = self.on_verdict(verdict, now) {
                effect.verdicts.push((verdict.mark, change));
            }
        }
        for answer in report.answers {
            let at = time_of(answer.age_ms, now);
            self.history.on_peer_answer(answer.mark, at, now);
        }
        for attempt in report.attempts {
            effect.has_new_evidence |= self.add(CrashedAttempt {
                target: attempt.target,
                request: attempt.request,
                observer,
                marks: attempt.marks,
                sent_at: time_of(attempt.sent_age_ms, now),
                ended_at: time_of(attempt.ended_age_ms, now),
            });
        }
        effect
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Time) {
        let is_fresh = |at: Time, lifetime| now.saturating_sub(at) < lifetime;
        self.attempts
            .retain(|a| is_fresh(a.ended_at, EVIDENCE_LIFETIME));
        self.broken.retain(|b| is_fresh(b.ended_at, CONFIRM_TIME));
        self.unreachable.retain(|_, at| is_fresh(*at, CONFIRM_TIME));
        self.explained
            .retain(|_, at| is_fresh(*at, EVIDENCE_LIFETIME));
        self.verdicts.expire(now);
    }
}

#[cfg(test)]
mod tests;
