//! An entry of a local deployment.

use std::net::SocketAddr;
use std::rc::Rc;

use coriandercove_base::telemetry::discard;
use coriandercove_entry::{Entry, EntryConfig};
use coriandercove_node::store::http_store;
use coriandercove_peer::{Address, ClusterKey, PeerInfo};

use crate::network::Network;
use crate::role::{Lifecycle, RoleError, RoleThread};

/// An entry on a thread of its own.
pub struct EntryRole {
    /// The entry, on a thread of its own.
    pub role: RoleThread<Entry>,
    /// Address at which it serves callers over HTTP.
    pub caller_addr: SocketAddr,
    /// Address at which agents and other entries reach it; `None` if its links are not bound.
    pub peer_address: Option<Address>,
}

impl Lifecycle for Entry {
    async fn drain(self) {
        Self::drain(self).await;
    }

    fn kill(self) {
        self.stop();
    }
}

impl EntryRole {
    /// Starts an entry that serves callers at `callers` and uses the store at the URL `store`. It
    /// learns the other members from the entries whose peer addresses are `seeds`, and sends
    /// through `network` if there is one. With `seed`, its random choices are reproducible.
    ///
    /// # Errors
    /// [`RoleError`] if the entry does not start.
    pub fn start(
        own: PeerInfo,
        key: ClusterKey,
        callers: SocketAddr,
        store: String,
        seeds: Vec<SocketAddr>,
        seed: Option<u64>,
        network: Option<&Network>,
    ) -> Result<Self, RoleError> {
        let shaper = network.map(|n| n.shaper(&own.node, &own.zone));
        let name = own.node.to_string();
        let start = move || async move {
            let mut cfg = EntryConfig::new(own, key, callers, discard())
                .with_platform_store(http_store(&store))
                .with_seeds(seeds);
            if let Some(seed) = seed {
                cfg = cfg.with_seed(seed);
            }
            if let Some(shaper) = shaper {
                cfg = cfg.with_shaper(Rc::new(shaper));
            }
            Entry::start(cfg).await
        };
        let describe = |entry: &Entry| (entry.caller_addr(), entry.peer_address());
        let (role, (caller_addr, peer_address)) = RoleThread::start(&name, start, describe)?;
        Ok(Self {
            role,
            caller_addr,
            peer_address,
        })
    }
}
