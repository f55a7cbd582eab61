//! Measures the CPU time and memory of the entry's core for growing numbers of open streams,
//! accounts and targets. Prints one JSON line for each figure.

#[path = "../../coriandercove_state/examples/measure/mod.rs"]
mod measure;

use measure::fleet::{MODELS, SIZES, answers};

use coriandercove_base::{Time, rng};
use coriandercove_config::Config;
use coriandercove_config::answers::parse;
use coriandercove_entry::core::{Core, CoreConfig, StreamSpec};
use coriandercove_peer::TokenFrame;
use coriandercove_peer::frame::loopback;
use std::time::Duration;

const SEED: u64 = 1;
/// Number of tokens of each prompt.
const PROMPT: u32 = 300;
/// Numbers of open streams.
const OPEN: [u32; 4] = [500, 1_000, 2_000, 4_000];
const NOW: Time = Duration::from_secs(1);

fn config(accounts: usize, replicas: usize) -> Config {
    let text = answers(accounts, replicas, 1_000_000_000);
    parse("scale.yaml", &text)
        .unwrap_or_else(|p| panic!("{p}"))
        .config
}

fn core() -> Core {
    let cfg = CoreConfig {
        own: loopback("entry-001", 7400),
        zone: "z0".into(),
        credit_tokens: 256,
    };
    Core::new(cfg, rng::seeded(SEED))
}

fn spec(i: u32) -> StreamSpec {
    StreamSpec {
        req: u128::from(i) + 1,
        account: format!("a{}", i % 4_000).into(),
        model: format!("m{}", i as usize % MODELS).into(),
        prompt: vec![7; PROMPT as usize],
        max_tokens: 4_000,
        priority: 0,
        deadline: Duration::from_secs(3600),
        first_token_deadline: Duration::from_secs(3600),
    }
}

/// Measurements by the number of open streams, as points of a line.
#[derive(Default)]
struct ByStreams {
    submit_us: Vec<(f64, f64)>,
    token_us: Vec<(f64, f64)>,
    tick_us: Vec<(f64, f64)>,
    memory: Vec<(f64, f64)>,
}

impl ByStreams {
    fn measure(&mut self, config: &Config, open: u32) {
        let mut core = core();
        core.set_config(NOW, config);
        let n = f64::from(open);
        let specs: Vec<_> = (0..open).map(spec).collect();
        let before = measure::allocated();
        let (us, ()) = measure::micros_of(|| {
            for spec in specs {
                core.submit(NOW, spec);
                core.take_actions();
            }
        });
        assert_eq!(core.len(), open as usize, "each stream was admitted");
        assert_eq!(core.queued(), 0, "each stream was dispatched");
        self.submit_us.push((n, us / n));
        self.token_us.push((n, tokens(&mut core, open)));
        self.memory.push((n, measure::allocated() - before));
        let tick = measure::micros_per_call(|| core.tick(NOW));
        self.tick_us.push((n, tick));
    }
}

/// Returns the CPU time in microseconds of one token and its consumption by the caller, averaged
/// over 100,000 tokens.
fn tokens(core: &mut Core, open: u32) -> f64 {
    let each = 100_000 / open;
    let (us, emitted) = measure::micros_of(|| {
        let mut emitted = 0;
        let from = loopback("agent-001", 7401);
        for k in 0..each {
            for i in 0..open {
                let req = u128::from(i) + 1;
                let frame = TokenFrame {
                    req,
                    attempt: 1,
                    position: PROMPT + k,
                    token: 9,
                    finished: false,
                };
                core.on_token(NOW, &from, &frame);
                core.consumed(req, k + 1);
                emitted += core.take_actions().len();
            }
        }
        emitted
    });
    assert!(
        emitted >= (each * open) as usize,
        "each token was passed on"
    );
    us / f64::from(each * open)
}

fn main() {
    let mut streams = ByStreams::default();
    let planned = config(SIZES[3].0, SIZES[3].1);
    for open in OPEN {
        streams.measure(&planned, open);
    }
    drop(planned);
    let print = |what, x, y, points: &[(f64, f64)]| {
        measure::print(what, x, y, SEED, &measure::fit(points));
    };
    print("stream_submit", "streams", "us", &streams.submit_us);
    print("stream_token", "streams", "us", &streams.token_us);
    print("stream_tick", "streams", "us", &streams.tick_us);
    print("stream_memory", "streams", "bytes", &streams.memory);
    let (mut set, mut again, mut memory) = (vec![], vec![], vec![]);
    for (accounts, replicas) in SIZES {
        let config = config(accounts, replicas);
        let n = accounts as f64;
        let before = measure::allocated();
        let mut core = core();
        let (us, ()) = measure::micros_of(|| core.set_config(NOW, &config));
        memory.push((n, measure::allocated() - before));
        set.push((n, us));
        let us = measure::micros_per_call(|| core.set_config(NOW, &config));
        again.push((n, us));
    }
    print("core_first_config", "accounts", "us", &set);
    print("core_next_config", "accounts", "us", &again);
    print("core_config_memory", "accounts", "bytes", &memory);
}
