//! Compares the throughput of an engine stand-in with its nominal bound, over HTTP on the loopback
//! interface.
//!
//! The sequences are divided among the callers. Each caller sends a forward call for all of its
//! sequences, waits for the results and sends the next one, which keeps the engine saturated as an
//! agent with several calls in flight does.

use std::io::Write;
use std::time::{Duration, Instant};

use clap::Parser;
use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_standin::engine::{self, EngineSettings};
use coriandercove_target::{Engine, ForwardItem, ForwardRequest, HttpEngine};

/// Command-line options of the measurement.
#[derive(Parser, Clone, Copy)]
struct Args {
    /// Number of sequences over all callers.
    #[arg(long, default_value_t = 256)]
    sequences: u32,
    /// Number of callers, each with one call in flight.
    #[arg(long, default_value_t = 4)]
    callers: u32,
    /// Largest number of sequences in one iteration.
    #[arg(long, default_value_t = 64)]
    max_batch: u32,
    /// Number of layers of the model; the engine holds all of them.
    #[arg(long, default_value_t = 32)]
    layers: u16,
    /// Fixed time of an iteration, without that of its items, in us.
    #[arg(long, default_value_t = 4_000)]
    base_us: u64,
    /// Time to decode one position in one layer, in ns.
    #[arg(long, default_value_t = 10_000)]
    decode_layer_ns: u64,
    /// Number of positions to run in each sequence.
    #[arg(long, default_value_t = 200)]
    positions: u32,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let mut s = EngineSettings::new("m", 0, args.layers, args.layers);
    s.info.max_batch = args.max_batch;
    s.info.kv_capacity_tokens = u64::from(args.sequences) * u64::from(args.positions);
    s.cost.base = Duration::from_micros(args.base_us);
    s.cost.decode_layer = Duration::from_nanos(args.decode_layer_ns);
    let bound = s.decode_bound();
    let engine = engine::start(s)?;
    let begin = Instant::now();
    actix_rt::Runtime::new()?.block_on(run(args, &engine.url()))?;
    let seconds = begin.elapsed().as_secs_f64();
    let items = engine.stats().items;
    let rate = items as f64 / seconds;
    let share = rate / bound;
    let out = &mut std::io::stdout();
    writeln!(out, "{items} positions in {seconds:.2} s: {rate:.0}/s")?;
    writeln!(out, "nominal bound {bound:.0}/s, reached {share:.3} of it")?;
    writeln!(out, "{} iterations", engine.stats().iterations)?;
    Ok(())
}

async fn run(args: Args, url: &str) -> Result<(), Box<dyn std::error::Error>> {
    let client = HttpClient::new(HttpLimits::default());
    let callers = (0..args.callers).map(|caller| {
        let engine = HttpEngine::new(client.clone(), url);
        async move {
            for position in 0..args.positions {
                let seqs = (caller..args.sequences).step_by(args.callers as usize);
                let items = seqs.map(|s| item(s, position)).collect();
                engine.forward(ForwardRequest { items }).await?;
            }
            Ok::<_, coriandercove_target::EngineError>(())
        }
    });
    for result in futures_util::future::join_all(callers).await {
        result?;
    }
    Ok(())
}

fn item(seq: u32, position: u32) -> ForwardItem {
    ForwardItem {
        seq: format!("{seq:032x}"),
        epoch: 1,
        position,
        first_layer: 0,
        inputs: vec![u64::from(seq ^ position)],
        priority: 0,
        sample: true,
    }
}
