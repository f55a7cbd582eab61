//! Tests of the record of a load.

use googletest::prelude::*;

use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn finished(tokens: &[u64], end: RequestEnd) -> FinishedRequest {
    FinishedRequest {
        account: 0,
        sent: ms(1_000),
        ended: ms(1_900),
        tokens: tokens.iter().map(|t| ms(*t)).collect(),
        end,
    }
}

fn record_of(request: &FinishedRequest) -> Record {
    let window = Window {
        from: ms(1_000),
        to: ms(2_000),
    };
    let mut record = Record::new(window, 1);
    record.add(request);
    record
}

/// Guards against goodput that counts wrong answers, or timely goodput that counts late ones.
#[gtest]
fn goodput_counts_whole_right_answers() {
    let whole = record_of(&finished(&[1_100, 1_150], RequestEnd::Whole));
    expect_that!(whole.goodput, eq(2));
    expect_that!(whole.timely_goodput, eq(2));
    let late = record_of(&finished(&[1_800, 1_850], RequestEnd::Whole));
    expect_that!((late.goodput, late.timely_goodput), eq((2, 0)));
    let wrong = record_of(&finished(&[1_100, 1_150], RequestEnd::Wrong));
    expect_that!(wrong.goodput, eq(0));
    expect_false!(wrong.is_sound());
}

/// Guards against stalls that are missed, or tokens counted outside the window.
#[gtest]
fn stalls_and_tokens_follow_the_times() {
    let record = record_of(&finished(&[1_100, 1_120, 1_600, 2_010], RequestEnd::Whole));
    let stalls = [(1_120, 480), (1_600, 410)].map(|(from, length)| Stall {
        from: ms(from),
        length: ms(length),
    });
    expect_that!(record.stalls, eq(&stalls.to_vec()));
    expect_that!(record.tokens, eq(&vec![3]));
    expect_that!(record.gap.len(), eq(2));
}

/// Guards against a merge that drops figures of one load thread.
#[gtest]
fn merging_adds_all_figures() {
    let mut record = record_of(&finished(&[1_100, 1_300], RequestEnd::Whole));
    record.merge(record_of(&finished(&[1_200, 1_400], RequestEnd::Cut)));
    expect_that!(record.tokens, eq(&vec![4]));
    expect_that!(record.count("cut"), eq(1));
    expect_that!(record.first_token.len(), eq(2));
    expect_that!(record.stalls.len(), eq(2));
}
