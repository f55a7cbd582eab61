use googletest::prelude::*;

use super::*;

/// Guards against exceeding the budget when callers fail at a high rate: over every window, all
/// entries together stay within it.
#[gtest]
fn entries_together_stay_within_every_window() {
    let window = Duration::from_secs(10);
    let entries = 8;
    let mut budgets: Vec<RetryBudget> = (0..entries)
        .map(|_| RetryBudget::new(0.2, 396.0, window))
        .collect();
    let step = Duration::from_millis(20);
    let mut repeats = Vec::new();
    let mut requests = Vec::new();
    for i in 0..2000u32 {
        let now = step * i;
        for budget in &mut budgets {
            if i % 5 == 0 {
                budget.on_request(now);
                requests.push(now);
            }
            if budget.try_take(now, entries) {
                repeats.push(now);
            }
        }
    }
    let within = |times: &[Time], start: Time| {
        let inside = times
            .iter()
            .filter(|t| **t >= start && **t < start + window);
        inside.count() as f64
    };
    for i in 0..1500u32 {
        let start = step * i;
        let allowed = 0.2 * within(&requests, start) + 396.0;
        expect_that!(within(&repeats, start), le(allowed));
    }
    expect_that!(repeats.len(), gt(500));
}

/// Guards against the entries together exceeding the slack, with one entry and with eight.
#[gtest]
fn the_share_of_one_entry_falls_with_their_number() {
    let window = Duration::from_secs(10);
    let spend = |entries| {
        let mut budget = RetryBudget::new(0.2, 400.0, window);
        (0..1000)
            .filter(|_| budget.try_take(Time::ZERO, entries))
            .count()
    };
    expect_that!(spend(1), le(400));
    expect_that!(spend(8) * 8, le(400));
}
