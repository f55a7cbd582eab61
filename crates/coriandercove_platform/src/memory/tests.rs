//! Guards against watches that miss a change, listings that miss a page, and simulated faults whose
//! effect differs from their description.

use googletest::prelude::*;

use super::*;
use crate::store::list_all;

#[actix_rt::test]
async fn a_watch_wakes_on_a_change() {
    let store = MemoryStore::default();
    let watch = actix_rt::spawn(store.watch("a/", 0, Duration::from_secs(3_600)));
    actix_rt::task::yield_now().await;
    store
        .create("b", "1".into())
        .await
        .expect("the key is free");
    store.create("a/x", "2".into()).await.expect("free");
    let batch = watch.await.expect("no panic").expect("known");
    assert_that!(batch.changes.len(), eq(1));
    assert_that!(batch.changes[0].key.as_str(), eq("a/x"));
}

#[actix_rt::test]
async fn a_watch_without_changes_ends_empty() {
    let store = MemoryStore::default();
    store
        .create("b", "1".into())
        .await
        .expect("the key is free");
    let batch = store.watch("a/", 0, Duration::ZERO).await.expect("known");
    assert_that!((batch.changes.len(), batch.revision), eq((0, 1)));
}

#[actix_rt::test]
async fn lost_answers_and_lost_writes_differ_in_effect() {
    let store = MemoryStore::default();
    store.lose_answers(1);
    let lost = store.create("a", "1".into()).await;
    assert!(matches!(lost, Err(StoreError::Unknown { .. })));
    assert_that!(store.get("a").await.is_ok(), eq(true));
    store.lose_writes(1);
    let lost = store.create("b", "1".into()).await;
    assert!(matches!(lost, Err(StoreError::Unknown { .. })));
    assert_that!(store.get("b").await, err(eq(&StoreError::NotFound)));
}

#[actix_rt::test]
async fn an_outage_ends_watches() {
    let store = MemoryStore::default();
    let watch = actix_rt::spawn(store.watch("a/", 0, Duration::from_secs(3_600)));
    actix_rt::task::yield_now().await;
    store.set_unavailable(true);
    let ended = watch.await.expect("no panic");
    assert!(matches!(ended, Err(StoreError::Unavailable { .. })));
}

#[actix_rt::test]
async fn list_all_reads_every_page() {
    let store = MemoryStore::default();
    for i in 0..2_100 {
        let key = format!("k/{i:05}");
        store.create(&key, "".into()).await.expect("free");
    }
    let all = list_all(&store, "k/").await.expect("readable");
    assert_that!(all.objects.len(), eq(2_100));
}
