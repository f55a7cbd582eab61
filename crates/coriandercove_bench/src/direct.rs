//! The same load given to the engines directly over HTTP: the baseline of the added time.
//!
//! The driver knows the engines, needs no admission and takes chains in turn. Its figures are what
//! the engines and the HTTP client cost by themselves.

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

use crate::load::interval;
use crate::load::record::{End, Finished, Record, Window};
use crate::profile::{LAYERS, Shape};

const THREADS: usize = 2;

/// First layer and address of the engines.
pub type Engines = Vec<(u16, String)>;

/// Engines of a deployment.
pub fn engines(deployment: &Deployment) -> Engines {
    let configured = deployment.plan().engines.iter();
    let running = deployment.agents.iter().filter_map(|a| match &a.standin {
        Standin::Engine(engine) => Some(engine.url()),
        Standin::Service(_) => None,
    });
    configured.map(|e| e.first_layer).zip(running).collect()
}

/// An open-loop load on the engines.
#[derive(Debug, Clone)]
pub struct DirectLoad {
    /// The engines.
    pub engines: Engines,
    /// Lengths of prompts and answers.
    pub shape: Shape,
    /// Requests for each second.
    pub rate: f64,
    /// Time in which figures are counted.
    pub window: Window,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
}

impl DirectLoad {
    /// Runs the load to its end.
    ///
    /// # Errors
    /// If the system gives no thread.
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

struct Driver {
    /// Engines of each layer range, by first layer.
    ranges: Vec<(u16, Vec<HttpEngine>)>,
    epoch: Instant,
    sent: Cell<usize>,
    record: RefCell<Record>,
}

async fn run_thread(load: DirectLoad, n: usize, mut rng: Rng, epoch: Instant) -> Record {
    let driver = Rc::new(Driver {
        ranges: ranges(&load.engines),
        epoch,
        sent: Cell::new(n),
        record: RefCell::new(Record::new(load.window, 1)),
    });
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += interval(load.rate / THREADS as f64, &mut rng);
        if at >= load.window.to {
            break;
        }
        tokio::time::sleep_until((epoch + at).into()).await;
        let (prompt, output) = load.shape.draw(&mut rng);
        let prompt = (0..prompt).map(|_| rng.random_range(1..32_000)).collect();
        let (driver, seq) = (Rc::clone(&driver), rng.random::<u128>());
        tasks.push(actix_rt::spawn(async move {
            driver.answer(prompt, output, seq).await;
        }));
    }
    for task in tasks {
        // A panic was printed by its task; the request then misses from the record.
        let _ = task.await;
    }
    driver.record.borrow().clone()
}

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
    async fn answer(&self, prompt: Vec<Token>, output: u32, seq: u128) {
        let n = self.sent.get();
        self.sent.set(n + THREADS);
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
        let right = generate(&prompt, LAYERS, output as usize) == answer;
        self.record.borrow_mut().add(&Finished {
            account: 0,
            sent,
            ended: self.epoch.elapsed(),
            tokens,
            end: if right { End::Whole } else { End::Wrong },
        });
        for (_, engines) in &self.ranges {
            // The engine frees what it does not hear of when it needs memory.
            let _ = engines[n % engines.len()].cancel(seq.clone()).await;
        }
    }

    /// Runs inputs through all ranges of the chain `n`.
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
