//! Exchange of demand digests between entries. Entries split quotas by demand, so that an account
//! that sends all its requests to one entry gets its whole quota there.

use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::telemetry::count;
use coriandercove_base::{Clock, NodeId};
use coriandercove_peer::{Address, Frame};
use coriandercove_policy::admission::DemandDigest;

use super::Inner;

/// Interval at which an entry sends its demand. A digest is valid for 10 s, so some may be lost.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Bytes per second that an entry sends as digests: half of the control traffic budget of 2 KB/s.
const BYTES_PER_SECOND: usize = 1000;
/// Encoded size of one account in a digest, in bytes, with a name of usual length.
const ACCOUNT_BYTES: usize = 24;
/// Maximum number of other entries that digests are sent to. With more entries, the byte budget
/// would not allow useful digests for each, so none are sent and quotas are split evenly.
const MAX_RECIPIENTS: usize = 32;

impl Inner {
    /// Sends this entry's demand digest to all other live entries, unless these are more than
    /// [`MAX_RECIPIENTS`].
    pub(super) fn send_demand(&self) {
        let Some((links, control)) = self.links.get().zip(self.control.get()) else {
            return;
        };
        let own = &links.own().node;
        let entries = control.entries.borrow();
        let others: Vec<&Address> = entries.iter().filter(|e| e.node != *own).collect();
        if others.is_empty() || others.len() > MAX_RECIPIENTS {
            return;
        }
        let accounts = accounts_for(others.len());
        let digest = self.core.borrow().demand(self.clock.now(), accounts);
        let Ok(bytes) = postcard::to_stdvec(&digest) else {
            return;
        };
        let bytes = Bytes::from(bytes);
        for entry in others {
            // A lost digest is replaced by the next one.
            let _ = links.send(entry, Frame::Demand(bytes.clone()));
        }
    }

    /// Decodes another entry's demand digest and passes it to the core.
    pub(super) fn on_demand_frame(&self, from: &NodeId, bytes: &[u8]) {
        match postcard::from_bytes::<DemandDigest>(bytes) {
            Ok(digest) => self
                .core
                .borrow_mut()
                .on_demand(self.clock.now(), from, &digest),
            Err(_) => count(&self.dropped, "reason", "malformed"),
        }
    }
}

/// Returns how many accounts a digest may contain so that sending it to `others` entries stays
/// within [`BYTES_PER_SECOND`]; at least 1.
const fn accounts_for(others: usize) -> usize {
    let bytes = BYTES_PER_SECOND * DIGEST_INTERVAL.as_secs() as usize / others;
    if bytes < ACCOUNT_BYTES {
        1
    } else {
        bytes / ACCOUNT_BYTES
    }
}
