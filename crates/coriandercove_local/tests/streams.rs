//! Runs streams through a deployment and compares their tokens with the oracle.
#![expect(clippy::unwrap_used, reason = "a panic fails the test at its line")]

use coriandercove_base::Token;
use coriandercove_local::{Deployment, EnginePlan, Plan};
use coriandercove_target::oracle::generate;
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Requests a stream and returns its tokens and whether it was complete.
async fn stream(url: &str, key: &str, prompt: &[Token], max_tokens: u32) -> (Vec<Token>, bool) {
    let client = awc::Client::builder().disable_timeout().finish();
    let body =
        json!({"model": "drafter", "prompt": prompt, "max_tokens": max_tokens, "stream": true});
    let mut answer = client
        .post(url)
        .bearer_auth(key)
        .send_json(&body)
        .await
        .unwrap();
    let body = answer.body().limit(16 << 20).await.unwrap();
    let text = std::str::from_utf8(&body).unwrap();
    let mut tokens = Vec::new();
    let mut whole = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap();
        let ids = event["choices"][0]["token_ids"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        tokens.extend(ids.iter().filter_map(|t| t.as_u64()).map(|t| t as Token));
    }
    (tokens, whole)
}

/// Guards against a token for which a layer was skipped, repeated or run out of order, or that
/// belongs to another request, while many streams share the stages.
#[gtest]
fn streams_match_the_oracle() {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let key = deployment.caller_key().to_owned();
    let urls: Vec<String> = deployment
        .entries
        .iter()
        .map(|e| format!("http://{}/v1/completions", e.caller_addr))
        .collect();
    let answers = actix_rt::System::new().block_on(join_all((0..40_u32).map(|i| {
        let (url, key) = (urls[i as usize % urls.len()].clone(), key.clone());
        async move { stream(&url, &key, &[i + 1, 7, 9], 12).await }
    })));
    for (i, (tokens, whole)) in answers.into_iter().enumerate() {
        expect_true!(whole, "stream {i}");
        expect_that!(
            tokens,
            eq(&generate(&[i as Token + 1, 7, 9], 24, 12)),
            "stream {i}"
        );
    }
}

/// Guards against a stream that is cut off, or that loses or repeats a token, when a stage of its
/// chain dies and a replacement VM joins.
#[gtest]
fn streams_survive_the_loss_of_a_stage() {
    let mut deployment = Deployment::start(Plan::small()).unwrap();
    let key = deployment.caller_key().to_owned();
    let urls: Vec<String> = deployment
        .entries
        .iter()
        .map(|e| format!("http://{}/v1/completions", e.caller_addr))
        .collect();
    let callers = std::thread::spawn(move || {
        actix_rt::System::new().block_on(join_all((0..200_u32).map(|i| {
            let (url, key) = (urls[i as usize % urls.len()].clone(), key.clone());
            async move { stream(&url, &key, &[i + 1, 5], 40).await }
        })))
    });
    std::thread::sleep(std::time::Duration::from_millis(400));
    deployment.kill_target("engine-003");
    let joining = EnginePlan {
        first_layer: 8,
        end_layer: 16,
        accelerator: "a10".to_owned(),
        zone: "a".into(),
    };
    deployment.add_engine(&joining).unwrap();
    deployment.publish().unwrap();
    for (i, (tokens, whole)) in callers.join().unwrap().into_iter().enumerate() {
        expect_true!(whole, "stream {i}");
        expect_that!(
            tokens,
            eq(&generate(&[i as Token + 1, 5], 24, 40)),
            "stream {i}"
        );
    }
}
