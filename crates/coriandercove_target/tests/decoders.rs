//! Guards against panics on malformed answers of engines, and against accepting replies that assign
//! the results of one sequence to another.

use coriandercove_target::decode::{decode_cache_events, decode_info, decode_load, decode_reply};
use coriandercove_target::{
    EngineInfo, ForwardItem, ForwardReply, ForwardRequest, ForwardResult, ItemError,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The seed is fixed so that every run has the same result.
fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..Config::default()
    }
}

fn request(n: u32) -> ForwardRequest {
    let item = |i: u32| ForwardItem {
        seq: format!("s{i}"),
        epoch: 1,
        position: i,
        first_layer: 0,
        inputs: vec![1, 2],
        priority: 0,
        sample: i.is_multiple_of(2),
    };
    ForwardRequest {
        items: (0..n).map(item).collect(),
    }
}

fn reply(req: &ForwardRequest) -> ForwardReply {
    let result = |item: &ForwardItem| ForwardResult {
        seq: item.seq.clone(),
        position: item.position,
        outputs: vec![3; item.inputs.len()],
        token: item.sample.then_some(4),
        cached: 0,
        error: None,
    };
    ForwardReply {
        items: req.items.iter().map(result).collect(),
    }
}

fn decode_encoded(reply: &ForwardReply, req: &ForwardRequest) -> Result<ForwardReply, String> {
    decode_reply(&serde_json::to_vec(reply).expect("plain data"), req)
}

/// Text that resembles the protocol's JSON, so that decoders get past the first byte.
fn protocol_like_json() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just(r#"{"items":["#.to_owned()),
        Just(r#"{"events":["#.to_owned()),
        Just(r#"{"seq":"s0","position":0,"outputs":[1,2],"token":3}"#.to_owned()),
        Just(r#"{"seq":"s0","position":0,"outputs":[],"error":{"kind":"stale_epoch"}}"#.to_owned()),
        Just(r#"{"error":{"kind":"position_gap","expected":-1}}"#.to_owned()),
        Just(r#"{"number":1,"prefix":2,"change":"stored"}"#.to_owned()),
        Just(r#"{"queued":1,"sequences":99999999999}"#.to_owned()),
        Just(r#"{"model":"m","version":"1","first_layer":65536"#.to_owned()),
        "[0-9\\-e.]{0,20}",
        "[\\[\\]{},:\"]{0,4}",
    ];
    prop::collection::vec(part, 0..12).prop_map(|v| v.concat())
}

fn decode_all(body: &[u8]) {
    let _ = decode_reply(body, &request(2));
    let _ = decode_info(body);
    let _ = decode_load(body);
    let _ = decode_cache_events(body, 0);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn malformed_bytes_are_errors_or_values(body in prop::collection::vec(any::<u8>(), 0..64)) {
        decode_all(&body);
    }

    #[test]
    fn malformed_json_is_an_error_or_a_value(body in protocol_like_json()) {
        decode_all(body.as_bytes());
    }

    #[test]
    fn truncated_replies_are_errors(n in 0u32..4, cut in 1usize..40) {
        let body = serde_json::to_vec(&reply(&request(n))).expect("plain data");
        let end = body.len().saturating_sub(cut);
        prop_assert!(decode_reply(&body[..end], &request(n)).is_err());
    }

    #[test]
    fn matching_replies_are_decoded_unchanged(n in 0u32..8) {
        let req = request(n);
        let reply = reply(&req);
        prop_assert_eq!(decode_encoded(&reply, &req), Ok(reply));
    }

    #[test]
    fn crossed_results_are_errors(n in 2u32..8, a in 0usize..8, b in 0usize..8) {
        let (a, b) = (a % n as usize, b % n as usize);
        let req = request(n);
        let mut reply = reply(&req);
        reply.items.swap(a, b);
        prop_assert_eq!(decode_encoded(&reply, &req).is_ok(), a == b);
    }

    #[test]
    fn info_is_accepted_only_with_a_valid_layer_range(first: u16, end: u16, total: u16) {
        let info = EngineInfo {
            model: "m".into(),
            version: "1".to_owned(),
            first_layer: first,
            end_layer: end,
            total_layers: total,
            accelerator: "l4".to_owned(),
            kv_capacity_tokens: 1,
            max_batch: 1,
            checks_fence: true,
        };
        let body = serde_json::to_vec(&info).expect("plain data");
        prop_assert_eq!(decode_info(&body).is_ok(), first < end && end <= total);
    }
}

#[test]
fn results_with_missing_outputs_or_unrequested_tokens_are_errors() {
    let req = request(2);
    let mut missing = reply(&req);
    missing.items[0].outputs.pop();
    assert!(decode_encoded(&missing, &req).is_err());
    let mut unrequested = reply(&req);
    unrequested.items[1].token = Some(1);
    assert!(decode_encoded(&unrequested, &req).is_err());
    let mut absent = reply(&req);
    absent.items[0].token = None;
    assert!(decode_encoded(&absent, &req).is_err());
    let mut cached = reply(&req);
    cached.items[0].cached = 3;
    assert!(decode_encoded(&cached, &req).is_err());
    let mut failed = reply(&req);
    failed.items[0].outputs.clear();
    failed.items[0].token = None;
    failed.items[0].error = Some(ItemError::OutOfMemory);
    assert!(decode_encoded(&failed, &req).is_ok());
}

#[test]
fn cache_events_out_of_order_are_errors() {
    let events = |a, b| {
        format!(
            r#"{{"events":[{{"number":{a},"prefix":1,"change":"stored"}},
            {{"number":{b},"prefix":1,"change":"evicted"}}]}}"#
        )
    };
    assert!(decode_cache_events(events(3, 5).as_bytes(), 2).is_ok());
    assert!(decode_cache_events(events(5, 3).as_bytes(), 2).is_err());
    assert!(decode_cache_events(events(3, 5).as_bytes(), 3).is_err());
}
