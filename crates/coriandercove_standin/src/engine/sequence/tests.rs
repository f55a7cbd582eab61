//! Guards against a truncation that leaves a state that differs from that of a sequence that was
//! never longer.

use googletest::prelude::*;

use super::*;

#[gtest]
fn truncation_restores_the_state_of_the_position() {
    let inputs: Vec<u64> = (0..100).collect();
    for at in [0, 1, 31, 32, 33, 64, 99, 100] {
        let mut short = Sequence::new(1, 0, 4);
        short.extend(&inputs[..at]);
        let mut long = Sequence::new(1, 0, 4);
        long.extend(&inputs);
        long.truncate(at as Position);
        expect_that!(long.states(), eq(short.states()));
        expect_that!(long.extend(&[7; 40]), eq(&short.extend(&[7; 40])));
        expect_that!(long.states(), eq(short.states()));
    }
}
