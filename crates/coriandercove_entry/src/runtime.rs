//! The running entry: connects callers, links and the core.

mod calls;
mod claims;
mod control;
mod handler;
mod once;
mod operations;
mod quota;
mod waiter;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::rng::{self, Rng};
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Clock, ConfigVersion, MonotonicClock, NodeId, RequestId};
use coriandercove_config::Config;
use coriandercove_node::process::Stop;
use coriandercove_peer::link::Shaper;
use coriandercove_peer::{Address, ClusterKey, Frame, LinkConfig, Links, PeerInfo};
use coriandercove_platform::{Store, VmSource};
use coriandercove_state::membership::MembershipEvent;
use coriandercove_state::once::OnceSettings;
use slog::Logger;

use crate::core::{Core, CoreAction, CoreConfig, StreamSpec};
use crate::http::CallerServer;
use crate::http::server_limits;
use crate::view::ConfigView;
use calls::Calls;
pub use claims::PlatformClaims;
use control::{Control, ControlConfig};
use handler::Handler;
use once::OnceCalls;
pub use once::{ClaimStore, NoStore};
pub use operations::EntryOperations;
pub(crate) use waiter::{Started, Waiter};

/// How often waiting requests, stalls and deadlines are checked.
const TICK: Duration = Duration::from_millis(5);
/// How often a drain checks whether work is left.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Settings of an entry; build them with [`EntryConfig::new`] and the `with` methods.
pub struct EntryConfig {
    own: PeerInfo,
    key: ClusterKey,
    callers: SocketAddr,
    connections: usize,
    head_timeout: Duration,
    max_body: usize,
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
    /// Default settings for a process with this identity that serves callers at `callers`.
    #[must_use]
    pub fn new(own: PeerInfo, key: ClusterKey, callers: SocketAddr, log: Logger) -> Self {
        Self {
            own,
            key,
            callers,
            connections: 16_384,
            head_timeout: Duration::from_secs(10),
            max_body: 4 << 20,
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

    /// Sets the limits of the callers' endpoint: connections, bytes of a body, time for a head.
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

    /// Sets how many tokens the head may be ahead of a slow caller.
    #[must_use]
    pub const fn with_credit(mut self, tokens: u32) -> Self {
        self.credit_tokens = tokens;
        self
    }

    /// Sets the time that requests in flight get to end when the entry leaves.
    #[must_use]
    pub const fn with_drain_deadline(mut self, deadline: Duration) -> Self {
        self.drain_deadline = deadline;
        self
    }

    /// Sets the store for claims. Without one, keyed calls that must not repeat are refused.
    #[must_use]
    pub fn with_store(mut self, store: Rc<dyn ClaimStore>) -> Self {
        self.store = store;
        self
    }

    /// Keeps claims in the platform's store and reads the configuration from it.
    #[must_use]
    pub fn with_platform_store(mut self, store: Rc<dyn Store>) -> Self {
        self.platform = Some(Rc::clone(&store));
        self.with_store(Rc::new(PlatformClaims(store)))
    }

    /// Sets the platform's VM list.
    #[must_use]
    pub fn with_vm_list(mut self, list: Rc<dyn VmSource>) -> Self {
        self.vm_list = Some(list);
        self
    }

    /// Sets the peer addresses of entries from which this one learns the rest.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Seeds the choices, for tests and measurements.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Shapes traffic, for tests and measurements.
    #[must_use]
    pub fn with_shaper(mut self, shaper: Rc<dyn Shaper>) -> Self {
        self.shaper = Some(shaper);
        self
    }
}

/// What the entry keeps while it runs.
pub(crate) struct Inner {
    pub clock: MonotonicClock,
    pub refusals: CounterFamily,
    pub max_body: usize,
    log: Logger,
    retries: CounterFamily,
    dropped: CounterFamily,
    core: RefCell<Core>,
    view: RefCell<Option<Rc<ConfigView>>>,
    waiters: RefCell<HashMap<RequestId, Waiter>>,
    calls: Calls,
    once: OnceCalls,
    links: OnceCell<Links>,
    control: OnceCell<Control>,
    ids: RefCell<Rng>,
    leaving: Cell<bool>,
}

/// A running entry.
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
    /// Starts an entry on the current runtime thread. It refuses requests until
    /// [`Entry::set_config`].
    ///
    /// # Errors
    /// The I/O error if an address cannot be bound.
    pub async fn start(cfg: EntryConfig) -> std::io::Result<Self> {
        let timers = TimerService::start();
        let metrics = cfg.metrics.clone();
        let mut choices = cfg.seed.map_or_else(rng::from_os, rng::seeded);
        let tickets = rng::fork(&mut choices);
        let ids = cfg
            .seed
            .map_or_else(rng::from_os, |seed| rng::seeded(!seed));
        // The listener must be bound before the core can tell agents the entry's address.
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
            log: cfg.log.clone(),
            retries: metrics.counters("retries", "Streams and calls tried again, by reason"),
            dropped: metrics.counters("frames_dropped", "Frames dropped, by reason"),
            core: RefCell::new(core),
            view: RefCell::default(),
            waiters: RefCell::default(),
            calls: Calls::default(),
            once: OnceCalls::new(OnceSettings::default(), tickets, cfg.store),
            links: OnceCell::from(links),
            control: OnceCell::new(),
            ids: RefCell::new(ids),
            leaving: Cell::new(false),
        });
        // The cell is empty, because nothing else sets it.
        let _ = cell.set(Rc::clone(&inner));
        let control = ControlConfig {
            key: cfg.key,
            seeds: cfg.seeds,
            store: cfg.platform,
            vm_list: cfg.vm_list,
        };
        Control::start(&inner, control, &timers, &metrics)?;
        let limits = server_limits(cfg.connections, cfg.head_timeout);
        let server = CallerServer::start(cfg.callers, Rc::clone(&inner), limits).await?;
        let weak = Rc::downgrade(&inner);
        let tick = timers.subscribe(TICK, move || {
            if let Some(inner) = weak.upgrade() {
                inner.core.borrow_mut().tick(inner.clock.now());
                inner.flush();
                inner.once_tick(inner.clock.now());
            }
        });
        let weak = Rc::downgrade(&inner);
        let demand = timers.subscribe(quota::PERIOD, move || {
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

    /// Address that callers use.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.server.addr()
    }

    /// The entry as agents reach it.
    #[must_use]
    pub fn address(&self) -> Option<Address> {
        self.inner.links.get().map(|links| links.own().address())
    }

    /// The entry's metrics.
    #[must_use]
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The timer service of the entry's thread.
    #[must_use]
    pub const fn timers(&self) -> &TimerService {
        &self.timers
    }

    /// Puts a configuration in force, unless a higher version already is.
    pub fn set_config(&self, version: ConfigVersion, config: Config) {
        self.inner.set_config(version, config);
    }

    /// Version of the configuration in force; 0 while none is known.
    #[must_use]
    pub fn config_version(&self) -> ConfigVersion {
        self.inner.view().map_or(0, |view| view.version)
    }

    /// The live entries as membership sees them, this one included.
    #[must_use]
    pub fn live_entries(&self) -> Vec<Address> {
        let control = self.inner.control.get();
        control.map_or_else(Vec::new, |c| c.members.live_entries())
    }

    /// Whether a target gets new work.
    #[must_use]
    pub fn uses_target(&self, target: &NodeId) -> bool {
        self.inner.core.borrow_mut().router_mut().is_ready(target)
    }

    /// Streams and calls in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.inner.in_progress()
    }

    /// What answers operators. A drain that they ask for makes `stop` end its wait.
    #[must_use]
    pub fn operations(&self, region: String, stop: Rc<Stop>) -> Rc<EntryOperations> {
        Rc::new(EntryOperations {
            inner: Rc::clone(&self.inner),
            metrics: self.metrics.clone(),
            region,
            stop,
            drain_deadline: self.drain_deadline,
        })
    }

    /// Sets the time that requests in flight get to end when the entry leaves.
    pub const fn set_drain_deadline(&mut self, deadline: Duration) {
        self.drain_deadline = deadline;
    }

    /// Accepts no more requests, waits until those in flight have ended, and stops.
    pub async fn drain(self) {
        self.inner.leaving.set(true);
        if let Some(control) = self.inner.control.get() {
            control.members.event(MembershipEvent::Leave);
        }
        self.server.stop_accepting();
        let end = tokio::time::Instant::now() + self.drain_deadline;
        while self.in_progress() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // The last bytes may still be on their way to the callers.
        tokio::time::sleep(DRAIN_POLL).await;
        self.stop();
    }

    /// Stops at once, as a crash would.
    pub fn stop(self) {
        self.server.stop_accepting();
        if let Some(links) = self.inner.links.get() {
            links.close();
        }
        if let Some(control) = self.inner.control.get() {
            control.members.stop();
        }
        self.inner.waiters.borrow_mut().clear();
    }
}

impl Inner {
    fn in_progress(&self) -> usize {
        self.waiters.borrow().len() + self.calls.len() + self.once.len()
    }

    /// The configuration in force.
    pub fn view(&self) -> Option<Rc<ConfigView>> {
        self.view.borrow().clone()
    }

    pub const fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    pub fn next_request_id(&self) -> RequestId {
        rng::random_id(&mut *self.ids.borrow_mut())
    }

    fn set_entries(self: &Rc<Self>, entries: &[Address]) {
        let names: Vec<NodeId> = entries.iter().map(|e| e.node.clone()).collect();
        let now = self.clock.now();
        self.core.borrow_mut().set_entries(now, &names);
        self.set_claim_writers(entries, &names);
    }

    pub fn submit(&self, spec: StreamSpec, waiter: Waiter) {
        self.waiters.borrow_mut().insert(spec.req, waiter);
        self.core.borrow_mut().submit(self.clock.now(), spec);
        self.flush();
    }

    /// The caller closed the connection or has its whole answer.
    pub fn caller_gone(&self, req: RequestId) {
        if self.waiters.borrow_mut().remove(&req).is_some() {
            self.core.borrow_mut().cancel(self.clock.now(), req);
            self.flush();
        }
    }

    pub fn caller_took(&self, req: RequestId, tokens: u32) {
        self.core.borrow_mut().consumed(req, tokens);
        self.flush();
    }

    /// Carries out what the core has decided.
    fn flush(&self) {
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run(action);
            }
        }
    }

    fn run(&self, action: CoreAction) {
        match action {
            CoreAction::Send(to, frame) => self.send(&to, frame),
            CoreAction::Retried(reason) => count(&self.retries, "reason", reason),
            CoreAction::Emit {
                req,
                tokens,
                finished,
            } => {
                let mut waiters = self.waiters.borrow_mut();
                let Some(waiter) = waiters.get_mut(&req) else {
                    return;
                };
                let taken = waiter.emit(&tokens, finished);
                if finished {
                    waiters.remove(&req);
                }
                drop(waiters);
                if let Some(taken) = taken {
                    self.core.borrow_mut().consumed(req, taken);
                }
            }
            CoreAction::Refuse {
                req,
                refusal,
                outcome,
            } => {
                if let Some(waiter) = self.waiters.borrow_mut().remove(&req) {
                    if waiter.has_started() {
                        count(&self.refusals, "reason", refusal.reason.as_str());
                    }
                    waiter.refuse(req, refusal, outcome);
                }
            }
        }
    }

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
