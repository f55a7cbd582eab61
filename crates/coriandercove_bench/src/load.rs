//! The load generator: streamed completions over many connections, compared with the oracle.

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

use crate::profile::Shape;
use caller::{Caller, Job};
use record::{Record, Window};

/// Threads of one load. Two keep up with some thousand tokens/s.
const THREADS: usize = 2;
/// Time after the window in which the last answers may end. Streams beyond it count as
/// unfinished.
const TAIL: Duration = Duration::from_secs(20);

/// Where a load goes.
#[derive(Debug, Clone)]
pub struct Aim {
    /// Addresses of the entries.
    pub urls: Vec<String>,
    /// Keys of the accounts; requests take them in turn.
    pub keys: Vec<String>,
}

impl Aim {
    /// All entries, with the deployment's own account.
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

/// When requests are sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrivals {
    /// Poisson arrivals at this rate for each second, whatever the answers do.
    Open(f64),
    /// This many callers, each of which sends the next request after the end of the last.
    Closed(usize),
}

/// One load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Where it goes.
    pub aim: Aim,
    /// Lengths of prompts and answers.
    pub shape: Shape,
    /// When requests are sent.
    pub arrivals: Arrivals,
    /// Time in which figures are counted; requests are sent from 0 to its end.
    pub window: Window,
    /// Seed of arrivals, lengths and prompts.
    pub seed: u64,
}

/// A running load.
pub struct Running {
    /// Start of the load; the times of the record count from here.
    pub epoch: Instant,
    threads: Vec<JoinHandle<Record>>,
}

impl Running {
    /// Waits until the time `at` of the load.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.epoch.elapsed()));
    }

    /// Waits for the end and returns what was observed.
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
    /// If the system gives no thread.
    pub fn start(&self) -> std::io::Result<Running> {
        let epoch = Instant::now();
        let mut rng = seeded(self.seed);
        let threads = (0..THREADS).map(|n| {
            let (load, rng) = (self.clone(), fork(&mut rng));
            std::thread::Builder::new()
                .name(format!("load-{n}"))
                .spawn(move || actix_rt::System::new().block_on(run_thread(load, n, rng, epoch)))
        });
        Ok(Running {
            epoch,
            threads: threads.collect::<Result<_, _>>()?,
        })
    }

    /// Runs the load to its end.
    ///
    /// # Errors
    /// If the system gives no thread.
    pub fn run(&self) -> std::io::Result<Record> {
        self.start().map(Running::join)
    }
}

/// What the tasks of a load thread share.
struct Shared {
    load: Load,
    caller: Caller,
    rng: RefCell<Rng>,
    record: RefCell<Record>,
    /// Requests sent so far, for the choice of entry and account in turn.
    sent: std::cell::Cell<usize>,
}

impl Shared {
    fn next_job(&self) -> Job {
        let n = self.sent.get();
        self.sent.set(n + 1);
        let rng = &mut *self.rng.borrow_mut();
        let (prompt, output) = self.load.shape.draw(rng);
        let aim = &self.load.aim;
        Job {
            account: (n / aim.urls.len()) % aim.keys.len(),
            entry: n % aim.urls.len(),
            prompt: (0..prompt).map(|_| rng.random_range(1..32_000)).collect(),
            output,
        }
    }

    /// Sends one request; returns how long the caller should wait before the next one.
    async fn send(&self) -> Duration {
        let job = self.next_job();
        let aim = &self.load.aim;
        let (url, key) = (&aim.urls[job.entry], &aim.keys[job.account]);
        let finished = self.caller.complete(url, key, job).await;
        let pause = match &finished.end {
            record::End::Refused(r) | record::End::Broken(r) => r.retry_after_ms.unwrap_or(100),
            record::End::Lost => 100,
            _ => 0,
        };
        self.record.borrow_mut().add(&finished);
        Duration::from_millis(pause)
    }
}

async fn run_thread(load: Load, n: usize, rng: Rng, epoch: Instant) -> Record {
    let end = load.window.to;
    let shared = Rc::new(Shared {
        caller: Caller::new(epoch),
        rng: RefCell::new(rng),
        record: RefCell::new(Record::new(load.window, load.aim.keys.len())),
        // The threads start at different entries.
        sent: std::cell::Cell::new(n),
        load,
    });
    let tasks = match shared.load.arrivals {
        Arrivals::Open(rate) => open(&shared, rate / THREADS as f64, epoch).await,
        Arrivals::Closed(callers) => closed(&shared, callers.div_ceil(THREADS), epoch),
    };
    let deadline = tokio::time::Instant::from_std(epoch + end + TAIL);
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

/// Sends requests at exponential intervals until the window ends. Late wake-ups do not lower the
/// rate, since the intervals are added up from the start.
async fn open(shared: &Rc<Shared>, rate: f64, epoch: Instant) -> Vec<Task> {
    let mut tasks = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += interval(rate, &mut shared.rng.borrow_mut());
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

/// An exponentially distributed interval.
pub fn interval(rate: f64, rng: &mut Rng) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn closed(shared: &Rc<Shared>, callers: usize, epoch: Instant) -> Vec<Task> {
    let run = |i: usize| {
        let shared = Rc::clone(shared);
        actix_rt::spawn(async move {
            // The callers do not start all at once, which no real load does.
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
