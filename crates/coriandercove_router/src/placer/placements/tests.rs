use std::net::SocketAddr;

use googletest::prelude::*;

use super::*;

const OLD: LayerRange = LayerRange::new(0, 8);
const NEW: LayerRange = LayerRange::new(40, 48);

fn target(layers: Option<LayerRange>) -> Arc<Target> {
    Arc::new(Target {
        id: Arc::from("t"),
        service: Arc::from("s"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Arc::from("a"),
        slots: 1,
        is_draining: false,
        started_ms: 5,
        warm_up: Duration::ZERO,
        accelerator: Arc::from("l4"),
        layers,
    })
}

fn report(layers: Option<LayerRange>, is_busy: bool, order_sequence: u64) -> Report {
    Report {
        layers,
        is_busy,
        order_sequence,
        started_ms: 5,
        slowness: 1.0,
        ..Report::default()
    }
}

fn at(ms: u64) -> Time {
    Duration::from_millis(10_000 + ms)
}

/// Guards against sending requests to layers that a target is giving up, and against the platform's
/// lagging list restoring those layers.
#[gtest]
fn a_move_takes_the_old_layers_out_until_the_new_ones_are_loaded() {
    let mut placements = Placements::default();
    let t = target(Some(OLD));
    expect_true!(placements.begin_order(&t, NEW, at(0)));
    expect_that!(placements.layers(&t), none());
    placements.on_report(&t, &report(Some(OLD), true, 1), at(500));
    placements.on_listed(&t, at(600));
    expect_that!(placements.layers(&t), none());
    expect_that!(placements.planned(&t, at(600)), some(eq(NEW)));
    placements.on_report(&t, &report(Some(NEW), false, 1), at(2000));
    expect_that!(placements.layers(&t), some(eq(NEW)));
    placements.on_listed(&target(Some(NEW)), at(3000));
    expect_that!(placements.layers(&target(Some(NEW))), some(eq(NEW)));
    expect_false!(placements.has_orders());
}

/// Guards against a report from before a load removing the loaded layers again.
#[gtest]
fn what_was_listed_meanwhile_goes_before_a_late_report() {
    let mut placements = Placements::default();
    placements.on_listed(&target(None), at(0));
    placements.begin_order(&target(None), NEW, at(0));
    let loaded = target(Some(NEW));
    placements.on_listed(&loaded, at(1000));
    placements.on_report(&loaded, &report(None, true, 1), at(1100));
    expect_that!(placements.layers(&loaded), some(eq(NEW)));
    expect_false!(placements.is_busy(&loaded, at(1100)));
}

/// Guards against an order that was never carried out leaving a target without work.
#[gtest]
fn an_order_without_a_trace_is_given_up() {
    let mut placements = Placements::default();
    let t = target(Some(OLD));
    placements.begin_order(&t, NEW, at(0));
    placements.expire(&Fleet::new(vec![Arc::clone(&t)]), at(2500));
    expect_that!(placements.layers(&t), some(eq(OLD)));
    expect_false!(placements.has_orders());
}

/// Guards against entries that keep each other's outdated records alive.
#[gtest]
fn peer_reports_are_not_forwarded_and_expire() {
    let mut placements = Placements::default();
    let t = target(Some(OLD));
    placements.on_listed(&t, at(0));
    let peer_report = Placement {
        id: t.id.clone(),
        started_ms: 5,
        layers: Some(NO_LAYERS),
        slowness_tenths: 10,
    };
    placements.on_peer_placement(&t, &peer_report, at(100));
    expect_that!(placements.layers(&t), none());
    expect_that!(placements.for_peers(), is_empty());
    placements.expire(&Fleet::new(vec![Arc::clone(&t)]), at(2500));
    expect_that!(placements.layers(&t), some(eq(OLD)));
}

/// Guards against using records of an earlier incarnation.
#[gtest]
fn a_restart_forgets_what_was_known() {
    let mut placements = Placements::default();
    let t = target(None);
    placements.begin_order(&t, NEW, at(0));
    placements.on_accepted(&t, 0);
    let mut restarted = (*t).clone();
    restarted.started_ms = 9;
    expect_that!(placements.sequence(&restarted), eq(0));
    expect_that!(placements.planned(&restarted, at(0)), none());
    expect_false!(placements.on_report(&restarted, &report(Some(NEW), false, 3), at(0)));
    expect_that!(placements.layers(&restarted), none());
}
