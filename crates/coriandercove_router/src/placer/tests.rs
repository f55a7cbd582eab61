use googletest::prelude::*;

use super::*;

/// Guards against a first layout of 24 out of 33 targets: between two watches of the platform's
/// list no new target can be seen, so that this pause must not count as a stable list.
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
    let quiet = settle_time(pause);
    let start = Duration::from_secs(1);
    placements.record_targets(&targets(24), start);
    // The next watch starts after the pause and the call itself.
    let next = start + pause + Duration::from_millis(100);
    expect_false!(placements.is_settled(next, quiet, MAX_SETTLE_TIME));
    placements.record_targets(&targets(33), next);
    expect_false!(placements.is_settled(next + pause, quiet, MAX_SETTLE_TIME));
    expect_true!(placements.is_settled(next + quiet, quiet, MAX_SETTLE_TIME));
}
