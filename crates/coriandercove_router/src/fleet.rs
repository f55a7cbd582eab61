//! The targets that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{Layer, SortedMap, TargetId, ZoneId, data};

use crate::routes::ServiceId;

data! {
    /// A half-open range of layers.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct LayerRange {
        /// First layer.
        pub first: Layer,
        /// Layer after the last one.
        pub end: Layer,
    }
}

impl LayerRange {
    /// The range from `first` up to `end`, which it does not contain.
    #[must_use]
    pub const fn new(first: Layer, end: Layer) -> Self {
        Self { first, end }
    }

    /// Number of layers.
    #[must_use]
    pub const fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Whether it holds no layer.
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
    /// Identifies the target; a new start mostly has a new one.
    pub id: TargetId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it announced that it leaves.
    pub is_draining: bool,
    /// Start of this incarnation, in Unix milliseconds; 0 if not told.
    pub started_ms: u64,
    /// Time that it stays slow after its start.
    pub warm_up: Duration,
    /// Kind of accelerator; empty for plain services.
    pub accelerator: Arc<str>,
    /// Layers that it holds, if any.
    pub layers: Option<LayerRange>,
}

/// All listed targets, by id.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    targets: SortedMap<TargetId, Arc<Target>>,
}

impl Fleet {
    /// A fleet of these targets.
    #[must_use]
    pub fn new(targets: Vec<Arc<Target>>) -> Self {
        let targets = targets.into_iter().map(|t| (t.id.clone(), t));
        Self {
            targets: targets.collect(),
        }
    }

    /// The target of this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// Adds or replaces a target; returns the one it replaced.
    pub fn insert(&mut self, target: Arc<Target>) -> Option<Arc<Target>> {
        self.targets.insert(target.id.clone(), target)
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Target>> {
        self.targets.remove(id)
    }

    /// Every target, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// The targets of one service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Target>> {
        self.iter().filter(move |t| *t.service == *service)
    }

    /// Number of targets.
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
