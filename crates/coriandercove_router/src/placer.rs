//! Orders engines to load layers, and reads the engines' reports.
//!
//! One entry gives the placement orders: the first by name among those that are ready and sent a
//! datagram lately. Two entries may both act as this leader for a moment. Every order therefore
//! states the number of orders that the target has accepted before, so that the target declines the
//! second one.

mod placements;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use coriandercove_base::hash::hash64;
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{ConfigVersion, NodeId, SortedMap, TargetId, Time};

use crate::fleet::{LayerRange, Target};
use crate::layout::uneven::{self, InFlight, MoveHistory, Situation};
use crate::layout::{self, Assignment, Holder};
use crate::peers::Peers;
use crate::protocol::{PlacementOrder, Report, Topic};
use crate::routes::{Configuration, EngineModel, Service, ServiceId};
use crate::state::Router;
use crate::sync::pause_after;
use crate::upstream::{ExchangeError, call};

pub use placements::{Placement, Placements};

/// Interval at which the placement is checked.
const PLACE_PERIOD: Duration = Duration::from_millis(250);
/// Interval at which the responsible entry reads the report of each engine.
const REPORT_PERIOD: Duration = Duration::from_millis(1500);
/// Of how many rounds the report of an engine that names a limit is read in one; reports count
/// against the limit.
const LIMITED_REPORT_ROUNDS: u32 = 4;
/// Interval at which the report of an engine that carries out an order is read.
const ORDER_POLL: Duration = Duration::from_millis(500);
/// Timeout of an order and of reading a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a probe that checks whether a hop of a silent or broken stream is alive.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a change in the number of targets, beyond the pause between two watches of the
/// platform's list, after which the first layout is made.
const SETTLE_MARGIN: Duration = Duration::from_millis(500);

/// Time without a change in the number of targets after which the list counts as complete. `pause`
/// is the pause between two watches of the list, in which no change can be seen.
fn settle_time(pause: Duration) -> Duration {
    pause + SETTLE_MARGIN
}

/// Maximum time after the first target was listed until the first layout is made.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(4);

/// Time without a change in the number of targets after which targets may be moved to other layers.
/// A restarted target is back within it and takes its old layers again.
const MOVE_AFTER: Duration = Duration::from_millis(1500);
/// Time after the last move at which another one may be made although the fleet keeps changing.
const MOVE_PAUSE: Duration = Duration::from_secs(3);

/// Minimum time between two searches for a move of uneven accelerators, whose outcome depends on the
/// requests in flight and thus changes while the fleet does not.
const UNEVEN_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Version of a configuration, and the store revision that it was read at.
type ConfigurationKey = (ConfigVersion, u64);

/// Reads the engines' reports, and gives placement orders while this entry is the leader.
pub struct Placer {
    router: Rc<Router>,
    peers: Rc<Peers>,
    last_move: Cell<Time>,
    /// Number of times that the reports were due.
    report_rounds: Cell<u32>,
    /// Configuration and targets for which no move was worth its cost.
    /// Comparing all moves takes milliseconds, and most checks find the fleet unchanged.
    last_balanced: RefCell<Option<(ConfigurationKey, Vec<Holder>)>>,
    /// State of services with uneven accelerators.
    histories: RefCell<SortedMap<ServiceId, UnevenState>>,
}

/// What the leader remembers of a service with uneven accelerators.
#[derive(Default)]
struct UnevenState {
    history: MoveHistory,
    /// Time of the last search for a move.
    last_check: Time,
    /// Last plan, with what it was computed from. The first layout takes tens of milliseconds, and
    /// its orders may have to wait for targets that accept no work.
    last_plan: Option<(ConfigurationKey, Vec<Holder>, Vec<Assignment>)>,
}

impl UnevenState {
    /// Layers for the targets that have none; computed once for the same fleet.
    fn plan(
        &mut self,
        engine: &EngineModel,
        cfg: ConfigurationKey,
        holders: &[Holder],
    ) -> Vec<Assignment> {
        if let Some((known_cfg, known, plan)) = &self.last_plan
            && *known_cfg == cfg
            && known == holders
        {
            return plan.clone();
        }
        let plan = uneven::plan(engine, holders);
        self.last_plan = Some((cfg, holders.to_vec(), plan.clone()));
        plan
    }
}

impl Placer {
    /// Starts the periodic checks and reports; they end when the subscriptions are dropped.
    #[must_use]
    pub fn start(router: Rc<Router>, peers: Rc<Peers>, timers: &TimerService) -> Vec<Subscription> {
        let placer = Rc::new(Self {
            router,
            peers,
            last_move: Cell::new(Time::ZERO),
            report_rounds: Cell::new(0),
            last_balanced: RefCell::default(),
            histories: RefCell::default(),
        });
        let place = {
            let placer = Rc::clone(&placer);
            timers.subscribe(PLACE_PERIOD, move || placer.place())
        };
        let report = timers.subscribe(REPORT_PERIOD, move || placer.read_reports());
        vec![place, report]
    }

    /// Drops outdated records, and gives the placement orders that are due if this entry is the
    /// leader.
    fn place(self: &Rc<Self>) {
        let now = self.router.now();
        self.router.load.borrow_mut().expire(now);
        self.router.usage.borrow_mut().expire(now);
        self.router.exclusions.borrow_mut().expire(now);
        self.router.limits.borrow_mut().expire(now);
        self.router.contention.expire(now);
        self.router.liveness.borrow_mut().expire(now);
        self.router
            .placements
            .borrow_mut()
            .expire(&self.router.fleet.borrow(), now);
        let peers = self.router.load.borrow().peers();
        self.router.metrics.peers.set(peers.cast_signed() as i64);
        if !self.peers.is_leader() {
            self.histories.borrow_mut().retain(|_, _| false);
            return;
        }
        let Some(cfg) = self.router.configuration() else {
            return;
        };
        for service in cfg.services().iter().filter(|s| s.engine.is_some()) {
            self.place_service(service, (cfg.version, cfg.revision), now);
        }
    }

    fn place_service(self: &Rc<Self>, service: &Arc<Service>, cfg: ConfigurationKey, now: Time) {
        let Some(engine) = &service.engine else {
            return;
        };
        let targets: Vec<Arc<Target>> = {
            let fleet = self.router.fleet.borrow();
            fleet.of_service(&service.name).map(Arc::clone).collect()
        };
        self.router
            .placements
            .borrow_mut()
            .record_targets(&targets, now);
        let is_uneven = self.router.contention_of(&service.name).is_uneven
            && targets.len() <= uneven::MAX_TARGETS;
        // Layers beyond the model's last one come from an earlier configuration or a peer with
        // another one; the target holds none of this model.
        let is_usable = |l: &LayerRange| !is_uneven || l.end <= engine.layers;
        let holders: Vec<Holder> = targets
            .iter()
            .filter(|t| !t.is_draining)
            .filter(|t| !self.router.placements.borrow().is_busy(t, now))
            .filter_map(|t| {
                let accelerator = engine.accelerator(&t.accelerator)?.clone();
                let planned = self.router.placements.borrow().planned(t, now);
                Some(Holder {
                    id: t.id.clone(),
                    zone: t.zone.clone(),
                    accelerator,
                    layers: planned.or_else(|| self.router.layers(t)).filter(is_usable),
                })
            })
            .collect();
        let is_first_layout = holders.iter().all(|h| h.layers.is_none());
        let quiet = settle_time(pause_after(Topic::Targets, self.router.live.get()));
        let is_settled = self
            .router
            .placements
            .borrow()
            .is_settled(now, quiet, MAX_SETTLE_TIME);
        if is_uneven && (!is_first_layout || is_settled) {
            // An empty target that takes no orders must not keep others from filling a gap.
            let mut holders = holders;
            holders.retain(|h| {
                let target = targets.iter().find(|t| t.id == h.id);
                h.layers.is_some() || target.is_some_and(|t| self.accepts_orders(t))
            });
            self.place_uneven(service, cfg, &targets, &holders, now);
        } else if !is_first_layout || is_settled {
            let mut assignments = layout::plan(engine, &holders);
            let is_idle = !self.router.placements.borrow().has_orders();
            if assignments.is_empty()
                && is_idle
                && self.may_move(now)
                && let Some(assignment) = self.find_move(engine, cfg, &holders)
            {
                self.last_move.set(now);
                assignments.push(assignment);
            }
            for assignment in assignments {
                self.order_assignment(&targets, &assignment, now);
            }
        }
        self.poll_orders(&targets, now);
    }

    /// Orders targets without layers to load some, or else the move that is worth its cost, for a
    /// service with uneven accelerators.
    fn place_uneven(
        self: &Rc<Self>,
        service: &Service,
        cfg: ConfigurationKey,
        targets: &[Arc<Target>],
        holders: &[Holder],
        now: Time,
    ) {
        let Some(engine) = &service.engine else {
            return;
        };
        let mut histories = self.histories.borrow_mut();
        let state = histories.get_or_insert_with(service.name.clone(), UnevenState::default);
        let in_flight = self.in_flight(targets);
        state.history.observe(in_flight, now);
        let assignments = state.plan(engine, cfg, holders);
        // The plan may take long on a small processor; orders count from when they are sent.
        let now = self.router.now();
        for assignment in &assignments {
            if self.order_assignment(targets, assignment, now) {
                state.history.record(&assignment.id, now);
            }
        }
        let is_due = now.saturating_sub(state.last_check) >= UNEVEN_CHECK_PERIOD;
        if !assignments.is_empty() || !is_due || !self.may_move(now) {
            return;
        }
        let loading: Vec<LayerRange> = {
            let placements = self.router.placements.borrow();
            if targets.iter().any(|t| placements.is_busy(t, now)) {
                // Another entry gave an order, to layers that this entry does not know.
                return;
            }
            let planned = targets.iter().filter_map(|t| placements.planned(t, now));
            planned.collect()
        };
        state.last_check = now;
        let situation = Situation {
            holders,
            loading: &loading,
            in_flight,
        };
        let before = uneven::sustained(engine, situation);
        let metrics = &self.router.metrics.placement;
        metrics
            .layout_capacity
            .set(before.per_second.round() as i64);
        let found = uneven::next_move_from(engine, situation, &state.history, now, before);
        let now = self.router.now();
        let Some(found) = found else {
            return;
        };
        if !self.order_assignment(targets, &found.assignment, now) {
            return;
        }
        let id = &found.assignment.id;
        state.history.record(id, now);
        self.last_move.set(now);
        metrics.moved(found.cause.name());
        info!(self.router.log, "move"; "target" => &**id,
            "layers" => found.assignment.layers.to_string(), "cause" => found.cause.name(),
            "capacity" => found.before.per_second.round(),
            "capacity_after" => found.after.per_second.round());
    }

    /// Sends the order for an assignment; returns whether it was sent.
    fn order_assignment(
        self: &Rc<Self>,
        targets: &[Arc<Target>],
        assignment: &Assignment,
        now: Time,
    ) -> bool {
        let target = targets.iter().find(|t| t.id == assignment.id);
        target.is_some_and(|t| self.order(t, assignment.layers, now))
    }

    /// Requests of all entries in flight at these targets.
    fn in_flight(&self, targets: &[Arc<Target>]) -> InFlight {
        let load = self.router.load.borrow();
        let mut sum = InFlight::default();
        for t in targets {
            let work = load.total(t.address);
            sum.requests += f64::from(work.first_hops);
            sum.kv += work.kv as f64;
        }
        sum
    }

    /// Returns the move that is worth its cost, if any. If there is none, the search is not
    /// repeated for the same fleet.
    fn find_move(
        &self,
        engine: &EngineModel,
        cfg: ConfigurationKey,
        holders: &[Holder],
    ) -> Option<Assignment> {
        let is_known = self
            .last_balanced
            .borrow()
            .as_ref()
            .is_some_and(|(c, known)| *c == cfg && known == holders);
        if is_known {
            return None;
        }
        let found = layout::rebalance(engine, holders);
        let balanced = found.is_none().then(|| (cfg, holders.to_vec()));
        *self.last_balanced.borrow_mut() = balanced;
        found
    }

    /// Whether a move is likely to last: the number of targets has been stable for a while, or it
    /// changes all the time and the last move was long ago.
    fn may_move(&self, now: Time) -> bool {
        let is_settled = self
            .router
            .placements
            .borrow()
            .is_settled(now, MOVE_AFTER, Duration::MAX);
        is_settled || now.saturating_sub(self.last_move.get()) >= MOVE_PAUSE
    }

    /// Whether the target can be sent orders.
    fn accepts_orders(&self, target: &Target) -> bool {
        self.router.accepts_work(target) && !self.router.is_paused(target.address)
    }

    /// Sends an order, unless the target accepts no work or an order was sent to it a moment ago.
    /// Returns whether it was sent.
    fn order(self: &Rc<Self>, target: &Arc<Target>, layers: LayerRange, now: Time) -> bool {
        if !self.accepts_orders(target) {
            return false;
        }
        let sequence = {
            let mut placements = self.router.placements.borrow_mut();
            if !placements.begin_order(target, layers, now) {
                return false;
            }
            placements.sequence(target)
        };
        let placer = Rc::clone(self);
        let target = Arc::clone(target);
        actix_rt::spawn(async move {
            let order = PlacementOrder {
                layers,
                expected_sequence: sequence,
            };
            placer.send_order(&target, order).await;
        });
        true
    }

    async fn send_order(&self, target: &Arc<Target>, order: PlacementOrder) {
        let request = self.router.protocol.placement_request(&order);
        self.router.record_sent(target.address);
        let answer = call(target.address, request, CALL_TIMEOUT).await;
        if let Ok(answer) = &answer {
            let facts = self
                .router
                .protocol
                .answer_facts(answer.status, &answer.headers);
            self.router.record_answer_of(&target.id, &facts);
        }
        let layers = order.layers;
        let outcome = match &answer {
            Ok(a) if a.status.is_success() => "accepted",
            Ok(a) if a.status.as_u16() == 409 => "declined",
            Ok(_) => "refused",
            Err(_) => "unanswered",
        };
        self.router.metrics.order(outcome);
        info!(self.router.log, "order"; "target" => &*target.id, "address" => %target.address,
            "layers" => layers.to_string(),
            "expected" => order.expected_sequence, "outcome" => outcome,
            "status" => answer.as_ref().ok().map(|a| a.status.as_u16()));
        match outcome {
            // An order without an answer may still be carried out; the engine's reports show it.
            "unanswered" => {}
            "accepted" => {
                // Status 200 means that the target holds the layers already; it does not count as
                // an order.
                if answer.is_ok_and(|a| a.status.as_u16() == 202) {
                    let mut placements = self.router.placements.borrow_mut();
                    placements.on_accepted(target, order.expected_sequence);
                }
            }
            "declined" => {
                // The target accepted another order: its report shows which layers it holds.
                if let Ok(report) = read_report(&self.router, target).await {
                    let now = self.router.now();
                    let mut placements = self.router.placements.borrow_mut();
                    placements.drop_order(target);
                    placements.on_report(target, &report, now);
                }
            }
            _ => self.router.placements.borrow_mut().drop_order(target),
        }
    }

    fn poll_orders(self: &Rc<Self>, targets: &[Arc<Target>], now: Time) {
        for t in targets {
            let is_due = !self.router.is_paused(t.address)
                && self
                    .router
                    .placements
                    .borrow_mut()
                    .begin_poll(t, now, ORDER_POLL);
            if is_due {
                self.read_target_report(t);
            }
        }
    }

    /// Reads the reports of the engines that this entry is responsible for.
    fn read_reports(self: &Rc<Self>) {
        let Some(cfg) = self.router.configuration() else {
            return;
        };
        let mut entries = self.peers.ready();
        entries.push(self.router.settings.node.clone());
        entries.sort();
        let round = self.report_rounds.get();
        self.report_rounds.set(round.wrapping_add(1));
        let is_due = |address| {
            let is_limited = self.router.limits.borrow().limit(address).is_some();
            let has_turn = !is_limited || round.is_multiple_of(LIMITED_REPORT_ROUNDS);
            has_turn && !self.router.is_paused(address)
        };
        let targets: Vec<Arc<Target>> = {
            let fleet = self.router.fleet.borrow();
            let all = fleet.iter().filter(|t| is_engine(&cfg, t));
            all.filter(|t| is_due(t.address))
                .filter(|t| responsible_entry(&t.id, &entries) == Some(&self.router.settings.node))
                .map(Arc::clone)
                .collect()
        };
        for t in &targets {
            self.read_target_report(t);
        }
    }

    fn read_target_report(self: &Rc<Self>, target: &Arc<Target>) {
        let placer = Rc::clone(self);
        let target = Arc::clone(target);
        actix_rt::spawn(async move {
            let router = &placer.router;
            match read_report(router, &target).await {
                Ok(report) => {
                    let now = router.now();
                    let is_changed = router
                        .placements
                        .borrow_mut()
                        .on_report(&target, &report, now);
                    if is_changed {
                        router.contention.room_changed.notify_one();
                        info!(router.log, "engine reports"; "target" => &*target.id,
                            "layers" => report.layers.map(|l| l.to_string()),
                            "slowness" => report.slowness, "busy" => report.is_busy,
                            "sequence" => report.order_sequence);
                    }
                    router.record_success(target.address);
                }
                Err(cause) => {
                    warn!(router.log, "no report"; "target" => &*target.id, "cause" => cause);
                    router.record_failure(target.address, "report");
                }
            }
        });
    }
}

fn is_engine(cfg: &Configuration, target: &Target) -> bool {
    cfg.service(&target.service)
        .is_some_and(|s| s.engine.is_some())
}

/// Returns the entry that reads the target's reports; all entries that know the same peers agree on
/// it.
fn responsible_entry<'a>(target: &TargetId, entries: &'a [NodeId]) -> Option<&'a NodeId> {
    entries
        .iter()
        .max_by_key(|e| hash64(&[target.as_bytes(), e.as_bytes()]))
}

async fn read_report(router: &Router, target: &Target) -> Result<Report, String> {
    let address = target.address;
    let request = router.protocol.report_request();
    router.record_sent(address);
    let answer = call(address, request, CALL_TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    let facts = router.protocol.answer_facts(answer.status, &answer.headers);
    router.record_answer_of(&target.id, &facts);
    if !answer.status.is_success() {
        return Err(format!("status {}", answer.status));
    }
    router
        .protocol
        .report(&answer.body)
        .map_err(|e| e.to_string())
}

/// Probes the hops of a silent or broken stream through which no event arrived since `since`, and
/// excludes those that do not answer. Returns whether any probe was started.
pub(crate) fn probe_hops(
    router: &Rc<Router>,
    hops: impl Iterator<Item = SocketAddr>,
    since: Time,
) -> bool {
    let addresses: Vec<SocketAddr> = {
        let mut liveness = router.liveness.borrow_mut();
        let now = router.now();
        hops.filter(|a| !router.is_paused(*a) && liveness.begin_probe(*a, since, now))
            .collect()
    };
    for address in &addresses {
        actix_rt::spawn(probe(Rc::clone(router), *address));
    }
    !addresses.is_empty()
}

/// Probes a target that broke a connection, to see whether it has ended.
pub(crate) fn probe_broken(router: &Rc<Router>, address: SocketAddr) {
    let now = router.now();
    if !router.is_paused(address) && router.liveness.borrow_mut().begin_recheck(address, now) {
        actix_rt::spawn(probe(Rc::clone(router), address));
    }
}

async fn probe(router: Rc<Router>, address: SocketAddr) {
    let request = router.protocol.report_request();
    router.record_sent(address);
    match call(address, request, PROBE_TIMEOUT).await {
        Ok(_) => router.liveness.borrow_mut().end_probe(address, true),
        Err(ExchangeError::Refused { .. }) => router.record_refused(address, "probe"),
        Err(_) => router.record_unreachable(address, "probe"),
    }
}

#[cfg(test)]
mod tests;
