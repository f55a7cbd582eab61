use googletest::prelude::*;

use super::*;

fn target() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Guards against a target that flaps being given work as soon as it answers once.
#[gtest]
fn exclusions_grow_and_end() {
    let mut suspects = Suspects::default();
    let mut now = Time::ZERO;
    let mut last = Duration::ZERO;
    for _ in 0..6 {
        let time = suspects.on_failure(target(), now).unwrap();
        expect_that!(time, ge(last));
        expect_true!(suspects.is_excluded(target(), now));
        expect_that!(suspects.on_failure(target(), now), none());
        now += time;
        expect_false!(suspects.is_excluded(target(), now));
        last = time;
    }
    expect_that!(last, eq(LONGEST_EXCLUSION));
}

/// Guards against old failures making the next exclusion long.
#[gtest]
fn a_long_time_without_failure_is_forgiving() {
    let mut suspects = Suspects::default();
    suspects.on_failure(target(), Time::ZERO);
    suspects.on_failure(target(), Duration::from_secs(1));
    let later = Duration::from_secs(60);
    expect_that!(
        suspects.on_failure(target(), later),
        some(eq(FIRST_EXCLUSION))
    );
    expect_true!(suspects.on_success(target()));
    expect_false!(suspects.is_excluded(target(), later));
}
