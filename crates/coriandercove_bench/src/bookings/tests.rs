//! Tests of the comparison of bookings and effects.

use googletest::prelude::*;

use super::*;

fn booking(name: &str, end: BookingEnd) -> Booking {
    Booking {
        name: name.to_owned(),
        key: None,
        end,
    }
}

fn effect(number: u64, name: &str) -> Effect {
    Effect {
        number,
        path: "/bookings".to_owned(),
        request_id: None,
        key: None,
        body: name.to_owned(),
    }
}

/// Guards against a check that misses a second effect, an effect of a booking refused as `not_run`,
/// or an answer without an effect.
#[gtest]
fn each_error_is_counted() {
    let not_run = || BookingEnd::NotRun("leaving".to_owned());
    let bookings = [
        booking("a", BookingEnd::Answered),
        booking("b", BookingEnd::Unknown("no_answer".to_owned())),
        booking("c", not_run()),
        booking("d", BookingEnd::Answered),
        booking("e", not_run()),
    ];
    let effects = [
        effect(1, "a"),
        effect(2, "b"),
        effect(3, "b"),
        effect(4, "c"),
    ];
    let want = EffectCheck {
        bookings: 5,
        twice: 1,
        not_run_with_effect: 1,
        answered_without_effect: 1,
    };
    expect_that!(check_effects(&bookings, &effects), eq(&want));
    expect_true!(check_effects(&bookings[..1], &effects[..1]).is_sound());
}
