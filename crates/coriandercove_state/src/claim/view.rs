//! The merged claims of all segments of a shard, as one entry last read or wrote them.

use std::collections::{BTreeMap, HashMap};

use coriandercove_base::Time;

use super::{Change, Claim, ClaimState, KeyHash, Segment};
use crate::store_call::Version;

/// The segment that accepts writes, the one with the highest number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveSegment {
    pub number: u64,
    pub version: Version,
    pub segment: Segment,
    /// Size of the encoded segment.
    pub bytes: usize,
    /// When this entry first read or wrote this version, by its own monotonic clock.
    pub first_seen: Time,
}

/// A sealed segment, which is never written again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SealedSegment {
    pub version: Version,
    pub segment: Segment,
    /// When this entry first saw the segment sealed, by its own monotonic clock.
    pub first_seen: Time,
}

/// Result of comparing a change with the claims in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Decision {
    /// The change has already been applied.
    Applied,
    /// The change contradicts this claim, or needs a claim and the key has none.
    Refused(Option<Box<Claim>>),
    /// The change is applied by writing this claim.
    Write(Claim),
}

/// The segments of a shard as last read or written, and their claims by key.
#[derive(Debug, Default)]
pub(super) struct View {
    pub sealed: BTreeMap<u64, SealedSegment>,
    pub active: Option<ActiveSegment>,
    claims: HashMap<KeyHash, Claim>,
    /// Whether segments were added or removed since `claims` was last merged.
    is_stale: bool,
}

impl View {
    pub fn get(&self, key: KeyHash) -> Option<&Claim> {
        self.claims.get(&key)
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns number and version of the active segment.
    pub fn active_version(&self) -> Option<(u64, Version)> {
        self.active.as_ref().map(|a| (a.number, a.version))
    }

    /// Sets the active segment as read from the store. `first_seen` is kept if its version did not
    /// change.
    pub fn set_active(&mut self, mut active: ActiveSegment) {
        if let Some(old) = &self.active
            && (old.number, old.version) == (active.number, active.version)
        {
            active.first_seen = old.first_seen;
        }
        for claim in &active.segment.claims {
            self.claims.insert(claim.key, claim.clone());
        }
        self.active = Some(active);
    }

    /// Sets the active segment after a write of this entry that added or changed the claims
    /// `changed`.
    pub fn update_active(&mut self, active: ActiveSegment, changed: Vec<Claim>) {
        for claim in changed {
            self.claims.insert(claim.key, claim);
        }
        self.active = Some(active);
    }

    /// Adds a sealed segment. Segments may be read in any order, so the claims are merged again
    /// by the next [`View::rebuild`].
    pub fn set_sealed(&mut self, number: u64, sealed: SealedSegment) {
        if self.active.as_ref().is_some_and(|a| a.number == number) {
            self.active = None;
        }
        self.sealed.insert(number, sealed);
        self.is_stale = true;
    }

    /// Removes the segments for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(u64) -> bool) {
        let before = self.sealed.len();
        self.sealed.retain(|n, _| exists(*n));
        self.is_stale |= self.sealed.len() < before;
        if self.active.as_ref().is_some_and(|a| !exists(a.number)) {
            self.remove_active();
        }
    }

    /// Removes the active segment, because a segment with a higher number exists or it was
    /// deleted.
    pub fn remove_active(&mut self) {
        self.active = None;
        self.is_stale = true;
    }

    /// Merges the claims of all segments again if segments were added or removed. Claims of
    /// segments with higher numbers replace those of lower ones.
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

    /// Decides whether a change can be applied to the claims in memory.
    pub fn decide(&self, change: &Change) -> Decision {
        let current = self.get(change.key());
        match change {
            Change::Claim(claim) => decide_claim(current, claim),
            Change::Replace { old, new } => match current {
                None => Decision::Write(new.clone()),
                Some(c) if c.ticket.id == new.ticket.id => Decision::Applied,
                Some(c) if c.ticket.id == *old && is_replaceable(&c.state) => {
                    Decision::Write(new.clone())
                }
                Some(c) => Decision::Refused(Some(Box::new(c.clone()))),
            },
            Change::Record {
                ticket,
                state,
                at_ms,
                ..
            } => match current {
                Some(c) if c.ticket.id == *ticket => decide_record(c, state, *at_ms),
                other => Decision::Refused(other.cloned().map(Box::new)),
            },
        }
    }
}

fn decide_claim(current: Option<&Claim>, claim: &Claim) -> Decision {
    match current {
        None => Decision::Write(claim.clone()),
        Some(c) if c.ticket.id == claim.ticket.id => Decision::Applied,
        Some(c) if c.state == ClaimState::NotRun && c.fingerprint == claim.fingerprint => {
            Decision::Write(claim.clone())
        }
        Some(c) => Decision::Refused(Some(Box::new(c.clone()))),
    }
}

fn is_replaceable(state: &ClaimState) -> bool {
    matches!(state, ClaimState::Open | ClaimState::NotRun)
}

/// Decides on a new state for a claim. Only an open claim gets a new state, except that a late
/// answer also replaces `Unknown`.
fn decide_record(current: &Claim, state: &ClaimState, at_ms: u64) -> Decision {
    let allowed = match (&current.state, state) {
        (ClaimState::Open, _) | (ClaimState::Unknown, ClaimState::Done { .. }) => true,
        (old, new) if old == new => return Decision::Applied,
        _ => false,
    };
    if !allowed {
        return Decision::Refused(Some(Box::new(current.clone())));
    }
    Decision::Write(Claim {
        state: state.clone(),
        at_ms: at_ms.max(current.at_ms),
        ..current.clone()
    })
}
