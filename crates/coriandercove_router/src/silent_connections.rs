//! Remembers when connections to the platform's store were found silent.
//!
//! An entry whose watch got no answer although the store answers on a new connection tells its peers,
//! as their open connections may have fallen silent at the same moment.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use coriandercove_base::{Time, data};

/// Time for which peers are told, so that lost datagrams do no harm.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Minimum time between a list and the renewal of a watch because of a report, so that a store whose
/// watches hang is not called without end. Connections may fall silent again within it, but a list
/// after it is still in time.
const MIN_RENEWAL_PAUSE: Duration = Duration::from_secs(2);

data! {
    /// When the sender found connections to the store silent, as sent to the peers.
    #[derive(Copy, Eq, Default)]
    pub struct ConnectionsReport {
        /// Milliseconds since then; none if it was too long ago or never.
        pub silent_ms: Option<u32>,
    }
}

/// The latest times at which connections to the store were found silent.
#[derive(Debug, Default)]
pub struct SilentConnections {
    /// Time at which this entry found them; none if it never did.
    own: Cell<Option<Time>>,
    /// The latest time at which this entry or a peer found them.
    latest: Cell<Option<Time>>,
    changed: Notify,
}

impl SilentConnections {
    /// Records that a watch of this entry, which ended at `at`, had waited on a silent connection.
    pub fn on_found(&self, at: Time) {
        self.own.set(Some(at));
        self.record(at);
    }

    /// Applies a peer's report.
    pub fn on_report(&self, report: ConnectionsReport, now: Time) {
        if let Some(ms) = report.silent_ms {
            self.record(now.saturating_sub(Duration::from_millis(ms.into())));
        }
    }

    fn record(&self, at: Time) {
        if Some(at) > self.latest.get() {
            self.latest.set(Some(at));
            self.changed.notify_waiters();
        }
    }

    /// What the peers are told.
    #[must_use]
    pub fn report(&self, now: Time) -> ConnectionsReport {
        let age = self.own.get().map(|at| now.saturating_sub(at));
        ConnectionsReport {
            silent_ms: age
                .filter(|age| *age < REPORT_TIME)
                .and_then(|age| u32::try_from(age.as_millis()).ok()),
        }
    }

    /// Returns once a connection that was last answered at `answered` may be silent.
    pub async fn wait_until_doubtful(&self, answered: Time) {
        loop {
            let changed = self.changed.notified();
            if self.latest.get() > Some(answered) {
                return;
            }
            changed.await;
        }
    }
}

/// Time until a topic that was last listed at `listed` may be listed again because its connection may
/// be silent.
#[must_use]
pub fn renewal_pause(listed: Time, now: Time) -> Duration {
    (listed + MIN_RENEWAL_PAUSE).saturating_sub(now)
}

#[cfg(test)]
mod tests;
