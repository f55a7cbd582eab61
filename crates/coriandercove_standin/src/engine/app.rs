//! HTTP interface of the engine stand-in and the loop that runs its iterations in real time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coriandercove_base::time::{Clock, MonotonicClock};
use coriandercove_base::{Fence, Time};
use coriandercove_target::{
    EngineInfo, EngineLoad, ForwardReply, ForwardRequest, ForwardResult, Order, OrderRequest,
};
use futures_util::future::LocalBoxFuture;
use tokio::sync::{Notify, oneshot};

use super::batcher::{Batcher, Tag, TaggedResult};
use super::kv::KvState;
use super::schedule::Schedule;
use super::settings::EngineSettings;
use super::{EngineFaults, InvalidReply, OrderRecord, Records};
use crate::faults::Faults;
use crate::server::{App, Reply, Req};

/// Shortest time between two samples of the load.
const MIN_SAMPLE_PERIOD: Duration = Duration::from_millis(10);
/// Largest number of items that wait for an iteration; calls above it are refused.
const MAX_QUEUED_ITEMS: usize = 65_536;
/// Size of the body for [`InvalidReply::Huge`], in bytes.
const HUGE_BODY_BYTES: usize = 32 << 20;

/// A forward call with items that have no result yet.
struct PendingCall {
    /// Results in the order of the items.
    results: Vec<Option<ForwardResult>>,
    /// Number of items without a result.
    remaining: usize,
    /// Receives the results when all of them are there.
    done: Option<oneshot::Sender<Vec<ForwardResult>>>,
}

/// State of one engine; used only on its thread.
pub(super) struct EngineApp {
    settings: EngineSettings,
    batcher: RefCell<Batcher>,
    /// Forward calls in flight by their number, which is in [`Tag::call`].
    pending_calls: RefCell<HashMap<u64, PendingCall>>,
    /// Number of the next forward call.
    next_call: Cell<u64>,
    /// Notified when items are queued.
    work_queued: Notify,
    clock: MonotonicClock,
    /// Instant at which `clock` started.
    clock_start: tokio::time::Instant,
    /// The two latest samples of the load, the older one first.
    samples: RefCell<[EngineLoad; 2]>,
    /// Whether the weights are in memory.
    loaded: Cell<bool>,
    /// Raised by each load and unload, so that a load that was replaced does not mark the engine as
    /// loaded when it finishes.
    load_generation: Cell<u64>,
    /// Highest fencing token of the orders so far.
    highest_fence: Cell<Fence>,
    faults: Faults<EngineFaults>,
    records: Arc<Mutex<Records>>,
}

impl EngineApp {
    pub(super) fn new(
        settings: EngineSettings,
        faults: Faults<EngineFaults>,
        records: Arc<Mutex<Records>>,
    ) -> Self {
        Self {
            batcher: RefCell::new(Batcher::new(settings.clone())),
            pending_calls: RefCell::default(),
            next_call: Cell::new(0),
            work_queued: Notify::new(),
            clock: MonotonicClock::default(),
            clock_start: tokio::time::Instant::now(),
            samples: RefCell::default(),
            loaded: Cell::new(true),
            load_generation: Cell::new(0),
            highest_fence: Cell::new(0),
            settings,
            faults,
            records,
        }
    }

    /// Starts the loop of iterations and, unless load reports are immediate, that of load samples.
    pub(super) fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(Rc::clone(self).run_iterations());
        if !self.settings.load_lag.is_zero() {
            actix_rt::spawn(Rc::clone(self).sample_load());
        }
    }

    /// Runs iterations for as long as the engine lives. A freeze delays the start of an iteration
    /// and the delivery of its results.
    async fn run_iterations(self: Rc<Self>) {
        let mut schedule = Schedule::default();
        loop {
            self.faults.wait_for(|f| !f.frozen).await;
            let (fail_share, slow) = self.faults.read(|f| (f.fail_share, f.slow_factor));
            let now = self.clock.now();
            let iteration = self.batcher.borrow_mut().run_iteration(now, fail_share);
            let Some(iteration) = iteration else {
                self.work_queued.notified().await;
                continue;
            };
            let duration = iteration.duration.mul_f64(slow.clamp(0.0, 1e6));
            self.sleep_until(schedule.plan(now, duration)).await;
            self.faults.wait_for(|f| !f.frozen).await;
            let backlog = !self.batcher.borrow().is_idle();
            schedule.record_delivery(self.clock.now(), backlog);
            self.publish_stats();
            self.deliver_results(iteration.results);
            // Lets the connection tasks read calls that arrived during the iteration, so that the
            // next iteration includes them.
            actix_rt::task::yield_now().await;
        }
    }

    async fn sleep_until(&self, at: Time) {
        if at > self.clock.now() {
            tokio::time::sleep_until(self.clock_start + at).await;
        }
    }

    async fn sample_load(self: Rc<Self>) {
        let period = (self.settings.load_lag / 2).max(MIN_SAMPLE_PERIOD);
        loop {
            actix_rt::time::sleep(period).await;
            let latest = self.current_load();
            let mut samples = self.samples.borrow_mut();
            samples.swap(0, 1);
            samples[1] = latest;
        }
    }

    fn current_load(&self) -> EngineLoad {
        EngineLoad {
            loading: !self.loaded.get(),
            ..self.batcher.borrow().load()
        }
    }

    fn publish_stats(&self) {
        let stats = *self.batcher.borrow().stats();
        self.records().stats = stats;
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores each result in its call and answers the calls that are complete.
    fn deliver_results(&self, results: Vec<TaggedResult>) {
        let mut calls = self.pending_calls.borrow_mut();
        for (tag, result) in results {
            let Some(call) = calls.get_mut(&tag.call) else {
                continue;
            };
            call.results[tag.index] = Some(result);
            call.remaining -= 1;
            if call.remaining == 0
                && let Some(call) = calls.remove(&tag.call)
                && let Some(done) = call.done
            {
                // Sending fails if the caller has disconnected, which is harmless.
                let _ = done.send(call.results.into_iter().flatten().collect());
            }
        }
    }

    async fn forward(&self, req: ForwardRequest) -> Reply {
        if !self.loaded.get() {
            return Reply::text(503, "no model is loaded");
        }
        let empty = req.items.iter().position(|item| item.inputs.is_empty());
        if let Some(i) = empty {
            return Reply::text(400, &format!("items[{i}].inputs: must not be empty"));
        }
        if req.items.is_empty() {
            return Reply::json(200, &ForwardReply { items: Vec::new() });
        }
        let queued = self.batcher.borrow().load().queued as usize;
        if queued + req.items.len() > MAX_QUEUED_ITEMS {
            return Reply::text(503, "the queue is full");
        }
        let done = self.enqueue(req);
        match done.await {
            Ok(items) => Reply::json(200, &self.apply_result_faults(ForwardReply { items })),
            Err(_) => Reply::Disconnect,
        }
    }

    fn enqueue(&self, req: ForwardRequest) -> oneshot::Receiver<Vec<ForwardResult>> {
        let (tx, rx) = oneshot::channel();
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        let pending = PendingCall {
            results: vec![None; req.items.len()],
            remaining: req.items.len(),
            done: Some(tx),
        };
        self.pending_calls.borrow_mut().insert(call, pending);
        let mut batcher = self.batcher.borrow_mut();
        for (index, item) in req.items.into_iter().enumerate() {
            batcher.enqueue(Tag { call, index }, item);
        }
        self.work_queued.notify_one();
        rx
    }

    /// Applies the faults that change the results of a forward call.
    fn apply_result_faults(&self, mut reply: ForwardReply) -> ForwardReply {
        match self.faults.read(|f| f.invalid_reply) {
            InvalidReply::MissingResult => drop(reply.items.pop()),
            InvalidReply::ReversedResults => reply.items.reverse(),
            _ => {}
        }
        reply
    }

    fn cancel(&self, seq: &str) -> Reply {
        let results = self.batcher.borrow_mut().cancel(seq);
        self.deliver_results(results);
        self.publish_stats();
        Reply::bytes(204, "")
    }

    fn export(&self, seq: &str) -> Reply {
        let batcher = self.batcher.borrow();
        match batcher.sequence(seq) {
            Some(s) => Reply::json(200, &KvState::export(batcher.info(), s)),
            None => Reply::text(404, "no such sequence"),
        }
    }

    fn import(&self, seq: &str, state: &KvState) -> Reply {
        let mut batcher = self.batcher.borrow_mut();
        match state.import(batcher.info()) {
            Err(e) => Reply::text(422, &e),
            Ok(s) => match batcher.import(seq.to_owned(), s) {
                true => Reply::bytes(204, ""),
                false => Reply::text(507, "no memory left"),
            },
        }
    }

    /// Handles an order and records it with whether it was accepted.
    fn handle_order(self: &Rc<Self>, request: OrderRequest) -> Reply {
        let result = self.check_fence(request.fence).and_then(|()| {
            self.apply_order(&request.order)?;
            Ok(Reply::bytes(202, ""))
        });
        let accepted = result.is_ok();
        self.records()
            .orders
            .push(OrderRecord { request, accepted });
        result.unwrap_or_else(|refusal| refusal)
    }

    /// Refuses a fencing token below the highest one so far, if the engine checks fencing tokens.
    fn check_fence(&self, fence: Fence) -> Result<(), Reply> {
        let highest = self.highest_fence.get();
        if self.settings.info.checks_fence && fence < highest {
            let message = format!("fence {fence} is older than {highest}");
            return Err(Reply::text(409, &message));
        }
        self.highest_fence.set(highest.max(fence));
        Ok(())
    }

    /// Carries out an order. Adapters and roles do not exist in the stand-in: orders for them are
    /// accepted without effect.
    fn apply_order(self: &Rc<Self>, order: &Order) -> Result<(), Reply> {
        match order {
            Order::LoadModel {
                model,
                version,
                first_layer,
                end_layer,
            } => {
                let known = self.settings.models.iter().find(|(m, _)| m == model);
                let (_, total) = known.ok_or_else(|| Reply::text(404, "no such model"))?;
                let info = EngineInfo {
                    model: model.clone(),
                    version: version.clone(),
                    first_layer: *first_layer,
                    end_layer: *end_layer,
                    total_layers: *total,
                    ..self.settings.info.clone()
                };
                info.check().map_err(|e| Reply::text(400, &e))?;
                self.start_load(info);
            }
            Order::Unload => {
                let info = self.batcher.borrow().info().clone();
                self.unload(info);
            }
            Order::LoadAdapter { .. } | Order::ChangeRole { .. } => {}
        }
        Ok(())
    }

    /// Starts to load the layers of `info`. The old weights are dropped at once, so the engine
    /// refuses calls until the new ones are loaded.
    fn start_load(self: &Rc<Self>, info: EngineInfo) {
        let layers = u32::from(info.end_layer - info.first_layer);
        let now = tokio::time::Instant::now();
        let ready = self.settings.weights.reserve(now.into_std(), layers);
        self.unload(info);
        let (app, generation) = (Rc::clone(self), self.load_generation.get());
        actix_rt::spawn(async move {
            tokio::time::sleep_until(ready.into()).await;
            if app.load_generation.get() == generation {
                app.loaded.set(true);
            }
        });
    }

    /// Drops the weights and all sequences. Queued items fail.
    fn unload(&self, info: EngineInfo) {
        self.loaded.set(false);
        self.load_generation.set(self.load_generation.get() + 1);
        let results = self.batcher.borrow_mut().reload(self.clock.now(), info);
        self.deliver_results(results);
    }

    /// Returns the older of the two samples, whose age is between one and two sampling periods, or
    /// the current load if `load_lag` is zero.
    fn load_report(&self) -> EngineLoad {
        if self.settings.load_lag.is_zero() {
            self.current_load()
        } else {
            self.samples.borrow()[0].clone()
        }
    }

    fn info(&self) -> Reply {
        if self.loaded.get() {
            Reply::json(200, self.batcher.borrow().info())
        } else {
            Reply::text(503, "no model is loaded")
        }
    }

    fn cache_events(&self, req: &Req) -> Reply {
        let after = match req.param("after").unwrap_or("0").parse() {
            Ok(after) => after,
            Err(_) => return Reply::text(400, "after: must be a number"),
        };
        let batcher = self.batcher.borrow();
        Reply::json(200, &batcher.cache().events(self.clock.now(), after))
    }

    async fn route(self: &Rc<Self>, req: &Req) -> Result<Reply, Reply> {
        let path: Vec<&str> = req.path.split('/').skip(1).collect();
        Ok(match (req.method.as_str(), path.as_slice()) {
            ("POST", ["v1", "forward"]) => self.forward(req.json()?).await,
            ("POST", ["v1", "sequences", seq, "cancel"]) => self.cancel(seq),
            ("GET", ["v1", "sequences", seq, "kv"]) => self.export(seq),
            ("PUT", ["v1", "sequences", seq, "kv"]) => self.import(seq, &req.json()?),
            ("GET", ["v1", "load"]) => Reply::json(200, &self.load_report()),
            ("GET", ["v1", "cache-events"]) => self.cache_events(req),
            ("POST", ["v1", "orders"]) => self.handle_order(req.json()?),
            ("GET", ["v1", "info"]) => self.info(),
            _ => Reply::text(404, "no such call"),
        })
    }

    fn control(&self, req: &Req) -> Result<Reply, Reply> {
        Ok(match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/control/faults") => Reply::json(200, &self.faults.get()),
            ("PUT", "/control/faults") => {
                let faults = req.json()?;
                self.faults.update(|f| *f = faults);
                Reply::bytes(204, "")
            }
            ("GET", "/control/stats") => Reply::json(200, self.batcher.borrow().stats()),
            ("GET", "/control/orders") => Reply::json(200, &self.records().orders),
            _ => Reply::text(404, "no such call"),
        })
    }
}

impl App for EngineApp {
    fn answer(self: Rc<Self>, req: Req) -> LocalBoxFuture<'static, Reply> {
        Box::pin(async move {
            if req.path.starts_with("/control/") {
                return self.control(&req).unwrap_or_else(|refusal| refusal);
            }
            self.faults.wait_for(|f| !f.frozen).await;
            let reply = match self.faults.read(|f| f.refuse_status) {
                0 => self.route(&req).await.unwrap_or_else(|refusal| refusal),
                status => Reply::text(status, "refused"),
            };
            self.faults.wait_for(|f| !f.frozen).await;
            match self.faults.read(|f| f.invalid_reply) {
                InvalidReply::NotJson => Reply::text(200, "<html>502 Bad Gateway</html>"),
                InvalidReply::WrongSchema => Reply::text(200, "{\"items\":{\"seq\":[-1,null]}}"),
                InvalidReply::Disconnect => Reply::Disconnect,
                InvalidReply::Huge => Reply::bytes(200, vec![b' '; HUGE_BODY_BYTES]),
                _ => reply,
            }
        })
    }
}
