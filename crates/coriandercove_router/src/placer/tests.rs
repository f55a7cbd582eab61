use googletest::prelude::*;

use super::*;

/// Replays the start at which 24 of 33 targets were laid out alone: between two looks at the
/// platform's list nothing new is seen, which is no sign that the list is whole.
#[gtest]
fn the_pause_between_two_looks_is_not_taken_for_quiet() {
    let mut placements = Placements::default();
    let targets = |n: usize| -> Vec<Arc<Target>> {
        let target = |i| Target {
            id: Arc::from(format!("t{i}")),
            service: Arc::from("s"),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: Arc::from("a"),
            slots: 1,
            is_draining: false,
            started_ms: 1,
            warm_up: Duration::ZERO,
            accelerator: Arc::from("l4"),
            layers: None,
        };
        (0..n).map(|i| Arc::new(target(i))).collect()
    };
    let pause = Duration::from_millis(900);
    let quiet = settled_after(pause);
    let start = Duration::from_secs(1);
    placements.see(&targets(24), start);
    // The next look comes after the pause and the call itself.
    let next = start + pause + Duration::from_millis(100);
    expect_false!(placements.is_settled(next, quiet, SETTLE_AT_MOST));
    placements.see(&targets(33), next);
    expect_false!(placements.is_settled(next + pause, quiet, SETTLE_AT_MOST));
    expect_true!(placements.is_settled(next + quiet, quiet, SETTLE_AT_MOST));
}
