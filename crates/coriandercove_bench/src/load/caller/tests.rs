//! Tests of the comparison with the oracle.

use googletest::prelude::*;

use super::*;

fn judged(tokens: usize, change: bool, end: Option<End>) -> End {
    let job = Job {
        account: 0,
        entry: 0,
        prompt: vec![3, 1, 4],
        output: 5,
    };
    let mut answer = generate(&job.prompt, LAYERS, 5);
    answer.truncate(tokens);
    if change {
        answer[0] ^= 1;
    }
    let progress = Progress {
        times: vec![Duration::ZERO; tokens],
        answer,
        end,
    };
    judge(&job, &progress)
}

/// Guards against a load that takes a short, cut or altered answer for a right one.
#[gtest]
fn only_the_oracles_answer_is_whole() {
    expect_that!(judged(5, false, Some(End::Whole)), eq(&End::Whole));
    expect_that!(judged(5, true, Some(End::Whole)), eq(&End::Wrong));
    expect_that!(judged(4, false, Some(End::Whole)), eq(&End::Wrong));
    expect_that!(judged(4, false, None), eq(&End::Cut));
    expect_that!(judged(4, true, None), eq(&End::Wrong));
}
