//! Verdicts on marks of requests, which all entries come to share.
//!
//! Each entry keeps the latest verdict on a mark and passes it on with the time that is left, so
//! that neither a common clock nor an order of the datagrams is needed.

use std::time::Duration;

use coriandercove_base::{SortedMap, Time, data};

use super::mark::Mark;

/// Time for which a verdict holds. A mark that still crashes targets is convicted again after it.
pub const VERDICT_LIFETIME: Duration = Duration::from_secs(3600);
/// Maximum number of verdicts; beyond it, the one that ends first makes room.
const MAX_VERDICTS: usize = 256;
/// Maximum number of verdicts in one report, the latest first.
const MAX_REPORTED: usize = 64;
/// Uncertainty of the order of a conviction and a lift, from the time that a datagram takes. Within
/// it, the lift counts.
const ORDER_TOLERANCE: Duration = Duration::from_secs(2);

data! {
    /// A verdict, as sent to the peers.
    #[derive(Copy, Eq)]
    pub struct VerdictReport {
        /// The mark.
        pub mark: Mark,
        /// Random number that identifies the verdict.
        pub stamp: u64,
        /// Whether an operator has lifted the quarantine.
        pub is_lifted: bool,
        /// Time until the verdict ends, in ms.
        pub remaining_ms: u32,
    }
}

/// How a verdict changed what an entry enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The mark is in quarantine now.
    Convicted,
    /// The mark is in quarantine no more.
    Lifted,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Verdict {
    stamp: u64,
    is_lifted: bool,
    /// End of the verdict; a later end means a later verdict, because all hold equally long.
    until: Time,
}

impl Verdict {
    /// Whether this verdict replaces the other one.
    fn supersedes(self, other: Self) -> bool {
        match (self.is_lifted, other.is_lifted) {
            (true, false) => self.until + ORDER_TOLERANCE >= other.until,
            (false, true) => self.until > other.until + ORDER_TOLERANCE,
            // Two entries decided the same; all keep the verdict with the higher number.
            _ => self.stamp > other.stamp,
        }
    }
}

/// Verdicts by mark.
#[derive(Debug, Default)]
pub struct Verdicts {
    /// At most [`MAX_VERDICTS`].
    verdicts: SortedMap<Mark, Verdict>,
}

impl Verdicts {
    /// Whether a mark is in quarantine.
    #[must_use]
    pub fn is_convicted(&self, mark: Mark, now: Time) -> bool {
        self.remaining(mark, now).is_some()
    }

    /// Time until the quarantine of a mark ends; none if it is not in quarantine.
    #[must_use]
    pub fn remaining(&self, mark: Mark, now: Time) -> Option<Duration> {
        let verdict = self.verdicts.get(&mark).filter(|v| !v.is_lifted)?;
        verdict
            .until
            .checked_sub(now)
            .filter(|left| !left.is_zero())
    }

    /// Parts in quarantine, with the number of the verdict and the time until it ends.
    pub fn convicted(&self, now: Time) -> impl Iterator<Item = VerdictReport> {
        self.reports(now).filter(|v| !v.is_lifted)
    }

    fn reports(&self, now: Time) -> impl Iterator<Item = VerdictReport> {
        let active = self.verdicts.iter().filter(move |(_, v)| v.until > now);
        active.map(move |(mark, v)| VerdictReport {
            mark: *mark,
            stamp: v.stamp,
            is_lifted: v.is_lifted,
            remaining_ms: u32::try_from((v.until - now).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Puts a mark in quarantine.
    pub fn convict(&mut self, mark: Mark, stamp: u64, now: Time) {
        self.insert(mark, stamp, false, now + VERDICT_LIFETIME);
    }

    /// Lifts the quarantine of a mark. The lift is remembered as long as a verdict holds, so that
    /// an entry that has not heard of it does not restore the quarantine.
    pub fn lift(&mut self, mark: Mark, stamp: u64, now: Time) {
        self.insert(mark, stamp, true, now + VERDICT_LIFETIME);
    }

    fn insert(&mut self, mark: Mark, stamp: u64, is_lifted: bool, until: Time) {
        if self.verdicts.len() >= MAX_VERDICTS && !self.verdicts.contains(&mark) {
            let first = self.verdicts.iter().min_by_key(|(_, v)| v.until);
            if let Some(first) = first.map(|(p, _)| *p) {
                self.verdicts.remove(&first);
            }
        }
        let verdict = Verdict {
            stamp,
            is_lifted,
            until,
        };
        self.verdicts.insert(mark, verdict);
    }

    /// Merges a verdict that a peer or the store knows. Returns what it changed.
    pub fn merge(&mut self, report: VerdictReport, now: Time) -> Option<Change> {
        let remaining = Duration::from_millis(report.remaining_ms.into()).min(VERDICT_LIFETIME);
        let new = Verdict {
            stamp: report.stamp,
            is_lifted: report.is_lifted,
            until: now + remaining,
        };
        let was_convicted = self.is_convicted(report.mark, now);
        match self
            .verdicts
            .get_mut(&report.mark)
            .filter(|v| v.until > now)
        {
            // The time that datagrams take must not prolong a verdict that is passed around.
            Some(known) if known.stamp == new.stamp && known.is_lifted == new.is_lifted => {
                known.until = known.until.min(new.until);
            }
            Some(known) if !new.supersedes(*known) => {}
            _ => self.insert(report.mark, new.stamp, new.is_lifted, new.until),
        }
        match (was_convicted, self.is_convicted(report.mark, now)) {
            (false, true) => Some(Change::Convicted),
            (true, false) => Some(Change::Lifted),
            _ => None,
        }
    }

    /// Verdicts for the peers.
    #[must_use]
    pub fn report(&self, now: Time) -> Vec<VerdictReport> {
        let mut all: Vec<VerdictReport> = self.reports(now).collect();
        all.sort_by_key(|v| std::cmp::Reverse(v.remaining_ms));
        all.truncate(MAX_REPORTED);
        all
    }

    /// Drops verdicts that have ended.
    pub fn expire(&mut self, now: Time) {
        self.verdicts.retain(|_, v| v.until > now);
    }
}
