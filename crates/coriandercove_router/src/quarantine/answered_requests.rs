//! When whole requests were last answered.

use std::collections::HashMap;
use std::time::Duration;

use coriandercove_base::Time;

use super::mark::Mark;

/// Maximum number of requests that are remembered in one period; further ones are not.
const MAX_REQUESTS: usize = 8192;

/// Requests that were answered lately.
///
/// Most requests come once, so that they are kept by periods and dropped together instead of one by
/// one.
#[derive(Debug, Default)]
pub struct AnsweredRequests {
    began: Time,
    /// Requests answered in this period, at most [`MAX_REQUESTS`].
    current: HashMap<Mark, Time>,
    /// Those of the period before.
    previous: HashMap<Mark, Time>,
}

impl AnsweredRequests {
    /// Records that a request was answered. It is remembered for `memory` at least.
    pub fn insert(&mut self, request: Mark, now: Time, memory: Duration) {
        let age = now.saturating_sub(self.began);
        if age >= memory {
            self.previous = std::mem::take(&mut self.current);
            if age >= memory * 2 {
                self.previous.clear();
            }
            self.began = now;
        }
        if self.current.len() < MAX_REQUESTS || self.current.contains_key(&request) {
            self.current.insert(request, now);
        }
    }

    /// Time of the last answer, if it is remembered.
    #[must_use]
    pub fn get(&self, request: Mark) -> Option<Time> {
        let found = self.current.get(&request);
        found.or_else(|| self.previous.get(&request)).copied()
    }
}
