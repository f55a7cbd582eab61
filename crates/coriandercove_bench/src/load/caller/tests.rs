//! Tests of the comparison with the oracle.

use googletest::prelude::*;

use super::*;

/// Returns the end of a request with the first `tokens` tokens of the right answer, of which the
/// first is altered if `change` is set.
fn end_of(tokens: usize, change: bool, end: Option<RequestEnd>) -> RequestEnd {
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
    let progress = StreamProgress {
        times: vec![Duration::ZERO; tokens],
        answer,
        end,
    };
    compare_with_oracle(&job, &progress)
}

/// Guards against a load that counts a short, cut or altered answer as a right one.
#[gtest]
fn only_the_oracles_answer_is_whole() {
    expect_that!(
        end_of(5, false, Some(RequestEnd::Whole)),
        eq(&RequestEnd::Whole)
    );
    expect_that!(
        end_of(5, true, Some(RequestEnd::Whole)),
        eq(&RequestEnd::Wrong)
    );
    expect_that!(
        end_of(4, false, Some(RequestEnd::Whole)),
        eq(&RequestEnd::Wrong)
    );
    expect_that!(end_of(4, false, None), eq(&RequestEnd::Cut));
    expect_that!(end_of(4, true, None), eq(&RequestEnd::Wrong));
}
