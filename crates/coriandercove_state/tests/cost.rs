//! Checks the traffic of membership against the budget; see docs/testing.md.

#![expect(clippy::print_stdout, reason = "the output reports the figures")]

use coriandercove_state::membership::{ControlCost, control_cost};
use googletest::prelude::*;
use std::time::Duration;

fn print(cost: &ControlCost) {
    for (role, regions) in [("entry", &cost.entries), ("agent", &cost.agents)] {
        for (region, c) in regions.iter().enumerate() {
            println!(
                "{role} region {region}: sent mean {:.0} max {:.0}, received mean {:.0} max {:.0}, payload max {:.0} B/s",
                c.sent_mean, c.sent_max, c.received_mean, c.received_max, c.payload_max
            );
        }
    }
    println!(
        "suspect everywhere {:?}, dead everywhere {:?}, leaving everywhere {:?}, false suspicions {}",
        cost.suspect_everywhere,
        cost.dead_everywhere,
        cost.leaving_everywhere,
        cost.false_suspicions
    );
}

/// Guards against a node that exceeds the budget of 2 KB/s, with headers in either direction or
/// without headers in both together; against changes that do not reach all entries in time; and
/// against suspicions of live members.
fn check(cost: &ControlCost) -> Result<()> {
    print(cost);
    verify_that!(cost.sent_max(), le(2000.0))?;
    verify_that!(cost.received_max(), le(2000.0))?;
    verify_that!(cost.payload_max(), le(2000.0))?;
    verify_that!(cost.leaving_everywhere, some(le(Duration::from_secs(3))))?;
    verify_that!(cost.suspect_everywhere, some(le(Duration::from_secs(10))))?;
    verify_that!(cost.dead_everywhere, some(anything()))?;
    verify_that!(cost.false_suspicions, eq(0))
}

#[gtest]
fn small_fleet_is_within_the_budget() -> Result<()> {
    check(&control_cost(33, 231))
}

#[gtest]
#[ignore = "takes minutes; run with --release -- --ignored"]
fn planned_fleet_is_within_the_budget() -> Result<()> {
    check(&control_cost(480, 3300))
}
