//! Loading of a shard: which segments to read, and when the view may be written to.
//!
//! Segments are numbered from 1. Three rules keep a late writer from adding to a segment
//! that readers no longer look at:
//!
//! - Segment N+1 is created, empty, only after segment N was seen sealed.
//! - Segments are deleted from the oldest on, and the one with the highest number never is.
//! - A writer appends to a segment only after a listing, begun after the segment was read,
//!   showed it as the highest. A segment that was deleted and created again by a delayed
//!   request is never the highest, so it stays empty, and readers ignore and delete it.

use std::collections::BTreeMap;

use coriandercove_base::Time;

use super::index::{Active, Sealed, View};
use super::segment::Segment;
use crate::fault::{self, Fault};
use crate::store_call::Version;

/// Next step of loading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    List,
    Get(u64),
    Create(u64),
    Ready,
}

/// Progress of loading a shard.
#[derive(Debug)]
pub(super) struct Loader {
    /// Segments still to be read, highest last.
    missing: Vec<u64>,
    /// Segment to be created before the next listing.
    create: Option<u64>,
    /// Highest number in the last listing.
    highest: u64,
    /// Whether the active segment of the view was read or written since it was last in doubt.
    active_read: bool,
    ready: bool,
    /// Segments that were created again after their deletion.
    pub stray: BTreeMap<u64, Version>,
}

impl Loader {
    pub const fn new() -> Self {
        Self {
            missing: Vec::new(),
            create: None,
            highest: 0,
            active_read: false,
            ready: false,
            stray: BTreeMap::new(),
        }
    }

    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Asks for a new read of the active segment, after which the view is current again.
    pub fn restart(&mut self, view: &View) {
        self.ready = false;
        self.active_read = false;
        self.create = None;
        self.missing = view.active.iter().map(|a| a.number).collect();
    }

    pub fn next(&self) -> Step {
        if self.ready {
            Step::Ready
        } else if let Some(number) = self.missing.first() {
            Step::Get(*number)
        } else if let Some(number) = self.create {
            Step::Create(number)
        } else {
            Step::List
        }
    }

    /// Takes in a listing, sorted.
    pub fn on_list(&mut self, view: &mut View, numbers: &[u64]) {
        self.forget_deleted(view, numbers);
        let Some(&highest) = numbers.last() else {
            // The highest segment is never deleted, so this shard has never been used.
            self.create = Some(1);
            return;
        };
        self.highest = highest;
        let active = view.active.as_ref().map(|a| a.number);
        self.missing = numbers
            .iter()
            .copied()
            .filter(|n| {
                let current = Some(*n) == active && self.active_read && *n == highest;
                !current && !view.sealed.contains_key(n) && !self.stray.contains_key(n)
            })
            .collect();
        if !self.missing.is_empty() {
            return;
        }
        if active == Some(highest) {
            self.ready = true;
            view.rebuild();
        } else {
            self.create = Some(highest + 1);
        }
    }

    fn forget_deleted(&mut self, view: &mut View, numbers: &[u64]) {
        let is_listed = |n: &u64| numbers.binary_search(n).is_ok();
        view.retain(|n| is_listed(&n));
        self.stray.retain(|n, _| is_listed(n));
    }

    /// Takes in a segment that was read, with its size, or `None` if it does not exist any more.
    pub fn on_get(
        &mut self,
        view: &mut View,
        now: Time,
        number: u64,
        found: Option<(Version, usize, Segment)>,
    ) {
        self.missing.retain(|n| *n != number);
        match found {
            None => {}
            Some((version, _, segment))
                if segment.sealed && !fault::is_on(Fault::WriteToSealed) =>
            {
                let sealed = Sealed {
                    version,
                    segment,
                    since: now,
                };
                view.set_sealed(number, sealed);
            }
            Some((version, ..)) if number < self.highest => {
                // Its successor exists, so the segment had been sealed and was deleted since.
                self.stray.insert(number, version);
                if view.active.as_ref().is_some_and(|a| a.number == number) {
                    view.drop_active();
                }
            }
            Some((version, bytes, segment)) => {
                self.active_read = true;
                view.set_active(Active {
                    number,
                    version,
                    segment,
                    bytes,
                    since: now,
                });
            }
        }
    }

    /// Takes in the end of a create, whatever its result: a listing decides.
    pub const fn on_create(&mut self) {
        self.create = None;
    }

    /// Skips the listing after a create; only for the fault tests.
    pub fn trust_created(&mut self, view: &mut View, active: Active) {
        self.highest = active.number;
        self.active_read = true;
        self.ready = true;
        view.set_active(active);
    }
}
