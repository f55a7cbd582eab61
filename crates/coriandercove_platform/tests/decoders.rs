//! Guards against panics on malformed answers of the platform, and against values that change when
//! they are encoded and decoded.

use coriandercove_platform::protocol::{WireBatch, WireListing, decode_batch, decode_listing};
use coriandercove_platform::vms::decode_vms;
use coriandercove_platform::{Change, Listing, Object, WatchBatch};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with a fixed seed, so that every run has the same result.
fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Generates text that resembles the protocol, so that decoders get past the first byte.
fn near_json() -> impl Strategy<Value = String> {
    let part = prop_oneof![
        Just(r#"{"revision":"#.to_owned()),
        Just(r#""objects":["#.to_owned()),
        Just(r#""changes":["#.to_owned()),
        Just(r#"{"key":"a","version":1,"value":{"hex":"0g"}}"#.to_owned()),
        Just(r#"{"key":"a","version":1,"value":{"hex":"00é"}}"#.to_owned()),
        Just(r#"{"key":"a","version":1}"#.to_owned()),
        Just(r#""vms":[{"name":"a","address":"1.2.3.4:5","zone":"z","state":"live"}"#.to_owned()),
        Just(r#""version":18446744073709551616"#.to_owned()),
        Just(r#""more":true"#.to_owned()),
        "[0-9\\-e.]{0,20}",
        "[\\[\\]{},:\"]{0,4}",
    ];
    prop::collection::vec(part, 0..12).prop_map(|v| v.concat())
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..64)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn malformed_bytes_are_errors_or_values(body in bytes()) {
        let _ = decode_listing(&body);
        let _ = decode_batch(&body);
        let _ = decode_vms(&body);
    }

    #[test]
    fn malformed_json_is_an_error_or_a_value(body in near_json()) {
        let _ = decode_listing(body.as_bytes());
        let _ = decode_batch(body.as_bytes());
        let _ = decode_vms(body.as_bytes());
    }

    #[test]
    fn listings_round_trip(
        objects in prop::collection::vec(("[a-z/]{1,9}", any::<u64>(), bytes()), 0..5),
        revision: u64,
        more: bool,
    ) {
        let objects = objects.into_iter();
        let objects = objects.map(|(key, version, value)| Object { key, version, value: value.into() });
        let listing = Listing { revision, objects: objects.collect(), more };
        let body = serde_json::to_vec(&WireListing::from(&listing)).expect("plain data");
        prop_assert_eq!(decode_listing(&body), Ok(listing));
    }

    #[test]
    fn batches_round_trip(
        changes in prop::collection::vec(("[a-z/]{1,9}", any::<u64>(), prop::option::of(bytes())), 0..5),
        revision: u64,
    ) {
        let changes = changes.into_iter();
        let changes = changes.map(|(key, version, value)| Change { key, version, value: value.map(Into::into) });
        let batch = WatchBatch { revision, changes: changes.collect() };
        let body = serde_json::to_vec(&WireBatch::from(&batch)).expect("plain data");
        prop_assert_eq!(decode_batch(&body), Ok(batch));
    }
}

#[test]
fn a_vm_that_appears_twice_is_an_error() {
    let vm = r#"{"name":"a","address":"1.2.3.4:5","zone":"z","state":"live"}"#;
    let body = format!(r#"{{"version":1,"vms":[{vm},{vm}]}}"#);
    assert!(decode_vms(body.as_bytes()).is_err());
}

#[test]
fn a_change_without_a_value_is_no_deletion() {
    let batch = |change| format!(r#"{{"revision":2,"changes":[{change}]}}"#);
    let deleted = batch(r#"{"key":"a","version":2,"value":null}"#);
    assert!(decode_batch(deleted.as_bytes()).is_ok());
    let missing = batch(r#"{"key":"a","version":2}"#);
    assert!(decode_batch(missing.as_bytes()).is_err());
}
