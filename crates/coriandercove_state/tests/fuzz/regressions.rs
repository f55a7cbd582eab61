//! Seeds with which fuzz runs have found faults, kept as tests.

use crate::membership::MembershipTest;
use crate::placement::PlacementTest;
use crate::runner::check;

/// An entry that was paused while a member died and was forgotten elsewhere listed it for ever.
#[test]
fn forgotten_member_is_given_up_everywhere() {
    check::<MembershipTest>("membership", &[5_209_892_403_697_510_846], 24, 50);
}

/// A target that was silent for a short time while it loaded did not count as loading.
#[test]
fn briefly_silent_target_counts_as_loading() {
    check::<PlacementTest>("placement", &[9_412_773_789_966_305_333], 64, 50);
}

/// Where half of the entries lagged, none asked the others for what it missed.
#[test]
fn lagging_entries_ask_for_what_they_miss() {
    check::<MembershipTest>("membership", &[2_475_886_015_378_278_461], 24, 50);
}

/// Entries chose observers by an old count of members, and suspected agents that sent their
/// heartbeats elsewhere.
#[test]
fn observers_follow_dead_agents() {
    check::<MembershipTest>("membership", &[17_945_893_760_818_934_745], 24, 50);
}
