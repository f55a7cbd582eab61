//! The running entry: connects the callers' endpoint, the peer links and the core.

mod calls;
mod claims;
mod control_plane;
mod handler;
mod once;
mod operations;
mod quota;
mod response_sink;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::byte_budget::{ByteBudget, accounted};
use coriandercove_base::rng::{self, Rng};
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Clock, ConfigVersion, MonotonicClock, NodeId, RequestId};
use coriandercove_config::Config;
use coriandercove_node::process::StopRequest;
use coriandercove_peer::link::Shaper;
use coriandercove_peer::{Address, ClusterKey, Frame, LinkConfig, Links, PeerInfo};
use coriandercove_platform::{Store, VmSource};
use coriandercove_state::membership::MembershipEvent;
use coriandercove_state::once::OnceSettings;
use prometheus_client::metrics::counter::Counter;
use slog::Logger;

use crate::active_config::ActiveConfig;
use crate::core::{Core, CoreAction, CoreConfig, StreamSpec};
use crate::http::CallerServer;
use crate::http::server_limits;
use calls::PendingCalls;
pub use claims::PlatformClaims;
use control_plane::{ControlPlane, ControlPlaneConfig};
use handler::Handler;
use once::OnceCalls;
pub use once::{ClaimStore, NoStore};
pub use operations::EntryOperations;
pub(crate) use response_sink::{ResponseSink, ResponseStart};

/// Interval at which queued requests, stalled chains and deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a drain checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of an entry; build them with [`EntryConfig::new`] and the `with` methods.
pub struct EntryConfig {
    own: PeerInfo,
    key: ClusterKey,
    callers: SocketAddr,
    connections: usize,
    head_timeout: Duration,
    max_body: usize,
    memory_mb: usize,
    credit_tokens: u32,
    drain_deadline: Duration,
    seed: Option<u64>,
    shaper: Option<Rc<dyn Shaper>>,
    store: Rc<dyn ClaimStore>,
    platform: Option<Rc<dyn Store>>,
    vm_list: Option<Rc<dyn VmSource>>,
    seeds: Vec<SocketAddr>,
    log: Logger,
    metrics: Metrics,
}

impl EntryConfig {
    /// Returns the default settings for a process with the identity `own` that serves callers at
    /// the address `callers`.
    #[must_use]
    pub fn new(own: PeerInfo, key: ClusterKey, callers: SocketAddr, log: Logger) -> Self {
        Self {
            own,
            key,
            callers,
            connections: 16_384,
            head_timeout: Duration::from_secs(10),
            max_body: 4 << 20,
            memory_mb: 1024,
            credit_tokens: 64,
            drain_deadline: Duration::from_secs(30),
            seed: None,
            shaper: None,
            store: Rc::new(NoStore),
            platform: None,
            vm_list: None,
            seeds: Vec::new(),
            log,
            metrics: Metrics::default(),
        }
    }

    /// Sets the limits of the callers' endpoint: the number of open connections, the bytes of a
    /// request body, and the time that a caller gets to send the head of a request.
    #[must_use]
    pub const fn with_limits(
        mut self,
        connections: usize,
        max_body: usize,
        head: Duration,
    ) -> Self {
        self.connections = connections;
        self.max_body = max_body;
        self.head_timeout = head;
        self
    }

    /// Sets the memory of the process, in MB. Requests may hold half of it together.
    #[must_use]
    pub const fn with_memory_mb(mut self, memory_mb: usize) -> Self {
        self.memory_mb = memory_mb;
        self
    }

    /// Sets how many tokens a chain may generate ahead of what the caller has read.
    #[must_use]
    pub const fn with_credit(mut self, tokens: u32) -> Self {
        self.credit_tokens = tokens;
        self
    }

    /// Sets how long a drain waits for requests in progress before the entry stops.
    #[must_use]
    pub const fn with_drain_deadline(mut self, deadline: Duration) -> Self {
        self.drain_deadline = deadline;
        self
    }

    /// Sets the store of the claims on idempotency keys. Without one, calls that must not repeat
    /// are refused if they have a key.
    #[must_use]
    pub fn with_store(mut self, store: Rc<dyn ClaimStore>) -> Self {
        self.store = store;
        self
    }

    /// Sets the platform's store, which holds both the claims and the configuration.
    #[must_use]
    pub fn with_platform_store(mut self, store: Rc<dyn Store>) -> Self {
        self.platform = Some(Rc::clone(&store));
        self.with_store(Rc::new(PlatformClaims(store)))
    }

    /// Sets the source of the platform's VM list, from which membership learns of VMs.
    #[must_use]
    pub fn with_vm_list(mut self, list: Rc<dyn VmSource>) -> Self {
        self.vm_list = Some(list);
        self
    }

    /// Sets the peer addresses of entries that this one contacts first to join the membership.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Seeds the random generators, so that tests and measurements are repeatable. By default,
    /// seeds come from the operating system.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets a shaper of the traffic on links, for tests and measurements.
    #[must_use]
    pub fn with_shaper(mut self, shaper: Rc<dyn Shaper>) -> Self {
        self.shaper = Some(shaper);
        self
    }
}

/// State of a running entry, shared by its HTTP handlers, links and timers.
pub(crate) struct Inner {
    pub clock: MonotonicClock,
    pub refusals: CounterFamily,
    pub max_body: usize,
    /// Budget that bodies, prompts and answers draw on.
    pub bytes: Arc<ByteBudget>,
    answers_without_memory: Counter,
    log: Logger,
    retries: CounterFamily,
    dropped: CounterFamily,
    core: RefCell<Core>,
    active_config: RefCell<Option<Rc<ActiveConfig>>>,
    sinks: RefCell<HashMap<RequestId, ResponseSink>>,
    calls: PendingCalls,
    once: OnceCalls,
    links: OnceCell<Links>,
    control: OnceCell<ControlPlane>,
    ids: RefCell<Rng>,
    leaving: Cell<bool>,
}

/// A running entry; stopped by [`Entry::drain`] or [`Entry::stop`].
pub struct Entry {
    inner: Rc<Inner>,
    server: CallerServer,
    metrics: Metrics,
    timers: TimerService,
    drain_deadline: Duration,
    _tick: Subscription,
    _demand: Subscription,
}

impl Entry {
    /// Starts an entry on the current runtime thread. It refuses requests until a configuration is
    /// in force, from the store or from [`Entry::set_config`].
    ///
    /// # Errors
    /// Returns the I/O error if an address cannot be bound.
    pub async fn start(cfg: EntryConfig) -> std::io::Result<Self> {
        let timers = TimerService::start();
        let metrics = cfg.metrics.clone();
        let mut choices = cfg.seed.map_or_else(rng::from_os, rng::seeded);
        let tickets = rng::fork(&mut choices);
        let ids = cfg
            .seed
            .map_or_else(rng::from_os, |seed| rng::seeded(!seed));
        // The core needs the bound address of the links, and the links need a handler that uses the
        // core, so the handler gets a cell that is filled afterwards.
        let cell: Rc<OnceCell<Rc<Inner>>> = Rc::default();
        let mut link_cfg = LinkConfig::new(cfg.own.clone(), cfg.key.clone());
        if let Some(shaper) = cfg.shaper.clone() {
            link_cfg = link_cfg.with_shaper(shaper);
        }
        let handler = Rc::new(Handler::new(Rc::clone(&cell)));
        let log = cfg.log.clone();
        let links = Links::bind(link_cfg, |_| handler, &timers, &metrics, log).await?;
        let core_cfg = CoreConfig {
            own: links.own().address(),
            zone: cfg.own.zone.clone(),
            credit_tokens: cfg.credit_tokens,
        };
        let core = Core::new(core_cfg, rng::fork(&mut choices));
        let inner = Rc::new(Inner {
            clock: MonotonicClock::default(),
            refusals: metrics.counters("refusals", "Requests refused, by reason"),
            max_body: cfg.max_body,
            bytes: ByteBudget::registered(cfg.memory_mb, &metrics),
            answers_without_memory: metrics.counter(
                "answers_without_memory",
                "Answers given up because there was no memory for them",
            ),
            log: cfg.log.clone(),
            retries: metrics.counters("retries", "Streams and calls tried again, by reason"),
            dropped: metrics.counters("frames_dropped", "Frames dropped, by reason"),
            core: RefCell::new(core),
            active_config: RefCell::default(),
            sinks: RefCell::default(),
            calls: PendingCalls::default(),
            once: OnceCalls::new(OnceSettings::default(), tickets, cfg.store),
            links: OnceCell::from(links),
            control: OnceCell::new(),
            ids: RefCell::new(ids),
            leaving: Cell::new(false),
        });
        // This cannot fail: nothing else sets the cell.
        let _ = cell.set(Rc::clone(&inner));
        let control = ControlPlaneConfig {
            key: cfg.key,
            seeds: cfg.seeds,
            store: cfg.platform,
            vm_list: cfg.vm_list,
        };
        ControlPlane::start(&inner, control, &timers, &metrics)?;
        let limits = server_limits(cfg.connections, cfg.head_timeout);
        let server = CallerServer::start(cfg.callers, Rc::clone(&inner), limits).await?;
        let weak = Rc::downgrade(&inner);
        let tick = timers.subscribe(TICK_INTERVAL, move || {
            if let Some(inner) = weak.upgrade() {
                inner.core.borrow_mut().tick(inner.clock.now());
                inner.run_actions();
                inner.once_tick(inner.clock.now());
            }
        });
        let weak = Rc::downgrade(&inner);
        let demand = timers.subscribe(quota::DIGEST_INTERVAL, move || {
            if let Some(inner) = weak.upgrade() {
                inner.send_demand();
            }
        });
        let drain_deadline = cfg.drain_deadline;
        Ok(Self {
            inner,
            server,
            metrics,
            timers,
            drain_deadline,
            _tick: tick,
            _demand: demand,
        })
    }

    /// Returns the bound address of the callers' HTTP endpoint.
    #[must_use]
    pub const fn caller_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the name and the bound link address under which peers reach this entry.
    #[must_use]
    pub fn peer_address(&self) -> Option<Address> {
        self.inner.links.get().map(|links| links.own().address())
    }

    /// Returns the metrics that this entry updates.
    #[must_use]
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the timer service of the entry's thread.
    #[must_use]
    pub const fn timers(&self) -> &TimerService {
        &self.timers
    }

    /// Puts a configuration in force, unless a higher version already is.
    pub fn set_config(&self, version: ConfigVersion, config: Config) {
        self.inner.set_config(version, config);
    }

    /// Returns the version of the configuration in force; 0 while there is none.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.inner
            .active_config()
            .map_or(0, |active| active.version)
    }

    /// Returns the entries that membership considers alive, including this one.
    #[must_use]
    pub fn live_entries(&self) -> Vec<Address> {
        let control = self.inner.control.get();
        control.map_or_else(Vec::new, |c| c.members.live_entries())
    }

    /// Returns whether this entry gives a target new work.
    #[must_use]
    pub fn uses_target(&self, target: &NodeId) -> bool {
        self.inner.core.borrow_mut().router_mut().is_ready(target)
    }

    /// Returns the number of streams and calls in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.inner.in_progress()
    }

    /// Returns the handler of the operators' API. A drain request resolves the wait of `stop`.
    #[must_use]
    pub fn operations(&self, region: String, stop: Rc<StopRequest>) -> Rc<EntryOperations> {
        Rc::new(EntryOperations {
            inner: Rc::clone(&self.inner),
            metrics: self.metrics.clone(),
            region,
            stop,
            drain_deadline: self.drain_deadline,
        })
    }

    /// Sets how long [`Entry::drain`] waits for requests in progress before the entry stops.
    pub const fn set_drain_deadline(&mut self, deadline: Duration) {
        self.drain_deadline = deadline;
    }

    /// Refuses new requests, waits until those in progress have ended or the drain deadline has
    /// passed, and stops.
    pub async fn drain(self) {
        self.inner.leaving.set(true);
        if let Some(control) = self.inner.control.get() {
            control.members.on_event(MembershipEvent::Leave);
        }
        self.server.stop_accepting();
        let end = tokio::time::Instant::now() + self.drain_deadline;
        while self.in_progress() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // The last response bytes may not be written to the callers' connections yet.
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        self.stop();
    }

    /// Stops at once without waiting for requests in progress, as a crash would.
    pub fn stop(self) {
        self.server.stop_accepting();
        if let Some(links) = self.inner.links.get() {
            links.close();
        }
        if let Some(control) = self.inner.control.get() {
            control.members.stop();
        }
        self.inner.sinks.borrow_mut().clear();
    }
}

impl Inner {
    fn in_progress(&self) -> usize {
        self.sinks.borrow().len() + self.calls.len() + self.once.len()
    }

    /// Accounts for an answer until its caller has taken it. Returns none, and counts it, if there is no
    /// memory for it.
    pub fn account_answer(&self, body: Bytes) -> Option<Bytes> {
        let share = self.bytes.admit(0).and_then(|mut share| {
            let fits = share.grow_to(body.len());
            fits.then_some(share)
        });
        if share.is_none() {
            self.answers_without_memory.inc();
        }
        share.map(|share| accounted(body, share))
    }

    /// Returns the configuration in force, if there is one.
    pub fn active_config(&self) -> Option<Rc<ActiveConfig>> {
        self.active_config.borrow().clone()
    }

    pub const fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    pub fn next_request_id(&self) -> RequestId {
        rng::random_id(&mut *self.ids.borrow_mut())
    }

    /// Passes the live entries to the core and to the writers of claims.
    fn set_entries(self: &Rc<Self>, entries: &[Address]) {
        let names: Vec<NodeId> = entries.iter().map(|e| e.node.clone()).collect();
        let now = self.clock.now();
        self.core.borrow_mut().set_entries(now, &names);
        self.set_claim_writers(entries, &names);
    }

    /// Passes a stream to the core; its tokens or its refusal go to `sink`.
    pub fn submit(&self, spec: StreamSpec, sink: ResponseSink) {
        self.sinks.borrow_mut().insert(spec.req, sink);
        self.core.borrow_mut().submit(self.clock.now(), spec);
        self.run_actions();
    }

    /// Removes a request whose response is complete or whose caller disconnected, and cancels it
    /// if it is still in progress.
    pub fn end_request(&self, req: RequestId) {
        if self.sinks.borrow_mut().remove(&req).is_some() {
            self.core.borrow_mut().cancel(self.clock.now(), req);
            self.run_actions();
        }
    }

    /// Records that the caller has read `tokens` tokens in all.
    pub fn on_consumed(&self, req: RequestId, tokens: u32) {
        self.core.borrow_mut().consumed(req, tokens);
        self.run_actions();
    }

    /// Runs all pending actions of the core, including those that these actions cause.
    fn run_actions(&self) {
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_action(action);
            }
        }
    }

    fn run_action(&self, action: CoreAction) {
        match action {
            CoreAction::Send(to, frame) => self.send(&to, frame),
            CoreAction::Retried(reason) => count(&self.retries, "reason", reason),
            CoreAction::Emit {
                req,
                tokens,
                finished,
            } => {
                let mut sinks = self.sinks.borrow_mut();
                let Some(sink) = sinks.get_mut(&req) else {
                    return;
                };
                let taken = sink.emit(&tokens, finished);
                if finished {
                    sinks.remove(&req);
                }
                drop(sinks);
                if let Some(taken) = taken {
                    self.core.borrow_mut().consumed(req, taken);
                }
            }
            CoreAction::Refuse {
                req,
                refusal,
                outcome,
            } => {
                if let Some(sink) = self.sinks.borrow_mut().remove(&req) {
                    if sink.has_started() {
                        count(&self.refusals, "reason", refusal.reason.as_str());
                    }
                    sink.refuse(req, refusal, outcome);
                }
            }
        }
    }

    /// Sends a frame, or reports to the core that the link did not accept it.
    fn send(&self, to: &Address, frame: Frame) {
        let Some(links) = self.links.get() else {
            return;
        };
        let copy = frame.clone();
        if links.send(to, frame).is_err() {
            self.core
                .borrow_mut()
                .undelivered(self.clock.now(), to, &copy);
        }
    }
}
