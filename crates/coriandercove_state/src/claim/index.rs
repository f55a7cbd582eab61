//! Merged view of the claims of a shard.

use std::collections::{BTreeMap, HashMap};

use coriandercove_base::Time;

use super::{Change, Claim, ClaimState, KeyHash, Segment};
use crate::store_call::Version;

/// The segment that accepts writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Active {
    pub number: u64,
    pub version: Version,
    pub segment: Segment,
    /// Size of the encoded segment.
    pub bytes: usize,
    /// When this version was first seen, by the own monotonic clock.
    pub since: Time,
}

/// A segment that is never written again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Sealed {
    pub version: Version,
    pub segment: Segment,
    /// When the segment was first seen sealed, by the own monotonic clock.
    pub since: Time,
}

/// What a change means for the claims in view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The change is in the store already.
    Applied,
    /// The change contradicts this claim.
    Refused(Option<Box<Claim>>),
    /// Writing this claim applies the change.
    Write(Claim),
}

/// The segments of a shard as last read or written, and their claims by key.
#[derive(Debug, Default)]
pub(super) struct View {
    pub sealed: BTreeMap<u64, Sealed>,
    pub active: Option<Active>,
    claims: HashMap<KeyHash, Claim>,
    /// Whether sealed segments came or went since the claims were last merged.
    is_stale: bool,
}

impl View {
    pub fn get(&self, key: KeyHash) -> Option<&Claim> {
        self.claims.get(&key)
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Number and version of the active segment.
    pub fn position(&self) -> Option<(u64, Version)> {
        self.active.as_ref().map(|a| (a.number, a.version))
    }

    pub fn set_active(&mut self, mut active: Active) {
        if let Some(old) = &self.active
            && (old.number, old.version) == (active.number, active.version)
        {
            active.since = old.since;
        }
        for claim in &active.segment.claims {
            self.claims.insert(claim.key, claim.clone());
        }
        self.active = Some(active);
    }

    /// Takes in an own write to the active segment, of which only `changed` is new.
    pub fn update_active(&mut self, active: Active, changed: Vec<Claim>) {
        for claim in changed {
            self.claims.insert(claim.key, claim);
        }
        self.active = Some(active);
    }

    /// Takes in a sealed segment. Segments may arrive in any order, so the claims are merged
    /// anew with the next [`View::rebuild`].
    pub fn set_sealed(&mut self, number: u64, sealed: Sealed) {
        if self.active.as_ref().is_some_and(|a| a.number == number) {
            self.active = None;
        }
        self.sealed.insert(number, sealed);
        self.is_stale = true;
    }

    /// Drops the segments that do not exist any more.
    pub fn retain(&mut self, exists: impl Fn(u64) -> bool) {
        let before = self.sealed.len();
        self.sealed.retain(|n, _| exists(*n));
        self.is_stale |= self.sealed.len() < before;
        if self.active.as_ref().is_some_and(|a| !exists(a.number)) {
            self.drop_active();
        }
    }

    /// Drops the active segment, which is not the one that readers look at.
    pub fn drop_active(&mut self) {
        self.active = None;
        self.is_stale = true;
    }

    /// Merges all segments, if necessary; claims of later segments win.
    pub fn rebuild(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        self.claims.clear();
        let sealed = self.sealed.values().map(|s| &s.segment);
        for segment in sealed.chain(self.active.iter().map(|a| &a.segment)) {
            for claim in &segment.claims {
                self.claims.insert(claim.key, claim.clone());
            }
        }
    }

    /// Decides on a change.
    pub fn judge(&self, change: &Change) -> Verdict {
        let current = self.get(change.key());
        match change {
            Change::Claim(claim) => judge_claim(current, claim),
            Change::Replace { old, new } => match current {
                None => Verdict::Write(new.clone()),
                Some(c) if c.ticket.id == new.ticket.id => Verdict::Applied,
                Some(c) if c.ticket.id == *old && may_replace(&c.state) => {
                    Verdict::Write(new.clone())
                }
                Some(c) => Verdict::Refused(Some(Box::new(c.clone()))),
            },
            Change::Record {
                ticket,
                state,
                at_ms,
                ..
            } => match current {
                Some(c) if c.ticket.id == *ticket => judge_record(c, state, *at_ms),
                other => Verdict::Refused(other.cloned().map(Box::new)),
            },
        }
    }
}

fn judge_claim(current: Option<&Claim>, claim: &Claim) -> Verdict {
    match current {
        None => Verdict::Write(claim.clone()),
        Some(c) if c.ticket.id == claim.ticket.id => Verdict::Applied,
        Some(c) if c.state == ClaimState::NotRun && c.fingerprint == claim.fingerprint => {
            Verdict::Write(claim.clone())
        }
        Some(c) => Verdict::Refused(Some(Box::new(c.clone()))),
    }
}

fn may_replace(state: &ClaimState) -> bool {
    matches!(state, ClaimState::Open | ClaimState::NotRun)
}

/// A state is set on an open claim; an answer that arrives late also replaces `Unknown`.
fn judge_record(current: &Claim, state: &ClaimState, at_ms: u64) -> Verdict {
    let allowed = match (&current.state, state) {
        (ClaimState::Open, _) | (ClaimState::Unknown, ClaimState::Done { .. }) => true,
        (old, new) if old == new => return Verdict::Applied,
        _ => false,
    };
    if !allowed {
        return Verdict::Refused(Some(Box::new(current.clone())));
    }
    Verdict::Write(Claim {
        state: state.clone(),
        at_ms: at_ms.max(current.at_ms),
        ..current.clone()
    })
}
