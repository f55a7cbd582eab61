//! The running agent: connects the links to peers, the stages and the target.

mod control;
mod handler;
mod operations;
mod service;

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::byte_budget::ByteBudget;
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Clock, ConfigVersion, MonotonicClock};
use coriandercove_node::process::StopRequest;
use coriandercove_peer::link::Shaper;
use coriandercove_peer::{Address, ClusterKey, Frame, LinkConfig, Links, PeerInfo};
use coriandercove_state::ticket::{TicketLimits, TicketTable};
use coriandercove_target::{Engine, Service};
use slog::Logger;

use crate::engine::{BatchLimits, EngineDriver};
use crate::stage::{StageAction, StageLimits, Stages};
use control::Control;
use handler::Handler;
pub use operations::AgentOperations;

/// How often expired state is removed and the load is reported to membership.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// How often a drain checks whether work is still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for streams to move to other targets after the drain deadline, before the agent stops.
const EVICTION_GRACE: Duration = Duration::from_secs(5);

/// The target that the agent runs work on.
#[derive(Clone)]
pub enum Backend {
    /// A model engine, which runs stages of streams.
    Engine(Rc<dyn Engine>),
    /// A plain service, which answers single calls.
    Service(Rc<dyn Service>),
}

/// Settings of an agent; build them with [`AgentConfig::new`] and the `with` methods.
pub struct AgentConfig {
    own: PeerInfo,
    key: ClusterKey,
    backend: Backend,
    stages: StageLimits,
    batch: BatchLimits,
    /// Maximum number of calls to the plain service in progress.
    max_calls: usize,
    drain_deadline: Duration,
    seeds: Vec<SocketAddr>,
    shaper: Option<Rc<dyn Shaper>>,
    log: Logger,
    metrics: Metrics,
    bytes: Arc<ByteBudget>,
}

/// Memory of the process if none is set, in MB.
const DEFAULT_MEMORY_MB: usize = 1024;

impl AgentConfig {
    /// Returns the default settings for an agent with the identity `own` and this target.
    #[must_use]
    pub fn new(own: PeerInfo, key: ClusterKey, backend: Backend, log: Logger) -> Self {
        let metrics = Metrics::default();
        Self {
            own,
            key,
            backend,
            bytes: ByteBudget::registered(DEFAULT_MEMORY_MB, &metrics),
            stages: StageLimits::default(),
            batch: BatchLimits {
                // Equal to `HttpLimits::connections`. An item that waits for a call to end reaches
                // the engine after its next iteration has started: with 3 calls, engines with
                // iterations of 9 ms took 4.5 ms longer for each token.
                calls: 64,
                items: 256,
                timeout: Duration::from_secs(5),
            },
            max_calls: 256,
            drain_deadline: Duration::from_secs(30),
            seeds: Vec::new(),
            shaper: None,
            log,
            metrics,
        }
    }

    /// Sets the limits of streams and of their retained outputs.
    #[must_use]
    pub const fn with_stages(mut self, limits: StageLimits) -> Self {
        self.stages = limits;
        self
    }

    /// Sets the limits of calls to the engine.
    #[must_use]
    pub const fn with_batch(mut self, limits: BatchLimits) -> Self {
        self.batch = limits;
        self
    }

    /// Sets the maximum number of calls to the plain service in progress; further calls are
    /// refused.
    #[must_use]
    pub const fn with_max_calls(mut self, calls: usize) -> Self {
        self.max_calls = calls;
        self
    }

    /// Sets the time for work in flight to finish once a drain has begun.
    #[must_use]
    pub const fn with_drain_deadline(mut self, deadline: Duration) -> Self {
        self.drain_deadline = deadline;
        self
    }

    /// Sets the peer addresses of entries from which the agent learns all other members.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the registry of metrics, and the budget that the bodies of calls draw on. The client of the
    /// target may share it.
    #[must_use]
    pub fn with_budget(mut self, metrics: Metrics, bytes: Arc<ByteBudget>) -> Self {
        self.metrics = metrics;
        self.bytes = bytes;
        self
    }

    /// Delays or blocks outgoing frames, for tests and measurements.
    #[must_use]
    pub fn with_shaper(mut self, shaper: Rc<dyn Shaper>) -> Self {
        self.shaper = Some(shaper);
        self
    }
}

/// State of a running agent, shared by its link handler, timers and tasks.
pub(crate) struct Inner {
    own: PeerInfo,
    clock: MonotonicClock,
    stages: RefCell<Stages>,
    driver: OnceCell<Rc<EngineDriver>>,
    service: Option<Rc<dyn Service>>,
    tickets: RefCell<TicketTable>,
    links: OnceCell<Links>,
    control: OnceCell<Control>,
    calls: Cell<usize>,
    max_calls: usize,
    bytes: Arc<ByteBudget>,
    leaving: Cell<bool>,
    dropped: CounterFamily,
    refused: CounterFamily,
}

/// A running agent.
pub struct Agent {
    inner: Rc<Inner>,
    metrics: Metrics,
    timers: TimerService,
    drain_deadline: Duration,
    _tick: Subscription,
}

impl Agent {
    /// Starts an agent on the current runtime thread.
    ///
    /// # Errors
    /// The I/O error if its peer address cannot be bound.
    pub async fn start(cfg: AgentConfig) -> std::io::Result<Self> {
        let AgentConfig {
            own,
            key,
            backend,
            metrics,
            log,
            ..
        } = cfg;
        let timers = TimerService::start();
        let service = match &backend {
            Backend::Engine(_) => None,
            Backend::Service(service) => Some(Rc::clone(service)),
        };
        let inner = Rc::new(Inner {
            own: own.clone(),
            clock: MonotonicClock::default(),
            stages: RefCell::new(Stages::new(cfg.stages)),
            driver: OnceCell::new(),
            service,
            tickets: RefCell::new(TicketTable::new(
                own.node.clone(),
                own.incarnation,
                TicketLimits::default(),
            )),
            links: OnceCell::new(),
            control: OnceCell::new(),
            calls: Cell::new(0),
            max_calls: cfg.max_calls,
            bytes: cfg.bytes,
            leaving: Cell::new(false),
            dropped: metrics.counters("frames_dropped", "Frames dropped, by reason"),
            refused: metrics.counters("refusals", "Calls and streams refused, by reason"),
        });
        if let Backend::Engine(engine) = backend {
            Self::start_driver(&inner, engine, cfg.batch, &metrics);
        }
        let mut link_cfg = LinkConfig::new(own, key.clone());
        if let Some(shaper) = cfg.shaper {
            link_cfg = link_cfg.with_shaper(shaper);
        }
        let handler = Rc::new(Handler::new(&inner));
        let links = Links::bind(link_cfg, |_| handler, &timers, &metrics, log.clone()).await?;
        // The cell is empty, because nothing else sets it.
        let _ = inner.links.set(links);
        Control::start(&inner, key, cfg.seeds, (&timers, &metrics, log))?;
        let weak = Rc::downgrade(&inner);
        let tick = timers.subscribe(TICK_PERIOD, move || {
            if let Some(inner) = weak.upgrade() {
                inner.stages.borrow_mut().tick(inner.clock.now());
                inner.report_load();
                inner.flush();
            }
        });
        Ok(Self {
            inner,
            metrics,
            timers,
            drain_deadline: cfg.drain_deadline,
            _tick: tick,
        })
    }

    /// Creates the engine driver, whose outcomes go to the stages.
    fn start_driver(
        inner: &Rc<Inner>,
        engine: Rc<dyn Engine>,
        limits: BatchLimits,
        metrics: &Metrics,
    ) {
        let weak = Rc::downgrade(inner);
        let on_outcome = Rc::new(move |req, attempt, position, outcome| {
            if let Some(inner) = weak.upgrade() {
                inner
                    .stages
                    .borrow_mut()
                    .job_done(req, attempt, position, outcome);
                inner.flush();
            }
        });
        // The cell is empty, because nothing else sets it.
        let _ = inner
            .driver
            .set(EngineDriver::new(engine, limits, metrics, on_outcome));
    }

    /// The agent's identity as peers receive it, with the port that it listens on.
    #[must_use]
    pub fn own(&self) -> PeerInfo {
        self.inner
            .links
            .get()
            .map_or_else(|| self.inner.own.clone(), |links| links.own().clone())
    }

    /// The registry of the agent's metrics.
    #[must_use]
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The timer service of the agent's thread.
    #[must_use]
    pub const fn timers(&self) -> &TimerService {
        &self.timers
    }

    /// Number of streams and calls in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.inner.in_progress()
    }

    /// Returns the handler of operators' requests. A drain request ends the wait on `stop`.
    #[must_use]
    pub fn operations(&self, region: String, stop: Rc<StopRequest>) -> Rc<AgentOperations> {
        Rc::new(AgentOperations {
            inner: Rc::clone(&self.inner),
            metrics: self.metrics.clone(),
            region,
            stop,
            drain_deadline: self.drain_deadline,
        })
    }

    /// Sets the time for work in flight to finish once a drain has begun.
    pub const fn set_drain_deadline(&mut self, deadline: Duration) {
        self.drain_deadline = deadline;
    }

    /// Refuses new work from now on and announces to entries that the agent is leaving.
    pub fn leave(&self) {
        self.inner.leaving.set(true);
        self.inner.stages.borrow_mut().leave();
        self.inner.announce_leaving();
    }

    /// Version of the configuration in force; 0 before the first one arrives.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.inner.control.get().map_or(0, |c| c.config.version())
    }

    /// Refuses new work, waits until the work in flight has finished or moved to other targets, and
    /// stops. Streams are asked to move once the drain deadline has passed.
    pub async fn drain(self) {
        self.leave();
        self.wait_idle(self.drain_deadline).await;
        self.inner.stages.borrow_mut().evict();
        self.inner.flush();
        self.wait_idle(EVICTION_GRACE).await;
        // Calls are never cut, because some must not be repeated; each ends by its own deadline.
        while self.inner.calls.get() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.stop();
    }

    /// Waits until no work is in progress, for at most `limit`.
    async fn wait_idle(&self, limit: Duration) {
        let end = tokio::time::Instant::now() + limit;
        while self.in_progress() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Stops at once without a drain. Peers observe the same as after a crash.
    pub fn stop(self) {
        if let Some(control) = self.inner.control.get() {
            control.members.stop();
        }
        if let Some(links) = self.inner.links.get() {
            links.close();
        }
    }
}

impl Inner {
    fn in_progress(&self) -> usize {
        self.stages.borrow().len() + self.calls.get()
    }

    /// Executes the actions that the stages have queued, until there are none.
    fn flush(&self) {
        loop {
            let (actions, dropped) = {
                let mut stages = self.stages.borrow_mut();
                (stages.take_actions(), stages.take_dropped())
            };
            for reason in dropped {
                count(&self.dropped, "reason", reason.as_str());
            }
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(&self, action: StageAction) {
        match action {
            StageAction::Send(to, frame) => {
                if let Frame::StageFailed(failure) = &frame {
                    count(&self.refused, "reason", failure.reason.as_str());
                }
                self.send(&to, frame);
            }
            StageAction::Run(job) => {
                if let Some(driver) = self.driver.get() {
                    driver.push(job);
                }
            }
            StageAction::Free(req) => {
                if let Some(driver) = self.driver.get() {
                    driver.free(req);
                }
            }
        }
    }

    /// Sends a frame, or tells the stages that it could not be sent.
    fn send(&self, to: &Address, frame: Frame) {
        let Some(links) = self.links.get() else {
            return;
        };
        let copy = frame.clone();
        if links.send(to, frame).is_err() {
            self.stages.borrow_mut().undelivered(to, &copy);
        }
    }
}
