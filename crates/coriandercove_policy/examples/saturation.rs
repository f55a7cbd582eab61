//! Model of a fleet at saturation: decode throughput against the bound that the engines allow,
//! when several entries choose chains with lagging load reports.
//!
//! Run with `cargo run --release -p coriandercove_policy --example saturation`.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io::Write as _;
use std::time::{Duration, Instant};

use coriandercove_base::{ZoneId, rng};
use coriandercove_policy::chain::{
    Candidate, Chain, ChainRequest, LinkCost, LoadReport, Planner, PlannerConfig, TargetState,
};

const LAYERS: u16 = 48;
const TOKENS: u32 = 150;
const SLOTS: u32 = 8;
const REPORT_EVERY: u64 = 1_000_000_000;

struct Setup {
    name: &'static str,
    ranges: Vec<(u16, u16)>,
    per_range: usize,
    zones: usize,
    entries: usize,
    /// Streams in flight for each batch slot of the fleet.
    pressure: f64,
}

struct Engine {
    step: u64,
    waiting: VecDeque<usize>,
    running: Vec<usize>,
    streams: u32,
}

struct Stream {
    entry: usize,
    chain: Chain,
    hops: Vec<usize>,
    hop: usize,
    left: u32,
}

enum Event {
    Arrive { stream: usize },
    Done { engine: usize },
    Report,
}

struct Model {
    zones: Vec<ZoneId>,
    zone_of: Vec<usize>,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    planners: Vec<Planner>,
    rngs: Vec<rng::Rng>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Event>,
    now: u64,
    tokens: u64,
    choices: u64,
    choosing: Duration,
}

fn candidates(setup: &Setup, zones: &[ZoneId]) -> Vec<Candidate> {
    let mut out = Vec::new();
    for (r, (first, end)) in setup.ranges.iter().enumerate() {
        for k in 0..setup.per_range {
            // Three kinds of accelerators, up to twice as fast as each other.
            let micros = [150, 220, 300][k % 3];
            out.push(Candidate {
                target: format!("t{r:02}-{k:04}").into(),
                zone: zones[(k / 3) % zones.len()].clone(),
                model: "m".into(),
                version: "1".into(),
                first_layer: *first,
                end_layer: *end,
                stops_early: false,
                prefill_per_layer: Duration::from_micros(micros / 20),
                decode_per_layer: Duration::from_micros(micros),
                batch_slots: SLOTS,
                concurrency_limit: 1000,
                kv_capacity_tokens: 10_000_000,
                state: TargetState::Ready,
            });
        }
    }
    out
}

fn delay(a: usize, b: usize) -> Duration {
    if a == b {
        Duration::from_micros(50)
    } else {
        Duration::from_micros(400)
    }
}

fn planner(candidates: &[Candidate], zones: &[ZoneId]) -> Planner {
    let mut planner = Planner::new(PlannerConfig::default());
    for c in candidates {
        planner.upsert(c.clone());
    }
    for (a, from) in zones.iter().enumerate() {
        for (b, to) in zones.iter().enumerate() {
            let cost = LinkCost {
                delay: delay(a, b),
                bandwidth: 1_000_000_000,
            };
            planner.set_zone_link(from, to, cost);
        }
    }
    planner
}

impl Model {
    fn new(setup: &Setup, candidates: &[Candidate], zones: &[ZoneId]) -> Self {
        let engine = |c: &Candidate| Engine {
            step: c.decode_per_layer.as_nanos() as u64,
            waiting: VecDeque::new(),
            running: Vec::new(),
            streams: 0,
        };
        let zone_of = candidates.iter().map(|c| {
            let zone = zones.iter().position(|z| *z == c.zone);
            zone.unwrap_or(0)
        });
        Self {
            zones: zones.to_vec(),
            zone_of: zone_of.collect(),
            engines: candidates.iter().map(engine).collect(),
            streams: Vec::new(),
            planners: (0..setup.entries)
                .map(|_| planner(candidates, zones))
                .collect(),
            rngs: (0..setup.entries as u64).map(rng::seeded).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            now: 0,
            tokens: 0,
            choices: 0,
            choosing: Duration::ZERO,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        let id = self.events.len();
        self.events.push(event);
        self.queue.push(Reverse((at, id as u64, id)));
    }

    fn choose(&mut self, entry: usize, names: &[Candidate]) -> (Chain, Vec<usize>) {
        let zone = self.zones[entry % self.zones.len()].clone();
        let req = ChainRequest {
            model: "m",
            version: None,
            first_layer: 0,
            end_layer: LAYERS,
            from: &zone,
            to: &zone,
            ring: true,
            prompt_tokens: 100,
            output_tokens: TOKENS,
            max_tokens: TOKENS,
            activation_bytes: 8192,
            exclude: &[],
            cached: &[],
        };
        let now = Duration::from_nanos(self.now);
        let start = Instant::now();
        let chain = self.planners[entry].choose(&req, now, &mut self.rngs[entry]);
        self.choosing += start.elapsed();
        self.choices += 1;
        let chain = chain.expect("limits are out of reach");
        self.planners[entry].begin(&chain);
        let index = |name: &str| names.iter().position(|c| &*c.target == name);
        let hops: Vec<usize> = chain.hops.iter().filter_map(|h| index(&h.target)).collect();
        for hop in &hops {
            self.engines[*hop].streams += 1;
        }
        (chain, hops)
    }

    fn start(&mut self, engine: usize) {
        if !self.engines[engine].running.is_empty() || self.engines[engine].waiting.is_empty() {
            return;
        }
        let e = &mut self.engines[engine];
        let n = e.waiting.len().min(SLOTS as usize);
        e.running = e.waiting.drain(..n).collect();
        // An iteration takes as long as its longest item.
        let longest = e.running.iter().map(|s| {
            let hop = &self.streams[*s].chain.hops[self.streams[*s].hop];
            u64::from(hop.end_layer - hop.first_layer)
        });
        let at = self.now + e.step * longest.max().unwrap_or(0);
        self.push(at, Event::Done { engine });
    }

    fn done(&mut self, engine: usize, names: &[Candidate]) {
        for s in std::mem::take(&mut self.engines[engine].running) {
            let stream = &mut self.streams[s];
            stream.hop = (stream.hop + 1) % stream.hops.len();
            if stream.hop == 0 {
                self.tokens += 1;
                stream.left -= 1;
            }
            if self.streams[s].left == 0 {
                self.renew(s, names);
            }
            let stream = &self.streams[s];
            let to = self.zone_of[stream.hops[stream.hop]];
            let wait = delay(self.zone_of[engine], to).as_nanos() as u64;
            self.push(self.now + wait, Event::Arrive { stream: s });
        }
        self.start(engine);
    }

    fn renew(&mut self, s: usize, names: &[Candidate]) {
        let entry = self.streams[s].entry;
        for hop in self.streams[s].hops.clone() {
            self.engines[hop].streams -= 1;
        }
        self.planners[entry].finish(&self.streams[s].chain);
        let (chain, hops) = self.choose(entry, names);
        self.streams[s] = Stream {
            entry,
            chain,
            hops,
            hop: 0,
            left: TOKENS,
        };
    }

    fn report(&mut self, names: &[Candidate]) {
        let now = Duration::from_nanos(self.now);
        for planner in &mut self.planners {
            for (c, e) in names.iter().zip(&self.engines) {
                let load = LoadReport {
                    sequences: e.streams,
                    ..LoadReport::default()
                };
                planner.report_load(&c.target, now, load);
            }
        }
        self.push(self.now + REPORT_EVERY, Event::Report);
    }

    /// Tokens generated between the two times.
    fn run(&mut self, streams: usize, names: &[Candidate], warm: u64, end: u64) -> u64 {
        for s in 0..streams {
            let entry = s % self.planners.len();
            let (chain, hops) = self.choose(entry, names);
            let left = 1 + (s as u32 * 7919) % TOKENS;
            self.streams.push(Stream {
                entry,
                chain,
                hops,
                hop: 0,
                left,
            });
            self.push(s as u64 * 100_000, Event::Arrive { stream: s });
        }
        self.push(REPORT_EVERY, Event::Report);
        let mut before = 0;
        while let Some(Reverse((at, _, id))) = self.queue.pop() {
            if at >= warm && self.now < warm {
                before = self.tokens;
            }
            self.now = at;
            if at >= end {
                break;
            }
            match std::mem::replace(&mut self.events[id], Event::Report) {
                Event::Arrive { stream } => {
                    let engine = self.streams[stream].hops[self.streams[stream].hop];
                    self.engines[engine].waiting.push_back(stream);
                    self.start(engine);
                }
                Event::Done { engine } => self.done(engine, names),
                Event::Report => self.report(names),
            }
        }
        self.tokens - before
    }
}

/// Tokens per second if every engine always ran full batches on an ideal share of the layers.
fn bound(setup: &Setup, candidates: &[Candidate]) -> f64 {
    let rate = |c: &Candidate| f64::from(c.batch_slots) / c.decode_per_layer.as_secs_f64();
    let disjoint = setup.ranges.windows(2).all(|w| w[0].1 <= w[1].0);
    if !disjoint {
        return candidates.iter().map(rate).sum::<f64>() / f64::from(LAYERS);
    }
    let of_range = |r: &(u16, u16)| {
        let members = candidates.iter().filter(|c| c.first_layer == r.0);
        members.map(rate).sum::<f64>() / f64::from(r.1 - r.0)
    };
    setup
        .ranges
        .iter()
        .map(of_range)
        .fold(f64::INFINITY, f64::min)
}

fn measure(setup: &Setup) -> std::io::Result<()> {
    let zones: Vec<ZoneId> = (0..setup.zones).map(|z| format!("z{z}").into()).collect();
    let candidates = candidates(setup, &zones);
    let mut model = Model::new(setup, &candidates, &zones);
    let slots = candidates.len() as f64 * f64::from(SLOTS);
    let streams = (slots * setup.pressure) as usize;
    let (warm, end) = (20_000_000_000, 60_000_000_000);
    let tokens = model.run(streams, &candidates, warm, end);
    let rate = tokens as f64 / ((end - warm) as f64 / 1e9);
    let bound = bound(setup, &candidates);
    let choice = model.choosing.as_secs_f64() * 1e6 / model.choices as f64;
    writeln!(
        std::io::stdout(),
        "{:<28} entries {:>2} streams {streams:>5} tokens/s {rate:>8.0} bound {bound:>8.0} share {:.3} choice {choice:.1} us",
        setup.name,
        setup.entries,
        rate / bound
    )
}

fn main() -> std::io::Result<()> {
    let thirds = vec![(0, 16), (16, 32), (32, 48)];
    let staggered = vec![(0, 16), (0, 24), (16, 32), (24, 48), (32, 48)];
    for pressure in [1.0, 1.5, 2.0, 3.0] {
        for entries in [1, 4] {
            for (name, ranges, per_range) in [
                ("30 targets, 3 ranges", &thirds, 10),
                ("30 targets, overlapping", &staggered, 6),
            ] {
                measure(&Setup {
                    name,
                    ranges: ranges.clone(),
                    per_range,
                    zones: 3,
                    entries,
                    pressure,
                })?;
            }
        }
    }
    for pressure in [2.0, 3.0] {
        measure(&Setup {
            name: "330 targets, 3 ranges",
            ranges: thirds.clone(),
            per_range: 110,
            zones: 3,
            entries: 48,
            pressure,
        })?;
    }
    Ok(())
}
