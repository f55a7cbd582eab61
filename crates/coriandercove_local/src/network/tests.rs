//! Tests of the network between zones.

use googletest::prelude::*;

use super::*;

/// Guards against a partition that blocks traffic within a zone or only in one direction.
#[gtest]
fn links_hold_between_zones_in_both_directions() {
    let network = Network::default();
    let nodes: [(NodeId, ZoneId); 3] = [
        ("n1".into(), "a".into()),
        ("n2".into(), "a".into()),
        ("n3".into(), "b".into()),
    ];
    let shapers = nodes
        .each_ref()
        .map(|(node, zone)| network.shaper(node, zone));
    network.set("a", "b", ZoneLink::Cut);
    expect_that!(shapers[0].passage(&nodes[2].0, 1), eq(Passage::Blocked));
    expect_that!(shapers[2].passage(&nodes[0].0, 1), eq(Passage::Blocked));
    let at_once = Passage::After(Duration::ZERO);
    expect_that!(shapers[0].passage(&nodes[1].0, 1), eq(at_once));
    network.clear();
    expect_that!(shapers[0].passage(&nodes[2].0, 1), eq(at_once));
}

/// Guards against a link whose bandwidth has no effect.
#[gtest]
fn delay_and_bandwidth_add_up() {
    let network = Network::default();
    let (near, far): (NodeId, NodeId) = ("n1".into(), "n2".into());
    let shaper = network.shaper(&near, &"a".into());
    network.shaper(&far, &"b".into());
    let link = ZoneLink::Open {
        delay: Duration::from_millis(10),
        bandwidth: 1_000,
    };
    network.set("a", "b", link);
    let want = Passage::After(Duration::from_millis(510));
    expect_that!(shaper.passage(&far, 500), eq(want));
}
