//! Applies the quarantine at an entry: collects evidence from attempts, judges it, and tells the
//! requests in flight.

use std::net::SocketAddr;

use rand::RngCore as _;
use slog::{info, warn};

use coriandercove_base::hash::hash64;
use coriandercove_base::{NodeId, Time};

use super::evidence::Culprit;
use super::verdicts::{Change, VerdictReport};
use super::{BrokenAttempt, QuarantineReport};
use crate::placer::probe_broken;
use crate::protocol::PromptPart;
use crate::proxy::PartsText;
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

impl Router {
    /// The part in quarantine, if a prompt with these shared parts has one.
    #[must_use]
    pub fn convicted_part(&self, parts: &[PromptPart]) -> Option<PromptPart> {
        self.quarantine.borrow().convicted(parts, self.now())
    }

    /// Returns once one of the parts is in quarantine.
    pub(crate) async fn wait_until_convicted(&self, parts: &[PromptPart]) {
        loop {
            let changed = self.quarantine_changed.notified();
            if self.convicted_part(parts).is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Records an attempt whose connection broke before its answer was well under way, and checks
    /// whether the target has ended. A target that leaves as announced is no evidence.
    pub(crate) fn record_broken_attempt(
        self: &std::rc::Rc<Self>,
        address: SocketAddr,
        label: &str,
        parts: &[PromptPart],
        sent_at: Time,
    ) {
        if parts.is_empty() {
            return;
        }
        let target = {
            let fleet = self.fleet.borrow();
            let target = fleet.iter().find(|t| t.address == address);
            target
                .filter(|t| !t.is_draining)
                .map(|t| incarnation_key(&t.id, t.started_ms))
        };
        let Some(target) = target else {
            return;
        };
        self.quarantine.borrow_mut().on_broken(BrokenAttempt {
            address,
            target,
            request: hash64(&[label.as_bytes()]),
            parts: parts.to_vec(),
            sent_at,
            ended_at: self.now(),
        });
        self.judge_parts();
        probe_broken(self, address);
    }

    /// Takes the failure of a target into the evidence.
    pub(crate) fn record_ended_target(&self, address: SocketAddr) {
        let is_news = self
            .quarantine
            .borrow_mut()
            .on_unreachable(address, self.now());
        if is_news {
            self.is_news_urgent.set(true);
            self.judge_parts();
        }
    }

    /// Records that the answer to a prompt with these parts is well under way.
    pub(crate) fn record_answered_parts(&self, parts: &[PromptPart]) {
        if !parts.is_empty() {
            self.quarantine.borrow_mut().on_answer(parts, self.now());
        }
    }

    /// Applies a peer's report.
    pub(crate) fn on_quarantine_report(&self, from: &NodeId, report: QuarantineReport) {
        let has_evidence = !report.attempts.is_empty();
        let observer = hash64(&[from.as_bytes()]);
        let changes = self
            .quarantine
            .borrow_mut()
            .on_report(observer, report, self.now());
        for (part, change) in changes {
            self.announce(part, change, Source::Peer);
        }
        if has_evidence {
            self.judge_parts();
        }
    }

    /// Applies a verdict that the platform's store holds.
    pub(crate) fn on_stored_verdict(&self, verdict: VerdictReport) {
        let change = self.quarantine.borrow_mut().on_verdict(verdict, self.now());
        if let Some(change) = change {
            self.announce(verdict.part, change, Source::Store);
        }
    }

    /// Lifts a quarantine that an operator removed from the platform's store.
    pub(crate) fn lift_quarantine(&self, part: PromptPart) {
        let stamp = self.rng.borrow_mut().next_u64();
        self.quarantine.borrow_mut().lift(part, stamp, self.now());
        self.announce(part, Change::Lifted, Source::Store);
    }

    fn judge_parts(&self) {
        loop {
            let stamp = self.rng.borrow_mut().next_u64();
            let found = self.quarantine.borrow_mut().convict(stamp, self.now());
            let Some(Culprit {
                part,
                targets,
                requests,
            }) = found
            else {
                return;
            };
            warn!(self.log, "targets ended under a part"; "parts" => PartsText(&[part]),
                "targets" => targets.len(), "requests" => requests);
            self.announce(part, Change::Convicted, Source::Evidence);
        }
    }

    /// Logs and counts a changed verdict and tells the requests in flight and the peers.
    fn announce(&self, part: PromptPart, change: Change, source: Source) {
        match change {
            Change::Convicted => {
                warn!(self.log, "part in quarantine"; "parts" => PartsText(&[part]),
                    "source" => source.as_str());
            }
            Change::Lifted => {
                info!(self.log, "quarantine lifted"; "parts" => PartsText(&[part]),
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
