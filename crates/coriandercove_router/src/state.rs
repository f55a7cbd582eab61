//! State of a router: configuration, targets, work in flight, and the choice of paths and targets.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use coriandercove_base::byte_budget::ByteBudget;
use coriandercove_base::rng::Rng;
use coriandercove_base::{Clock, MonotonicClock, SortedMap, Time, ZoneId};

use crate::attempt::Run;
use crate::budget::RetryBudget;
use crate::contention::{Contention, ContentionReport, ContentionState};
use crate::departures::{Departures, LeavingTarget};
use crate::exclusions::Exclusions;
use crate::fair_share::{Rank, ShareLimiter, Unseen, rank};
use crate::fleet::{Fleet, LayerRange, Target};
use crate::layout;
use crate::limits::Limits;
use crate::liveness::Liveness;
use crate::load::{Load, Work, ZonePair, zone_pair};
use crate::metrics::{RouterMetrics, TargetGauges};
use crate::newest_configuration::NewestConfiguration;
use crate::path::interference::FirstEventTiming;
use crate::path::{
    Bottleneck, Candidate, Demand, Hop, NoPath, Path, SearchContext, choose, choose_after,
    choose_in_time, find_bottleneck,
};
use crate::pauses::Pauses;
use crate::placer::Placements;
use crate::protocol::{AnswerFacts, NamedLimit, Protocol, Topic};
use crate::quarantine::Quarantine;
use crate::refusal::WaitEstimator;
use crate::revision_tracker::RevisionTracker;
use crate::routes::{Configuration, EngineModel, Route, Service};
use crate::settings::{LiveSettings, Settings};
use crate::silent_connections::SilentConnections;
use crate::stopping::Stop;
use crate::urgency::{Level, Newcomer};
use crate::usage::{AccountKey, UsageTracker};

/// State of a router, shared by all tasks of its thread.
pub struct Router {
    /// Settings that the process started with.
    pub settings: Settings,
    /// Settings that a reload changes while the process runs.
    pub live: Cell<LiveSettings>,
    /// Encoder and decoder of headers and bodies.
    pub protocol: Rc<dyn Protocol>,
    /// Logger with the entry's name.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: RouterMetrics,
    clock: MonotonicClock,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Newest version of the configuration that peers have in force.
    pub newest_configuration: RefCell<NewestConfiguration>,
    /// Targets that the platform lists.
    pub fleet: RefCell<Fleet>,
    /// Targets that left lately.
    pub departures: RefCell<Departures>,
    /// Work in flight at each target, of all entries.
    pub load: RefCell<Load>,
    /// Model requests in flight by client account, of all entries.
    pub usage: RefCell<UsageTracker>,
    /// Limit of the requests in flight of each account while the fleet is full.
    pub share_limiter: RefCell<ShareLimiter>,
    /// State of the parts for contended services.
    pub contention: ContentionState,
    /// Limits that targets in need name, and this entry's share of them.
    pub limits: RefCell<Limits>,
    /// Targets that asked for a pause.
    pub pauses: RefCell<Pauses>,
    /// Failing targets that get no new work.
    pub exclusions: RefCell<Exclusions>,
    /// Last events and probes of targets.
    pub liveness: RefCell<Liveness>,
    /// Notified when a probe of a target or a connection to it fails.
    pub target_unreachable: Notify,
    /// Parts of prompts that crash targets.
    pub quarantine: RefCell<Quarantine>,
    /// Notified when a part comes into quarantine or a quarantine is lifted.
    pub quarantine_changed: Notify,
    /// Whether the next datagram to the peers must not wait.
    pub is_news_urgent: Cell<bool>,
    /// Orders and layers of engines that are newer than the platform's list.
    pub placements: RefCell<Placements>,
    /// Store revisions that this entry and its peers know.
    pub revisions: RevisionTracker,
    /// When connections to the store were found silent.
    pub silent_connections: SilentConnections,
    /// Estimate of the retry delay for refused callers.
    pub wait_estimator: RefCell<WaitEstimator>,
    /// Memory for the bodies, answers and events of requests.
    pub bytes: Arc<ByteBudget>,
    /// Budget of repeated attempts.
    pub retry_budget: RefCell<RetryBudget>,
    /// Source of random numbers.
    pub rng: RefCell<Rng>,
    /// Times of the planned stop that is in progress; callers should not be sent here any more.
    pub stop: Cell<Option<Stop>>,
    /// Notified when requests whose answers have not begun must be given up, because the process ends.
    pub giving_up: Notify,
}

impl Router {
    /// Creates a router without configuration and targets.
    #[must_use]
    pub fn new(settings: Settings, protocol: Rc<dyn Protocol>, log: Logger, rng: Rng) -> Self {
        let live = settings.live();
        let budget = RetryBudget::new(live.retry_ratio, live.retry_slack, live.retry_window);
        let has_peers = settings.seeds.iter().any(|s| s.ip() != settings.peers.ip());
        let limits = Limits::new(settings.node.clone(), has_peers);
        let metrics = RouterMetrics::default();
        Self {
            bytes: ByteBudget::new(settings.memory_mb, metrics.held_bytes.clone()),
            settings,
            limits: RefCell::new(limits),
            live: Cell::new(live),
            protocol,
            log,
            metrics,
            clock: MonotonicClock::default(),
            configuration: RefCell::new(None),
            newest_configuration: RefCell::default(),
            fleet: RefCell::default(),
            departures: RefCell::default(),
            load: RefCell::default(),
            usage: RefCell::default(),
            share_limiter: RefCell::default(),
            contention: ContentionState::default(),
            pauses: RefCell::default(),
            exclusions: RefCell::default(),
            liveness: RefCell::default(),
            target_unreachable: Notify::new(),
            quarantine: RefCell::default(),
            quarantine_changed: Notify::new(),
            is_news_urgent: Cell::new(false),
            placements: RefCell::default(),
            revisions: RevisionTracker::default(),
            silent_connections: SilentConnections::default(),
            wait_estimator: RefCell::default(),
            retry_budget: RefCell::new(budget),
            rng: RefCell::new(rng),
            stop: Cell::new(None),
            giving_up: Notify::new(),
        }
    }

    /// Time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Applies changed settings.
    pub fn apply_settings(&self, live: LiveSettings) {
        self.live.set(live);
        self.contention.changed.notify_one();
        self.retry_budget.borrow_mut().set_limits(
            live.retry_ratio,
            live.retry_slack,
            live.retry_window,
        );
    }

    /// The configuration in force; none until the first one was received.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The contention for a service, by the configuration and the setting in force.
    #[must_use]
    pub fn contention_of(&self, service: &str) -> Contention {
        let cfg = self.configuration();
        let Some(cfg) = cfg.filter(|c| c.service(service).is_some_and(|s| s.engine.is_some()))
        else {
            return Contention::default();
        };
        cfg.contention(service).under(self.live.get().contention)
    }

    /// What this entry tells its peers of contended services. Without any, the report is empty although
    /// the parts may still hold what they learned before.
    #[must_use]
    pub fn contention_report(&self, now: Time) -> ContentionReport {
        let cfg = self.configuration();
        let mut services = cfg.iter().flat_map(|c| c.services());
        if services.any(|s| self.contention_of(&s.name).is_contended()) {
            self.contention.report(now)
        } else {
            ContentionReport::default()
        }
    }

    /// Puts a configuration in force, unless the one in force is of a higher version, or of the same
    /// version at the same or a higher store revision.
    ///
    /// The version decides, as the revisions of a store that came back from an older copy are given
    /// out again, and the copy may hold an older version.
    pub fn apply(&self, new: Rc<Configuration>) {
        if let Some(old) = self.configuration() {
            if old.version > new.version {
                info!(self.log, "older configuration, the one in force stays";
                    "version" => new.version, "revision" => new.revision,
                    "in_force" => old.version);
                return;
            }
            if old.version == new.version && old.revision >= new.revision {
                return;
            }
        }
        info!(self.log, "configuration in force"; "version" => new.version,
            "revision" => new.revision, "routes" => new.route_count());
        self.metrics.version.set(new.version.cast_signed());
        *self.configuration.borrow_mut() = Some(new);
        self.contention.changed.notify_one();
    }

    /// Whether callers may be sent here: a configuration and targets are known, and the process is
    /// not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_state = self.configuration.borrow().is_some() && !self.fleet.borrow().is_empty();
        has_state && self.stop.get().is_none()
    }

    /// Whether a request that is complete now is taken. During a planned stop, those that may last longer
    /// than the process are not.
    #[must_use]
    pub fn takes_request(&self, deadline: Time) -> bool {
        let now = self.now();
        self.stop.get().is_none_or(|stop| stop.takes(now, deadline))
    }

    /// Records a failure of a target, which excludes the target from new work for a while.
    pub fn record_failure(&self, target: SocketAddr, cause: &str) {
        let excluded = self.exclusions.borrow_mut().on_failure(target, self.now());
        if let Some(time) = excluded {
            self.metrics.exclusion(cause);
            warn!(self.log, "target excluded"; "target" => %target, "cause" => cause,
                "ms" => time.as_millis());
        }
    }

    /// Records a failed probe or connection attempt, excludes the target and wakes the streams
    /// through it.
    pub fn record_unreachable(&self, target: SocketAddr, cause: &str) {
        self.liveness.borrow_mut().end_probe(target, false);
        self.record_failure(target, cause);
        self.target_unreachable.notify_waiters();
    }

    /// Records a connection that was refused: nothing listens at the target's address.
    pub fn record_refused(&self, target: SocketAddr, cause: &str) {
        self.liveness.borrow_mut().on_ended(target, self.now());
        self.record_ended_target(target);
        self.record_unreachable(target, cause);
        self.record_refusal(target);
    }

    /// Records that an incarnation of a target has ended within an answer: nothing listens at its
    /// address, or else another incarnation answers there already.
    pub fn record_ended(&self, target: SocketAddr, is_refused: bool) {
        if is_refused {
            self.record_refused(target, "ended");
            return;
        }
        self.liveness.borrow_mut().on_ended(target, self.now());
        self.record_ended_target(target);
        self.target_unreachable.notify_waiters();
    }

    /// Whether the incarnation of a target that ran a request is known to have ended: nothing listened
    /// at its address after it had broken the connection, or another one was born. One that is only
    /// silent may go on, and so may one that is gone from the platform's list: it may leave without
    /// saying so, or its entry may have lapsed.
    #[must_use]
    pub fn has_ended(&self, run: &Run) -> bool {
        let liveness = self.liveness.borrow();
        let broke_at = run.broke_at;
        if broke_at.is_some_and(|at| liveness.has_ended(run.address, run.sent_at, at)) {
            return true;
        }
        let fleet = self.fleet.borrow();
        let listed = fleet.get(&run.target);
        listed.is_some_and(|t| run.started_ms > 0 && t.started_ms > run.started_ms)
    }

    /// Records a success of a target, which ends its exclusion.
    pub fn record_success(&self, target: SocketAddr) {
        if self.exclusions.borrow_mut().on_success(target) {
            info!(self.log, "target trusted again"; "target" => %target);
            self.contention.room_changed.notify_one();
        }
    }

    /// Whether the limit that a target names, and the pause that it asked for, allow a request of this
    /// entry now.
    #[must_use]
    pub fn may_send(&self, target: SocketAddr) -> bool {
        let now = self.now();
        self.limits.borrow().allows(target, now) && self.pauses.borrow().allows(target, now)
    }

    /// Whether a target is within a pause that it asked for.
    #[must_use]
    pub fn is_paused(&self, target: SocketAddr) -> bool {
        self.pauses.borrow().is_paused(target, self.now())
    }

    /// Records that an incarnation of a target is leaving, as one of its answers or a peer said. It
    /// gets no new work until it is born again, whatever the platform's list says.
    pub fn record_leaving(&self, leaving: &LeavingTarget, is_own: bool) {
        let now = self.now();
        let mut departures = self.departures.borrow_mut();
        if !departures.on_leaving(leaving, is_own, now) {
            return;
        }
        if is_own {
            self.is_news_urgent.set(true);
        }
        info!(self.log, "target is leaving"; "id" => &*leaving.id,
            "started_ms" => leaving.started_ms, "source" => if is_own { "answer" } else { "peer" });
        let mut fleet = self.fleet.borrow_mut();
        let known = fleet.get(&leaving.id);
        if let Some(known) = known.filter(|t| t.started_ms == leaving.started_ms) {
            let mut target = Target::clone(known);
            target.is_draining = true;
            fleet.insert(Arc::new(target));
        }
    }

    /// Records what an answer of a listed target says of its leaving.
    pub fn record_answer_of(&self, id: &str, facts: &AnswerFacts) {
        if !facts.is_leaving {
            return;
        }
        let started_ms = self.fleet.borrow().get(id).map(|t| t.started_ms);
        if let Some(started_ms) = started_ms {
            let id = id.into();
            self.record_leaving(&LeavingTarget { id, started_ms }, true);
        }
    }

    /// Records the pause that a target asks for as it turns a request away, or that it took a request
    /// sent at `sent_at`.
    pub fn record_pause(&self, target: SocketAddr, pause: Option<Duration>, sent_at: Time) {
        let Some(wait) = pause else {
            self.pauses.borrow_mut().on_accepted(target, sent_at);
            return;
        };
        let mut rng = self.rng.borrow_mut();
        let kept = self
            .pauses
            .borrow_mut()
            .on_refused(target, wait, self.now(), &mut rng);
        self.metrics.pauses.inc();
        info!(self.log, "target wants a pause"; "target" => %target,
            "ms" => wait.as_millis(), "kept_ms" => kept.as_millis());
    }

    /// Counts a request, probe or order that is sent to a target against its limit.
    pub fn record_sent(&self, target: SocketAddr) {
        let now = self.now();
        self.limits.borrow_mut().on_sent(target, now);
        self.pauses.borrow_mut().on_sent(target, now);
    }

    /// Whether a target of the service names a limit or asked for a pause.
    #[must_use]
    pub fn has_limited_target(&self, service: &str) -> bool {
        let (fleet, limits) = (self.fleet.borrow(), self.limits.borrow());
        let mut targets = fleet.of_service(service);
        targets.any(|t| limits.limit(t.address).is_some() || self.is_paused(t.address))
    }

    /// Records what an answer of a target says about its limit; `sent_at` is the time at which the
    /// request was sent.
    pub fn record_limit(&self, target: SocketAddr, named: NamedLimit, sent_at: Time) {
        self.metrics.named_limit(named);
        let is_changed = self.limits.borrow_mut().on_answer(
            target,
            named,
            sent_at,
            self.now(),
            &mut self.rng.borrow_mut(),
        );
        if is_changed {
            self.is_news_urgent.set(true);
            self.log_limit(target, "answer");
        } else if named == NamedLimit::Unreadable {
            warn!(self.log, "limit not readable, the one before stays"; "target" => %target);
        }
    }

    /// Logs a changed limit and whether an answer or a peer showed it.
    pub(crate) fn log_limit(&self, target: SocketAddr, source: &str) {
        let limits = self.limits.borrow();
        self.metrics
            .limited_targets
            .set(limits.len().cast_signed() as i64);
        match limits.limit(target) {
            Some(limit) => info!(self.log, "limit of a target"; "target" => %target,
                "per_second" => limit, "source" => source),
            None => info!(self.log, "limit of a target withdrawn"; "target" => %target,
                "source" => source),
        }
    }

    /// Whether a target accepts new work: it is neither draining nor excluded, and no probe of it
    /// is overdue.
    #[must_use]
    pub fn accepts_work(&self, target: &Target) -> bool {
        self.is_usable(target) && !self.is_excluded_by_peers(target)
    }

    /// Whether a target accepts new work by what this entry itself knows of it.
    pub(crate) fn is_usable(&self, target: &Target) -> bool {
        let (address, now) = (target.address, self.now());
        let is_excluded = self.exclusions.borrow().is_excluded(address, now)
            || self.liveness.borrow().is_probe_overdue(address, now);
        !target.is_draining && !is_excluded
    }

    /// Layers that a target holds, by the newest information; none while it accepts no new work.
    #[must_use]
    pub fn layers(&self, target: &Target) -> Option<LayerRange> {
        self.placements.borrow().layers(target)
    }

    /// Updates the gauges of platform calls and of work in flight, before the metrics are read.
    pub fn refresh_gauges(&self) {
        let now = self.now();
        for topic in [Topic::Configuration, Topic::Targets] {
            let age = now.saturating_sub(self.revisions.last_answer(topic));
            self.metrics.platform_age(topic.as_str(), age);
        }
        self.refresh_outage_gauge();
        let levels = self.contention.levels.borrow();
        self.metrics.levels.set_in_flight(&levels);
        let paused = self.pauses.borrow_mut().count(now);
        self.metrics.paused_targets.set(paused.cast_signed() as i64);
        let promised = self.contention.returns.borrow().promised(now);
        let promised = i64::try_from(promised).unwrap_or(i64::MAX);
        self.metrics.returning.promised.set(promised);
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

    /// Chooses a path for a model request. If the request is running already, `running` is its
    /// path, whose first hop is kept. First hops in `tried` are chosen only if there is no other.
    /// `rank` is the request's position among those that no digest shows.
    ///
    /// # Errors
    /// [`NoPath`], with the layer at which fewest targets have room.
    pub fn choose_path(
        &self,
        service: &Service,
        demand: Demand,
        timing: FirstEventTiming,
        running: Option<&[Hop]>,
        tried: &[SocketAddr],
        rank: Rank,
    ) -> Result<Path, (NoPath, Bottleneck)> {
        let Some(engine) = &service.engine else {
            return Err((NoPath::Incomplete, Bottleneck::default()));
        };
        let fleet = self.fleet.borrow();
        let load = self.load.borrow();
        let mut rng = self.rng.borrow_mut();
        let (max_jitter, max_zone_jitter) = jitter_limits(running.is_some(), self.now());
        let left = self.share_left(engine);
        let mut zones: SortedMap<ZoneId, f64> = SortedMap::default();
        let candidates: Vec<Candidate> = fleet
            .of_service(&service.name)
            .filter(|t| self.accepts_work(t))
            .filter_map(|t| {
                let layers = self.layers(t)?;
                let accelerator = engine.accelerator(&t.accelerator)?;
                let slowness = self.placements.borrow().slowness(t);
                let zone_jitter = if max_zone_jitter > 1.0 {
                    let draw = || rng.random_range(1.0..=max_zone_jitter);
                    *zones.get_or_insert_with(t.zone.clone(), draw)
                } else {
                    1.0
                };
                Some(Candidate {
                    id: t.id.clone(),
                    address: t.address,
                    zone: t.zone.clone(),
                    layers,
                    // Without a permit, a target may still be a later hop.
                    slots: if self.may_send(t.address) { t.slots } else { 0 },
                    kv_capacity: layout::kv_capacity(engine, accelerator, layers.len()),
                    decode_factor: accelerator.decode_factor * slowness,
                    prefill_factor: accelerator.prefill_factor * slowness,
                    work: load.total_after(t.address, left),
                    is_tried: tried.contains(&t.address),
                    jitter: zone_jitter * rng.random_range(1.0..=max_jitter),
                })
            })
            .collect();
        let context = SearchContext {
            engine,
            candidates: &candidates,
            load: &load,
            entry_zone: &self.settings.zone,
            first_event_limit: timing.limit,
            yields_to: rank.yields_to,
            running,
            interference: self
                .contention_of(&service.name)
                .is_contended()
                .then(|| timing.into()),
        };
        let path = match running {
            Some(_) => choose(context, demand),
            None if self.contention_of(&service.name).is_ranked => {
                choose_in_time(context, demand, rank.ahead)
            }
            None => choose_after(context, demand, rank.ahead),
        };
        if let Ok(path) = &path {
            self.metrics.long_prompts.outcome(path.long_prompt);
        }
        path.map_err(|reason| (reason, find_bottleneck(context, demand)))
    }

    /// Expected share of the peers' requests in flight that have not ended since their last digests.
    fn share_left(&self, engine: &EngineModel) -> f64 {
        let age = self.usage.borrow().mean_age(self.now());
        let service = self.service_time(engine);
        (-age.as_secs_f64() / service.as_secs_f64().max(MIN_SERVICE_SECONDS)).exp()
    }

    /// Ranks a new request of the account; none if the account has its fair share of a full fleet
    /// in flight already. `is_returning` tells for contended services whether its caller was refused
    /// before.
    #[must_use]
    pub fn rank(
        &self,
        account: AccountKey,
        engine: &EngineModel,
        is_returning: Option<bool>,
    ) -> Option<Rank> {
        let usage = self.usage.borrow();
        let now = self.now();
        let unseen = Unseen {
            arrived: usage.unseen(now),
            left: self.share_left(engine),
        };
        let draw = self.rng.borrow_mut().random();
        let draw = is_returning.map_or(draw, |is_returning| {
            let returns = self.contention.returns.borrow();
            returns.position(is_returning, draw, now)
        });
        let uses = usage.uses(now);
        let rank = rank(account, &uses, unseen, draw);
        let limiter = self.share_limiter.borrow();
        let is_allowed = limiter.allows(rank.own_requests, &uses, unseen.left, now);
        is_allowed.then_some(rank)
    }

    /// Ranks a new request of a service whose callers compete; none if its level has its part of a
    /// full fleet already.
    #[must_use]
    pub fn rank_level(
        &self,
        (level, account, is_returning): (Level, AccountKey, bool),
        demand: Demand,
        engine: &EngineModel,
    ) -> Option<Rank> {
        let draw = self.rng.borrow_mut().random();
        let returns = self.contention.returns.borrow();
        let newcomer = Newcomer {
            level,
            account,
            size: demand.usual_sizes(engine),
            draw: returns.position(is_returning, draw, self.now()),
        };
        let levels = self.contention.levels.borrow();
        levels.rank(newcomer, self.service_time(engine), self.now())
    }

    fn service_time(&self, engine: &EngineModel) -> Duration {
        let estimator = self.wait_estimator.borrow();
        estimator.service_time(engine.usual_service_time())
    }

    /// Records that a request of this rank found no room, of a service whose callers compete.
    pub fn record_full_level(&self, rank: Rank, engine: &EngineModel) {
        let mut levels = self.contention.levels.borrow_mut();
        levels.on_full(rank, self.service_time(engine), self.now());
    }

    /// Records that a target declined a request of a service whose callers compete.
    pub fn record_declined_level(&self) {
        let mut levels = self.contention.levels.borrow_mut();
        levels.on_not_run(self.now());
    }

    /// Maximum expected time to the first event of a new request of a service whose callers compete.
    #[must_use]
    pub fn first_event_limit(
        &self,
        service: &str,
        (level, route): (Level, &Route),
        rank: Rank,
    ) -> Duration {
        let cfg = self.configuration();
        let routes = cfg.iter().flat_map(|cfg| cfg.routes_to(service));
        let routes = routes.map(|r| (r.priority, r.objective));
        let levels = self.contention.levels.borrow();
        levels.first_event_limit((level, route.objective), rank.yields_to, routes, self.now())
    }

    /// Records that a model request of this rank found no room.
    pub fn record_full(&self, rank: Rank, engine: &EngineModel) {
        let usage = self.usage.borrow();
        let now = self.now();
        let in_flight: u32 = usage.uses(now).iter().map(|u| u.requests).sum();
        let mut limiter = self.share_limiter.borrow_mut();
        let counted = f64::from(in_flight) * self.share_left(engine) + rank.ahead;
        limiter.on_full(counted, now);
    }

    /// Chooses the target of a plain service that has the fewest requests for each of its slots,
    /// with a preference for this entry's zone. Targets in `tried` are chosen only if there is no
    /// other, and so are those that accept no new work. Targets whose limit allows no request now are
    /// left out.
    #[must_use]
    pub fn choose_target(&self, service: &str, tried: &[SocketAddr]) -> Option<Arc<Target>> {
        let fleet = self.fleet.borrow();
        let load = self.load.borrow();
        let listed: Vec<&Arc<Target>> = fleet
            .of_service(service)
            .filter(|t| !t.is_draining && self.may_send(t.address))
            .collect();
        // A lower rank is better. Targets that were not tried and accept work come first, but any
        // target is better than none.
        let rank = |t: &Arc<Target>| {
            let requests = f64::from(load.total(t.address).requests);
            let is_remote = t.zone != self.settings.zone;
            let occupancy = requests / f64::from(t.slots.max(1));
            (
                tried.contains(&t.address),
                !self.accepts_work(t),
                occupancy + if is_remote { REMOTE_PENALTY } else { 0.0 },
            )
        };
        let best = listed.into_iter().min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        best.map(Arc::clone)
    }

    /// Counts one repeat against this entry's share of the retry budget. Returns whether the share
    /// allows it.
    pub fn try_take_repeat(&self) -> bool {
        let entries = self.load.borrow().peers() + 1;
        self.retry_budget.borrow_mut().try_take(self.now(), entries)
    }
}

/// Maximum factor by which a hop is randomly made to look slower, so that entries that do not know
/// each other's latest choices choose differently. The kinds of accelerators differ by more.
const MAX_JITTER: f64 = 1.1;
/// The same for the new hops of a changed path, as many streams are led around one hop at once, and
/// for all hops while an entry has just started.
const MAX_CHANGE_JITTER: f64 = 1.5;
/// The same for all hops of a zone while an entry has just started, perhaps together with all
/// others: callers return at once, and no entry knows the others' work.
const MAX_START_ZONE_JITTER: f64 = 3.0;
/// Time after the start until the other entries' work is known; a few of their digests arrive
/// within it.
const START_PERIOD: Duration = Duration::from_millis(1500);

/// Maximum jitter of a single hop, and of all hops of a zone together.
fn jitter_limits(is_running: bool, since_start: Time) -> (f64, f64) {
    match (is_running, since_start < START_PERIOD) {
        (true, _) => (MAX_CHANGE_JITTER, 1.0),
        (false, true) => (MAX_CHANGE_JITTER, MAX_START_ZONE_JITTER),
        (false, false) => (MAX_JITTER, 1.0),
    }
}

/// Lower bound of the assumed time of an answer, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.2;
/// Penalty of a target in another zone than the entry's, in requests for each slot.
const REMOTE_PENALTY: f64 = 0.3;

/// Work of one attempt; it counts as in flight until this value is dropped.
pub struct InFlight {
    router: Rc<Router>,
    /// Account of a model request; none for plain services.
    account: Option<AccountKey>,
    /// Level of a request of a service whose callers compete.
    level: Option<Level>,
    work: Vec<(SocketAddr, Work)>,
    /// Pairs of zones that the prompt crosses; empty once the prompt has been prefilled.
    links: Vec<ZonePair>,
    /// Prompt tokens; 0 for plain services.
    prompt: u32,
}

impl InFlight {
    /// Adds the work of an attempt over these hops. Hops that the previous path `before` has hold
    /// the prompt already.
    #[must_use]
    pub fn over_path(
        router: &Rc<Router>,
        (account, level): (AccountKey, Option<Level>),
        hops: &[Hop],
        before: &[Hop],
        demand: Demand,
    ) -> Self {
        let is_kept = |hop: &Hop| before.contains(hop);
        let work = hops.iter().enumerate().map(|(i, hop)| {
            let mut work = Work::of_hop(demand, hop.layers, i == 0);
            if is_kept(hop) {
                work.pending_prefill = 0;
            }
            (hop.address, work)
        });
        let changes = hops
            .windows(2)
            .filter(|w| w[0].zone != w[1].zone && !is_kept(&w[1]));
        let links = changes.map(|w| zone_pair(&w[0].zone, &w[1].zone));
        let in_flight = Self {
            router: Rc::clone(router),
            account: Some(account),
            level,
            work: work.collect(),
            links: links.collect(),
            prompt: demand.prompt,
        };
        in_flight.begin();
        in_flight
    }

    /// Adds the work of a request to a plain service.
    #[must_use]
    pub fn at_target(router: &Rc<Router>, target: SocketAddr) -> Self {
        let work = Work {
            requests: 1,
            first_hops: 1,
            ..Work::default()
        };
        let in_flight = Self {
            router: Rc::clone(router),
            account: None,
            level: None,
            work: vec![(target, work)],
            links: Vec::new(),
            prompt: 0,
        };
        in_flight.begin();
        in_flight
    }

    fn begin(&self) {
        let mut load = self.router.load.borrow_mut();
        for (target, work) in &self.work {
            load.begin(*target, *work, self.prompt);
        }
        for link in &self.links {
            load.begin_transfer(link.clone(), u64::from(self.prompt));
        }
        if let Some(account) = self.account {
            let now = self.router.now();
            self.router.usage.borrow_mut().begin(account, now);
            if let Some(level) = self.level {
                let mut levels = self.router.contention.levels.borrow_mut();
                levels.begin(level, account, now);
            }
        }
    }

    /// Removes the prompt from the work in flight, once it has been prefilled at every hop.
    pub fn on_prompt_prefilled(&mut self) {
        let mut load = self.router.load.borrow_mut();
        for (target, work) in &mut self.work {
            let prefilled = Work {
                pending_prefill: std::mem::take(&mut work.pending_prefill),
                ..Work::default()
            };
            load.end(*target, prefilled, self.prompt);
        }
        for link in std::mem::take(&mut self.links) {
            load.end_transfer(&link, u64::from(self.prompt));
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut load = self.router.load.borrow_mut();
        for (target, work) in &self.work {
            load.end(*target, *work, self.prompt);
        }
        for link in &self.links {
            load.end_transfer(link, u64::from(self.prompt));
        }
        if let Some(account) = self.account {
            self.router.usage.borrow_mut().end(account);
            if let Some(level) = self.level {
                let mut levels = self.router.contention.levels.borrow_mut();
                levels.end(level, account);
            }
        }
        self.router.contention.room_changed.notify_one();
    }
}
