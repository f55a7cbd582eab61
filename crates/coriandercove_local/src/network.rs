//! Simulated delays, bandwidths and partitions between the zones of a local deployment.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use coriandercove_base::{NodeId, ZoneId};
use coriandercove_peer::link::{Passage, Shaper};

/// State of the links from one zone to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneLink {
    /// A frame arrives after the delay plus its transfer time at the given bandwidth.
    Open {
        /// One-way delay.
        delay: Duration,
        /// Bytes per second.
        bandwidth: u64,
    },
    /// No frame arrives.
    Cut,
}

/// The zone of each node, and the state of the links from one zone to another.
#[derive(Debug, Default)]
struct State {
    zones: BTreeMap<NodeId, ZoneId>,
    links: BTreeMap<(ZoneId, ZoneId), ZoneLink>,
}

/// The network of a deployment; clones share it. Frames pass without delay between zones for which
/// no [`ZoneLink`] is set.
#[derive(Debug, Clone, Default)]
pub struct Network(Arc<RwLock<State>>);

impl Network {
    /// Sets the state of the links between two zones in both directions.
    pub fn set(&self, a: &str, b: &str, link: ZoneLink) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.links.insert((a.into(), b.into()), link);
        state.links.insert((b.into(), a.into()), link);
    }

    /// Removes all link states, so that all frames pass without delay.
    pub fn clear(&self) {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.links.clear();
    }

    /// Adds a node and returns the shaper of the frames that it sends.
    pub(crate) fn shaper(&self, node: &NodeId, zone: &ZoneId) -> impl Shaper + Send + use<> {
        let mut state = self.0.write().unwrap_or_else(PoisonError::into_inner);
        state.zones.insert(node.clone(), zone.clone());
        ZoneShaper {
            from: zone.clone(),
            network: self.clone(),
        }
    }

    fn passage(&self, from: &ZoneId, to: &NodeId, bytes: usize) -> Passage {
        let state = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let link = state
            .zones
            .get(to)
            .and_then(|zone| state.links.get(&(from.clone(), zone.clone())));
        match link {
            None => Passage::After(Duration::ZERO),
            Some(ZoneLink::Cut) => Passage::Blocked,
            Some(ZoneLink::Open { delay, bandwidth }) => {
                let transfer = bytes as f64 / (*bandwidth).max(1) as f64;
                Passage::After(*delay + Duration::from_secs_f64(transfer))
            }
        }
    }
}

/// Shaper of the frames from a node in the zone `from`.
struct ZoneShaper {
    from: ZoneId,
    network: Network,
}

impl Shaper for ZoneShaper {
    fn passage(&self, to: &NodeId, bytes: usize) -> Passage {
        self.network.passage(&self.from, to, bytes)
    }
}

#[cfg(test)]
mod tests;
