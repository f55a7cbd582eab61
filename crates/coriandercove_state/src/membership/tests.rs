use super::faults::Faults;
use super::*;
use coriandercove_base::Time;
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use std::net::SocketAddr;
use std::time::Duration;

fn info(name: &str, role: Role, last: u8) -> MemberInfo {
    MemberInfo {
        node: name.into(),
        zone: "z".into(),
        role,
        udp: address(last),
        tcp: address(last),
        detail: String::new(),
        detail_version: 0,
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 1))
}

fn entry() -> EntryMembership {
    let me = info("e1", Role::Entry, 1);
    EntryMembership::new(MembershipSettings::new(me, 50, Vec::new()), 1)
}

fn beat(name: &str, incarnation: u64, seq: u64) -> Heartbeat {
    Heartbeat {
        key: member_key(name),
        incarnation,
        seq,
        config: 0,
        load: LoadReport::default(),
        leaving: false,
        observers: 0,
        info: Some(Box::new(info(name, Role::Agent, 9))),
    }
}

fn receive(entry: &mut EntryMembership, now: Time, message: &Message) -> Vec<MembershipAction> {
    let from = address(9);
    let bytes = message.encode();
    entry.on_event(now, MembershipEvent::Received { from, bytes })
}

fn run(entry: &mut EntryMembership, from: u64, to: u64) {
    for step in from * 5..to * 5 {
        let now = Duration::from_millis(step * 200);
        entry.on_event(now, MembershipEvent::Tick);
    }
}

fn liveness() -> impl Strategy<Value = Liveness> {
    prop_oneof![
        Just(Liveness::Alive),
        Just(Liveness::Suspect),
        Just(Liveness::Dead),
        Just(Liveness::Unreachable)
    ]
}

fn record() -> impl Strategy<Value = MemberRecord> {
    (1..3u64, 0..3u64, liveness(), any::<bool>()).prop_map(
        |(incarnation, beat, liveness, leaving)| MemberRecord {
            info: info("a", Role::Agent, 9),
            incarnation,
            beat,
            liveness,
            leaving,
        },
    )
}

proptest! {
    // A fixed seed makes the result the same in each run of the tests.
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against tables that depend on the order of datagrams or on duplicates.
    #[test]
    fn merge_is_independent_of_order(a in record(), b in record(), c in record()) {
        let merge = |records: [&MemberRecord; 4]| {
            let mut all = records[0].clone();
            for record in &records[1..] {
                all.merge((*record).clone(), Faults::default());
            }
            all
        };
        let first = merge([&a, &b, &c, &a]);
        proptest::prop_assert_eq!(&first, &merge([&c, &b, &a, &b]));
        proptest::prop_assert_eq!(&first, &merge([&b, &c, &c, &a]));
    }
}

/// Guards against a single agent that has died but stays in use.
#[gtest]
fn silent_member_becomes_suspect_then_dead() {
    let mut entry = entry();
    run(&mut entry, 0, 1);
    receive(
        &mut entry,
        Duration::from_secs(1),
        &Message::Heartbeat(beat("a", 5, 1)),
    );
    run(&mut entry, 1, 2);
    receive(
        &mut entry,
        Duration::from_secs(2),
        &Message::Heartbeat(beat("a", 5, 2)),
    );
    run(&mut entry, 2, 4);
    expect_that!(entry.state("a"), some(eq(State::Alive)));
    run(&mut entry, 4, 6);
    expect_that!(entry.state("a"), some(eq(State::Suspect)));
    run(&mut entry, 6, 11);
    expect_that!(entry.state("a"), some(eq(State::Dead)));
}

/// Guards against a member that died while its zone was silent and that stays unreachable, and thus
/// in use, after the other members of its zone have returned.
#[gtest]
fn member_that_stays_silent_after_its_zone_returned_is_dead() {
    const ZONE: [&str; 5] = ["a", "b", "c", "d", "e"];
    let beats = |entry: &mut EntryMembership, names: &[&str], second: u64| {
        for name in names {
            let now = Duration::from_secs(second);
            receive(entry, now, &Message::Heartbeat(beat(name, 5, second)));
        }
        run(entry, second, second + 1);
    };
    let mut entry = entry();
    run(&mut entry, 0, 1);
    for second in 1..4 {
        beats(&mut entry, &ZONE, second);
    }
    run(&mut entry, 4, 14);
    for name in ZONE {
        expect_that!(entry.state(name), some(eq(State::Unreachable)), "{name}");
    }
    for second in 14..21 {
        beats(&mut entry, &ZONE[..4], second);
    }
    for name in &ZONE[..4] {
        expect_that!(entry.state(name), some(eq(State::Alive)), "{name}");
    }
    expect_that!(entry.state("e"), some(eq(State::Dead)));
}

/// Guards against an entry that was paused and counts its own pause as the silence of others.
#[gtest]
fn paused_entry_suspects_nobody_on_resuming() {
    let mut entry = entry();
    run(&mut entry, 0, 1);
    receive(
        &mut entry,
        Duration::from_secs(1),
        &Message::Heartbeat(beat("a", 5, 1)),
    );
    run(&mut entry, 1, 2);
    run(&mut entry, 300, 301);
    expect_that!(entry.state("a"), some(eq(State::Alive)));
}

/// Guards against old heartbeats, or those of an earlier run, that count as a sign of life.
#[gtest]
fn old_and_superseded_heartbeats_do_not_count() {
    let mut entry = entry();
    let now = Duration::from_secs(1);
    receive(&mut entry, now, &Message::Heartbeat(beat("a", 5, 7)));
    receive(&mut entry, now, &Message::Heartbeat(beat("a", 5, 7)));
    receive(&mut entry, now, &Message::Heartbeat(beat("a", 5, 6)));
    let actions = receive(&mut entry, now, &Message::Heartbeat(beat("a", 4, 90)));
    expect_that!(entry.counters().stale, eq(3));
    expect_that!(
        entry.record("a").map(|r| (r.incarnation, r.beat)),
        some(eq((5, 7)))
    );
    let [MembershipAction::Send { bytes, .. }] = &actions[..] else {
        panic!("expected one datagram with an ack, got {actions:?}");
    };
    let Some(Message::Ack(ack)) = Message::decode(bytes) else {
        panic!("expected an ack, got the datagram {bytes:?}");
    };
    expect_that!(ack.superseded_by, some(eq(5)));
}

/// Guards against a run that continues after a later run of the same node has taken over, and
/// against a restart that others ignore because the wall clock stepped back.
#[gtest]
fn higher_incarnation_is_adopted_after_start_and_ends_an_old_run() {
    let state = StateRecord {
        key: member_key("e1"),
        incarnation: 80,
        beat: 1,
        liveness: Liveness::Alive,
        leaving: false,
        detail_version: 0,
    };
    let digest = Message::Digest(Digest {
        changes: vec![state],
        ..Digest::default()
    });
    let mut young = entry();
    let actions = receive(&mut young, Duration::from_secs(1), &digest);
    expect_that!(
        actions,
        contains(eq(&MembershipAction::AdoptIncarnation(81)))
    );
    let mut old = entry();
    run(&mut old, 0, 100);
    let actions = receive(&mut old, Duration::from_secs(100), &digest);
    expect_that!(actions, contains(eq(&MembershipAction::Superseded(80))));
    expect_that!(
        old.on_event(Duration::from_secs(101), MembershipEvent::Tick),
        is_empty()
    );
}

/// Guards against effects of a VM list that lags: it must neither remove a member nor mark the run
/// that replaced a leaving one as leaving.
#[gtest]
fn vm_list_adds_and_marks_and_never_removes() {
    let mut entry = entry();
    let listed = |leaving| {
        MembershipEvent::VmList(vec![VmListed {
            info: info("a", Role::Agent, 9),
            leaving,
        }])
    };
    let now = Duration::from_secs(1);
    entry.on_event(now, listed(false));
    expect_that!(entry.state("a"), none());
    receive(&mut entry, now, &Message::Heartbeat(beat("a", 5, 1)));
    entry.on_event(now, listed(true));
    expect_that!(entry.state("a"), some(eq(State::Leaving)));
    receive(&mut entry, now, &Message::Heartbeat(beat("a", 6, 1)));
    entry.on_event(now, listed(true));
    expect_that!(entry.state("a"), some(eq(State::Alive)));
    entry.on_event(now, MembershipEvent::VmList(Vec::new()));
    expect_that!(entry.state("a"), some(eq(State::Alive)));
}

/// Guards against malformed datagrams that stop a process.
#[gtest]
fn malformed_datagrams_are_counted() {
    let mut entry = entry();
    let from = address(9);
    for bytes in [vec![], vec![9; 50], vec![0, 255]] {
        entry.on_event(Time::ZERO, MembershipEvent::Received { from, bytes });
    }
    expect_that!(entry.counters().malformed, eq(3));
}
