//! What a router knows and has in flight.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};

use coriandercove_base::rng::Rng;
use coriandercove_base::{Clock, MonotonicClock, Time};

use crate::budget::RetryBudget;
use crate::dialect::{Dialect, Topic};
use crate::events::{RouterMetrics, TargetGauges};
use crate::fleet::{Fleet, LayerRange, Target};
use crate::heard::Heard;
use crate::layout;
use crate::load::{Load, Work, ZonePair, zone_pair};
use crate::path::{Candidate, Demand, Hop, Narrowest, NoPath, Path, View, choose, narrowest};
use crate::placer::Placements;
use crate::routes::{Configuration, Service};
use crate::settings::Settings;
use crate::suspects::Suspects;

/// State of a router, shared by the parts of its runtime on one thread.
pub struct Router {
    /// Settings at the start.
    pub settings: Settings,
    /// Headers and bodies.
    pub dialect: Rc<dyn Dialect>,
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
    /// Orders given and layers reported since the platform's last list.
    pub placements: RefCell<Placements>,
    /// How far the peers have followed the platform.
    pub heard: Heard,
    /// Repeats.
    pub budget: RefCell<RetryBudget>,
    /// Source of random choices.
    pub rng: RefCell<Rng>,
    /// Whether the process is about to stop.
    pub is_leaving: Cell<bool>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
}

impl Router {
    /// A router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, log: Logger, rng: Rng) -> Self {
        let window = settings.retry_window();
        let budget = RetryBudget::new(settings.retry_ratio, settings.retry_slack, window);
        Self {
            settings,
            dialect,
            log,
            metrics: RouterMetrics::default(),
            clock: MonotonicClock::default(),
            configuration: RefCell::new(None),
            fleet: RefCell::default(),
            load: RefCell::default(),
            suspects: RefCell::default(),
            placements: RefCell::default(),
            heard: Heard::default(),
            budget: RefCell::new(budget),
            rng: RefCell::new(rng),
            is_leaving: Cell::new(false),
            in_flight: Cell::new(0),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
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

    /// Takes a success of a target in.
    pub fn trust(&self, target: SocketAddr) {
        if self.suspects.borrow_mut().on_success(target) {
            info!(self.log, "target trusted again"; "target" => %target);
        }
    }

    /// Whether a target takes new work.
    #[must_use]
    pub fn takes_work(&self, target: &Target) -> bool {
        let is_excluded = self
            .suspects
            .borrow()
            .is_excluded(target.address, self.now());
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

    /// Chooses a path for a model request, from its first part on if it has one.
    ///
    /// # Errors
    /// [`NoPath`] if no path has room, and the layer that limits it.
    pub fn choose_path(
        &self,
        service: &Service,
        demand: Demand,
        first_event_limit: Duration,
        first: Option<&Hop>,
    ) -> Result<Path, (NoPath, Narrowest)> {
        let Some(engine) = &service.engine else {
            return Err((NoPath::Incomplete, Narrowest::default()));
        };
        let fleet = self.fleet.borrow();
        let load = self.load.borrow();
        let candidates: Vec<Candidate> = fleet
            .of_service(&service.name)
            .filter(|t| self.takes_work(t))
            .filter_map(|t| {
                let layers = self.layers(t)?;
                let accelerator = engine.accelerator(&t.accelerator)?;
                let slowness = self.placements.borrow().slowness(t);
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
                })
            })
            .collect();
        let view = View {
            engine,
            candidates: &candidates,
            load: &load,
            entry_zone: &self.settings.zone,
            first_event_limit,
            first,
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
    /// Adds the work of an attempt over these parts.
    #[must_use]
    pub fn over_path(router: &Rc<Router>, hops: &[Hop], demand: Demand) -> Self {
        let work = hops.iter().enumerate().map(|(i, hop)| {
            let layers = hop.layers.len();
            let work = Work {
                requests: 1,
                first_parts: u32::from(i == 0),
                kv: demand.kv(layers),
                unread: u64::from(demand.prompt) * u64::from(layers),
            };
            (hop.address, work)
        });
        let changes = hops.windows(2).filter(|w| w[0].zone != w[1].zone);
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
