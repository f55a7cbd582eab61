//! The load generator: sends streamed completions over many connections and compares the answers
//! with the oracle.

mod caller;
pub mod record;
mod sse;

use std::cell::RefCell;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use coriandercove_base::rng::{Rng, fork, seeded};
use coriandercove_local::Deployment;
use rand::Rng as _;

use crate::profile::RequestLengths;
use caller::{Caller, Job};
use record::{Record, Window};

/// Number of threads of one load. Two can receive some thousand tokens/s.
const THREADS: usize = 2;
/// Time for the last answers to end after the window. Streams that take longer count as unfinished.
const TIME_TO_FINISH: Duration = Duration::from_secs(20);

/// Entries and API keys that a load uses.
#[derive(Debug, Clone)]
pub struct Endpoints {
    /// Base URLs of the entries; requests use them in turn.
    pub urls: Vec<String>,
    /// API keys, one for each account; requests use them in turn.
    pub keys: Vec<String>,
}

impl Endpoints {
    /// Returns all entries of a deployment, with the key of its own account.
    pub fn of(deployment: &Deployment) -> Self {
        let entries = deployment.entries.iter();
        Self {
            urls: entries
                .map(|e| format!("http://{}", e.caller_addr))
                .collect(),
            keys: vec![deployment.caller_key().to_owned()],
        }
    }
}

/// Process by which requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrivals {
    /// Open loop: Poisson arrivals of this many requests per second, independent of the answers.
    Open(f64),
    /// Closed loop: this many callers, each of which sends its next request once the last has
    /// ended.
    Closed(usize),
}

/// A load on the entries of a deployment.
#[derive(Debug, Clone)]
pub struct Load {
    /// Entries and keys that it uses.
    pub endpoints: Endpoints,
    /// Ranges of the lengths of prompts and answers.
    pub lengths: RequestLengths,
    /// Process by which requests arrive.
    pub arrivals: Arrivals,
    /// Part of the load that the figures count. Requests are sent from the start of the load to the
    /// end of the window.
    pub window: Window,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
}

/// A load that is running on threads of its own.
pub struct RunningLoad {
    /// Start of the load. All times of its record count from here.
    pub epoch: Instant,
    threads: Vec<JoinHandle<Record>>,
}

impl RunningLoad {
    /// Blocks until the time `at`, counted from the start of the load.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.epoch.elapsed()));
    }

    /// Blocks until the load has ended and returns its record.
    pub fn join(self) -> Record {
        let mut records = self.threads.into_iter().map(|t| match t.join() {
            Ok(record) => record,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        let first = records.next();
        let mut all = first.unwrap_or_else(|| unreachable!("a load has threads"));
        records.for_each(|r| all.merge(r));
        all
    }
}

impl Load {
    /// Starts the load on threads of its own.
    ///
    /// # Errors
    /// The I/O error if a thread cannot be created.
    pub fn start(&self) -> std::io::Result<RunningLoad> {
        let epoch = Instant::now();
        let mut rng = seeded(self.seed);
        let threads = (0..THREADS).map(|n| {
            let (load, rng) = (self.clone(), fork(&mut rng));
            std::thread::Builder::new()
                .name(format!("load-{n}"))
                .spawn(move || actix_rt::System::new().block_on(run_thread(load, n, rng, epoch)))
        });
        Ok(RunningLoad {
            epoch,
            threads: threads.collect::<Result<_, _>>()?,
        })
    }

    /// Runs the load to its end.
    ///
    /// # Errors
    /// The I/O error if a thread cannot be created.
    pub fn run(&self) -> std::io::Result<Record> {
        self.start().map(RunningLoad::join)
    }
}

/// State that the tasks of one load thread share.
struct LoadThread {
    load: Load,
    caller: Caller,
    rng: RefCell<Rng>,
    record: RefCell<Record>,
    /// Number of requests sent so far, which selects entry and account in turn.
    sent: std::cell::Cell<usize>,
}

impl LoadThread {
    /// Chooses entry, account, lengths and prompt of the next request.
    fn next_job(&self) -> Job {
        let n = self.sent.get();
        self.sent.set(n + 1);
        let rng = &mut *self.rng.borrow_mut();
        let (prompt, output) = self.load.lengths.draw(rng);
        let endpoints = &self.load.endpoints;
        Job {
            account: (n / endpoints.urls.len()) % endpoints.keys.len(),
            entry: n % endpoints.urls.len(),
            prompt: (0..prompt).map(|_| rng.random_range(1..32_000)).collect(),
            output,
        }
    }

    /// Sends one request and records it; returns the time that a caller of a closed loop waits
    /// before its next one.
    async fn send(&self) -> Duration {
        let job = self.next_job();
        let endpoints = &self.load.endpoints;
        let (url, key) = (&endpoints.urls[job.entry], &endpoints.keys[job.account]);
        let finished = self.caller.complete(url, key, job).await;
        let pause = match &finished.end {
            record::RequestEnd::Refused(r) | record::RequestEnd::Broken(r) => {
                r.retry_after_ms.unwrap_or(100)
            }
            record::RequestEnd::Lost => 100,
            _ => 0,
        };
        self.record.borrow_mut().add(&finished);
        Duration::from_millis(pause)
    }
}

async fn run_thread(load: Load, n: usize, rng: Rng, epoch: Instant) -> Record {
    let end = load.window.to;
    let shared = Rc::new(LoadThread {
        caller: Caller::new(epoch),
        rng: RefCell::new(rng),
        record: RefCell::new(Record::new(load.window, load.endpoints.keys.len())),
        // The threads begin with different entries.
        sent: std::cell::Cell::new(n),
        load,
    });
    let tasks = match shared.load.arrivals {
        Arrivals::Open(rate) => spawn_open_loop(&shared, rate / THREADS as f64, epoch).await,
        Arrivals::Closed(callers) => spawn_closed_loop(&shared, callers.div_ceil(THREADS), epoch),
    };
    let deadline = tokio::time::Instant::from_std(epoch + end + TIME_TO_FINISH);
    let mut unfinished = 0;
    for mut task in tasks {
        if tokio::time::timeout_at(deadline, &mut task).await.is_err() {
            task.abort();
            unfinished += 1;
        }
    }
    let mut record = shared.record.borrow().clone();
    if unfinished > 0 {
        record.ends.insert("unfinished", unfinished);
    }
    record
}

type Task = actix_rt::task::JoinHandle<()>;

/// Spawns a task for each request, at exponential intervals until the window ends. Late wake-ups do
/// not lower the rate, because the intervals are added up from the start of the load.
async fn spawn_open_loop(shared: &Rc<LoadThread>, rate: f64, epoch: Instant) -> Vec<Task> {
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += arrival_interval(rate, &mut shared.rng.borrow_mut());
        if at >= shared.load.window.to {
            return tasks;
        }
        tokio::time::sleep_until((epoch + at).into()).await;
        let shared = Rc::clone(shared);
        tasks.push(actix_rt::spawn(async move {
            shared.send().await;
        }));
    }
}

/// Draws an exponentially distributed interval between arrivals of `rate` per second.
pub fn arrival_interval(rate: f64, rng: &mut Rng) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

/// Spawns a task for each caller, which sends requests until the window ends.
fn spawn_closed_loop(shared: &Rc<LoadThread>, callers: usize, epoch: Instant) -> Vec<Task> {
    let run = |i: usize| {
        let shared = Rc::clone(shared);
        actix_rt::spawn(async move {
            // The starts of the callers are spread over a second, as in a real load.
            actix_rt::time::sleep(Duration::from_millis(i as u64 * 5 % 1000)).await;
            while epoch.elapsed() < shared.load.window.to {
                let pause = shared.send().await;
                actix_rt::time::sleep(pause).await;
            }
        })
    };
    (0..callers).map(run).collect()
}

#[cfg(test)]
mod tests;
