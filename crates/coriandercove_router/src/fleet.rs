//! Targets that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{Layer, SortedMap, TargetId, ZoneId, data};

use crate::routes::ServiceId;

data! {
    /// A half-open range of a model's layers.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct LayerRange {
        /// First layer of the range.
        pub first: Layer,
        /// Layer after the last one of the range.
        pub end: Layer,
    }
}

impl LayerRange {
    /// Creates the range from `first` up to, but not including, `end`.
    #[must_use]
    pub const fn new(first: Layer, end: Layer) -> Self {
        Self { first, end }
    }

    /// Number of layers in the range.
    #[must_use]
    pub const fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the range contains no layer.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.end <= self.first
    }
}

impl std::fmt::Display for LayerRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}-{}", self.first, self.end)
    }
}

/// One target as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Identifies the target; a restarted target usually gets a new id.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// Number of requests that the target runs at the same time.
    pub slots: u32,
    /// Whether the target announced that it is about to leave.
    pub is_draining: bool,
    /// Start of this incarnation, in Unix milliseconds; 0 if not reported.
    pub started_ms: u64,
    /// Time that the target stays slow after its start.
    pub warm_up: Duration,
    /// Kind of its accelerator; empty for plain services.
    pub accelerator: Arc<str>,
    /// Layers that the engine holds, as the platform lists them; none if it holds none.
    pub layers: Option<LayerRange>,
}

/// Listed targets, sorted by id.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    targets: SortedMap<TargetId, Arc<Target>>,
}

impl Fleet {
    /// Creates a fleet of these targets.
    #[must_use]
    pub fn new(targets: Vec<Arc<Target>>) -> Self {
        let targets = targets.into_iter().map(|t| (t.id.clone(), t));
        Self {
            targets: targets.collect(),
        }
    }

    /// The target with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// Adds a target or replaces the one with the same id. Returns the replaced one.
    pub fn insert(&mut self, target: Arc<Target>) -> Option<Arc<Target>> {
        self.targets.insert(target.id.clone(), target)
    }

    /// Removes the target with this id and returns it.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Target>> {
        self.targets.remove(id)
    }

    /// All targets, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// Targets of one service, sorted by id.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Target>> {
        self.iter().filter(move |t| *t.service == *service)
    }

    /// Number of listed targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
