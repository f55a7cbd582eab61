//! Regression tests: seeds with which the fuzz tests have found faults.

use crate::membership::MembershipTest;
use crate::placement::PlacementTest;
use crate::runner::check;

/// Guards against an entry that lists a dead member for ever, because it was paused while the
/// member died and the other entries removed it.
#[test]
fn forgotten_member_is_given_up_everywhere() {
    check::<MembershipTest>("membership", &[5_209_892_403_697_510_846], 24, 50);
}

/// Guards against a second load of a range because a target that loads it was unavailable for a
/// short time and did not count as loading.
#[test]
fn briefly_silent_target_counts_as_loading() {
    check::<PlacementTest>("placement", &[9_412_773_789_966_305_333], 64, 50);
}

/// Guards against entries that never query for what they lack, because half of the entries lag and
/// digests from entries that agree delay the query again and again.
#[test]
fn lagging_entries_ask_for_what_they_miss() {
    check::<MembershipTest>("membership", &[2_475_886_015_378_278_461], 24, 50);
}

/// Guards against entries that choose observers by an outdated number of members, and that
/// therefore suspect agents which send their heartbeats to other entries.
#[test]
fn observers_follow_dead_agents() {
    check::<MembershipTest>("membership", &[17_945_893_760_818_934_745], 24, 50);
}
