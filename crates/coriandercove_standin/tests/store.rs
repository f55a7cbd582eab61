//! Guards against a client that reports another outcome of a call than it had in the store, and
//! against a store or VM list stand-in whose faults, rate limits or lag do not work.

use std::time::Duration;

use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_platform::{
    HttpStore, MAX_VALUE, Store, StoreError, Vm, VmList, VmSource, VmState, list_all,
};
use coriandercove_standin::store::{self, Outage, StoreHandle, StoreSettings};
use coriandercove_standin::vm_list::{self, VmListSettings};

const TIMEOUT: Duration = Duration::from_secs(5);
const HOUR: Duration = Duration::from_secs(3_600);

fn settings() -> StoreSettings {
    StoreSettings {
        latency: Duration::ZERO,
        read_rate: 1e9,
        write_rate: 1e9,
        ..StoreSettings::default()
    }
}

fn client(url: &str) -> HttpStore {
    HttpStore::new(HttpClient::new(HttpLimits::default()), url, TIMEOUT)
}

fn start(settings: StoreSettings) -> (StoreHandle, HttpStore) {
    let handle = store::start(settings).expect("a free port");
    let client = client(&handle.url());
    (handle, client)
}

#[actix_rt::test]
async fn conditional_writes() {
    let (_handle, s) = start(settings());
    let v1 = s.create("a/b", "1".into()).await.expect("the key is free");
    let current = Some(v1);
    assert_eq!(
        s.create("a/b", "2".into()).await,
        Err(StoreError::Conflict { current })
    );
    let v2 = s
        .put_if("a/b", v1, "2".into())
        .await
        .expect("right version");
    assert!(v2 > v1);
    let current = Some(v2);
    assert_eq!(
        s.put_if("a/b", v1, "3".into()).await,
        Err(StoreError::Conflict { current })
    );
    assert_eq!(
        s.delete_if("a/b", v1).await,
        Err(StoreError::Conflict { current })
    );
    let object = s.get("a/b").await.expect("it exists");
    assert_eq!((object.version, &object.value[..]), (v2, &b"2"[..]));
    assert_eq!(s.delete_if("a/b", v2).await, Ok(()));
    assert_eq!(s.get("a/b").await, Err(StoreError::NotFound));
    assert_eq!(
        s.put_if("a/b", v2, "3".into()).await,
        Err(StoreError::Conflict { current: None })
    );
}

#[actix_rt::test]
async fn values_of_any_bytes_survive_listing_and_watching() {
    let (_handle, s) = start(settings());
    let values: [&[u8]; 3] = [b"", "text \u{e4} \"".as_bytes(), &[0, 255, 128]];
    for (i, value) in values.into_iter().enumerate() {
        let key = format!("p/{i}");
        s.create(&key, value.to_vec().into()).await.expect("free");
    }
    s.create("q", "x".into()).await.expect("free");
    let listing = list_all(&s, "p/").await.expect("readable");
    let listed: Vec<&[u8]> = listing.objects.iter().map(|o| &o.value[..]).collect();
    assert_eq!(listed, values);
    let batch = s.watch("p/", 0, Duration::ZERO).await.expect("known");
    let watched: Vec<Option<&[u8]>> = batch.changes.iter().map(|c| c.value.as_deref()).collect();
    assert_eq!(watched, values.map(Some));
    assert_eq!(batch.revision, 4);
}

#[actix_rt::test]
async fn a_watch_waits_for_a_change() {
    let (handle, s) = start(settings());
    let watch = actix_rt::spawn(s.watch("p/", 0, HOUR));
    while handle.stats().watches == 0 {
        actix_rt::task::yield_now().await;
    }
    s.create("q", "1".into()).await.expect("free");
    s.create("p/1", "1".into()).await.expect("free");
    let batch = watch.await.expect("no panic").expect("known");
    assert_eq!(batch.changes[0].key, "p/1");
}

#[actix_rt::test]
async fn a_watch_from_the_future_must_list_again() {
    let (_handle, s) = start(settings());
    let result = s.watch("p/", 9, HOUR).await;
    assert_eq!(result, Err(StoreError::Compacted { oldest: 0 }));
}

#[actix_rt::test]
async fn a_lost_answer_is_unknown_although_the_write_took_effect() {
    let (handle, s) = start(settings());
    handle.faults().update(|f| f.lose_next = 1);
    let lost = s.create("a", "1".into()).await;
    assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
    assert!(s.get("a").await.is_ok());
    handle.faults().update(|f| f.drop_next = 1);
    let lost = s.create("b", "1".into()).await;
    assert!(matches!(lost, Err(StoreError::Unknown { .. })), "{lost:?}");
    assert_eq!(s.get("b").await, Err(StoreError::NotFound));
    assert_eq!(handle.stats().lost_answers, 1);
    assert_eq!(handle.stats().lost_writes, 1);
    assert_eq!(handle.stats().writes, 2);
}

#[actix_rt::test]
async fn a_share_of_answers_is_lost() {
    let (handle, s) = start(settings());
    handle.faults().update(|f| f.lose_share = 0.5);
    let mut lost = 0;
    for i in 0..64 {
        lost += u64::from(s.create(&format!("k{i}"), "".into()).await.is_err());
    }
    assert!((10..54).contains(&lost), "{lost}");
    assert_eq!(handle.stats().lost_answers, lost);
    assert_eq!(handle.objects().lock().len(), 64);
}

#[actix_rt::test]
async fn outages_tell_what_is_known() {
    let (handle, s) = start(settings());
    handle.faults().update(|f| f.outage = Outage::Refuse);
    let refused = s.create("a", "1".into()).await;
    assert!(matches!(refused, Err(StoreError::Unavailable { .. })));
    handle.faults().update(|f| f.outage = Outage::Disconnect);
    let cut = s.create("a", "1".into()).await;
    assert!(matches!(cut, Err(StoreError::Unknown { .. })), "{cut:?}");
    let cut = s.get("a").await;
    assert!(
        matches!(cut, Err(StoreError::Unavailable { .. })),
        "{cut:?}"
    );
    handle.faults().update(|f| f.outage = Outage::None);
    assert_eq!(s.get("a").await, Err(StoreError::NotFound));
}

#[actix_rt::test]
async fn a_write_that_hangs_may_take_effect_later() {
    let (handle, _) = start(settings());
    let http = HttpClient::new(HttpLimits::default());
    let s = HttpStore::new(http, &handle.url(), Duration::from_millis(20));
    handle.faults().update(|f| f.outage = Outage::Hang);
    let hung = s.create("a", "1".into()).await;
    assert!(matches!(hung, Err(StoreError::Unknown { .. })), "{hung:?}");
}

#[actix_rt::test]
async fn an_outage_ends_watches() {
    let (handle, s) = start(settings());
    let watch = actix_rt::spawn(s.watch("p/", 0, HOUR));
    while handle.stats().watches == 0 {
        actix_rt::task::yield_now().await;
    }
    handle.faults().update(|f| f.outage = Outage::Refuse);
    let ended = watch.await.expect("no panic");
    assert!(
        matches!(ended, Err(StoreError::Unavailable { .. })),
        "{ended:?}"
    );
}

#[actix_rt::test]
async fn a_store_that_is_gone_is_unavailable() {
    let (handle, s) = start(settings());
    handle.kill();
    let result = s.create("a", "1".into()).await;
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
}

#[actix_rt::test]
async fn objects_outlive_the_server() {
    let (handle, s) = start(settings());
    let version = s.create("a", "1".into()).await.expect("free");
    let objects = handle.objects().clone();
    handle.kill();
    let again = store::start_with(settings(), objects).expect("a free port");
    let object = client(&again.url()).get("a").await.expect("it exists");
    assert_eq!(object.version, version);
}

#[actix_rt::test]
async fn calls_above_the_rate_have_no_effect() {
    let mut slow = settings();
    // The first call uses up the whole burst, and the limit allows the next one only after days.
    slow.write_rate = 1e-6;
    let (handle, s) = start(slow);
    s.create("a", "1".into()).await.expect("within the burst");
    let limited = s.create("b", "1".into()).await;
    let Err(StoreError::RateLimited { retry_after }) = limited else {
        panic!("{limited:?}");
    };
    assert_eq!(retry_after, Duration::from_secs(60));
    assert_eq!(s.get("b").await, Err(StoreError::NotFound));
    assert_eq!(handle.stats().limited, 1);
}

#[actix_rt::test]
async fn values_have_a_limit() {
    let (_handle, s) = start(settings());
    let largest = vec![0; MAX_VALUE];
    s.create("a", largest.into())
        .await
        .expect("within the limit");
    assert_eq!(s.get("a").await.expect("it exists").value.len(), MAX_VALUE);
    let larger = vec![0; MAX_VALUE + 1];
    assert_eq!(
        s.create("b", larger.into()).await,
        Err(StoreError::TooLarge { limit: MAX_VALUE })
    );
    let odd = s.create("a?b", "".into()).await;
    assert!(matches!(odd, Err(StoreError::InvalidKey { .. })));
}

#[actix_rt::test]
async fn the_vm_list_shows_changes_after_the_lag() {
    let vm = |name: &str| Vm {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        state: VmState::Live,
    };
    for (lag, shown) in [(HOUR, VmState::Live), (Duration::ZERO, VmState::Leaving)] {
        let settings = VmListSettings {
            lag,
            vms: vec![vm("a")],
            ..VmListSettings::default()
        };
        let handle = vm_list::start(settings).expect("a free port");
        let http = HttpClient::new(HttpLimits::default());
        let list = VmList::new(http, &handle.url(), TIMEOUT);
        handle.set_leaving("a");
        let table = list.vms().await.expect("a list");
        assert_eq!(table.vms[0].state, shown);
        handle.faults().update(|f| f.outage = true);
        let down = list.vms().await;
        assert!(matches!(down, Err(StoreError::Unavailable { .. })));
    }
}
