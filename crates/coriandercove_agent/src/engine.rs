//! Feeds jobs to the engine in batches.

mod order;
mod pace;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::ids::format_request_id;
use coriandercove_base::telemetry::Metrics;
use coriandercove_base::{Attempt, Position, RequestId};
use coriandercove_target::{
    Engine, EngineError, EngineInfo, ForwardItem, ForwardReply, ForwardRequest, ForwardResult,
};
use prometheus_client::metrics::counter::Counter;

use crate::stage::{Job, JobOutcome};
use order::Order;
use pace::Pace;

/// Limits of the calls to the engine.
#[derive(Debug, Clone, Copy)]
pub struct BatchLimits {
    /// Calls in flight. While all are in flight, further items wait and share the next call.
    pub calls: usize,
    /// Items of one call.
    pub items: usize,
    /// Time after which a call counts as failed.
    pub timeout: Duration,
}

/// Receives the outcome of each job.
pub type OnOutcome = dyn Fn(RequestId, Attempt, Position, JobOutcome);

/// Feeds jobs to the engine in batches.
pub struct EngineDriver {
    engine: Rc<dyn Engine>,
    limits: BatchLimits,
    on_outcome: Rc<OnOutcome>,
    queue: RefCell<VecDeque<Job>>,
    in_flight: Cell<usize>,
    order: RefCell<Order>,
    pace: Cell<Pace>,
    items: Counter,
    calls: Counter,
    failures: Counter,
}

impl EngineDriver {
    /// A driver that reports to `on_outcome`.
    #[must_use]
    pub fn new(
        engine: Rc<dyn Engine>,
        limits: BatchLimits,
        metrics: &Metrics,
        on_outcome: Rc<OnOutcome>,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine,
            limits,
            on_outcome,
            queue: RefCell::default(),
            in_flight: Cell::new(0),
            order: RefCell::default(),
            pace: Cell::default(),
            items: metrics.counter("engine_items", "Items given to the engine"),
            calls: metrics.counter("engine_calls", "Forward calls to the engine"),
            failures: metrics.counter("engine_failures", "Forward calls that failed as a whole"),
        })
    }

    /// Queues a job; it runs with the next call.
    pub fn push(self: &Rc<Self>, job: Job) {
        self.queue.borrow_mut().push_back(job);
        self.pump();
    }

    /// Drops waiting jobs of a request and frees the engine's state for it, after the calls that
    /// carry jobs of it and before jobs that are queued later.
    pub fn free(self: &Rc<Self>, req: RequestId) {
        self.queue.borrow_mut().retain(|job| job.req != req);
        if self.order.borrow_mut().free(req) {
            self.cancel(req);
        }
    }

    fn cancel(self: &Rc<Self>, req: RequestId) {
        let cancel = self.engine.cancel(format_request_id(req));
        let driver = Rc::clone(self);
        actix_rt::spawn(async move {
            // An engine that does not answer evicts the sequence by itself when it needs memory.
            let _ = tokio::time::timeout(driver.limits.timeout, cancel).await;
            let again = driver.order.borrow_mut().freed(req);
            if again {
                driver.cancel(req);
            } else {
                driver.pump();
            }
        });
    }

    /// What the engine holds; `None` if it does not answer.
    pub async fn info(&self) -> Option<EngineInfo> {
        self.engine.info().await.ok()
    }

    /// Jobs that wait for a call.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Starts calls while there are jobs and free calls.
    fn pump(self: &Rc<Self>) {
        while self.in_flight.get() < self.limits.calls {
            let jobs = self.take_batch();
            if jobs.is_empty() {
                return;
            }
            self.in_flight.set(self.in_flight.get() + 1);
            let driver = Rc::clone(self);
            actix_rt::spawn(async move {
                driver.call(&jobs).await;
                for job in &jobs {
                    let free = driver.order.borrow_mut().ended(job.req);
                    if free {
                        driver.cancel(job.req);
                    }
                }
                driver.in_flight.set(driver.in_flight.get() - 1);
                driver.pump();
            });
        }
    }

    fn take_batch(&self) -> Vec<Job> {
        let mut queue = self.queue.borrow_mut();
        let mut order = self.order.borrow_mut();
        let mut batch = Vec::new();
        let mut held_back = VecDeque::new();
        while batch.len() < self.limits.items
            && let Some(job) = queue.pop_front()
        {
            if order.is_freeing(job.req) {
                held_back.push_back(job);
            } else {
                order.started(job.req);
                batch.push(job);
            }
        }
        held_back.append(&mut queue);
        *queue = held_back;
        batch
    }

    /// Fails the jobs that wait for an engine that hangs, so that their streams move at once.
    fn fail_waiting(&self) {
        let waiting = std::mem::take(&mut *self.queue.borrow_mut());
        for job in waiting {
            (self.on_outcome)(job.req, job.attempt, job.position, JobOutcome::Failed);
        }
    }

    async fn call(&self, jobs: &[Job]) {
        self.calls.inc();
        self.items.inc_by(jobs.len() as u64);
        let req = ForwardRequest {
            items: jobs.iter().map(item).collect(),
        };
        let inputs = jobs.iter().map(|job| job.inputs.len()).sum();
        let patience = self.pace.get().patience(inputs, self.limits.timeout);
        let start = tokio::time::Instant::now();
        let call = tokio::time::timeout(patience, self.engine.forward(req));
        let outcomes = if let Ok(reply) = call.await {
            let pace = self.pace.get().after(start.elapsed(), inputs);
            self.pace.set(pace);
            outcomes(jobs, reply)
        } else {
            self.fail_waiting();
            None
        };
        if outcomes.is_none() {
            self.failures.inc();
        }
        let outcomes = outcomes.unwrap_or_else(|| vec![JobOutcome::Failed; jobs.len()]);
        for (job, outcome) in jobs.iter().zip(outcomes) {
            (self.on_outcome)(job.req, job.attempt, job.position, outcome);
        }
    }
}

fn item(job: &Job) -> ForwardItem {
    ForwardItem {
        seq: format_request_id(job.req),
        epoch: job.attempt,
        position: job.position,
        first_layer: job.first_layer,
        inputs: job.inputs.clone(),
        priority: job.priority,
        sample: job.sample,
    }
}

/// Outcome of each job, or `None` if the answer does not match the request.
fn outcomes(jobs: &[Job], reply: Result<ForwardReply, EngineError>) -> Option<Vec<JobOutcome>> {
    let reply = reply.ok().filter(|reply| reply.items.len() == jobs.len())?;
    jobs.iter()
        .zip(reply.items)
        .map(|(job, result)| outcome(job, result))
        .collect()
}

fn outcome(job: &Job, result: ForwardResult) -> Option<JobOutcome> {
    if result.seq != format_request_id(job.req) || result.position != job.position {
        return None;
    }
    Some(match result.error {
        Some(error) => JobOutcome::Refused(error),
        None => JobOutcome::Done {
            outputs: result.outputs,
            token: result.token,
        },
    })
}
