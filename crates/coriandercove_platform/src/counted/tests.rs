//! Guards against calls that are not counted, and calls that are sent above the limit of the
//! process.

use coriandercove_base::ManualClock;
use googletest::prelude::*;

use super::*;
use crate::memory::MemoryStore;

fn counted(writes: f64) -> (CountedStore, Rc<ManualClock>) {
    let clock = Rc::new(ManualClock::default());
    let rates = CallRates {
        reads: 10.0,
        writes,
        burst: 2.0,
    };
    let inner = Rc::new(MemoryStore::default());
    let store = CountedStore::new(inner, clock.clone(), rates, &Metrics::default());
    (store, clock)
}

#[actix_rt::test]
async fn counts_by_kind_and_error() {
    let (store, _clock) = counted(10.0);
    assert_that!(store.create("a", "1".into()).await, ok(eq(&1)));
    assert_that!(store.create("a", "1".into()).await.is_err(), eq(true));
    assert_that!(store.get("b").await.is_err(), eq(true));
    assert_that!(store.calls("create"), eq(2));
    assert_that!(store.failures("conflict"), eq(1));
    assert_that!(store.failures("not_found"), eq(1));
}

#[actix_rt::test]
async fn calls_above_the_rate_are_not_sent() {
    let (store, clock) = counted(1.0);
    for i in 0..5 {
        let _ = store.create(&format!("k{i}"), "".into()).await;
    }
    assert_that!(store.calls("create"), eq(2));
    assert_that!(store.failures("rate_limited"), eq(3));
    assert_that!(store.get("k0").await.is_ok(), eq(true));
    clock.advance(Duration::from_secs(1));
    assert_that!(store.create("later", "".into()).await.is_ok(), eq(true));
}
