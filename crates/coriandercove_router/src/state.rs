//! What a router knows and has in flight.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use coriandercove_base::rng::Rng;
use coriandercove_base::{Clock, MonotonicClock, SortedMap, Time, ZoneId};

use crate::admit::Pressure;
use crate::budget::RetryBudget;
use crate::events::{RouterMetrics, TargetGauges};
use crate::fleet::{Fleet, LayerRange, Target};
use crate::heard::Heard;
use crate::layout;
use crate::load::{Load, Work, ZonePair, zone_pair};
use crate::path::{Candidate, Demand, Hop, Narrowest, NoPath, Path, View, choose, narrowest};
use crate::placer::Placements;
use crate::protocol::{Protocol, Topic};
use crate::pulse::Pulse;
use crate::routes::{Configuration, Service};
use crate::settings::{LiveSettings, Settings};
use crate::suspects::Suspects;

/// State of a router, shared by the parts of its runtime on one thread.
pub struct Router {
    /// Settings at the start.
    pub settings: Settings,
    /// Settings that are followed while the process runs.
    pub live: Cell<LiveSettings>,
    /// Headers and bodies.
    pub protocol: Rc<dyn Protocol>,
    /// Log.
    pub log: Logger,
    /// Counters.
    pub metrics: RouterMetrics,
    clock: MonotonicClock,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Listed targets.
    pub fleet: RefCell<Fleet>,
    /// Work in flight.
    pub load: RefCell<Load>,
    /// Targets without new work.
    pub suspects: RefCell<Suspects>,
    /// Signs of life of targets.
    pub pulse: RefCell<Pulse>,
    /// Notified when a target fails a probe.
    pub found_lost: Notify,
    /// Orders given and layers reported since the platform's last list.
    pub placements: RefCell<Placements>,
    /// How far the peers have followed the platform.
    pub heard: Heard,
    /// How much must be refused.
    pub pressure: RefCell<Pressure>,
    /// Repeats.
    pub budget: RefCell<RetryBudget>,
    /// Source of random choices.
    pub rng: RefCell<Rng>,
    /// Whether the process is about to stop.
    pub is_leaving: Cell<bool>,
}

impl Router {
    /// A router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, protocol: Rc<dyn Protocol>, log: Logger, rng: Rng) -> Self {
        let live = settings.live();
        let budget = RetryBudget::new(live.retry_ratio, live.retry_slack, live.retry_window);
        Self {
            settings,
            live: Cell::new(live),
            protocol,
            log,
            metrics: RouterMetrics::default(),
            clock: MonotonicClock::default(),
            configuration: RefCell::new(None),
            fleet: RefCell::default(),
            load: RefCell::default(),
            suspects: RefCell::default(),
            pulse: RefCell::default(),
            found_lost: Notify::new(),
            placements: RefCell::default(),
            heard: Heard::default(),
            pressure: RefCell::default(),
            budget: RefCell::new(budget),
            rng: RefCell::new(rng),
            is_leaving: Cell::new(false),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Follows changed settings.
    pub fn follow(&self, live: LiveSettings) {
        self.live.set(live);
        self.budget
            .borrow_mut()
            .set_limits(live.retry_ratio, live.retry_slack, live.retry_window);
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a configuration in force unless the one in force is newer.
    pub fn apply(&self, new: Rc<Configuration>) {
        let old = self.configuration();
        if old.is_some_and(|old| old.revision >= new.revision) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => new.version,
            "revision" => new.revision, "routes" => new.route_count());
        self.metrics.version.set(new.version.cast_signed());
        *self.configuration.borrow_mut() = Some(new);
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows = self.configuration.borrow().is_some() && !self.fleet.borrow().is_empty();
        knows && !self.is_leaving.get()
    }

    /// Takes a failure of a target in.
    pub fn suspect(&self, target: SocketAddr, cause: &str) {
        let excluded = self.suspects.borrow_mut().on_failure(target, self.now());
        if let Some(time) = excluded {
            self.metrics.exclusion(cause);
            warn!(self.log, "target excluded"; "target" => %target, "cause" => cause,
                "ms" => time.as_millis());
        }
    }

    /// Takes the failure of a probe or connection in, and wakes the streams through the target.
    pub fn lost(&self, target: SocketAddr, cause: &str) {
        self.pulse.borrow_mut().end_probe(target, false);
        self.suspect(target, cause);
        self.found_lost.notify_waiters();
    }

    /// Takes a success of a target in.
    pub fn trust(&self, target: SocketAddr) {
        if self.suspects.borrow_mut().on_success(target) {
            info!(self.log, "target trusted again"; "target" => %target);
        }
    }

    /// Whether a target takes new work.
    #[must_use]
    pub fn takes_work(&self, target: &Target) -> bool {
        let (address, now) = (target.address, self.now());
        let is_excluded = self.suspects.borrow().is_excluded(address, now)
            || self.pulse.borrow().is_unanswered(address, now);
        !target.is_draining && !is_excluded
    }

    /// Layers that a target holds, by the newest knowledge.
    #[must_use]
    pub fn layers(&self, target: &Target) -> Option<LayerRange> {
        self.placements.borrow().layers(target)
    }

    /// Brings the gauges of what is known and in flight up to date, before they are read.
    pub fn refresh_gauges(&self) {
        let now = self.now();
        for topic in [Topic::Configuration, Topic::Targets] {
            let age = now.saturating_sub(self.heard.answered(topic));
            self.metrics.platform_age(topic.as_str(), age);
        }
        let (fleet, load) = (self.fleet.borrow(), self.load.borrow());
        let cfg = self.configuration();
        let gauges = fleet.iter().map(|t| {
            let work = load.total(t.address);
            let capacity = cfg.as_ref().and_then(|cfg| {
                let engine = cfg.service(&t.service)?.engine.as_ref()?;
                let accelerator = engine.accelerator(&t.accelerator)?;
                let layers = self.layers(t)?;
                Some(layout::kv_capacity(engine, accelerator, layers.len()))
            });
            TargetGauges {
                id: &t.id,
                requests: work.requests,
                kv_percent: capacity
                    .filter(|c| *c > 0)
                    .map(|c| (work.kv * 100 / c).cast_signed()),
            }
        });
        self.metrics.targets_in_flight(gauges);
    }

    /// Chooses a path for a model request, from its first part on if it runs already. First parts in
    /// `tried` come last.
    ///
    /// # Errors
    /// [`NoPath`] if no path has room, and the layer that limits it.
    pub fn choose_path(
        &self,
        service: &Service,
        demand: Demand,
        first_event_limit: Duration,
        running: Option<&[Hop]>,
        tried: &[SocketAddr],
    ) -> Result<Path, (NoPath, Narrowest)> {
        let Some(engine) = &service.engine else {
            return Err((NoPath::Incomplete, Narrowest::default()));
        };
        let fleet = self.fleet.borrow();
        let load = self.load.borrow();
        let mut rng = self.rng.borrow_mut();
        let (most, most_of_zone) = most_handicap(running.is_some(), self.now());
        let mut zones: SortedMap<ZoneId, f64> = SortedMap::default();
        let candidates: Vec<Candidate> = fleet
            .of_service(&service.name)
            .filter(|t| self.takes_work(t))
            .filter_map(|t| {
                let layers = self.layers(t)?;
                let accelerator = engine.accelerator(&t.accelerator)?;
                let slowness = self.placements.borrow().slowness(t);
                let of_zone = if most_of_zone > 1.0 {
                    let draw = || rng.random_range(1.0..=most_of_zone);
                    *zones.get_or_insert_with(t.zone.clone(), draw)
                } else {
                    1.0
                };
                Some(Candidate {
                    id: t.id.clone(),
                    address: t.address,
                    zone: t.zone.clone(),
                    layers,
                    slots: t.slots,
                    kv_capacity: layout::kv_capacity(engine, accelerator, layers.len()),
                    decode_factor: accelerator.decode_factor * slowness,
                    prefill_factor: accelerator.prefill_factor * slowness,
                    work: load.total(t.address),
                    is_tried: tried.contains(&t.address),
                    handicap: of_zone * rng.random_range(1.0..=most),
                })
            })
            .collect();
        let view = View {
            engine,
            candidates: &candidates,
            load: &load,
            entry_zone: &self.settings.zone,
            first_event_limit,
            running,
        };
        choose(view, demand).map_err(|reason| (reason, narrowest(view, demand)))
    }

    /// Chooses the target of a plain service with the fewest requests for its slots, in this zone
    /// where that makes no difference. Targets in `tried` come last.
    #[must_use]
    pub fn choose_target(&self, service: &str, tried: &[SocketAddr]) -> Option<Arc<Target>> {
        let fleet = self.fleet.borrow();
        let load = self.load.borrow();
        let listed: Vec<&Arc<Target>> = fleet
            .of_service(service)
            .filter(|t| !t.is_draining)
            .collect();
        // Lower is better: an untried and trusted target first, but any rather than none.
        let rank = |t: &Arc<Target>| {
            let requests = f64::from(load.total(t.address).requests);
            let is_remote = t.zone != self.settings.zone;
            let occupancy = requests / f64::from(t.slots.max(1));
            (
                tried.contains(&t.address),
                !self.takes_work(t),
                occupancy + if is_remote { REMOTE_RANK } else { 0.0 },
            )
        };
        let best = listed.into_iter().min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        best.map(Arc::clone)
    }

    /// Takes one repeat out of this entry's share of the budget.
    pub fn take_repeat(&self) -> bool {
        let entries = self.load.borrow().peers() + 1;
        self.budget.borrow_mut().take(self.now(), entries)
    }
}

/// Most by which a part is made to look slower, at random, so that entries that do not know of each
/// other's last choices do not choose alike; kinds of accelerators differ by more.
const HANDICAP: f64 = 1.1;
/// The same for new parts of a changed path: many streams are led around one part at once.
const CHANGE_HANDICAP: f64 = 1.5;
/// The same for all parts of a zone while an entry has just started, perhaps together with all
/// others: callers return at once, and no entry knows of another's work.
const START_ZONE_HANDICAP: f64 = 3.0;
/// Time after the start until the other entries' work is known: a few of their digests.
const START_TIME: Duration = Duration::from_millis(1500);

/// Most handicap of a part, and of all parts of its zone.
fn most_handicap(is_running: bool, since_start: Time) -> (f64, f64) {
    match (is_running, since_start < START_TIME) {
        (true, _) => (CHANGE_HANDICAP, 1.0),
        (false, true) => (CHANGE_HANDICAP, START_ZONE_HANDICAP),
        (false, false) => (HANDICAP, 1.0),
    }
}

/// Advantage of a target in the entry's own zone, in requests for each slot.
const REMOTE_RANK: f64 = 0.3;

/// Work of one attempt; it ends when this value is dropped.
pub struct InFlight {
    router: Rc<Router>,
    work: Vec<(SocketAddr, Work)>,
    /// Changes of zones, until the prompt has been read.
    links: Vec<ZonePair>,
    /// Prompt tokens that cross each of them.
    prompt: u64,
}

impl InFlight {
    /// Adds the work of an attempt over these parts. Those that `before` has hold the prompt already.
    #[must_use]
    pub fn over_path(router: &Rc<Router>, hops: &[Hop], before: &[Hop], demand: Demand) -> Self {
        let is_kept = |hop: &Hop| before.contains(hop);
        let work = hops.iter().enumerate().map(|(i, hop)| {
            let layers = hop.layers.len();
            let unread = u64::from(demand.prompt) * u64::from(layers);
            let work = Work {
                requests: 1,
                first_parts: u32::from(i == 0),
                kv: demand.kv(layers),
                unread: if is_kept(hop) { 0 } else { unread },
            };
            (hop.address, work)
        });
        let changes = hops
            .windows(2)
            .filter(|w| w[0].zone != w[1].zone && !is_kept(&w[1]));
        let links = changes.map(|w| zone_pair(&w[0].zone, &w[1].zone));
        Self::begin(
            router,
            work.collect(),
            links.collect(),
            u64::from(demand.prompt),
        )
    }

    /// Adds the work of a request to a plain service.
    #[must_use]
    pub fn at_target(router: &Rc<Router>, target: SocketAddr) -> Self {
        let work = Work {
            requests: 1,
            first_parts: 1,
            ..Work::default()
        };
        Self::begin(router, vec![(target, work)], Vec::new(), 0)
    }

    fn begin(
        router: &Rc<Router>,
        work: Vec<(SocketAddr, Work)>,
        links: Vec<ZonePair>,
        prompt: u64,
    ) -> Self {
        let mut load = router.load.borrow_mut();
        for (target, work) in &work {
            load.begin(*target, *work);
        }
        for link in &links {
            load.begin_transfer(link.clone(), prompt);
        }
        drop(load);
        Self {
            router: Rc::clone(router),
            work,
            links,
            prompt,
        }
    }

    /// Notes that the prompt has been read.
    pub fn prompt_is_read(&mut self) {
        let mut load = self.router.load.borrow_mut();
        for (target, work) in &mut self.work {
            let read = Work {
                unread: std::mem::take(&mut work.unread),
                ..Work::default()
            };
            load.end(*target, read);
        }
        for link in std::mem::take(&mut self.links) {
            load.end_transfer(&link, self.prompt);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut load = self.router.load.borrow_mut();
        for (target, work) in &self.work {
            load.end(*target, *work);
        }
        for link in &self.links {
            load.end_transfer(link, self.prompt);
        }
    }
}
