use std::time::Duration;

use googletest::prelude::*;

use super::{Outcome, RefusalBody};

/// Guards against a change of the names or values of fields that callers rely on.
#[gtest]
fn body_has_the_stable_fields() {
    let body = RefusalBody::new(503, "no_target", Outcome::NotRun, "no replica", "ab".into())
        .with_retry_after(Duration::from_millis(1500));
    let json: serde_json::Value = serde_json::from_str(&body.to_json()).unwrap();
    expect_that!(json["reason"].as_str(), some(eq("no_target")));
    expect_that!(json["outcome"].as_str(), some(eq("not_run")));
    expect_that!(json["retry_after_ms"].as_u64(), some(eq(1500)));
    expect_that!(json["request_id"].as_str(), some(eq("ab")));
    expect_that!(json["error"]["message"].as_str(), some(eq("no replica")));
    expect_that!(body.retry_after_seconds(), some(eq(2)));
}
