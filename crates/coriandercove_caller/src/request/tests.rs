use googletest::prelude::*;
use proptest::prelude::*;

use super::{CompletionKind, parse};
use crate::tokenizer::NumberTokenizer;

fn text(body: &str) -> std::result::Result<super::Completion, String> {
    parse(CompletionKind::Text, body.as_bytes(), &NumberTokenizer).map_err(|e| e.to_string())
}

/// Guards against requests of existing clients being refused or decoded wrongly.
#[gtest]
fn prompts_may_be_text_or_tokens() {
    let body =
        r#"{"model":"drafter","prompt":[5,6],"max_tokens":3,"stream":true,"temperature":0.2}"#;
    let completion = text(body).unwrap();
    expect_that!(completion.prompt, elements_are![eq(&5), eq(&6)]);
    expect_that!(completion.max_tokens, eq(3));
    expect_true!(completion.stream);
    let completion = text(r#"{"model":"drafter","prompt":"AB"}"#).unwrap();
    expect_that!(completion.prompt, elements_are![eq(&66), eq(&67)]);
}

/// Guards against errors that do not name the field that the caller must change.
#[gtest]
fn errors_name_the_field() {
    for (body, field) in [
        (r#"{"prompt":"a"}"#, "model"),
        (r#"{"model":"m"}"#, "prompt"),
        (r#"{"model":"m","prompt":""}"#, "prompt"),
        (r#"{"model":"m","prompt":[-1]}"#, "prompt"),
        (r#"{"model":"m","prompt":{}}"#, "prompt"),
        (r#"{"model":"m","prompt":"a","max_tokens":0}"#, "max_tokens"),
        (r#"{"model":"m","prompt":"a","n":2}"#, "`n`"),
        (r#"{"model":"m","prompt":"a","best":2}"#, "best"),
        (r#"{"model":"m","prompt":"a""#, "line 1"),
    ] {
        expect_that!(text(body), err(contains_substring(field)), "{body}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a panic on any body that a caller can send.
    #[test]
    fn arbitrary_bodies_do_not_panic(body in prop::collection::vec(any::<u8>(), 0..200), json in "\\{(\"(model|prompt|messages|n|max_tokens)\":(1|-1|\"a\"|\\[1\\]|\\[\\]|null|\\{\\}),?){0,5}\\}") {
        for kind in [CompletionKind::Chat, CompletionKind::Text] {
            let _ = parse(kind, &body, &NumberTokenizer);
            let _ = parse(kind, json.as_bytes(), &NumberTokenizer);
        }
    }
}
