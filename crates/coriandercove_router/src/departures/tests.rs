use googletest::prelude::*;

use super::*;

fn target(id: &str, port: u16, started_ms: u64, is_draining: bool) -> Arc<Target> {
    Arc::new(Target {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".into(),
        slots: 1,
        is_draining,
        started_ms,
        warm_up: Duration::ZERO,
        accelerator: "".into(),
        layers: None,
    })
}

/// Guards against taking targets back from an older copy that have left, were born again, or whose
/// address another target holds; and against holding what is newer than the copy back.
#[gtest]
fn a_copy_does_not_bring_back_what_is_over() {
    let fleet = Fleet::new(vec![
        target("leaving", 1, 50, true),
        target("reborn", 2, 60, false),
        target("new-holder", 3, 70, false),
    ]);
    let mut departures = Departures::default();
    departures.on_left(&target("left", 4, 40, false), Time::ZERO);
    let cases = [
        (target("leaving", 1, 50, false), Listing::Leaving),
        (target("leaving", 1, 80, false), Listing::Current),
        (target("reborn", 2, 55, false), Listing::Outdated),
        (target("reborn", 2, 60, false), Listing::Current),
        (target("old-holder", 3, 30, false), Listing::Outdated),
        (target("left", 4, 40, false), Listing::Outdated),
        (target("left", 4, 41, false), Listing::Current),
        (target("unknown", 5, 1, false), Listing::Current),
    ];
    for (listed, listing) in cases {
        let found = departures.judge(&listed, &fleet, true);
        expect_that!(found, eq(listing), "{} {}", listed.id, listed.started_ms);
        // A list that is not older counts, but the end of an incarnation stays final.
        let current = departures.judge(&listed, &fleet, false);
        expect_that!(current == Listing::Leaving, eq(listing == Listing::Leaving));
        expect_that!(current, not(eq(Listing::Outdated)));
    }
    let next = target("next", 3, 90, false);
    expect_that!(displaced(&fleet, &next), eq(&vec!["new-holder".into()]));
    expect_that!(
        displaced(&fleet, &target("earlier", 3, 20, false)),
        is_empty()
    );
}

/// Guards against departures that take memory without bound.
#[gtest]
fn old_departures_make_room() {
    let mut departures = Departures::default();
    for n in 0..3000 {
        let id = format!("t{n}");
        departures.on_left(&target(&id, 1, 5, false), Duration::from_millis(n));
    }
    expect_that!(departures.left.len(), le(MAX_DEPARTURES));
    expect_true!(departures.left.contains("t2999"));
}

/// Guards against a list that lags and brings back a target whose answer, or a peer's word of it, said
/// that it leaves; and against holding its next incarnation back.
#[gtest]
fn the_end_that_an_answer_announced_is_final_for_the_incarnation() {
    let mut departures = Departures::default();
    let leaving = LeavingTarget {
        id: "t".into(),
        started_ms: 50,
    };
    expect_true!(departures.on_leaving(&leaving, true, Time::ZERO));
    expect_false!(departures.on_leaving(&leaving, true, Time::ZERO));
    let told = departures.report(Time::from_secs(1));
    let mut peer = Departures::default();
    for target in &told.leaving {
        expect_true!(peer.on_leaving(target, false, Time::from_secs(1)));
    }
    expect_that!(
        peer.report(Time::from_secs(1)),
        eq(&DeparturesReport::default())
    );
    for departures in [&departures, &peer] {
        let judge = |started_ms| {
            departures.judge(&target("t", 1, started_ms, false), &Fleet::default(), false)
        };
        expect_that!(judge(50), eq(Listing::Leaving));
        expect_that!(judge(51), eq(Listing::Current));
    }
    expect_that!(
        departures.report(Time::from_secs(60)),
        eq(&DeparturesReport::default())
    );
}
