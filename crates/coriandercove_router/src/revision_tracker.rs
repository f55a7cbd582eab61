//! Tracks up to which store revision this entry and its peers know the platform's objects.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use coriandercove_base::{Time, data};

use crate::protocol::{StoreEra, Topic};

/// Time that this entry's own watch has to deliver a change that a peer already knows. The watches
/// of different entries deliver one change within some hundred milliseconds of each other.
const WATCH_TOLERANCE: Duration = Duration::from_millis(800);

data! {
    /// A value for each topic that entries follow on the platform.
    #[derive(Copy, Default)]
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
    /// Highest revision of a change that any peer reported.
    peers: Cell<Revisions>,
    /// Time of the platform's last answer; [`Time::ZERO`] before the first one.
    last_answers: Cell<PerTopic<Time>>,
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
        change
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

    /// Revision of the last change that this entry received, by topic.
    #[must_use]
    pub fn last_changes(&self) -> Revisions {
        self.last_changes.get()
    }

    /// Merges the revisions that a peer reported and wakes the followers if one rose.
    pub fn on_peer_revisions(&self, revisions: Revisions) {
        let mut peers = self.peers.get();
        for topic in [Topic::Configuration, Topic::Targets] {
            peers.raise(topic, revisions.of(topic));
        }
        if peers != self.peers.get() {
            self.peers.set(peers);
            self.changed.notify_waiters();
        }
    }

    fn is_peer_ahead(&self, topic: Topic) -> bool {
        self.peers.get().of(topic) > self.known.get().of(topic)
    }

    /// Returns once a peer reports a change that this entry lacks and `WATCH_TOLERANCE` has
    /// passed since it was noticed.
    pub async fn wait_until_behind(&self, topic: Topic) {
        loop {
            let changed = self.changed.notified();
            if self.is_peer_ahead(topic) {
                tokio::time::sleep(WATCH_TOLERANCE).await;
                return;
            }
            changed.await;
        }
    }
}
