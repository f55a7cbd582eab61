//! Guards against a list that shows changes before the lag has passed, or out of order.

use googletest::prelude::*;

use super::*;

fn vm(name: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        address: (Ipv4Addr::LOCALHOST, 1).into(),
        zone: "z".into(),
        state: VmState::Live,
    }
}

fn names(table: &VmTable) -> Vec<(&str, VmState)> {
    table
        .vms
        .iter()
        .map(|v| (v.name.as_str(), v.state))
        .collect()
}

#[gtest]
fn changes_are_shown_after_the_lag() {
    let second = Duration::from_secs(1);
    let mut table = DelayedVmTable::new(second * 2, vec![vm("b")]);
    table.put(Time::ZERO, vm("a"));
    table.set_leaving(second, "b");
    table.remove(second * 2, "a");
    expect_that!(names(table.shown(second)), eq(&vec![("b", VmState::Live)]));
    expect_that!(
        names(table.shown(second * 2)),
        eq(&vec![("a", VmState::Live), ("b", VmState::Live)])
    );
    expect_that!(
        names(table.shown(second * 3)),
        eq(&vec![("a", VmState::Live), ("b", VmState::Leaving)])
    );
    let last = table.shown(second * 4);
    expect_that!(names(last), eq(&vec![("b", VmState::Leaving)]));
    expect_that!(last.version, eq(4));
}
