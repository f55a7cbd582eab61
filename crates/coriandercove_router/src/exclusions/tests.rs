use googletest::prelude::*;

use super::*;

fn target() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Guards against sending work to a target that fails again and again as soon as its exclusion has
/// ended, without longer exclusions.
#[gtest]
fn exclusions_grow_and_end() {
    let mut exclusions = Exclusions::default();
    let mut now = Time::ZERO;
    let mut last = Duration::ZERO;
    for _ in 0..6 {
        let time = exclusions.on_failure(target(), now).unwrap();
        expect_that!(time, ge(last));
        expect_true!(exclusions.is_excluded(target(), now));
        expect_that!(exclusions.on_failure(target(), now), none());
        now += time;
        expect_false!(exclusions.is_excluded(target(), now));
        last = time;
    }
    expect_that!(last, eq(LONGEST_EXCLUSION));
}

/// Guards against failures of long ago lengthening the next exclusion.
#[gtest]
fn a_long_time_without_failure_is_forgiving() {
    let mut exclusions = Exclusions::default();
    exclusions.on_failure(target(), Time::ZERO);
    exclusions.on_failure(target(), Duration::from_secs(1));
    let later = Duration::from_secs(60);
    expect_that!(
        exclusions.on_failure(target(), later),
        some(eq(FIRST_EXCLUSION))
    );
    expect_true!(exclusions.on_success(target()));
    expect_false!(exclusions.is_excluded(target(), later));
}
