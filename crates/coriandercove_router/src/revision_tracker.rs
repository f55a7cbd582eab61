//! Tracks the store's era, and up to which revision of it this entry and its peers know the
//! platform's objects.
//!
//! A store that comes back from an older copy begins a new era and gives out revisions again, so that
//! revisions of different eras are never compared.

use std::cell::Cell;
use std::cmp::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use coriandercove_base::{Time, data};

use crate::protocol::{StoreEra, Topic};

/// Time that this entry's own watch has to deliver a change that a peer already knows. The watches
/// of different entries deliver one change within some hundred milliseconds of each other.
const WATCH_TOLERANCE: Duration = Duration::from_millis(800);

data! {
    /// A value for each topic that entries follow on the platform.
    #[derive(Copy, Eq, Default)]
    pub struct PerTopic<T> {
        /// Value for the configuration.
        pub configuration: T,
        /// Value for the targets.
        pub targets: T,
    }
}

/// Store revision for each topic.
pub type Revisions = PerTopic<u64>;

impl<T: Copy> PerTopic<T> {
    fn of(self, topic: Topic) -> T {
        match topic {
            Topic::Configuration => self.configuration,
            Topic::Targets => self.targets,
        }
    }

    fn of_mut(&mut self, topic: Topic) -> &mut T {
        match topic {
            Topic::Configuration => &mut self.configuration,
            Topic::Targets => &mut self.targets,
        }
    }
}

data! {
    /// The last change that an entry knows in each topic.
    #[derive(Copy, Eq, Default)]
    pub struct StorePosition {
        /// Era of the revisions; none if the store names none.
        pub era: Option<StoreEra>,
        /// Revision of the last change, by topic.
        pub revisions: Revisions,
    }
}

impl Revisions {
    fn raise(&mut self, topic: Topic, revision: u64) {
        let value = self.of_mut(topic);
        *value = revision.max(*value);
    }
}

/// What the era of an answer means for what is known of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The answer is of the era that is known.
    None,
    /// The store came back from an older copy: it names another era than the one held here.
    Restored(StoreEra),
    /// The answer is of an era that has ended.
    Late,
}

/// Revisions that this entry and its peers know, by topic.
#[derive(Debug, Default)]
pub struct RevisionTracker {
    /// Era that the store names, and the time at which it first did; none before the first answer
    /// that names one.
    era: Cell<Option<(StoreEra, Time)>>,
    /// Store revisions that this entry's state reflects.
    known: Cell<Revisions>,
    /// Revision of the last change that this entry received in each topic. Peers are sent these,
    /// because the store's revision also rises with changes in other topics.
    last_changes: Cell<Revisions>,
    /// Latest era that any peer reported, and the highest revision of a change in it.
    peers: Cell<StorePosition>,
    /// Latest era of peers that the store's own answer did not confirm.
    refuted_era: Cell<Option<StoreEra>>,
    /// Time of the platform's last answer; [`Time::ZERO`] before the first one.
    last_answers: Cell<PerTopic<Time>>,
    /// Time at which a peer was first seen to be ahead, while it is. A watch that ends meanwhile does
    /// not prolong the tolerance.
    behind_since: Cell<PerTopic<Option<Instant>>>,
    changed: Notify,
}

impl RevisionTracker {
    /// Records that this entry's state for a topic reflects `revision`, and that the last change in
    /// the topic has the revision `change`. Lower values than before are ignored.
    pub fn record_revision(&self, topic: Topic, revision: u64, change: u64) {
        for (cell, value) in [(&self.known, revision), (&self.last_changes, change)] {
            let mut revisions = cell.get();
            revisions.raise(topic, value);
            cell.set(revisions);
        }
    }

    /// Era that the store names; none before the first answer that names one.
    #[must_use]
    pub fn era(&self) -> Option<StoreEra> {
        self.era.get().map(|(era, _)| era)
    }

    /// Records the era of an answer to a call that began at `began`. An answer that names none
    /// counts as one of the known era.
    ///
    /// The store gives out eras in ascending order, but its own word counts: a lower era in the
    /// answer to a call that began after the higher one was seen is a further return from a copy.
    pub fn record_era(&self, named: Option<StoreEra>, began: Time, now: Time) -> EraChange {
        let change = match (self.era.get(), named) {
            (_, None) => return EraChange::None,
            (Some((known, _)), Some(era)) if era == known => return EraChange::None,
            (Some((known, since)), Some(era)) if era < known && began < since => {
                return EraChange::Late;
            }
            (Some((known, _)), Some(_)) => EraChange::Restored(known),
            (None, Some(_)) => EraChange::None,
        };
        self.era.set(named.map(|era| (era, now)));
        if change != EraChange::None {
            self.known.take();
            self.last_changes.take();
            self.changed.notify_waiters();
        }
        change
    }

    /// Records that a list was answered: what peers report of a later era than the store names is
    /// no reason to list again.
    pub fn record_list(&self) {
        let (own, peers) = (self.era(), self.peers.get().era);
        if peers > own {
            self.refuted_era.set(peers.max(self.refuted_era.get()));
        }
    }

    /// Records an answer of the platform for a topic.
    pub fn record_answer(&self, topic: Topic, now: Time) {
        let mut answered = self.last_answers.get();
        *answered.of_mut(topic) = now;
        self.last_answers.set(answered);
    }

    /// Time of the platform's last answer for a topic; the start of the process if there was none.
    #[must_use]
    pub fn last_answer(&self, topic: Topic) -> Time {
        self.last_answers.get().of(topic)
    }

    /// The last change that this entry received in each topic.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era(),
            revisions: self.last_changes.get(),
        }
    }

    /// Merges what a peer reported and wakes the followers if it is ahead. An entry that cannot
    /// reach the store learns of a new era in this way.
    pub fn on_peer_position(&self, position: StorePosition) {
        if self.is_refuted(position.era) {
            return;
        }
        let before = self.peers.get();
        let mut peers = position;
        match position.era.cmp(&before.era) {
            Ordering::Less if !self.is_refuted(before.era) => return,
            Ordering::Equal => {
                for topic in [Topic::Configuration, Topic::Targets] {
                    peers.revisions.raise(topic, before.revisions.of(topic));
                }
            }
            Ordering::Less | Ordering::Greater => {}
        }
        if peers != before {
            self.peers.set(peers);
            self.changed.notify_waiters();
        }
    }

    /// Whether the store itself names an earlier era than this one, which a peer reported.
    fn is_refuted(&self, era: Option<StoreEra>) -> bool {
        era > self.era() && era <= self.refuted_era.get()
    }

    fn is_peer_ahead(&self, topic: Topic) -> bool {
        let peers = self.peers.get();
        match peers.era.cmp(&self.era()) {
            Ordering::Less => false,
            Ordering::Equal => peers.revisions.of(topic) > self.known.get().of(topic),
            Ordering::Greater => !self.is_refuted(peers.era),
        }
    }

    /// Returns once the store names another era than `era`, or a peer reports a change that this
    /// entry lacks and `WATCH_TOLERANCE` has passed since it was noticed.
    pub async fn wait_until_behind(&self, topic: Topic, era: Option<StoreEra>) {
        loop {
            let changed = self.changed.notified();
            if self.era() != era {
                return;
            }
            let mut behind_since = self.behind_since.get();
            let since = behind_since.of_mut(topic);
            if self.is_peer_ahead(topic) {
                let due = *since.get_or_insert_with(Instant::now) + WATCH_TOLERANCE;
                self.behind_since.set(behind_since);
                tokio::time::sleep_until(due).await;
                behind_since = self.behind_since.get();
                *behind_since.of_mut(topic) = None;
                self.behind_since.set(behind_since);
                return;
            }
            *since = None;
            self.behind_since.set(behind_since);
            changed.await;
        }
    }
}

#[cfg(test)]
mod tests;
