//! Guards against an engine and a client that implement the protocol differently, and against
//! clients that accept the replies of a broken engine.

use std::time::Duration;

use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_standin::engine::{self, EngineHandle, EngineSettings, InvalidReply};
use coriandercove_target::oracle::generate;
use coriandercove_target::{
    Engine, EngineError, ForwardItem, ForwardRequest, HttpEngine, ItemError, Order, OrderRequest,
};
use googletest::prelude::*;

fn quick(first: u16, end: u16, total: u16) -> EngineSettings {
    let mut s = EngineSettings::new("m", first, end, total);
    s.cost.base = Duration::from_micros(100);
    s.load_lag = Duration::ZERO;
    s.cache_event_delay = Duration::ZERO;
    s.weights = engine::WeightStore::new(Duration::from_millis(1));
    s
}

fn client(url: &str) -> HttpEngine {
    HttpEngine::new(HttpClient::new(HttpLimits::default()), url)
}

fn start(settings: EngineSettings) -> (EngineHandle, HttpEngine) {
    let handle = engine::start(settings).expect("a free port");
    let client = client(&handle.url());
    (handle, client)
}

fn item(seq: &str, position: u32, first_layer: u16, inputs: Vec<u64>) -> ForwardItem {
    ForwardItem {
        seq: seq.to_owned(),
        epoch: 1,
        position,
        first_layer,
        inputs,
        priority: 0,
        sample: false,
    }
}

fn one(item: ForwardItem) -> ForwardRequest {
    ForwardRequest { items: vec![item] }
}

async fn forward(engine: &HttpEngine, item: ForwardItem) -> (Vec<u64>, Option<u32>) {
    let reply = engine.forward(one(item)).await.expect("the engine runs");
    let result = reply.items.into_iter().next().expect("one result");
    assert_eq!(result.error, None);
    (result.outputs, result.token)
}

/// Generates `n` tokens with a chain of two engines, as agents do.
async fn generate_over(a: &HttpEngine, b: &HttpEngine, prompt: &[u32], n: usize) -> Vec<u32> {
    let mut inputs: Vec<u64> = prompt.iter().map(|t| u64::from(*t)).collect();
    let (mut position, mut tokens) = (0, Vec::new());
    while tokens.len() < n {
        let len = inputs.len() as u32;
        let (x, _) = forward(a, item("s", position, 0, inputs)).await;
        let mut last = item("s", position, 3, x);
        last.sample = true;
        let (_, token) = forward(b, last).await;
        let token = token.expect("a token was asked for");
        tokens.push(token);
        inputs = vec![u64::from(token)];
        position += len;
    }
    tokens
}

#[actix_rt::test]
async fn two_stages_generate_the_tokens_of_the_oracle() {
    let (_a, a) = start(quick(0, 3, 8));
    let (_b, b) = start(quick(3, 8, 8));
    let tokens = generate_over(&a, &b, &[9, 8, 7], 12).await;
    assert_that!(tokens, eq(&generate(&[9, 8, 7], 8, 12)));
}

#[actix_rt::test]
async fn a_killed_engine_refuses_connections() {
    let (handle, client) = start(quick(0, 4, 4));
    forward(&client, item("s", 0, 0, vec![1])).await;
    handle.kill();
    let result = client.info().await;
    // Either the closed connection from the pool is used, or a new connection is refused.
    assert!(matches!(
        result,
        Err(EngineError::Connect { .. } | EngineError::Answer { .. })
    ));
    let result = client.info().await;
    assert!(matches!(result, Err(EngineError::Connect { .. })));
}

#[actix_rt::test]
async fn invalid_replies_are_errors() {
    let (handle, client) = start(quick(0, 4, 4));
    let kinds = [
        InvalidReply::NotJson,
        InvalidReply::WrongSchema,
        InvalidReply::MissingResult,
        InvalidReply::ReversedResults,
        InvalidReply::Disconnect,
        InvalidReply::Huge,
    ];
    for (position, kind) in kinds.into_iter().enumerate() {
        handle.faults().update(|f| f.invalid_reply = kind);
        let req = ForwardRequest {
            items: vec![
                item("a", position as u32, 0, vec![1]),
                item("b", position as u32, 0, vec![1]),
            ],
        };
        let result = client.forward(req).await;
        assert!(
            matches!(result, Err(EngineError::Answer { .. })),
            "{kind:?}: {result:?}"
        );
    }
}

#[actix_rt::test]
async fn a_frozen_engine_goes_on_after_the_freeze() {
    let (handle, client) = start(quick(0, 4, 4));
    handle.faults().update(|f| f.frozen = true);
    let call = actix_rt::spawn(client.forward(one(item("s", 0, 0, vec![1]))));
    for _ in 0..100 {
        actix_rt::task::yield_now().await;
    }
    assert!(!call.is_finished());
    assert_eq!(handle.stats().items, 0);
    handle.faults().update(|f| f.frozen = false);
    assert!(call.await.expect("no panic").is_ok());
}

#[actix_rt::test]
async fn sequences_move_by_export_and_import() {
    let (_a, a) = start(quick(0, 4, 4));
    let (_b, b) = start(quick(0, 4, 4));
    forward(&a, item("s", 0, 0, vec![1, 2, 3])).await;
    let kv = a.export_kv("s".to_owned()).await.expect("state");
    b.import_kv("s".to_owned(), kv).await.expect("import");
    let on_a = forward(&a, item("s", 3, 0, vec![4])).await;
    let on_b = forward(&b, item("s", 3, 0, vec![4])).await;
    assert_eq!(on_a, on_b);
    let none = a.export_kv("x".to_owned()).await;
    assert!(matches!(
        none,
        Err(EngineError::Refused { status: 404, .. })
    ));
    let bad = b.import_kv("s".to_owned(), "{}".into()).await;
    assert!(matches!(bad, Err(EngineError::Refused { status: 400, .. })));
}

fn load_order(fence: u64) -> OrderRequest {
    let order = Order::LoadModel {
        model: "m".into(),
        version: "2".to_owned(),
        first_layer: 0,
        end_layer: 2,
    };
    OrderRequest { fence, order }
}

#[actix_rt::test]
async fn orders_with_an_old_fence_are_refused_only_where_the_fence_is_checked() {
    let (handle, client) = start(quick(0, 4, 4));
    assert!(client.order(load_order(5)).await.is_ok());
    let old = client.order(load_order(4)).await;
    assert!(matches!(old, Err(EngineError::Refused { status: 409, .. })));
    let accepted: Vec<bool> = handle.orders().iter().map(|o| o.accepted).collect();
    assert_eq!(accepted, [true, false]);

    let mut ignores = quick(0, 4, 4);
    ignores.info.checks_fence = false;
    let (_handle, client) = start(ignores);
    assert!(client.order(load_order(5)).await.is_ok());
    assert!(client.order(load_order(4)).await.is_ok());
}

#[actix_rt::test]
async fn an_engine_refuses_calls_while_it_loads() {
    let mut slow = quick(0, 4, 4);
    slow.weights = engine::WeightStore::new(Duration::from_secs(3_600));
    let (_handle, client) = start(slow);
    client.order(load_order(1)).await.expect("a valid order");
    assert!(client.load().await.expect("a report").loading);
    let refused = client.forward(one(item("s", 0, 0, vec![1]))).await;
    let refused = refused.expect_err("no model is loaded");
    assert!(matches!(refused, EngineError::Refused { status: 503, .. }));
}

#[actix_rt::test]
async fn an_engine_serves_the_model_that_it_loaded() {
    let (_handle, client) = start(quick(0, 4, 4));
    client.order(load_order(1)).await.expect("a valid order");
    while client.load().await.expect("a report").loading {}
    let info = client.info().await.expect("the model is loaded");
    assert_eq!((info.version.as_str(), info.end_layer), ("2", 2));
}

#[actix_rt::test]
async fn cache_events_name_the_prefixes() {
    let (_handle, client) = start(quick(0, 4, 4));
    let prompt: Vec<u64> = (0..40).collect();
    forward(&client, item("s", 0, 0, prompt.clone())).await;
    let events = client.cache_events(0).await.expect("events").events;
    let prefixes: Vec<u64> = events.iter().map(|e| e.prefix).collect();
    assert_eq!(prefixes, coriandercove_target::prefix_hashes(&prompt));
    let later = client.cache_events(1).await.expect("events").events;
    assert_eq!(later.len(), 1);
}

#[actix_rt::test]
async fn items_of_one_call_share_an_iteration() {
    let (handle, client) = start(quick(0, 4, 4));
    let items = (0..32)
        .map(|i| item(&format!("s{i}"), 0, 0, vec![1]))
        .collect();
    let reply = client.forward(ForwardRequest { items }).await;
    assert!(reply.is_ok());
    let stats = handle.stats();
    assert_eq!((stats.items, stats.iterations), (32, 1));
}

#[actix_rt::test]
async fn a_share_of_items_fails() {
    let (handle, client) = start(quick(0, 4, 4));
    handle.faults().update(|f| f.fail_share = 0.5);
    let items = (0..64)
        .map(|i| item(&format!("s{i}"), 0, 0, vec![1]))
        .collect();
    let reply = client.forward(ForwardRequest { items }).await;
    let reply = reply.expect("the call as a whole succeeds");
    let failed = |r: &&coriandercove_target::ForwardResult| r.error == Some(ItemError::Failed);
    let failures = reply.items.iter().filter(failed).count();
    assert_that!(failures, all![gt(10), lt(54)]);
}

#[actix_rt::test]
async fn load_reports_lag() {
    let mut late = quick(0, 4, 4);
    late.load_lag = Duration::from_secs(3_600);
    let (_late, late) = start(late);
    let (_live, live) = start(quick(0, 4, 4));
    for (engine, sequences) in [(&late, 0), (&live, 1)] {
        forward(engine, item("s", 0, 0, vec![1])).await;
        let load = engine.load().await.expect("a report");
        assert_eq!(load.sequences, sequences);
    }
}

#[actix_rt::test]
async fn a_slow_engine_is_no_answer_after_the_timeout() {
    let (handle, _) = start(quick(0, 4, 4));
    // An iteration of 100 us takes 100 s.
    handle.faults().update(|f| f.slow_factor = 1e6);
    let limits = HttpLimits {
        timeout: Duration::from_millis(50),
        ..HttpLimits::default()
    };
    let client = HttpEngine::new(HttpClient::new(limits), &handle.url());
    let result = client.forward(one(item("s", 0, 0, vec![1]))).await;
    assert!(
        matches!(result, Err(EngineError::Answer { .. })),
        "{result:?}"
    );
}

#[actix_rt::test]
async fn a_restarted_engine_takes_its_old_address_and_has_no_state() {
    let (handle, client) = start(quick(0, 4, 4));
    forward(&client, item("s", 0, 0, vec![1])).await;
    let mut settings = quick(0, 4, 4);
    settings.listen = handle.addr();
    handle.kill();
    let _again = engine::start(settings).expect("the address is free");
    let reply = client.forward(one(item("s", 1, 0, vec![2]))).await;
    let reply = match reply {
        // The connection from the pool belonged to the killed engine, which only its use shows.
        Err(EngineError::Answer { .. }) => client.forward(one(item("s", 1, 0, vec![2]))).await,
        other => other,
    };
    let error = reply.expect("an answer").items[0].error;
    assert_eq!(error, Some(ItemError::PositionGap { expected: 0 }));
}

#[actix_rt::test]
async fn a_sequence_name_that_changes_the_path_is_not_sent() {
    let (_handle, client) = start(quick(0, 4, 4));
    for seq in ["", "a/b", "a?b", "..", "a b"] {
        let result = client.cancel(seq.to_owned()).await;
        assert!(matches!(result, Err(EngineError::Connect { .. })), "{seq}");
    }
}

#[actix_rt::test]
async fn faults_are_set_over_http_too() {
    use coriandercove_base::http::HttpCall;
    let (handle, _) = start(quick(0, 4, 4));
    let http = HttpClient::new(HttpLimits::default());
    let put = |body: &'static str| {
        let url = format!("{}/control/faults", handle.url());
        http.call(HttpCall::new("PUT", url).body(body))
    };
    let set = put(r#"{"fail_share":0.25,"nonsense":"not_json"}"#).await;
    assert_eq!(set.expect("an answer").status, 204);
    assert_eq!(handle.faults().get().invalid_reply, InvalidReply::NotJson);
    let unknown = put(r#"{"fail_shares":0.25}"#).await;
    assert_eq!(unknown.expect("an answer").status, 400);
}
