#![allow(
    clippy::unwrap_used,
    reason = "a test fails at the first unexpected value"
)]

use googletest::prelude::*;

use super::*;
use coriandercove_base::rng;

const SEND_PERIOD: u64 = 600;

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn target() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

/// Entries before one target, whose callers ask for more than it takes.
struct Simulation {
    entries: Vec<Limits>,
    /// Time at which each entry started; its own clock begins then.
    started: Vec<u64>,
    /// Time from which on each entry hears of the others.
    hears_from: Vec<u64>,
    /// Requests of its callers in 1000 s, by entry.
    demand: Vec<u64>,
    rng: Rng,
    /// Requests that reached the target, in ms.
    sent: Vec<u64>,
    /// Those of entries that had passed on an answer with a limit half a second before. A request
    /// by which an entry that has just started learns of the limit is not counted by the users.
    informed: Vec<u64>,
    /// Time at which each entry first passed on such an answer since its start.
    knows_since: Vec<Option<u64>>,
}

impl Simulation {
    fn new(entries: usize, seed: u64) -> Self {
        let name = |n: usize| NodeId::from(format!("e{n}"));
        Self {
            entries: (0..entries)
                .map(|n| Limits::new(name(n), entries > 1))
                .collect(),
            started: vec![0; entries],
            hears_from: vec![0; entries],
            demand: vec![5000; entries],
            rng: rng::seeded(seed),
            sent: Vec::new(),
            informed: Vec::new(),
            knows_since: vec![None; entries],
        }
    }

    fn restart(&mut self, n: usize, at: u64) {
        self.entries[n] = Limits::new(format!("e{n}").into(), true);
        self.started[n] = at;
        self.knows_since[n] = None;
    }

    /// Runs from `from` to `to`, while the target names `named`.
    fn run(&mut self, from: u64, to: u64, named: NamedLimit) {
        for now in (from..to).step_by(5) {
            for n in 0..self.entries.len() {
                let local = ms(now - self.started[n]);
                if now % SEND_PERIOD == (n as u64 * 35) % SEND_PERIOD {
                    self.tell(n, now);
                }
                if self.rng.random_range(0..200_000) >= self.demand[n] {
                    continue;
                }
                let entry = &mut self.entries[n];
                entry.on_request(local);
                if entry.allows(target(), local) {
                    entry.on_sent(target(), local);
                    self.sent.push(now);
                    if self.knows_since[n].is_some_and(|at| at + 500 <= now) {
                        self.informed.push(now);
                    }
                    if named != NamedLimit::None {
                        self.knows_since[n].get_or_insert(now);
                    }
                    entry.on_answer(target(), named, local, local + ms(5), &mut self.rng);
                }
            }
        }
    }

    fn tell(&mut self, from: usize, now: u64) {
        let report = self.entries[from].report(ms(now - self.started[from]));
        let name = self.entries[from].own.clone();
        for n in (0..self.entries.len()).filter(|n| *n != from) {
            // A datagram in ten is lost.
            if now >= self.hears_from[n] && self.rng.random_bool(0.9) {
                let local = ms(now - self.started[n]);
                self.entries[n].on_report(name.clone(), &report, local, &mut self.rng);
            }
        }
    }

    /// Most requests in any 4 s that begin after `start`.
    fn most(&self, start: u64) -> f64 {
        most_in_window(&self.sent, start)
    }

    /// Requests a second from `start` to `end`.
    fn rate(&self, start: u64, end: u64) -> f64 {
        let sent = self.sent.iter().filter(|t| (start..end).contains(t));
        sent.count() as f64 * 1000.0 / (end - start) as f64
    }
}

/// Most of these times in any 4 s that begin after `start`.
fn most_in_window(times: &[u64], start: u64) -> f64 {
    let counted: Vec<u64> = times.iter().copied().filter(|t| *t >= start).collect();
    let in_window = |i: usize| {
        let window = counted[i..].iter();
        window.take_while(|t| **t < counted[i] + 4000).count()
    };
    (0..counted.len()).map(in_window).max().unwrap_or(0) as f64
}

/// Requests that a target may get in 4 s.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * 4.0 + 5.0
}

fn named(per_second: f64) -> NamedLimit {
    NamedLimit::Rate((per_second * 1000.0) as u64)
}

/// Guards against entries that each send what seems little, so that a target in need gets many times
/// what it takes. Load: every entry's callers ask for five requests a second.
#[gtest]
fn limits_hold_before_any_number_of_entries() {
    for (entries, limit) in [
        (62, 1.0),
        (62, 0.1),
        (62, 8.0),
        (68, 25.0),
        (8, 13.0),
        (1, 3.0),
    ] {
        for seed in 1..=5 {
            let mut simulation = Simulation::new(entries, seed);
            simulation.run(0, 4000, NamedLimit::None);
            simulation.run(4000, 40_000, named(limit));
            let most = simulation.most(4000 + 3000);
            expect_that!(
                most,
                le(allowed(limit)),
                "{entries} entries, limit {limit}, seed {seed}"
            );
            if limit >= 1.0 {
                let used = simulation.rate(10_000, 40_000) / limit;
                expect_that!(
                    used,
                    ge(0.5),
                    "{entries} entries, limit {limit}, seed {seed}"
                );
            }
        }
    }
}

/// Guards against shares that fit only equal entries. Load: one entry has most of the callers, the
/// others few; later another one has them.
#[gtest]
fn uneven_entries_use_a_limit_and_keep_it() {
    for seed in 1..=5 {
        let mut simulation = Simulation::new(8, seed);
        simulation.demand = vec![1000; 8];
        simulation.demand[3] = 40_000;
        simulation.run(0, 2000, NamedLimit::None);
        simulation.run(2000, 20_000, named(10.0));
        simulation.demand.swap(3, 6);
        simulation.run(20_000, 40_000, named(10.0));
        expect_that!(simulation.most(5000), le(allowed(10.0)), "seed {seed}");
        expect_that!(simulation.rate(8000, 20_000), ge(5.0), "seed {seed}");
    }
}

/// Guards against entries that send too much until they know the others. Load: at a limit of one
/// request a second, entries restart one after the other, some at once, and some hear late.
#[gtest]
fn entries_that_restart_or_hear_late_keep_a_limit() {
    for seed in 1..=5 {
        let mut simulation = Simulation::new(62, seed);
        simulation.hears_from[5] = 12_000;
        simulation.hears_from[6] = 15_000;
        simulation.run(0, 8000, named(1.0));
        for round in 0..20 {
            let at = 8000 + round * 1000;
            simulation.restart(round as usize, at);
            simulation.restart(40 + round as usize, at);
            simulation.run(at, at + 1000, named(1.0));
        }
        expect_that!(simulation.informed.len(), ge(10), "seed {seed}");
        let most = most_in_window(&simulation.informed, 3000);
        expect_that!(most, le(allowed(1.0)), "seed {seed}");
    }
}

/// Guards against a limit that is not followed once it changes, against one that stays after its
/// withdrawal, and against one that is dropped because an answer cannot be read.
#[gtest]
fn raised_lowered_unreadable_and_withdrawn_limits_are_followed() {
    let mut simulation = Simulation::new(8, 1);
    simulation.run(0, 10_000, named(4.0));
    simulation.run(10_000, 20_000, named(12.0));
    expect_that!(simulation.rate(13_000, 20_000), ge(6.0));
    simulation.run(20_000, 30_000, named(2.0));
    expect_that!(simulation.most(23_000), le(allowed(2.0)));
    simulation.run(30_000, 40_000, NamedLimit::Unreadable);
    expect_that!(simulation.most(23_000), le(allowed(2.0)));
    simulation.run(40_000, 50_000, named(0.0));
    expect_that!(simulation.most(43_000), le(allowed(0.0)));
    simulation.run(50_000, 75_000, NamedLimit::None);
    expect_that!(simulation.rate(70_000, 75_000), ge(30.0));
    simulation.run(75_000, 80_000, NamedLimit::Rate(u64::MAX));
    expect_that!(simulation.rate(76_000, 80_000), ge(30.0));
}

/// Guards against an answer that was under way when a limit was named and seems to withdraw it.
#[gtest]
fn an_answer_to_an_earlier_request_withdraws_nothing() {
    let mut rng = rng::seeded(1);
    let mut entry = Limits::new("e".into(), false);
    entry.on_answer(target(), named(1.0), ms(900), ms(1000), &mut rng);
    let is_changed = entry.on_answer(target(), NamedLimit::None, ms(950), ms(1100), &mut rng);
    expect_that!(is_changed, eq(false));
    expect_that!(entry.limit(target()), some(eq(1.0)));
    let is_changed = entry.on_answer(target(), NamedLimit::None, ms(1200), ms(1300), &mut rng);
    expect_that!(is_changed, eq(true));
    expect_that!(entry.limit(target()), none());
    // A peer that has not heard of the withdrawal does not restore the limit.
    let report = LimitsReport {
        limits: vec![LimitReport {
            target: target(),
            limit: Some(1000),
            age_ms: 500,
        }],
        demand: 1,
    };
    entry.on_report("f".into(), &report, ms(1400), &mut rng);
    expect_that!(entry.limit(target()), none());
}

/// Guards against state that grows with the targets that peers name, and that is kept for ever.
#[gtest]
fn limits_are_bounded_and_end() {
    let mut rng = rng::seeded(1);
    let mut entry = Limits::new("e".into(), false);
    for n in 0..5000_u32 {
        let target = SocketAddr::from((n.to_be_bytes(), 80));
        entry.on_answer(target, named(1.0), ms(900), ms(1000), &mut rng);
    }
    expect_that!(entry.len(), le(MAX_LIMITS));
    let report = entry.report(ms(1000));
    expect_that!(postcard::to_allocvec(&report).unwrap().len(), lt(2048));
    entry.expire(ms(100_000));
    expect_that!(entry.is_empty(), eq(true));
}
