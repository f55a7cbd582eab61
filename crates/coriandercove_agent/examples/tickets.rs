//! Measures the time and memory that the agent's ticket table needs for growing numbers of tickets.
//! Prints one JSON line for each figure.

#[path = "../../coriandercove_state/examples/measure/mod.rs"]
mod measure;

use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_state::ticket::{Accept, Answer, Ticket, TicketLimits, TicketTable};

/// Numbers of tickets in the table; the last is the default limit.
const TABLE_SIZES: [usize; 4] = [8_192, 16_384, 32_768, 65_536];
/// Size of the body of each answer in bytes.
const BODY_BYTES: usize = 100;
const NOW: Time = Duration::from_secs(1);
/// Time of issue of the first ticket, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_790_000_000_000;

/// Accepts, starts and finishes one call with a new ticket.
fn call(table: &mut TicketTable, number: u64) {
    let ticket = Ticket {
        id: u128::from(number) << 64,
        issued_ms: WALL_MS + number / 100,
        node: "agent-0001".into(),
        incarnation: 1,
    };
    let wall = ticket.issued_ms;
    let accepted = table.accept(NOW, wall, &ticket, NOW + Duration::from_secs(10));
    assert!(accepted == Accept::Run, "the ticket is new");
    let started = table.start(NOW, ticket.id);
    assert!(started.is_ok(), "the call starts");
    let answer = Answer {
        status: 200,
        body: Some(vec![7; BODY_BYTES].into()),
    };
    table.finish(ticket.id, Some(answer));
}

fn main() {
    let (mut memory, mut us) = (vec![], vec![]);
    for tickets in TABLE_SIZES {
        let limits = TicketLimits {
            tickets,
            ..TicketLimits::default()
        };
        let before = measure::allocated();
        let mut table = TicketTable::new("agent-0001".into(), 1, limits);
        let mut number = 0;
        for _ in 0..tickets {
            number += 1;
            call(&mut table, number);
        }
        memory.push((tickets as f64, measure::allocated() - before));
        let each = measure::micros_per_call(|| {
            number += 1;
            call(&mut table, number);
        });
        us.push((tickets as f64, each));
    }
    measure::print(
        "ticket_memory",
        "tickets",
        "bytes",
        0,
        &measure::fit(&memory),
    );
    measure::print("ticket_call", "tickets", "us", 0, &measure::fit(&us));
}
