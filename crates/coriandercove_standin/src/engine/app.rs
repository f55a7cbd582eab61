//! Connects the batcher to sockets and time.

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

use super::batcher::{Batcher, Tag, Tagged};
use super::kv::KvState;
use super::schedule::Schedule;
use super::settings::EngineSettings;
use super::{EngineFaults, Nonsense, OrderRecord, Records};
use crate::faults::Faults;
use crate::server::{App, Reply, Req};

/// Shortest period between two load samples.
const MIN_SAMPLE_PERIOD: Duration = Duration::from_millis(10);
/// Items that may wait for an iteration.
const MAX_QUEUED: usize = 65_536;
/// Size of the answer for [`Nonsense::Huge`].
const HUGE: usize = 32 << 20;

struct Call {
    results: Vec<Option<ForwardResult>>,
    missing: usize,
    done: Option<oneshot::Sender<Vec<ForwardResult>>>,
}

/// One engine on its thread.
pub(super) struct EngineApp {
    settings: EngineSettings,
    batcher: RefCell<Batcher>,
    calls: RefCell<HashMap<u64, Call>>,
    next_call: Cell<u64>,
    work: Notify,
    clock: MonotonicClock,
    epoch: tokio::time::Instant,
    /// The two latest samples, older one first.
    samples: RefCell<[EngineLoad; 2]>,
    loaded: Cell<bool>,
    /// Distinguishes loads, so that a load that was replaced does not finish.
    load_number: Cell<u64>,
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
            calls: RefCell::default(),
            next_call: Cell::new(0),
            work: Notify::new(),
            clock: MonotonicClock::default(),
            epoch: tokio::time::Instant::now(),
            samples: RefCell::default(),
            loaded: Cell::new(true),
            load_number: Cell::new(0),
            highest_fence: Cell::new(0),
            settings,
            faults,
            records,
        }
    }

    pub(super) fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(Rc::clone(self).iterate());
        if !self.settings.load_lag.is_zero() {
            actix_rt::spawn(Rc::clone(self).sample_load());
        }
    }

    async fn iterate(self: Rc<Self>) {
        let mut schedule = Schedule::default();
        loop {
            self.faults.wait_for(|f| !f.frozen).await;
            let (fail_share, slow) = self.faults.read(|f| (f.fail_share, f.slow_factor));
            let now = self.clock.now();
            let iteration = self.batcher.borrow_mut().run(now, fail_share);
            let Some(iteration) = iteration else {
                self.work.notified().await;
                continue;
            };
            let duration = iteration.duration.mul_f64(slow.clamp(0.0, 1e6));
            self.sleep_until(schedule.plan(now, duration)).await;
            self.faults.wait_for(|f| !f.frozen).await;
            let backlog = !self.batcher.borrow().is_idle();
            schedule.delivered(self.clock.now(), backlog);
            self.publish();
            self.deliver(iteration.results);
            // Lets the connections read calls that have arrived in the meantime.
            actix_rt::task::yield_now().await;
        }
    }

    async fn sleep_until(&self, at: Time) {
        if at > self.clock.now() {
            tokio::time::sleep_until(self.epoch + at).await;
        }
    }

    async fn sample_load(self: Rc<Self>) {
        let period = (self.settings.load_lag / 2).max(MIN_SAMPLE_PERIOD);
        loop {
            actix_rt::time::sleep(period).await;
            let latest = self.load_now();
            let mut samples = self.samples.borrow_mut();
            samples.swap(0, 1);
            samples[1] = latest;
        }
    }

    fn load_now(&self) -> EngineLoad {
        EngineLoad {
            loading: !self.loaded.get(),
            ..self.batcher.borrow().load()
        }
    }

    fn publish(&self) {
        let stats = *self.batcher.borrow().stats();
        self.records().stats = stats;
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deliver(&self, results: Vec<Tagged>) {
        let mut calls = self.calls.borrow_mut();
        for (tag, result) in results {
            let Some(call) = calls.get_mut(&tag.call) else {
                continue;
            };
            call.results[tag.index] = Some(result);
            call.missing -= 1;
            if call.missing == 0
                && let Some(call) = calls.remove(&tag.call)
                && let Some(done) = call.done
            {
                // The caller may have gone away.
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
        if queued + req.items.len() > MAX_QUEUED {
            return Reply::text(503, "the queue is full");
        }
        let done = self.enqueue(req);
        match done.await {
            Ok(items) => Reply::json(200, &self.distort(ForwardReply { items })),
            Err(_) => Reply::Disconnect,
        }
    }

    fn enqueue(&self, req: ForwardRequest) -> oneshot::Receiver<Vec<ForwardResult>> {
        let (tx, rx) = oneshot::channel();
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        let pending = Call {
            results: vec![None; req.items.len()],
            missing: req.items.len(),
            done: Some(tx),
        };
        self.calls.borrow_mut().insert(call, pending);
        let mut batcher = self.batcher.borrow_mut();
        for (index, item) in req.items.into_iter().enumerate() {
            batcher.enqueue(Tag { call, index }, item);
        }
        self.work.notify_one();
        rx
    }

    fn distort(&self, mut reply: ForwardReply) -> ForwardReply {
        match self.faults.read(|f| f.nonsense) {
            Nonsense::MissingResult => drop(reply.items.pop()),
            Nonsense::CrossedResults => reply.items.reverse(),
            _ => {}
        }
        reply
    }

    fn cancel(&self, seq: &str) -> Reply {
        let results = self.batcher.borrow_mut().cancel(seq);
        self.deliver(results);
        self.publish();
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

    fn order(self: &Rc<Self>, request: OrderRequest) -> Reply {
        let result = self.check_fence(request.fence).and_then(|()| {
            self.follow(&request.order)?;
            Ok(Reply::bytes(202, ""))
        });
        let accepted = result.is_ok();
        self.records()
            .orders
            .push(OrderRecord { request, accepted });
        result.unwrap_or_else(|refusal| refusal)
    }

    fn check_fence(&self, fence: Fence) -> Result<(), Reply> {
        let highest = self.highest_fence.get();
        if self.settings.info.checks_fence && fence < highest {
            let message = format!("fence {fence} is older than {highest}");
            return Err(Reply::text(409, &message));
        }
        self.highest_fence.set(highest.max(fence));
        Ok(())
    }

    fn follow(self: &Rc<Self>, order: &Order) -> Result<(), Reply> {
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
                self.load(info);
            }
            Order::Unload => {
                let info = self.batcher.borrow().info().clone();
                self.unload(info);
            }
            Order::LoadAdapter { .. } | Order::ChangeRole { .. } => {}
        }
        Ok(())
    }

    /// Drops the old weights at once, so the engine refuses calls until the new ones have arrived.
    fn load(self: &Rc<Self>, info: EngineInfo) {
        let layers = u32::from(info.end_layer - info.first_layer);
        let now = tokio::time::Instant::now();
        let ready = self.settings.weights.book(now.into_std(), layers);
        self.unload(info);
        let (app, number) = (Rc::clone(self), self.load_number.get());
        actix_rt::spawn(async move {
            tokio::time::sleep_until(ready.into()).await;
            if app.load_number.get() == number {
                app.loaded.set(true);
            }
        });
    }

    fn unload(&self, info: EngineInfo) {
        self.loaded.set(false);
        self.load_number.set(self.load_number.get() + 1);
        let results = self.batcher.borrow_mut().reload(self.clock.now(), info);
        self.deliver(results);
    }

    fn load_report(&self) -> EngineLoad {
        if self.settings.load_lag.is_zero() {
            self.load_now()
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
            ("POST", ["v1", "orders"]) => self.order(req.json()?),
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
            match self.faults.read(|f| f.nonsense) {
                Nonsense::NotJson => Reply::text(200, "<html>502 Bad Gateway</html>"),
                Nonsense::OtherForm => Reply::text(200, "{\"items\":{\"seq\":[-1,null]}}"),
                Nonsense::Disconnect => Reply::Disconnect,
                Nonsense::Huge => Reply::bytes(200, vec![b' '; HUGE]),
                _ => reply,
            }
        })
    }
}
