//! Bookings with an idempotency key through a whole deployment, counted by their effects.
#![expect(clippy::unwrap_used, reason = "a failure ends the test with its place")]

use std::time::Duration;

use coriandercove_local::{Deployment, Plan, Standin};
use coriandercove_standin::store::Outage;
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Longest wait for a condition. A run that is not stuck needs far less.
const BOUND: Duration = Duration::from_secs(30);

/// What a caller sees of a booking.
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

    /// `not_run` or `unknown` of a refusal.
    fn outcome(&self) -> Option<&str> {
        self.body["outcome"].as_str()
    }

    fn reason(&self) -> Option<&str> {
        self.body["reason"].as_str()
    }
}

/// Access to the entries of a deployment for callers on another thread.
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
        let client = awc::Client::builder().timeout(BOUND).finish();
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

    /// Repeats a booking until its first answer comes or its outcome is settled as unknown.
    async fn settle(&self, entry: usize, key: &str, slot: &str) -> Answer {
        let end = tokio::time::Instant::now() + BOUND;
        loop {
            let answer = self.book(entry, key, slot).await;
            let waits = matches!(answer.reason(), Some("in_progress" | "store_unavailable"));
            if !waits || tokio::time::Instant::now() > end {
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
/// that passes for another booking.
#[gtest]
fn a_repeat_at_another_entry_gets_the_first_answer() {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    let (first, again, other) = run(async {
        let first = callers.book(0, "firing-1", "monday").await;
        let again = callers.settle(1, "firing-1", "monday").await;
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

/// Guards against another outcome than `not_run` while connections to the store close without an
/// answer.
#[gtest]
fn a_store_that_disconnects_leaves_new_keys_not_run() {
    new_keys_are_not_run_during(Outage::Disconnect);
}

/// Guards against another outcome than `not_run` while the store does not answer.
#[gtest]
fn a_store_that_hangs_leaves_new_keys_not_run() {
    new_keys_are_not_run_during(Outage::Hang);
}

/// Guards against a key that was claimed before an outage of the store and is refused during it,
/// although memory holds its answer.
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
    let served = run(callers.settle(1, "new", "friday"));
    expect_that!(served.status, eq(201), "{served:?}");
    expect_that!(deployment.effects.count_key("new"), eq(1));
}

/// Guards against a second effect, or an answer without its effect, when answers of the store are
/// lost after the write and callers repeat at both entries.
#[gtest]
fn lost_answers_of_the_store_double_nothing() {
    let deployment = Deployment::start(Plan::small()).unwrap();
    let callers = Callers::new(&deployment);
    deployment.store.faults().update(|f| f.lose_share = 0.3);
    let answers = run(join_all((0..40).map(|i| {
        let callers = callers.clone();
        async move {
            let key = format!("order-{i}");
            let one = callers.settle(i % 2, &key, "monday");
            let two = callers.settle(1 - i % 2, &key, "monday");
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
        // The service works throughout, so only the store may leave a booking in doubt.
        for answer in [one, two] {
            let reasons = ["claim_unsettled", "outcome_unknown", "no_answer"];
            let allowed = answer.reason().is_none_or(|r| reasons.contains(&r));
            expect_true!(allowed, "{key}: {answer:?}");
        }
    }
}

/// Guards against a second effect, or a false `not_run`, when the agent of a booking dies between
/// the effect and the answer.
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
    // Nothing is answered, so that every booking is open when the agent dies.
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
            callers.settle(1 - i % 2, &key, "monday").await
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

/// Waits until the store holds claims, which are written before a booking is dispatched.
fn wait_for_claims(deployment: &Deployment) {
    let end = std::time::Instant::now() + BOUND;
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
