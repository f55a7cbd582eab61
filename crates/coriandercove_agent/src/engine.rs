//! Sends jobs to the engine in batches and reports their outcomes.

mod call_tracker;
mod latency_estimate;

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
use call_tracker::CallTracker;
use latency_estimate::LatencyEstimate;

/// Limits of the calls to the engine.
#[derive(Debug, Clone, Copy)]
pub struct BatchLimits {
    /// Maximum number of calls in flight. Once it is reached, further items wait and share the next
    /// call.
    pub calls: usize,
    /// Maximum number of items in one call.
    pub items: usize,
    /// Time after which a call counts as failed. Calls fail earlier once the driver has an estimate
    /// of their duration.
    pub timeout: Duration,
}

/// Callback that receives the outcome of each job.
pub type OnOutcome = dyn Fn(RequestId, Attempt, Position, JobOutcome);

/// Queues jobs and sends them to the engine in batches.
pub struct EngineDriver {
    engine: Rc<dyn Engine>,
    limits: BatchLimits,
    on_outcome: Rc<OnOutcome>,
    queue: RefCell<VecDeque<Job>>,
    in_flight: Cell<usize>,
    tracker: RefCell<CallTracker>,
    latency: Cell<LatencyEstimate>,
    items: Counter,
    calls: Counter,
    failures: Counter,
}

impl EngineDriver {
    /// Creates a driver without jobs that passes each outcome to `on_outcome`.
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
            tracker: RefCell::default(),
            latency: Cell::default(),
            items: metrics.counter("engine_items", "Items given to the engine"),
            calls: metrics.counter("engine_calls", "Forward calls to the engine"),
            failures: metrics.counter("engine_failures", "Forward calls that failed as a whole"),
        })
    }

    /// Queues a job for the next call, which starts at once if fewer than `BatchLimits::calls` are
    /// in flight.
    pub fn push(self: &Rc<Self>, job: Job) {
        self.queue.borrow_mut().push_back(job);
        self.pump();
    }

    /// Drops the queued jobs of a request and cancels its sequence at the engine. The cancellation
    /// is sent after the calls in flight that contain jobs of the request have ended; jobs that are
    /// queued later run after it.
    pub fn free(self: &Rc<Self>, req: RequestId) {
        self.queue.borrow_mut().retain(|job| job.req != req);
        if self.tracker.borrow_mut().request_cancel(req) {
            self.cancel(req);
        }
    }

    /// Sends a cancellation to the engine, and a further one if it was requested meanwhile.
    fn cancel(self: &Rc<Self>, req: RequestId) {
        let cancel = self.engine.cancel(format_request_id(req));
        let driver = Rc::clone(self);
        actix_rt::spawn(async move {
            // A failure is ignored: an engine that does not answer evicts the sequence by itself
            // when it needs memory.
            let _ = tokio::time::timeout(driver.limits.timeout, cancel).await;
            let again = driver.tracker.borrow_mut().on_cancel_ended(req);
            if again {
                driver.cancel(req);
            } else {
                driver.pump();
            }
        });
    }

    /// Queries the engine's model, layers and limits; `None` if it does not answer.
    pub async fn info(&self) -> Option<EngineInfo> {
        self.engine.info().await.ok()
    }

    /// Number of jobs that wait for a call.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Starts calls while jobs are queued and the limit of calls in flight allows.
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
                    let cancel_now = driver.tracker.borrow_mut().on_call_ended(job.req);
                    if cancel_now {
                        driver.cancel(job.req);
                    }
                }
                driver.in_flight.set(driver.in_flight.get() - 1);
                driver.pump();
            });
        }
    }

    /// Takes the next batch from the queue. Jobs of requests with a pending cancellation stay
    /// queued.
    fn take_batch(&self) -> Vec<Job> {
        let mut queue = self.queue.borrow_mut();
        let mut tracker = self.tracker.borrow_mut();
        let mut batch = Vec::new();
        let mut held_back = VecDeque::new();
        while batch.len() < self.limits.items
            && let Some(job) = queue.pop_front()
        {
            if tracker.is_cancel_pending(job.req) {
                held_back.push_back(job);
            } else {
                tracker.on_call_started(job.req);
                batch.push(job);
            }
        }
        held_back.append(&mut queue);
        *queue = held_back;
        batch
    }

    /// Fails all queued jobs after a call has timed out, so that their streams move to another
    /// target at once.
    fn fail_queued(&self) {
        let queued = std::mem::take(&mut *self.queue.borrow_mut());
        for job in queued {
            (self.on_outcome)(job.req, job.attempt, job.position, JobOutcome::Failed);
        }
    }

    /// Sends one batch to the engine and reports the outcome of each of its jobs.
    async fn call(&self, jobs: &[Job]) {
        self.calls.inc();
        self.items.inc_by(jobs.len() as u64);
        let req = ForwardRequest {
            items: jobs.iter().map(item).collect(),
        };
        let inputs = jobs.iter().map(|job| job.inputs.len()).sum();
        let timeout = self.latency.get().timeout(inputs, self.limits.timeout);
        let start = tokio::time::Instant::now();
        let call = tokio::time::timeout(timeout, self.engine.forward(req));
        let outcomes = if let Ok(reply) = call.await {
            let latency = self.latency.get().with_sample(start.elapsed(), inputs);
            self.latency.set(latency);
            outcomes(jobs, reply)
        } else {
            self.fail_queued();
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

/// Returns the outcome of each job, or `None` if the call failed or its reply does not match the
/// jobs.
fn outcomes(jobs: &[Job], reply: Result<ForwardReply, EngineError>) -> Option<Vec<JobOutcome>> {
    let reply = reply.ok().filter(|reply| reply.items.len() == jobs.len())?;
    jobs.iter()
        .zip(reply.items)
        .map(|(job, result)| outcome(job, result))
        .collect()
}

/// Returns the outcome of one job, or `None` if the result belongs to another sequence or position.
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
