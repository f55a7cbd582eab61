use std::time::Duration;

use googletest::prelude::*;

use super::*;

const WALL: u64 = 10_000_000;
const SOON: Time = Duration::from_secs(1);

fn table(tickets: usize, body_bytes: usize) -> TicketTable {
    let limits = TicketLimits {
        tickets,
        body_bytes,
        ..TicketLimits::default()
    };
    TicketTable::new("a".into(), 7, limits)
}

fn ticket(id: u128) -> Ticket {
    Ticket {
        id,
        issued_ms: WALL + id as u64,
        node: "a".into(),
        incarnation: 7,
    }
}

fn answer(bytes: usize) -> Option<Answer> {
    Some(Answer {
        status: 200,
        body: Some(vec![0; bytes].into()),
    })
}

fn accept(table: &mut TicketTable, id: u128) -> Accept {
    table.accept(Time::ZERO, WALL, &ticket(id), SOON)
}

/// Guards against a duplicated dispatch that runs the call twice: the duplicate arrives before,
/// during or after the first run.
#[gtest]
fn a_ticket_runs_once() {
    let mut t = table(8, 1024);
    let again = Accept::Reply(TicketReply::Running);
    expect_that!(accept(&mut t, 1), eq(&Accept::Run));
    expect_that!(accept(&mut t, 1), eq(&again));
    expect_that!(t.start(Time::ZERO, 1), ok(eq(&())));
    expect_that!(t.start(Time::ZERO, 1), err(eq(&TicketReply::Running)));
    expect_that!(accept(&mut t, 1), eq(&again));
    let done = t.finish(1, answer(3));
    expect_that!(accept(&mut t, 1), eq(&Accept::Reply(done.clone())));
    expect_that!(t.probe(WALL, &ticket(1)), eq(&done));
}

/// Guards against running a ticket of another incarnation or another agent, and against reporting
/// it as not run.
#[gtest]
fn tickets_of_other_incarnations_are_unknown() {
    let mut t = table(8, 1024);
    let unknown = TicketReply::Unknown(UnknownReason::OtherIncarnation);
    for (node, incarnation) in [("a", 6), ("a", 8), ("b", 7)] {
        let other = Ticket {
            node: node.into(),
            incarnation,
            ..ticket(1)
        };
        let reply = t.accept(Time::ZERO, WALL, &other, SOON);
        expect_that!(reply, eq(&Accept::Reply(unknown.clone())));
        expect_that!(t.probe(WALL, &other), eq(&unknown));
    }
}

/// Guards against running a ticket after it was reported as not run, whatever the reason.
#[gtest]
fn a_ticket_reported_as_not_run_never_runs() {
    let mut t = table(8, 1024);
    let burned = TicketReply::NotRun(NotRunReason::Burned);
    expect_that!(t.probe(WALL, &ticket(1)), eq(&burned));
    let leaving = t.refuse(WALL, &ticket(2), NotRunReason::Leaving);
    expect_that!(leaving, eq(&TicketReply::NotRun(NotRunReason::Leaving)));
    let late = t.accept(SOON, WALL, &ticket(3), SOON);
    let deadline = TicketReply::NotRun(NotRunReason::Deadline);
    expect_that!(late, eq(&Accept::Reply(deadline.clone())));
    accept(&mut t, 4);
    expect_that!(t.start(SOON, 4), err(eq(&deadline)));
    accept(&mut t, 5);
    t.withdraw(5, NotRunReason::Leaving);
    for id in 1..=5 {
        expect_that!(accept(&mut t, id), eq(&Accept::Reply(burned.clone())));
    }
    accept(&mut t, 6);
    expect_that!(t.start(Time::ZERO, 6), ok(eq(&())));
    expect_that!(
        t.withdraw(6, NotRunReason::Leaving),
        eq(&TicketReply::Running)
    );
    expect_that!(
        t.refuse(WALL, &ticket(6), NotRunReason::Leaving),
        eq(&TicketReply::Running)
    );
}

/// Guards against running an evicted ticket, against reporting it as not run, and against a table
/// that grows without bound.
#[gtest]
fn evicted_tickets_are_forgotten() {
    let mut t = table(3, 1024);
    let forgotten = TicketReply::Unknown(UnknownReason::Forgotten);
    for id in 1..=10 {
        accept(&mut t, id);
        t.start(Time::ZERO, id).expect("new ticket");
        t.finish(id, answer(1));
        expect_that!(t.len(), le(3));
    }
    for id in 1..=7 {
        expect_that!(t.probe(WALL, &ticket(id)), eq(&forgotten));
        expect_that!(accept(&mut t, id), eq(&Accept::Reply(forgotten.clone())));
    }
    expect_that!(
        t.probe(WALL, &ticket(9)),
        matches_pattern!(TicketReply::Done(_))
    );
    // A new ticket that was issued as early as an evicted one cannot be told apart from it.
    let old = Ticket {
        id: 99,
        ..ticket(7)
    };
    expect_that!(t.probe(WALL, &old), eq(&forgotten));
}

/// Guards against evicting the tickets of running calls.
#[gtest]
fn running_calls_are_not_evicted() {
    let mut t = table(2, 1024);
    for id in 1..=5 {
        accept(&mut t, id);
        t.start(Time::ZERO, id).expect("new ticket");
    }
    expect_that!(t.len(), eq(5));
    for id in 1..=5 {
        let done = matches_pattern!(TicketReply::Done(_));
        expect_that!(t.finish(id, answer(1)), done);
    }
    expect_that!(t.len(), eq(2));
}

/// Guards against answer bodies whose total size is not bounded.
#[gtest]
fn bodies_are_bounded() {
    let mut t = table(100, 1000);
    for id in 1..=50 {
        accept(&mut t, id);
        t.start(Time::ZERO, id).expect("new ticket");
        t.finish(id, answer(300));
        expect_that!(t.body_bytes(), le(1000));
    }
    expect_that!(t.len(), eq(3));
}

/// Guards against running a dispatch that was delayed for longer than claims are kept.
#[gtest]
fn very_old_tickets_are_forgotten() {
    let mut t = table(8, 1024);
    let wall = WALL + TicketLimits::default().max_age_ms + 1;
    let reply = t.accept(Time::ZERO, wall, &ticket(1), SOON);
    let forgotten = TicketReply::Unknown(UnknownReason::Forgotten);
    expect_that!(reply, eq(&Accept::Reply(forgotten)));
}
