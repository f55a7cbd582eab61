//! Sends the same load to the engines directly over HTTP, as the baseline for the time that the
//! router adds.
//!
//! The driver has a fixed list of engines, uses no admission and assigns chains in turn. Its
//! figures are the time that the engines and the HTTP client need by themselves.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use coriandercove_base::Token;
use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_base::rng::{Rng, fork, seeded};
use coriandercove_local::{Deployment, Standin};
use coriandercove_target::oracle::generate;
use coriandercove_target::{Engine, EngineError, ForwardItem, ForwardRequest, HttpEngine};
use rand::Rng as _;

use crate::load::arrival_interval;
use crate::load::record::{FinishedRequest, Record, RequestEnd, Window};
use crate::profile::{LAYERS, RequestLengths};

/// Number of threads that send requests.
const THREADS: usize = 2;

/// First layer and URL of each engine.
pub type Engines = Vec<(u16, String)>;

/// Returns the engines of a deployment from which none has been removed.
pub fn engines(deployment: &Deployment) -> Engines {
    let configured = deployment.plan().engines.iter();
    let running = deployment.agents.iter().filter_map(|a| match &a.standin {
        Standin::Engine(engine) => Some(engine.url()),
        Standin::Service(_) => None,
    });
    configured.map(|e| e.first_layer).zip(running).collect()
}

/// An open-loop load on the engines, with Poisson arrivals.
#[derive(Debug, Clone)]
pub struct DirectLoad {
    /// Engines that the load is sent to.
    pub engines: Engines,
    /// Ranges of the lengths of prompts and answers.
    pub lengths: RequestLengths,
    /// Requests per second.
    pub rate: f64,
    /// Part of the load that the figures count.
    pub window: Window,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
}

impl DirectLoad {
    /// Runs the load to its end.
    ///
    /// # Errors
    /// The I/O error if a thread cannot be created.
    pub fn run(&self) -> std::io::Result<Record> {
        let epoch = Instant::now();
        let mut rng = seeded(self.seed);
        let threads = (0..THREADS).map(|n| {
            let (load, rng) = (self.clone(), fork(&mut rng));
            std::thread::Builder::new()
                .name(format!("direct-{n}"))
                .spawn(move || actix_rt::System::new().block_on(run_thread(load, n, rng, epoch)))
        });
        let threads: Vec<JoinHandle<Record>> = threads.collect::<Result<_, _>>()?;
        let mut all = Record::new(self.window, 1);
        for thread in threads {
            match thread.join() {
                Ok(record) => all.merge(record),
                Err(panic) => std::panic::resume_unwind(panic),
            }
        }
        Ok(all)
    }
}

/// State that the tasks of one load thread share.
struct Driver {
    /// Engines of each layer range, by first layer.
    ranges: Vec<(u16, Vec<HttpEngine>)>,
    /// Start of the load.
    epoch: Instant,
    /// Number of the next request, which selects its chain. The threads take numbers in turn.
    next_request: Cell<usize>,
    record: RefCell<Record>,
}

async fn run_thread(load: DirectLoad, n: usize, mut rng: Rng, epoch: Instant) -> Record {
    let driver = Rc::new(Driver {
        ranges: ranges(&load.engines),
        epoch,
        next_request: Cell::new(n),
        record: RefCell::new(Record::new(load.window, 1)),
    });
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += arrival_interval(load.rate / THREADS as f64, &mut rng);
        if at >= load.window.to {
            break;
        }
        tokio::time::sleep_until((epoch + at).into()).await;
        let (prompt, output) = load.lengths.draw(&mut rng);
        let prompt = (0..prompt).map(|_| rng.random_range(1..32_000)).collect();
        let (driver, seq) = (Rc::clone(&driver), rng.random::<u128>());
        tasks.push(actix_rt::spawn(async move {
            driver.run_request(prompt, output, seq).await;
        }));
    }
    for task in tasks {
        // The panic of a task has already been printed by it; its request is missing in the record.
        let _ = task.await;
    }
    driver.record.borrow().clone()
}

/// Groups the engines by layer range.
fn ranges(engines: &Engines) -> Vec<(u16, Vec<HttpEngine>)> {
    let client = HttpClient::new(HttpLimits {
        connections: 4096,
        ..HttpLimits::default()
    });
    let mut ranges: Vec<(u16, Vec<HttpEngine>)> = Vec::new();
    for (first, url) in engines {
        let engine = HttpEngine::new(client.clone(), url);
        match ranges.iter_mut().find(|(l, _)| l == first) {
            Some((_, engines)) => engines.push(engine),
            None => ranges.push((*first, vec![engine])),
        }
    }
    ranges.sort_by_key(|(first, _)| *first);
    ranges
}

impl Driver {
    /// Generates one answer, compares it with the oracle and records it.
    async fn run_request(&self, prompt: Vec<Token>, output: u32, seq: u128) {
        let n = self.next_request.get();
        self.next_request.set(n + THREADS);
        let sent = self.epoch.elapsed();
        let mut tokens = Vec::new();
        let mut answer = Vec::new();
        let seq = format!("{seq:032x}");
        let mut inputs: Vec<u64> = prompt.iter().map(|t| u64::from(*t)).collect();
        let mut position = 0;
        while answer.len() < output as usize {
            let len = inputs.len() as u32;
            let Ok(Some(token)) = self.step(n, &seq, position, inputs).await else {
                break;
            };
            position += len;
            tokens.push(self.epoch.elapsed());
            answer.push(token);
            inputs = vec![u64::from(token)];
        }
        let is_right = generate(&prompt, LAYERS, output as usize) == answer;
        self.record.borrow_mut().add(&FinishedRequest {
            account: 0,
            sent,
            ended: self.epoch.elapsed(),
            tokens,
            end: if is_right {
                RequestEnd::Whole
            } else {
                RequestEnd::Wrong
            },
        });
        for (_, engines) in &self.ranges {
            // A failure is ignored: an engine evicts idle sequences when it needs memory.
            let _ = engines[n % engines.len()].cancel(seq.clone()).await;
        }
    }

    /// Runs inputs through all layer ranges, on the engines of the chain `n`; returns the sampled
    /// token.
    async fn step(
        &self,
        n: usize,
        seq: &str,
        position: u32,
        mut inputs: Vec<u64>,
    ) -> Result<Option<Token>, EngineError> {
        let mut token = None;
        for (i, (first_layer, engines)) in self.ranges.iter().enumerate() {
            let item = ForwardItem {
                seq: seq.to_owned(),
                epoch: 1,
                position,
                first_layer: *first_layer,
                inputs,
                priority: 4,
                sample: i + 1 == self.ranges.len(),
            };
            let call = ForwardRequest { items: vec![item] };
            let mut reply = engines[n % engines.len()].forward(call).await?;
            let result = reply.items.swap_remove(0);
            inputs = result.outputs;
            token = result.token;
        }
        Ok(token)
    }
}
