//! Order of calls that belong to one request. Calls travel on different connections, so a late
//! cancellation could otherwise free the state of a newer attempt.

use std::collections::HashMap;

use coriandercove_base::RequestId;

#[derive(Default, Clone, Copy)]
struct Calls {
    /// Jobs in calls that have not ended.
    running: usize,
    /// The state is to be freed once no call runs.
    wants_free: bool,
    /// The cancellation has been sent and has not ended.
    freeing: bool,
}

/// Requests with calls in flight.
#[derive(Default)]
pub struct Order {
    calls: HashMap<RequestId, Calls>,
}

impl Order {
    /// Whether jobs of the request have to wait.
    pub fn is_freeing(&self, req: RequestId) -> bool {
        self.calls
            .get(&req)
            .is_some_and(|c| c.wants_free || c.freeing)
    }

    /// A call with a job of the request starts.
    pub fn started(&mut self, req: RequestId) {
        self.calls.entry(req).or_default().running += 1;
    }

    /// The state of the request is to be freed; whether to send the cancellation now.
    pub fn free(&mut self, req: RequestId) -> bool {
        let calls = self.calls.entry(req).or_default();
        calls.wants_free = true;
        self.next(req)
    }

    /// A call with a job of the request ended; whether to send a cancellation now.
    pub fn ended(&mut self, req: RequestId) -> bool {
        if let Some(calls) = self.calls.get_mut(&req) {
            calls.running = calls.running.saturating_sub(1);
        }
        self.next(req)
    }

    /// A cancellation ended; whether to send another one now.
    pub fn freed(&mut self, req: RequestId) -> bool {
        if let Some(calls) = self.calls.get_mut(&req) {
            calls.freeing = false;
        }
        self.next(req)
    }

    fn next(&mut self, req: RequestId) -> bool {
        let Some(calls) = self.calls.get_mut(&req) else {
            return false;
        };
        let now = calls.wants_free && calls.running == 0 && !calls.freeing;
        if now {
            (calls.wants_free, calls.freeing) = (false, true);
        }
        self.forget(req);
        now
    }

    fn forget(&mut self, req: RequestId) {
        let idle = |c: &Calls| c.running == 0 && !c.wants_free && !c.freeing;
        if self.calls.get(&req).is_some_and(idle) {
            self.calls.remove(&req);
        }
    }
}

#[cfg(test)]
mod tests;
