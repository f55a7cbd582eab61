//! The end of a case: all failures stop, and all streams and stages must end.

use std::time::Duration;

use super::{DEADLINE, Simulation};
use crate::nodes::{AGENTS, ENTRIES};
use crate::runner::{count_whole, rng, violation};

/// Time within which all streams must end after the last failure.
const SETTLE_TIME: Duration = Duration::from_secs(40);

impl Simulation {
    /// Ends all failures and checks that every stream then ends and every stage is freed.
    pub fn settle(&mut self) {
        self.rng = rng(11);
        self.network.heal();
        for e in 0..ENTRIES {
            self.entries[e].frozen = None;
        }
        for a in 0..AGENTS {
            (self.agents[a].engine.frozen, self.agents[a].engine.failing) = (false, 0);
            let agent = &mut self.agents[a];
            if agent.alive && agent.leaving.is_none() {
                (agent.frozen, agent.silent) = (false, None);
            } else {
                self.restart(a, true);
            }
        }
        for caller in self.callers.by_req.values_mut() {
            caller.slow = false;
        }
        let end = self.now + SETTLE_TIME;
        while !self.callers.open().is_empty() {
            if self.now > end {
                violation("a stream has not ended within `SETTLE_TIME` after the last failure");
            }
            if self.run_events(20_000) {
                violation("20000 events happened without time passing, and more are left");
            }
            self.advance(Duration::from_millis(20));
        }
        count_whole(self.callers.whole);
        self.check_freed();
    }

    /// Checks that all stages are freed, at the latest some time after the longest deadline.
    fn check_freed(&mut self) {
        let end = self.now + DEADLINE + Duration::from_secs(20);
        while self.now < end {
            self.run_events(20_000);
            if self.agents.iter().all(|a| a.stages.is_empty()) {
                return;
            }
            self.advance(Duration::from_secs(1));
        }
        violation("a stage is not freed after the deadline of its request");
    }
}
