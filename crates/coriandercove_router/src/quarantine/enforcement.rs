//! Applies the quarantine at an entry: collects evidence from attempts, judges it, and tells the
//! requests in flight.

use std::net::SocketAddr;

use rand::RngCore as _;
use slog::{info, warn};

use coriandercove_base::hash::hash64;
use coriandercove_base::{NodeId, Time};

use super::evidence::{Culprit, RequestKey};
use super::mark::Mark;
use super::verdicts::{Change, VerdictReport};
use super::{BrokenAttempt, QuarantineReport};
use crate::placer::probe_broken;
use crate::proxy::MarksText;
use crate::state::Router;

/// Who decided on a verdict, as metrics and log lines name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This entry, from the evidence of all entries.
    Evidence,
    /// Another entry.
    Peer,
    /// The platform's store, at the start of the process or by an operator.
    Store,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Key of an incarnation of a target, equal in all entries.
fn incarnation_key(id: &str, started_ms: u64) -> u64 {
    hash64(&[id.as_bytes(), &started_ms.to_le_bytes()])
}

/// Key of a caller's request, by its label.
fn request_key(label: &str) -> RequestKey {
    hash64(&[label.as_bytes()])
}

impl Router {
    /// Whether a target has ended under an attempt of this request, as far as this entry saw it.
    pub(crate) fn has_ended_target(&self, label: &str) -> bool {
        self.quarantine
            .borrow()
            .has_ended_target(request_key(label))
    }

    /// The mark in quarantine, if a prompt with these shared marks has one.
    #[must_use]
    pub fn convicted_mark(&self, marks: &[Mark]) -> Option<Mark> {
        self.quarantine.borrow().convicted(marks, self.now())
    }

    /// Returns once one of the marks is in quarantine.
    pub(crate) async fn wait_until_convicted(&self, marks: &[Mark]) {
        loop {
            let changed = self.quarantine_changed.notified();
            if self.convicted_mark(marks).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// An attempt whose connection broke just now; none if its target is not listed or leaves as
    /// announced, which is no evidence.
    pub(crate) fn broken_attempt(
        &self,
        address: SocketAddr,
        label: &str,
        marks: &[Mark],
        sent_at: Time,
    ) -> Option<BrokenAttempt> {
        let target = {
            let fleet = self.fleet.borrow();
            let target = fleet.iter().find(|t| t.address == address);
            target
                .filter(|t| !t.is_draining)
                .map(|t| incarnation_key(&t.id, t.started_ms))
        };
        Some(BrokenAttempt {
            address,
            target: target?,
            request: request_key(label),
            marks: marks.to_vec(),
            sent_at,
            ended_at: self.now(),
        })
    }

    /// Records an attempt whose connection broke before its answer was well under way, and checks
    /// whether the target has ended.
    pub(crate) fn record_broken_attempt(self: &std::rc::Rc<Self>, attempt: BrokenAttempt) {
        let address = attempt.address;
        self.quarantine.borrow_mut().on_broken(attempt);
        self.judge_marks();
        probe_broken(self, address);
    }

    /// Records an attempt under which its target is known to have ended.
    pub(crate) fn record_crash(&self, attempt: BrokenAttempt) {
        self.quarantine.borrow_mut().on_crash(attempt);
        self.is_news_urgent.set(true);
        self.judge_marks();
    }

    /// Takes the failure of a target into the evidence.
    pub(crate) fn record_ended_target(&self, address: SocketAddr) {
        let is_news = self
            .quarantine
            .borrow_mut()
            .on_unreachable(address, self.now());
        if is_news {
            self.is_news_urgent.set(true);
            self.judge_marks();
        }
    }

    /// Records that the answer to a prompt with these marks is well under way.
    pub(crate) fn record_answered_marks(&self, marks: &[Mark]) {
        if !marks.is_empty() {
            self.quarantine.borrow_mut().on_answer(marks, self.now());
        }
    }

    /// Applies a peer's report.
    pub(crate) fn on_quarantine_report(&self, from: &NodeId, report: QuarantineReport) {
        let observer = hash64(&[from.as_bytes()]);
        let effect = self
            .quarantine
            .borrow_mut()
            .on_report(observer, report, self.now());
        for (mark, change) in effect.verdicts {
            self.announce(mark, change, Source::Peer);
        }
        if effect.has_new_evidence {
            self.judge_marks();
        }
    }

    /// Applies a verdict that the platform's store holds.
    pub(crate) fn on_stored_verdict(&self, verdict: VerdictReport) {
        let change = self.quarantine.borrow_mut().on_verdict(verdict, self.now());
        if let Some(change) = change {
            self.announce(verdict.mark, change, Source::Store);
        }
    }

    /// Lifts a quarantine that an operator removed from the platform's store.
    pub(crate) fn lift_quarantine(&self, mark: Mark) {
        let stamp = self.rng.borrow_mut().next_u64();
        self.quarantine.borrow_mut().lift(mark, stamp, self.now());
        self.announce(mark, Change::Lifted, Source::Store);
    }

    fn judge_marks(&self) {
        loop {
            let stamp = self.rng.borrow_mut().next_u64();
            let found = self.quarantine.borrow_mut().convict(stamp, self.now());
            let Some(Culprit {
                mark,
                targets,
                requests,
            }) = found
            else {
                return;
            };
            warn!(self.log, "targets ended under a part"; "parts" => MarksText(&[mark]),
                "targets" => targets.len(), "requests" => requests);
            self.announce(mark, Change::Convicted, Source::Evidence);
        }
    }

    /// Logs and counts a changed verdict and tells the requests in flight and the peers.
    fn announce(&self, mark: Mark, change: Change, source: Source) {
        match change {
            Change::Convicted => {
                warn!(self.log, "part in quarantine"; "parts" => MarksText(&[mark]),
                    "source" => source.as_str());
            }
            Change::Lifted => {
                info!(self.log, "quarantine lifted"; "parts" => MarksText(&[mark]),
                    "source" => source.as_str());
            }
        }
        let name = match change {
            Change::Convicted => "convicted",
            Change::Lifted => "lifted",
        };
        self.metrics.verdict(name, source.as_str());
        self.is_news_urgent.set(true);
        self.quarantine_changed.notify_waiters();
    }
}
