//! Loading of a shard: which segments to read, and when the active segment may be written.
//!
//! Segments are numbered from 1. Three rules keep a late writer from adding claims to a segment
//! that readers no longer read:
//!
//! - Segment N+1 is created, empty, only after segment N was read as sealed.
//! - Segments are deleted in the order of their numbers, and the one with the highest number is
//!   never deleted.
//! - A writer appends to a segment only if a listing that began after it read the segment shows
//!   the segment as the highest. A stray segment, which was deleted and then created again by a
//!   delayed request, is never the highest. It therefore stays empty, and readers ignore and
//!   delete it.

use std::collections::BTreeMap;

use coriandercove_base::Time;

use super::segment::Segment;
use super::view::{ActiveSegment, SealedSegment, View};
use crate::fault::{self, Fault};
use crate::store_call::Version;

/// Next store call of loading a shard. Segments are given by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadStep {
    List,
    Get(u64),
    Create(u64),
    /// No call is needed: the view is current and its active segment may be written.
    Ready,
}

/// Progress of loading a shard.
#[derive(Debug)]
pub(super) struct Loader {
    /// Numbers of the segments still to be read, highest last.
    to_read: Vec<u64>,
    /// Number of the segment to create before the next listing.
    to_create: Option<u64>,
    /// Highest segment number in the last listing.
    highest: u64,
    /// Whether the active segment was read since the last [`Loader::restart`].
    is_active_current: bool,
    /// Whether the view is current and its active segment may be written.
    is_ready: bool,
    /// Segments that were created again by a delayed request after their deletion.
    pub stray: BTreeMap<u64, Version>,
}

impl Loader {
    pub const fn new() -> Self {
        Self {
            to_read: Vec::new(),
            to_create: None,
            highest: 0,
            is_active_current: false,
            is_ready: false,
            stray: BTreeMap::new(),
        }
    }

    pub const fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Starts loading again: the active segment is read and the segments are listed, after which
    /// the view is current.
    pub fn restart(&mut self, view: &View) {
        self.is_ready = false;
        self.is_active_current = false;
        self.to_create = None;
        self.to_read = view.active.iter().map(|a| a.number).collect();
    }

    pub fn next_step(&self) -> LoadStep {
        if self.is_ready {
            LoadStep::Ready
        } else if let Some(number) = self.to_read.first() {
            LoadStep::Get(*number)
        } else if let Some(number) = self.to_create {
            LoadStep::Create(number)
        } else {
            LoadStep::List
        }
    }

    /// Handles a listing. `numbers` are the listed segment numbers in ascending order.
    pub fn on_list(&mut self, view: &mut View, numbers: &[u64]) {
        self.remove_deleted(view, numbers);
        let Some(&highest) = numbers.last() else {
            // The segment with the highest number is never deleted, so the shard has no claims yet.
            self.to_create = Some(1);
            return;
        };
        self.highest = highest;
        let active = view.active.as_ref().map(|a| a.number);
        self.to_read = numbers
            .iter()
            .copied()
            .filter(|n| {
                let current = Some(*n) == active && self.is_active_current && *n == highest;
                !current && !view.sealed.contains_key(n) && !self.stray.contains_key(n)
            })
            .collect();
        if !self.to_read.is_empty() {
            return;
        }
        if active == Some(highest) {
            self.is_ready = true;
            view.rebuild();
        } else {
            self.to_create = Some(highest + 1);
        }
    }

    fn remove_deleted(&mut self, view: &mut View, numbers: &[u64]) {
        let is_listed = |n: &u64| numbers.binary_search(n).is_ok();
        view.retain(|n| is_listed(&n));
        self.stray.retain(|n, _| is_listed(n));
    }

    /// Handles the read of a segment: its version, encoded size and content, or `None` if it no
    /// longer exists.
    pub fn on_get(
        &mut self,
        view: &mut View,
        now: Time,
        number: u64,
        found: Option<(Version, usize, Segment)>,
    ) {
        self.to_read.retain(|n| *n != number);
        match found {
            None => {}
            Some((version, _, segment))
                if segment.sealed && !fault::is_on(Fault::WriteToSealed) =>
            {
                let sealed = SealedSegment {
                    version,
                    segment,
                    first_seen: now,
                };
                view.set_sealed(number, sealed);
            }
            Some((version, ..)) if number < self.highest => {
                // A segment with a higher number exists, so this one had been sealed and deleted,
                // and was created again.
                self.stray.insert(number, version);
                if view.active.as_ref().is_some_and(|a| a.number == number) {
                    view.remove_active();
                }
            }
            Some((version, bytes, segment)) => {
                self.is_active_current = true;
                view.set_active(ActiveSegment {
                    number,
                    version,
                    segment,
                    bytes,
                    first_seen: now,
                });
            }
        }
    }

    /// Handles the end of a create call. Its result does not matter, because a listing follows.
    pub const fn on_create(&mut self) {
        self.to_create = None;
    }

    /// Uses a created segment without the listing that must follow; only for
    /// [`Fault::CreateNotConfirmed`].
    pub fn use_unconfirmed(&mut self, view: &mut View, active: ActiveSegment) {
        self.highest = active.number;
        self.is_active_current = true;
        self.is_ready = true;
        view.set_active(active);
    }
}
