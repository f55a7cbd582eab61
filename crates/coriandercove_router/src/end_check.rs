//! Finds out what became of a target whose answer ended with its connection.
//!
//! An answer that has neither a length nor chunks ends with its connection. So does an answer whose
//! target ended midway: the system closes the connections of both in the same way, mostly between
//! two events. Until the target has been asked, such an end tells nothing: the answer is not known to
//! be whole, and neither is the request known to be sound nor the target to have crashed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;

use coriandercove_base::Time;

use crate::attempt::StartedMs;
use crate::placer::PROBE_TIMEOUT;
use crate::state::Router;
use crate::upstream::{ExchangeError, call};

/// Time for which a target is asked again and again. A sound one may fall silent for a second or so;
/// callers wait for two seconds and more.
pub(crate) const END_CHECK_LIMIT: Duration = Duration::from_millis(1500);
/// Pause before a target that has not answered is asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);

/// What became of a target since it closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The incarnation that answered goes on: it ended the answer itself.
    Alive,
    /// The incarnation has ended, so that it may have ended within the answer.
    Ended,
    /// The target did not answer in time.
    Unknown,
}

/// Result of asking a target once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It answered; the start of its incarnation is 0 if it does not report it.
    Answered(StartedMs),
    /// Nothing listened at its address.
    Refused,
    /// It could not be asked, did not answer, or closed the connection, as one does that is ending.
    Nothing,
}

/// Judges a reply to the question after an answer of the incarnation `started_ms`, 0 if that was not
/// reported. Returns none if the reply does not tell.
#[must_use]
pub fn judge(reply: Reply, started_ms: StartedMs) -> Option<Fate> {
    match reply {
        Reply::Answered(now) if now > 0 && started_ms > 0 && now != started_ms => Some(Fate::Ended),
        Reply::Answered(_) => Some(Fate::Alive),
        Reply::Refused => Some(Fate::Ended),
        Reply::Nothing => None,
    }
}

/// Asks a target that has closed the connection of an answer until it is known what became of it, for
/// at most `limit`. Its limits and pauses are kept.
pub(crate) async fn check(
    router: &Rc<Router>,
    address: SocketAddr,
    started_ms: StartedMs,
    limit: Duration,
) -> Fate {
    let end = router.now() + limit;
    loop {
        let reply = ask(router, address, end).await;
        if let Some(fate) = judge(reply, started_ms) {
            if fate == Fate::Ended {
                router.record_ended(address, reply == Reply::Refused);
            }
            info!(router.log, "end of an answer checked"; "target" => %address,
                "fate" => ?fate, "reply" => ?reply);
            return fate;
        }
        if router.now() + ASK_AGAIN_AFTER >= end {
            return Fate::Unknown;
        }
        tokio::time::sleep(ASK_AGAIN_AFTER).await;
    }
}

async fn ask(router: &Router, address: SocketAddr, end: Time) -> Reply {
    if !router.may_send(address) {
        return Reply::Nothing;
    }
    let timeout = PROBE_TIMEOUT.min(end.saturating_sub(router.now()));
    router.record_sent(address);
    match call(address, router.protocol.report_request(), timeout).await {
        // Targets that are no engines answer something else than a report.
        Ok(answer) => {
            let report = router.protocol.report(&answer.body);
            Reply::Answered(report.map_or(0, |r| r.started_ms))
        }
        Err(ExchangeError::Refused { .. }) => Reply::Refused,
        Err(_) => Reply::Nothing,
    }
}

#[cfg(test)]
mod tests;
