//! Gives orders to engines and follows what they hold.
//!
//! One entry gives the orders: the first by name among those that are ready and heard from. Two
//! entries may both believe that for a moment; every order names the number of orders that the
//! target has accepted before, so that the second one is declined.

mod placements;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use coriandercove_base::hash::hash64;
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{NodeId, TargetId, Time};

use crate::fleet::{LayerRange, Target};
use crate::layout::{self, Assignment, Holder};
use crate::peers::Peers;
use crate::protocol::{PlacementOrder, Report, Topic};
use crate::routes::{Configuration, EngineModel, Service};
use crate::state::Router;
use crate::sync::pause_after;
use crate::upstream::call;

pub use placements::{Placement, Placements};

/// Time between two looks at the placement.
const PLACE_PERIOD: Duration = Duration::from_millis(250);
/// Time between two reports read from each engine by the entry that watches it.
const REPORT_PERIOD: Duration = Duration::from_millis(1500);
/// Time between two reports read from an engine that carries an order out.
const ORDER_POLL: Duration = Duration::from_millis(500);
/// Time for an engine to answer an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a part of a broken stream's path to show that it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without a new target, beyond the pause between two looks at the platform's list, after which
/// the first layout is made.
const SETTLED: Duration = Duration::from_millis(500);

/// Time without a new target after which the list counts as whole, with this pause between looks.
fn settled_after(pause: Duration) -> Duration {
    pause + SETTLED
}

/// Time after the first target was seen at which the first layout is made anyway.
const SETTLE_AT_MOST: Duration = Duration::from_secs(4);

/// Time without a change of the list of targets after which targets are moved: a target that
/// restarts is back within it and fills its own gap.
const MOVE_AFTER: Duration = Duration::from_millis(1500);
/// Time after the last move at which another one is made although the fleet keeps changing.
const MOVE_PAUSE: Duration = Duration::from_secs(3);

/// Follows the engines and gives orders when it is this entry's turn.
pub struct Placer {
    router: Rc<Router>,
    peers: Rc<Peers>,
    last_move: Cell<Time>,
    /// Revision of the configuration and targets for which no move was worth it. The comparison of
    /// all moves takes milliseconds, and most looks find the fleet as it was.
    balanced: RefCell<Option<(u64, Vec<Holder>)>>,
}

impl Placer {
    /// Starts the placer; it ends when the subscriptions are dropped.
    #[must_use]
    pub fn start(router: Rc<Router>, peers: Rc<Peers>, timers: &TimerService) -> Vec<Subscription> {
        let placer = Rc::new(Self {
            router,
            peers,
            last_move: Cell::new(Time::ZERO),
            balanced: RefCell::default(),
        });
        let place = {
            let placer = Rc::clone(&placer);
            timers.subscribe(PLACE_PERIOD, move || placer.place())
        };
        let report = timers.subscribe(REPORT_PERIOD, move || placer.read_reports());
        vec![place, report]
    }

    /// Whether this entry gives the orders.
    fn is_leader(&self) -> bool {
        let own = &self.router.settings.node;
        let first = self.peers.ready().into_iter().min();
        self.router.is_ready() && first.is_none_or(|peer| *own < peer)
    }

    fn place(self: &Rc<Self>) {
        let now = self.router.now();
        self.router.load.borrow_mut().expire(now);
        self.router.suspects.borrow_mut().expire(now);
        self.router.pulse.borrow_mut().expire(now);
        self.router
            .placements
            .borrow_mut()
            .expire(&self.router.fleet.borrow(), now);
        let peers = self.router.load.borrow().peers();
        self.router.metrics.peers.set(peers.cast_signed() as i64);
        if !self.is_leader() {
            return;
        }
        let Some(cfg) = self.router.configuration() else {
            return;
        };
        for service in cfg.services().iter().filter(|s| s.engine.is_some()) {
            self.place_service(service, cfg.revision, now);
        }
    }

    fn place_service(self: &Rc<Self>, service: &Arc<Service>, revision: u64, now: Time) {
        let Some(engine) = &service.engine else {
            return;
        };
        let targets: Vec<Arc<Target>> = {
            let fleet = self.router.fleet.borrow();
            fleet.of_service(&service.name).map(Arc::clone).collect()
        };
        self.router.placements.borrow_mut().see(&targets, now);
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
                    layers: planned.or_else(|| self.router.layers(t)),
                })
            })
            .collect();
        let is_first = holders.iter().all(|h| h.layers.is_none());
        let quiet = settled_after(pause_after(Topic::Targets, self.router.live.get()));
        let settled = self
            .router
            .placements
            .borrow()
            .is_settled(now, quiet, SETTLE_AT_MOST);
        if !is_first || settled {
            let mut assignments = layout::plan(engine, &holders);
            let is_idle = !self.router.placements.borrow().has_orders();
            if assignments.is_empty()
                && is_idle
                && self.may_move(now)
                && let Some(assignment) = self.find_move(engine, revision, &holders)
            {
                self.last_move.set(now);
                assignments.push(assignment);
            }
            for assignment in assignments {
                if let Some(t) = targets.iter().find(|t| t.id == assignment.id) {
                    self.order(t, assignment.layers, now);
                }
            }
        }
        self.poll_orders(&targets, now);
    }

    /// The move that is worth it, if any; the answer for an unchanged fleet is kept.
    fn find_move(
        &self,
        engine: &EngineModel,
        revision: u64,
        holders: &[Holder],
    ) -> Option<Assignment> {
        let is_known = self
            .balanced
            .borrow()
            .as_ref()
            .is_some_and(|(r, known)| *r == revision && known == holders);
        if is_known {
            return None;
        }
        let found = layout::rebalance(engine, holders);
        let balanced = found.is_none().then(|| (revision, holders.to_vec()));
        *self.balanced.borrow_mut() = balanced;
        found
    }

    /// Whether a move now is not undone at once: the fleet has been as it is for a while, or, where
    /// it changes all the time, the last move is long ago.
    fn may_move(&self, now: Time) -> bool {
        let is_settled = self
            .router
            .placements
            .borrow()
            .is_settled(now, MOVE_AFTER, Duration::MAX);
        is_settled || now.saturating_sub(self.last_move.get()) >= MOVE_PAUSE
    }

    /// Sends an order unless the target is excluded or an order was just tried.
    fn order(self: &Rc<Self>, target: &Arc<Target>, layers: LayerRange, now: Time) {
        if !self.router.takes_work(target) {
            return;
        }
        let sequence = {
            let mut placements = self.router.placements.borrow_mut();
            if !placements.begin_order(target, layers, now) {
                return;
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
    }

    async fn send_order(&self, target: &Arc<Target>, order: PlacementOrder) {
        let request = self.router.protocol.placement_request(&order);
        let answer = call(target.address, request, CALL_TIMEOUT).await;
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
            // An order without an answer may still be carried out; reports tell.
            "unanswered" => {}
            "accepted" => {
                // 200 says that it holds the layers already, and counts no order.
                if answer.is_ok_and(|a| a.status.as_u16() == 202) {
                    let mut placements = self.router.placements.borrow_mut();
                    placements.on_accepted(target, order.expected_sequence);
                }
            }
            "declined" => {
                // Another order was accepted: the report tells which layers it holds.
                if let Ok(report) = read_report(&self.router, target.address).await {
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
            let is_due = self
                .router
                .placements
                .borrow_mut()
                .poll_due(t, now, ORDER_POLL);
            if is_due {
                self.read_one(t);
            }
        }
    }

    /// Reads the reports of the engines that this entry watches.
    fn read_reports(self: &Rc<Self>) {
        let Some(cfg) = self.router.configuration() else {
            return;
        };
        let mut watchers = self.peers.ready();
        watchers.push(self.router.settings.node.clone());
        watchers.sort();
        let targets: Vec<Arc<Target>> = {
            let fleet = self.router.fleet.borrow();
            let all = fleet.iter().filter(|t| is_engine(&cfg, t));
            all.filter(|t| watcher(&t.id, &watchers) == Some(&self.router.settings.node))
                .map(Arc::clone)
                .collect()
        };
        for t in &targets {
            self.read_one(t);
        }
    }

    fn read_one(self: &Rc<Self>, target: &Arc<Target>) {
        let placer = Rc::clone(self);
        let target = Arc::clone(target);
        actix_rt::spawn(async move {
            let router = &placer.router;
            match read_report(router, target.address).await {
                Ok(report) => {
                    let now = router.now();
                    let news = router
                        .placements
                        .borrow_mut()
                        .on_report(&target, &report, now);
                    if news {
                        info!(router.log, "engine reports"; "target" => &*target.id,
                            "layers" => report.layers.map(|l| l.to_string()),
                            "slowness" => report.slowness, "busy" => report.is_busy,
                            "sequence" => report.order_sequence);
                    }
                    router.trust(target.address);
                }
                Err(cause) => {
                    warn!(router.log, "no report"; "target" => &*target.id, "cause" => cause);
                    router.suspect(target.address, "report");
                }
            }
        });
    }
}

fn is_engine(cfg: &Configuration, target: &Target) -> bool {
    cfg.service(&target.service)
        .is_some_and(|s| s.engine.is_some())
}

/// The entry that watches a target; the same at every entry that knows the same peers.
fn watcher<'a>(target: &TargetId, entries: &'a [NodeId]) -> Option<&'a NodeId> {
    entries
        .iter()
        .max_by_key(|e| hash64(&[target.as_bytes(), e.as_bytes()]))
}

async fn read_report(router: &Router, address: SocketAddr) -> Result<Report, String> {
    let request = router.protocol.report_request();
    let answer = call(address, request, CALL_TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    if !answer.status.is_success() {
        return Err(format!("status {}", answer.status));
    }
    router
        .protocol
        .report(&answer.body)
        .map_err(|e| e.to_string())
}

/// Asks those parts of a silent or broken stream's path through which nothing came since `since`
/// whether they are alive, and excludes those that do not answer. Returns whether any is asked.
pub(crate) fn probe_parts(
    router: &Rc<Router>,
    parts: impl Iterator<Item = SocketAddr>,
    since: Time,
) -> bool {
    let addresses: Vec<SocketAddr> = {
        let mut pulse = router.pulse.borrow_mut();
        let now = router.now();
        parts
            .filter(|a| pulse.begin_probe(*a, since, now))
            .collect()
    };
    for address in &addresses {
        actix_rt::spawn(probe(Rc::clone(router), *address));
    }
    !addresses.is_empty()
}

async fn probe(router: Rc<Router>, address: SocketAddr) {
    let request = router.protocol.report_request();
    if call(address, request, PROBE_TIMEOUT).await.is_ok() {
        router.pulse.borrow_mut().end_probe(address, true);
    } else {
        router.lost(address, "probe");
    }
}

#[cfg(test)]
mod tests;
