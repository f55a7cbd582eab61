//! Sends bookings with idempotency keys to a deployment and counts their effects on the service.
#![expect(clippy::unwrap_used, reason = "a panic fails the test at its line")]

use std::time::Duration;

use coriandercove_local::{Deployment, Plan, Standin};
use coriandercove_standin::store::Outage;
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Longest wait for a condition or an answer; a run without a fault needs far less.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// The answer that a caller gets for a booking.
#[derive(Debug, Clone, PartialEq)]
struct Answer {
    status: u16,
    replayed: bool,
    body: Value,
}

impl Answer {
    fn is_done(&self) -> bool {
        self.status == 201
    }

    /// Outcome field of a refusal, `not_run` or `unknown`.
    fn outcome(&self) -> Option<&str> {
        self.body["outcome"].as_str()
    }

    fn reason(&self) -> Option<&str> {
        self.body["reason"].as_str()
    }
}

/// Addresses and key with which callers on any thread reach the entries of a deployment.
#[derive(Clone)]
struct Callers {
    urls: Vec<String>,
    key: String,
}

impl Callers {
    fn new(deployment: &Deployment) -> Self {
        let url = |e: &coriandercove_local::EntryRole| {
            format!("http://{}/services/workshop/bookings", e.caller_addr)
        };
        Self {
            urls: deployment.entries.iter().map(url).collect(),
            key: deployment.caller_key().to_owned(),
        }
    }

    async fn book(&self, entry: usize, key: &str, slot: &str) -> Answer {
        let client = awc::Client::builder().timeout(WAIT_LIMIT).finish();
        let request = client.post(&self.urls[entry]).bearer_auth(&self.key);
        let request = request.insert_header(("idempotency-key", key));
        let mut answer = request.send_json(&json!({"slot": slot})).await.unwrap();
        let body = answer.body().await.unwrap();
        Answer {
            status: answer.status().as_u16(),
            replayed: answer.headers().contains_key("idempotency-replayed"),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        }
    }

    /// Repeats a booking while it is in progress or the store is unavailable; returns the last
    /// answer.
    async fn book_until_final(&self, entry: usize, key: &str, slot: &str) -> Answer {
        let end = tokio::time::Instant::now() + WAIT_LIMIT;
        loop {
            let answer = self.book(entry, key, slot).await;
            let is_pending = matches!(answer.reason(), Some("in_progress" | "store_unavailable"));
            if !is_pending || tokio::time::Instant::now() > end {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn run<F: Future>(work: F) -> F::Output {
    actix_rt::System::new().block_on(work)
}

/// Guards against a booking that runs again when it is repeated at another entry, and against a key
/// that is accepted for a different booking.
#[gtest]
fn a_repeat_at_another_entry_gets_the_first_answer() {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    let (first, again, other) = run(async {
        let first = callers.book(0, "firing-1", "monday").await;
        let again = callers.book_until_final(1, "firing-1", "monday").await;
        (first, again, callers.book(1, "firing-1", "tuesday").await)
    });
    expect_that!(first.status, eq(201), "{first:?}");
    expect_that!(first.replayed, eq(false));
    expect_that!(again.status, eq(201), "{again:?}");
    expect_that!(again.replayed, eq(true));
    expect_that!(again.body, eq(&first.body));
    expect_that!(other.status, eq(422), "{other:?}");
    expect_that!(other.reason(), some(eq("key_reused")));
    expect_that!(deployment.effects.count_key("firing-1"), eq(1));
    expect_that!(deployment.effects.all().len(), eq(1));
}

/// Guards against a booking that runs without a claim while the store refuses all calls, and
/// against one that is still refused after the store is back.
#[gtest]
fn a_store_that_refuses_leaves_new_keys_not_run() {
    new_keys_are_not_run_during(Outage::Refuse);
}

/// Guards against an outcome other than `not_run` while the store closes connections without an
/// answer.
#[gtest]
fn a_store_that_disconnects_leaves_new_keys_not_run() {
    new_keys_are_not_run_during(Outage::Disconnect);
}

/// Guards against an outcome other than `not_run` while the store does not answer.
#[gtest]
fn a_store_that_hangs_leaves_new_keys_not_run() {
    new_keys_are_not_run_during(Outage::Hang);
}

/// Guards against the refusal of a repeated booking during an outage of the store although the
/// entry still has its answer in memory.
#[gtest]
fn claimed_keys_are_answered_while_the_store_refuses() {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    let known = run(callers.book(0, "known", "monday"));
    expect_that!(known.status, eq(201), "{known:?}");
    let outage = Outage::Refuse;
    deployment.store.faults().update(|f| f.outage = outage);
    let repeated = run(callers.book(0, "known", "monday"));
    expect_that!(repeated.body, eq(&known.body), "{repeated:?}");
    expect_that!(deployment.effects.count_key("known"), eq(1));
}

/// Checks that a new key is refused as `not_run` during an outage of the store, and runs after it.
fn new_keys_are_not_run_during(outage: Outage) {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    deployment.store.faults().update(|f| f.outage = outage);
    let refused = run(callers.book(0, "new", "friday"));
    expect_that!(refused.status, eq(503), "{refused:?}");
    expect_that!(refused.outcome(), some(eq("not_run")), "{refused:?}");
    expect_that!(refused.reason(), some(eq("store_unavailable")));
    expect_that!(deployment.effects.count_key("new"), eq(0));
    deployment
        .store
        .faults()
        .update(|f| f.outage = Outage::None);
    let served = run(callers.book_until_final(1, "new", "friday"));
    expect_that!(served.status, eq(201), "{served:?}");
    expect_that!(deployment.effects.count_key("new"), eq(1));
}

/// Guards against a second effect, or an answer without an effect, when the store loses answers
/// after the write and callers repeat their bookings at both entries.
#[gtest]
fn lost_answers_of_the_store_double_nothing() {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    deployment.store.faults().update(|f| f.lose_share = 0.3);
    let answers = run(join_all((0..40).map(|i| {
        let callers = callers.clone();
        async move {
            let key = format!("order-{i}");
            let one = callers.book_until_final(i % 2, &key, "monday");
            let two = callers.book_until_final(1 - i % 2, &key, "monday");
            (key.clone(), futures_util::join!(one, two))
        }
    })));
    deployment.store.faults().update(|f| f.lose_share = 0.0);
    for (key, (one, two)) in answers {
        let effects = deployment.effects.count_key(&key);
        expect_that!(effects, le(1), "{key}: {one:?} {two:?}");
        if one.is_done() || two.is_done() {
            expect_that!(effects, eq(1), "{key}: {one:?} {two:?}");
        }
        if one.is_done() && two.is_done() {
            expect_that!(one.body, eq(&two.body), "{key}");
        }
        // The service has no faults, so an outcome may be unknown only because of the store.
        for answer in [one, two] {
            let reasons = ["claim_unsettled", "outcome_unknown", "no_answer"];
            let allowed = answer.reason().is_none_or(|r| reasons.contains(&r));
            expect_true!(allowed, "{key}: {answer:?}");
        }
    }
}

/// Guards against a second effect, or a `not_run` for a booking that ran, when the agent dies
/// between the effect and the answer.
#[gtest]
fn a_killed_agent_doubles_nothing() {
    let mut deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    let services: Vec<_> = deployment
        .agents
        .iter()
        .filter(|a| matches!(a.standin, Standin::Service(_)))
        .map(|a| a.info.node.clone())
        .collect();
    // The service answers nothing, so that every booking is in progress when the agent dies.
    set_frozen(&deployment, true);
    let working = callers.clone();
    let first = std::thread::spawn(move || {
        run(join_all((0..20).map(|i| {
            let callers = working.clone();
            async move { callers.book(i % 2, &format!("sign-{i}"), "monday").await }
        })))
    });
    wait_for_claims(&deployment);
    deployment.kill_target(&services[0]);
    set_frozen(&deployment, false);
    let first = first.join().unwrap();
    let later = run(join_all((0..20).map(|i| {
        let callers = callers.clone();
        async move {
            let key = format!("sign-{i}");
            callers.book_until_final(1 - i % 2, &key, "monday").await
        }
    })));
    for (i, (first, later)) in first.iter().zip(&later).enumerate() {
        let effects = deployment.effects.count_key(&format!("sign-{i}"));
        expect_that!(effects, le(1), "sign-{i}: {first:?} {later:?}");
        if first.is_done() || later.is_done() {
            expect_that!(effects, eq(1), "sign-{i}: {first:?} {later:?}");
        }
        if later.outcome() == Some("not_run") {
            expect_that!(effects, eq(0), "sign-{i}: {first:?} {later:?}");
        }
    }
    expect_true!(first.iter().any(Answer::is_done), "{first:?}");
}

fn set_frozen(deployment: &Deployment, frozen: bool) {
    for agent in &deployment.agents {
        if let Standin::Service(service) = &agent.standin {
            service.faults().update(|f| f.frozen = frozen);
        }
    }
}

/// Waits until the store has got writes and no more are added. Each booking writes its claim before
/// it is dispatched.
fn wait_for_claims(deployment: &Deployment) {
    let end = std::time::Instant::now() + WAIT_LIMIT;
    let mut writes = 0;
    while std::time::Instant::now() < end {
        let now = deployment.store.stats().writes;
        if now > 0 && now == writes {
            return;
        }
        writes = now;
        std::thread::sleep(Duration::from_millis(200));
    }
}
