//! Tracks the calls and cancellations of each request that are in flight, so that they do not
//! overlap. They travel on different connections, so a delayed cancellation could otherwise free
//! the engine's state of a newer attempt.

use std::collections::HashMap;

use coriandercove_base::RequestId;

/// The calls and the cancellation of one request.
#[derive(Default, Clone, Copy)]
struct RequestCalls {
    /// Number of jobs in calls in flight.
    jobs_in_flight: usize,
    /// Whether a cancellation is to be sent once no job is in flight.
    cancel_requested: bool,
    /// Whether a cancellation has been sent and has not ended.
    cancel_in_flight: bool,
}

/// The requests that have jobs or a cancellation in flight.
#[derive(Default)]
pub struct CallTracker {
    calls: HashMap<RequestId, RequestCalls>,
}

impl CallTracker {
    /// Whether a cancellation of the request is requested or in flight, so that its jobs have to
    /// wait.
    pub fn is_cancel_pending(&self, req: RequestId) -> bool {
        self.calls
            .get(&req)
            .is_some_and(|c| c.cancel_requested || c.cancel_in_flight)
    }

    /// Records that a call with a job of the request starts.
    pub fn on_call_started(&mut self, req: RequestId) {
        self.calls.entry(req).or_default().jobs_in_flight += 1;
    }

    /// Requests a cancellation. Returns whether the caller has to send it now.
    pub fn request_cancel(&mut self, req: RequestId) -> bool {
        let calls = self.calls.entry(req).or_default();
        calls.cancel_requested = true;
        self.begin_cancel_if_due(req)
    }

    /// Records that a call with a job of the request ended. Returns whether the caller has to send
    /// a cancellation now.
    pub fn on_call_ended(&mut self, req: RequestId) -> bool {
        if let Some(calls) = self.calls.get_mut(&req) {
            calls.jobs_in_flight = calls.jobs_in_flight.saturating_sub(1);
        }
        self.begin_cancel_if_due(req)
    }

    /// Records that a cancellation ended. Returns whether the caller has to send another one now.
    pub fn on_cancel_ended(&mut self, req: RequestId) -> bool {
        if let Some(calls) = self.calls.get_mut(&req) {
            calls.cancel_in_flight = false;
        }
        self.begin_cancel_if_due(req)
    }

    /// Marks the requested cancellation as sent if nothing of the request is in flight. Returns
    /// whether it did.
    fn begin_cancel_if_due(&mut self, req: RequestId) -> bool {
        let Some(calls) = self.calls.get_mut(&req) else {
            return false;
        };
        let is_due = calls.cancel_requested && calls.jobs_in_flight == 0 && !calls.cancel_in_flight;
        if is_due {
            (calls.cancel_requested, calls.cancel_in_flight) = (false, true);
        }
        self.remove_if_idle(req);
        is_due
    }

    fn remove_if_idle(&mut self, req: RequestId) {
        let is_idle =
            |c: &RequestCalls| c.jobs_in_flight == 0 && !c.cancel_requested && !c.cancel_in_flight;
        if self.calls.get(&req).is_some_and(is_idle) {
            self.calls.remove(&req);
        }
    }
}

#[cfg(test)]
mod tests;
