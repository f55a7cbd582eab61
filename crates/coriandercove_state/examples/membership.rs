//! Measures the cost of membership at one entry for growing numbers of members: the CPU time of a
//! heartbeat, a digest and a tick without changes, and the memory. Prints one JSON line per figure.

mod measure;

use coriandercove_base::Time;
use coriandercove_state::membership::{
    Digest, EntryMembership, Heartbeat, Liveness, LoadRecord, LoadReport, MemberInfo, MemberRecord,
    MembershipEvent, MembershipSettings, Message, Role, member_key,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

const SEED: u64 = 1;
/// Numbers of entries and agents; the last pair is the planned size.
const SIZES: [(u32, u32); 4] = [(60, 413), (120, 825), (240, 1650), (480, 3300)];
/// Number of loads that fit into a digest of 120 bytes.
const LOADS_PER_DIGEST: usize = 8;
/// Number of heartbeats, and of digests, that are timed.
const MESSAGES: u64 = 50_000;

fn info(i: u32, entries: u32) -> MemberInfo {
    let role = if i < entries {
        Role::Entry
    } else {
        Role::Agent
    };
    let address = |port| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + i), port));
    MemberInfo {
        node: format!("node-{i:05}").into(),
        zone: format!("zone-{:02}", i % 11).into(),
        role,
        udp: address(1),
        tcp: address(2),
        detail: String::new(),
        detail_version: 0,
    }
}

fn record(info: MemberInfo) -> MemberRecord {
    MemberRecord {
        info,
        incarnation: 1 << 60,
        beat: 0,
        liveness: Liveness::Alive,
        leaving: false,
    }
}

fn entry(entries: u32, agents: u32) -> EntryMembership {
    let records: Vec<_> = (0..entries + agents)
        .map(|i| record(info(i, entries)))
        .collect();
    let cfg = MembershipSettings::new(info(0, entries), 1 << 60, Vec::new());
    let mut entry = EntryMembership::new(cfg, SEED);
    entry.on_event(Time::ZERO, MembershipEvent::Table(records));
    entry.on_event(Time::ZERO, MembershipEvent::Tick);
    entry
}

fn heartbeat(info: &MemberInfo, seq: u64) -> MembershipEvent {
    let load = LoadReport {
        queued: (seq % 50) as u16,
        ..LoadReport::default()
    };
    let message = Message::Heartbeat(Heartbeat {
        key: member_key(&info.node),
        incarnation: 1 << 60,
        seq,
        config: 1,
        load,
        leaving: false,
        observers: 0,
        info: None,
    });
    MembershipEvent::Received {
        from: info.udp,
        bytes: message.encode(),
    }
}

fn digest(from: &MemberInfo, seq: u64, keys: &[u64]) -> MembershipEvent {
    let loads = (0..LOADS_PER_DIGEST).map(|i| LoadRecord {
        key: (keys[(seq as usize * LOADS_PER_DIGEST + i) % keys.len()] >> 32) as u32,
        beat: seq as u16,
        load: LoadReport::default(),
    });
    let message = Message::Digest(Digest {
        key: member_key(&from.node),
        incarnation: 1 << 60,
        seq,
        config: 1,
        loads: loads.collect(),
        ..Digest::default()
    });
    MembershipEvent::Received {
        from: from.udp,
        bytes: message.encode(),
    }
}

/// Returns the mean CPU time of one event in microseconds.
fn micros_per_event(entry: &mut EntryMembership, events: Vec<MembershipEvent>) -> f64 {
    let count = events.len() as f64;
    let (us, ()) = measure::micros_of(|| {
        for event in events {
            entry.on_event(Duration::from_millis(1), event);
        }
    });
    us / count
}

/// Returns the mean CPU time of a tick in microseconds. Ticks come every 200 ms and stop after 2.8
/// s, before the silence of the members makes them suspect.
fn micros_per_tick(entries: u32, agents: u32) -> f64 {
    const TICKS: u32 = 14;
    const RUNS: u32 = 8;
    let mut us = 0.0;
    for _ in 0..RUNS {
        let mut entry = entry(entries, agents);
        us += measure::micros_of(|| {
            for i in 1..=TICKS {
                entry.on_event(Duration::from_millis(200) * i, MembershipEvent::Tick);
            }
        })
        .0;
    }
    us / f64::from(TICKS * RUNS)
}

fn main() {
    let names = [
        "membership_heartbeat",
        "membership_digest",
        "membership_tick",
        "membership_memory",
    ];
    let units = ["us", "us", "us", "bytes"];
    let mut points = [const { Vec::new() }; 4];
    for (entries, agents) in SIZES {
        let members = f64::from(entries + agents);
        let before = measure::allocated();
        let mut entry = entry(entries, agents);
        points[3].push((members, measure::allocated() - before));
        let agent = info(entries, entries);
        let beats = (1..=MESSAGES).map(|seq| heartbeat(&agent, seq)).collect();
        points[0].push((members, micros_per_event(&mut entry, beats)));
        let keys: Vec<u64> = (entries..entries + agents)
            .map(|i| member_key(&info(i, entries).node))
            .collect();
        let peer = info(1, entries);
        let digests = (1..=MESSAGES)
            .map(|seq| digest(&peer, seq, &keys))
            .collect();
        points[1].push((members, micros_per_event(&mut entry, digests)));
        points[2].push((members, micros_per_tick(entries, agents)));
    }
    for (i, name) in names.iter().enumerate() {
        measure::print(name, "members", units[i], SEED, &measure::fit(&points[i]));
    }
}
