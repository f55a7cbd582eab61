use super::*;
use googletest::prelude::*;
use std::time::Duration;

fn assignment(version: &str) -> Assignment {
    Assignment {
        range: RangeId {
            model: "m".into(),
            first_layer: 0,
            end_layer: 8,
        },
        version: version.into(),
    }
}

fn desired(version: &str, replicas: u32) -> PlacementEvent {
    PlacementEvent::Desired(vec![DesiredRange {
        assignment: assignment(version),
        min_replicas: replicas,
        max_replicas: replicas,
        adapters: Vec::new(),
        roles: Vec::new(),
        accelerators: Vec::new(),
        weight_bytes: 10 << 30,
    }])
}

fn view(i: usize, holds: Option<&str>) -> TargetView {
    TargetView {
        target: format!("t{i}").into(),
        zone: "z".into(),
        accelerator: "a10".into(),
        incarnation: 1,
        revision: 5,
        available: true,
        holds: holds.map(assignment),
        loading: None,
        adapters: Vec::new(),
        role: String::new(),
        load: 0,
    }
}

/// Returns a lease holder whose targets have all confirmed.
fn holder(views: &[TargetView], wanted: PlacementEvent) -> Placement {
    let mut placement = Placement::new(PlacementSettings::default());
    placement.on_event(Time::ZERO, PlacementEvent::Targets(views.to_vec()));
    placement.on_event(Time::ZERO, PlacementEvent::Holder(3));
    for view in views {
        let view = view.clone();
        placement.on_event(Time::ZERO, PlacementEvent::Confirmed { fence: 3, view });
    }
    placement.on_event(Time::ZERO, wanted);
    placement
}

fn loads(actions: &[PlacementAction]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|a| match a {
            PlacementAction::Order {
                target,
                order: PlacementOrder::Load(_),
                ..
            } => Some(&**target),
            _ => None,
        })
        .collect()
}

fn tick(placement: &mut Placement, seconds: u64) -> Vec<PlacementAction> {
    placement.on_event(Duration::from_secs(seconds), PlacementEvent::Tick)
}

/// Guards against orders without a fencing token, or before the targets have stored it.
#[gtest]
fn nothing_is_ordered_before_the_targets_confirm() {
    let mut placement = Placement::new(PlacementSettings::default());
    placement.on_event(Time::ZERO, PlacementEvent::Targets(vec![view(0, None)]));
    placement.on_event(Time::ZERO, desired("1", 1));
    expect_that!(tick(&mut placement, 1), is_empty());
    let actions = placement.on_event(Time::ZERO, PlacementEvent::Holder(3));
    let confirm = PlacementAction::Order {
        target: "t0".into(),
        incarnation: 1,
        fence: 3,
        seq: 1,
        order: PlacementOrder::Confirm,
    };
    expect_that!(actions, elements_are![eq(&confirm)]);
}

/// Guards against a new holder that repeats or undoes what the previous holder has done.
#[gtest]
fn reached_placement_gets_no_orders_from_a_new_holder() {
    let views = [view(0, Some("1")), view(1, Some("1")), view(2, None)];
    let mut placement = holder(&views, desired("1", 2));
    for second in 1..100 {
        expect_that!(tick(&mut placement, second), is_empty());
    }
}

/// Guards against the loss of the only replica: the new version must wait, and the range must be
/// reported as blocked.
#[gtest]
fn last_replica_is_not_reloaded() {
    let mut placement = holder(&[view(0, Some("1"))], desired("2", 1));
    let actions = tick(&mut placement, 20);
    expect_that!(
        actions,
        elements_are![matches_pattern!(PlacementAction::Blocked { .. })]
    );
    expect_that!(placement.counters().last_replica_kept, gt(0));
}

/// Guards against loads beyond the weight store's rate: 10 GiB at 1 GiB/s take 10 s.
#[gtest]
fn loads_keep_to_the_weight_store_rate() {
    let views = [view(0, None), view(1, None)];
    let mut placement = holder(&views, desired("1", 2));
    expect_that!(loads(&tick(&mut placement, 1)), eq(&vec!["t0"]));
    let mut loaded = view(0, Some("1"));
    loaded.revision = 6;
    let targets = PlacementEvent::Targets(vec![loaded, view(1, None)]);
    placement.on_event(Duration::from_secs(2), targets);
    expect_that!(loads(&tick(&mut placement, 10)), is_empty());
    expect_that!(loads(&tick(&mut placement, 11)), eq(&vec!["t1"]));
}

/// Guards against a delayed report that replaces a newer one.
#[gtest]
fn late_reports_are_ignored() {
    let views = [view(0, Some("1")), view(1, Some("1"))];
    let mut placement = holder(&views, desired("1", 1));
    let mut late = view(0, None);
    late.revision = 4;
    placement.on_event(
        Time::ZERO,
        PlacementEvent::Targets(vec![late, view(1, Some("1"))]),
    );
    expect_that!(
        placement.targets["t0"].view.holds,
        some(eq(&assignment("1")))
    );
}

/// Guards against a range under lasting high load that gets no replica, and against a replica for
/// load that has not lasted.
#[gtest]
fn lasting_load_brings_another_replica() {
    let mut busy = view(0, Some("1"));
    busy.load = 95;
    let views = [busy, view(1, None)];
    let mut wanted = desired("1", 1);
    if let PlacementEvent::Desired(ranges) = &mut wanted {
        ranges[0].max_replicas = 2;
    }
    let mut placement = holder(&views, wanted);
    expect_that!(loads(&tick(&mut placement, 1)), is_empty());
    expect_that!(loads(&tick(&mut placement, 50)), is_empty());
    expect_that!(loads(&tick(&mut placement, 61)), eq(&vec!["t1"]));
}

/// Guards against a holder that continues to send orders after another one has taken over.
#[gtest]
fn fenced_holder_stands_down() {
    let mut placement = holder(&[view(0, None)], desired("1", 1));
    let result = PlacementEvent::OrderResult {
        target: "t0".into(),
        fence: 3,
        outcome: Outcome::Fenced,
    };
    placement.on_event(Time::ZERO, result);
    expect_that!(tick(&mut placement, 1), is_empty());
    expect_that!(placement.counters().fenced, eq(1));
}
