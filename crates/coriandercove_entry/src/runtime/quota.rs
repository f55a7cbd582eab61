//! Exchange of demand digests between entries, so that an account that calls through one entry
//! gets its whole quota there.

use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::telemetry::count;
use coriandercove_base::{Clock, NodeId};
use coriandercove_peer::{Address, Frame};
use coriandercove_policy::admission::DemandDigest;

use super::Inner;

/// How often an entry tells its demand. A digest counts for 10 s, so some may be lost.
pub const PERIOD: Duration = Duration::from_secs(2);
/// Bytes a second that an entry spends on digests; half of the control budget of 2 KB/s.
const BYTES_PER_SECOND: usize = 1000;
/// Bytes of one account in a digest, with a name of usual length.
const ACCOUNT_BYTES: usize = 24;
/// Entries that are told. With more, each would be told too rarely, and quotas are split evenly.
const MAX_ENTRIES: usize = 32;

impl Inner {
    /// Tells the other live entries this entry's demand.
    pub(super) fn send_demand(&self) {
        let Some((links, control)) = self.links.get().zip(self.control.get()) else {
            return;
        };
        let own = &links.own().node;
        let entries = control.entries.borrow();
        let others: Vec<&Address> = entries.iter().filter(|e| e.node != *own).collect();
        if others.is_empty() || others.len() > MAX_ENTRIES {
            return;
        }
        let accounts = accounts_for(others.len());
        let digest = self.core.borrow().demand(self.clock.now(), accounts);
        let Ok(bytes) = postcard::to_stdvec(&digest) else {
            return;
        };
        let bytes = Bytes::from(bytes);
        for entry in others {
            // The next digest replaces one that is lost.
            let _ = links.send(entry, Frame::Demand(bytes.clone()));
        }
    }

    /// Takes another entry's demand in.
    pub(super) fn take_demand(&self, from: &NodeId, bytes: &[u8]) {
        match postcard::from_bytes::<DemandDigest>(bytes) {
            Ok(digest) => self
                .core
                .borrow_mut()
                .on_demand(self.clock.now(), from, &digest),
            Err(_) => count(&self.dropped, "reason", "malformed"),
        }
    }
}

/// Accounts that a digest names, so that digests to `others` entries keep to their bytes.
const fn accounts_for(others: usize) -> usize {
    let bytes = BYTES_PER_SECOND * PERIOD.as_secs() as usize / others;
    if bytes < ACCOUNT_BYTES {
        1
    } else {
        bytes / ACCOUNT_BYTES
    }
}
