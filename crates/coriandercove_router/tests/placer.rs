//! Records of engines at an entry that gives no placement orders.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::timer::TimerService;
use coriandercove_router::fleet::{LayerRange, Target};
use coriandercove_router::peers::Peers;
use coriandercove_router::placer::{Placement, Placer};
use coriandercove_router::stopping::Stop;
use googletest::prelude::*;
use tokio::net::UdpSocket;

use support::Entry;

const LAYERS: LayerRange = LayerRange::new(0, 8);

fn engine() -> Target {
    Target {
        id: "engine".into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".into(),
        slots: 1,
        is_draining: false,
        started_ms: 1,
        warm_up: Duration::ZERO,
        accelerator: "l4".into(),
        layers: Some(LAYERS),
    }
}

/// Guards against a target that an entry never uses again because a peer once reported that it was
/// giving up its layers: such records must expire at every entry, not only at the one that gives
/// orders.
#[actix_rt::test]
async fn peer_reports_expire_at_an_entry_that_gives_no_orders() {
    let entry = Entry::start(&[]).await;
    let router = Rc::clone(&entry.router);
    // A stopping entry gives no orders.
    router
        .stop
        .set(Some(Stop::new(router.now(), Duration::from_secs(8))));
    let target = Arc::new(engine());
    router.fleet.borrow_mut().insert(Arc::clone(&target));
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let timers = TimerService::start();
    let (peers, _sending) = Peers::start(Rc::clone(&router), socket, &timers);
    let _placing = Placer::start(Rc::clone(&router), peers, &timers);
    // A peer's report counts once the entry's own last report is older than the lifetime of peer
    // reports.
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let report = Placement {
        id: target.id.clone(),
        started_ms: 1,
        layers: Some(LayerRange::new(0, 0)),
        slowness_tenths: 10,
    };
    let now = router.now();
    router
        .placements
        .borrow_mut()
        .on_peer_placement(&target, &report, now);
    assert_that!(router.layers(&target), none());
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_that!(router.layers(&target), some(eq(LAYERS)));
}

/// Guards against memory that grows with every target that ever existed.
#[actix_rt::test]
async fn targets_that_are_gone_are_forgotten() {
    let entry = Entry::start(&[]).await;
    let router = Rc::clone(&entry.router);
    router
        .stop
        .set(Some(Stop::new(router.now(), Duration::from_secs(8))));
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let timers = TimerService::start();
    let (peers, _sending) = Peers::start(Rc::clone(&router), socket, &timers);
    let _placing = Placer::start(Rc::clone(&router), peers, &timers);
    let now = router.now();
    let gone = Arc::new(engine());
    router.placements.borrow_mut().on_listed(&gone, now);
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_that!(router.placements.borrow().len(), eq(0));
}
