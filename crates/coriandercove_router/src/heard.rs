//! How far the peers have followed the platform's objects.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use coriandercove_base::{Time, data};

use crate::protocol::Topic;

/// Time that a watch has to deliver what a peer already knows; watches of different entries hear
/// of one change within some hundred milliseconds.
const TOLERANCE: Duration = Duration::from_millis(800);

data! {
    /// A value for each topic.
    #[derive(Copy, Default)]
    pub struct PerTopic<T> {
        /// Of the configuration.
        pub configuration: T,
        /// Of the targets.
        pub targets: T,
    }
}

/// Store revisions up to which an entry knows each topic.
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

/// Revisions that this entry and its peers know.
#[derive(Debug, Default)]
pub struct Heard {
    /// Revisions that this entry's knowledge reflects.
    known: Cell<Revisions>,
    /// Revisions of the last change that this entry saw in each topic. They are told to the peers:
    /// the store's revision also rises by changes elsewhere.
    changes: Cell<Revisions>,
    /// Highest changes that some peer saw.
    peers: Cell<Revisions>,
    /// When the platform last answered.
    answered: Cell<PerTopic<Time>>,
    changed: Notify,
}

impl Heard {
    /// Notes that this entry's knowledge of a topic reflects `revision`, the last change in it being
    /// `change`.
    pub fn reached(&self, topic: Topic, revision: u64, change: u64) {
        for (cell, value) in [(&self.known, revision), (&self.changes, change)] {
            let mut revisions = cell.get();
            revisions.raise(topic, value);
            cell.set(revisions);
        }
    }

    /// Notes that the platform answered for a topic.
    pub fn on_answer(&self, topic: Topic, now: Time) {
        let mut answered = self.answered.get();
        *answered.of_mut(topic) = now;
        self.answered.set(answered);
    }

    /// When the platform last answered for a topic; the start if it never did.
    #[must_use]
    pub fn answered(&self, topic: Topic) -> Time {
        self.answered.get().of(topic)
    }

    /// Last changes that this entry saw.
    #[must_use]
    pub fn changes(&self) -> Revisions {
        self.changes.get()
    }

    /// Takes the last changes that a peer saw in.
    pub fn on_peer(&self, revisions: Revisions) {
        let mut peers = self.peers.get();
        for topic in [Topic::Configuration, Topic::Targets] {
            peers.raise(topic, revisions.of(topic));
        }
        if peers != self.peers.get() {
            self.peers.set(peers);
            self.changed.notify_waiters();
        }
    }

    fn is_ahead(&self, topic: Topic) -> bool {
        self.peers.get().of(topic) > self.known.get().of(topic)
    }

    /// Returns once some peer has been ahead for longer than a watch may take.
    pub async fn is_behind(&self, topic: Topic) {
        loop {
            let changed = self.changed.notified();
            if self.is_ahead(topic) {
                tokio::time::sleep(TOLERANCE).await;
                return;
            }
            changed.await;
        }
    }
}
