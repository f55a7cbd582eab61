//! Fuzz test of placement with simulated targets that refuse outdated fencing tokens.

use crate::runner::{check, count_step};
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_base::{Fence, TargetId, Time};
use coriandercove_state::placement::{
    Assignment, DesiredRange, Outcome, Placement, PlacementAction, PlacementEvent, PlacementOrder,
    PlacementSettings, RangeId, TargetView,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::RngCore;
use std::time::Duration;

#[cfg(feature = "faults")]
thread_local! {
    /// Deliberate fault of the state machines that are created, if any.
    pub static FAULT: std::cell::Cell<Option<coriandercove_state::placement::PlacementFault>> =
        const { std::cell::Cell::new(None) };
}

const TARGETS: usize = 8;
const PLANNERS: usize = 2;
const TICK: Duration = Duration::from_millis(500);
/// Time for which orders and reports that were sent before a change may still be in flight. Within
/// it the planner may not know of the change, so the last-replica rule is not checked.
const SETTLE_TIME: Duration = Duration::from_secs(45);
/// Ticks without faults after which all ranges must have their replicas: 300 s.
const QUIET_TICKS: u32 = 600;

/// A transition of the simulated cluster.
#[derive(Debug, Clone)]
pub enum Step {
    /// Run this number of ticks.
    Wait(u32),
    /// Put the configuration with this index in force, see [`configuration`].
    Configure(usize),
    /// Give the lease to this planner; the previous holder is not told.
    TakeOver(usize),
    /// Pause this planner; its events wait.
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    /// Set the load of this target, in hundredths.
    Load(usize, u8),
    /// Lose this percentage of orders and answers.
    Loss(u64),
    /// Deliver this number of the next orders twice, the second time late.
    Duplicate(u32),
    /// Let this number of the next loads fail.
    Fail(u32),
}

struct Target {
    view: TargetView,
    /// Highest pair of fencing token and order number seen.
    highest_order: (Fence, u64),
    /// Fencing token of the load in progress, and the time at which it ends.
    load: Option<(Fence, Time)>,
}

struct Planner {
    placement: Placement,
    paused: bool,
    inbox: Vec<PlacementEvent>,
}

/// An order in flight: time of arrival, planner, target, incarnation of its agent, fencing token
/// and order number, order.
type OrderInFlight = (Time, usize, TargetId, u64, (Fence, u64), PlacementOrder);

/// Simulated planners and targets, and the orders and reports between them.
pub struct World {
    now: Time,
    rng: Rng,
    targets: Vec<Target>,
    planners: Vec<Planner>,
    fence: Fence,
    holder: usize,
    desired: Vec<DesiredRange>,
    /// Last time at which capacity was lost or the configuration changed.
    disturbed: Time,
    orders: Vec<OrderInFlight>,
    /// Answers and reports in flight: time of arrival, planner, event.
    answers: Vec<(Time, usize, PlacementEvent)>,
    loss_percent: u64,
    /// Number of orders that will still be duplicated.
    duplicates_left: u32,
    /// Number of loads that will still fail.
    failures_left: u32,
}

fn assignment(model: &str, first: u16, end: u16, version: &str) -> Assignment {
    Assignment {
        range: RangeId {
            model: model.into(),
            first_layer: first,
            end_layer: end,
        },
        version: version.into(),
    }
}

fn desired(assignment: Assignment, min: u32, adapters: &[&str]) -> DesiredRange {
    DesiredRange {
        assignment,
        min_replicas: min,
        max_replicas: min + 2,
        adapters: adapters.iter().map(ToString::to_string).collect(),
        roles: vec![("prefill".into(), 1), ("decode".into(), 1)],
        accelerators: Vec::new(),
        weight_bytes: 1 << 30,
    }
}

fn configuration(i: usize) -> Vec<DesiredRange> {
    let a = |first, end, version| assignment("a", first, end, version);
    match i {
        0 => vec![
            desired(a(0, 8, "1"), 2, &[]),
            desired(a(8, 16, "1"), 2, &["x"]),
        ],
        1 => vec![
            desired(a(0, 8, "2"), 2, &[]),
            desired(a(8, 16, "2"), 2, &["x", "y"]),
        ],
        2 => vec![
            desired(a(0, 8, "2"), 1, &[]),
            desired(a(8, 16, "2"), 3, &[]),
            desired(assignment("b", 0, 4, "1"), 2, &[]),
        ],
        _ => vec![desired(a(0, 16, "3"), 5, &[])],
    }
}

fn planner() -> Planner {
    let placement = Placement::new(PlacementSettings::default());
    #[cfg(feature = "faults")]
    let placement = match FAULT.get() {
        Some(fault) => placement.with_fault(fault),
        None => placement,
    };
    Planner {
        placement,
        paused: false,
        inbox: Vec::new(),
    }
}

fn target(i: usize) -> Target {
    Target {
        view: TargetView {
            target: format!("target-{i}").into(),
            zone: format!("zone-{}", i % 3).into(),
            accelerator: "a10".into(),
            incarnation: 1,
            revision: 0,
            available: true,
            holds: None,
            loading: None,
            adapters: Vec::new(),
            role: String::new(),
            load: 50,
        },
        highest_order: (0, 0),
        load: None,
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            rng: seeded(seed),
            targets: (0..TARGETS).map(target).collect(),
            planners: (0..PLANNERS).map(|_| planner()).collect(),
            fence: 0,
            holder: 0,
            desired: Vec::new(),
            disturbed: Time::ZERO,
            orders: Vec::new(),
            answers: Vec::new(),
            loss_percent: 0,
            duplicates_left: 0,
            failures_left: 0,
        };
        world.configure(0);
        world.take_over(0);
        world
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    /// Delivers an event to planner `i`, and sends the orders that follow; a paused planner gets it
    /// on resuming.
    fn send_event(&mut self, i: usize, event: PlacementEvent) {
        let planner = &mut self.planners[i];
        if planner.paused {
            if event != PlacementEvent::Tick {
                planner.inbox.push(event);
            }
            return;
        }
        for action in planner.placement.on_event(self.now, event) {
            let PlacementAction::Order {
                target,
                incarnation,
                fence,
                seq,
                order,
            } = action
            else {
                continue;
            };
            let at = self.now + Duration::from_millis(self.random_below(2000));
            if self.duplicates_left > 0 {
                self.duplicates_left -= 1;
                let late = at + Duration::from_secs(self.random_below(30));
                let copy = (
                    late,
                    i,
                    target.clone(),
                    incarnation,
                    (fence, seq),
                    order.clone(),
                );
                self.orders.push(copy);
            }
            if self.random_below(100) >= self.loss_percent {
                let order = (at, i, target, incarnation, (fence, seq), order);
                self.orders.push(order);
            }
        }
    }

    fn configure(&mut self, i: usize) {
        self.desired = configuration(i);
        self.disturbed = self.now;
        for p in 0..PLANNERS {
            self.send_event(p, PlacementEvent::Desired(configuration(i)));
        }
    }

    fn take_over(&mut self, i: usize) {
        self.fence += 1;
        self.holder = i;
        self.send_event(i, PlacementEvent::Holder(self.fence));
    }

    /// Targets that serve `assignment`, apart from `except`.
    fn serving(&self, assignment: &Assignment, except: usize) -> usize {
        self.targets
            .iter()
            .enumerate()
            .filter(|(i, t)| *i != except && t.view.available)
            .filter(|(_, t)| t.view.loading.is_none() && t.view.holds.as_ref() == Some(assignment))
            .count()
    }

    /// Checks that target `i` does not hold the last replica of a range that is still needed,
    /// before its assignment is replaced.
    fn check_replaced(&self, i: usize) {
        let Some(held) = self.targets[i].view.holds.as_ref() else {
            return;
        };
        if self.now < self.disturbed + SETTLE_TIME || self.serving(held, i) > 0 {
            return;
        }
        let wanted = self.desired.iter().any(|d| d.assignment == *held);
        let replaced = self
            .desired
            .iter()
            .filter(|d| d.assignment.range.model == held.range.model)
            .all(|d| self.serving(&d.assignment, i) > 0);
        assert!(
            !wanted && replaced,
            "an order replaces the last replica of {held:?}, on target {i}"
        );
    }

    /// Checks that each range is loaded by at most one target for one holder, and by at most one
    /// more for the previous holder.
    fn check_loads(&self, range: &RangeId, fence: Fence) {
        let loads_of = |f: Option<Fence>| {
            self.targets
                .iter()
                .filter(|t| {
                    t.view.available && t.load.is_some_and(|(l, _)| f.is_none_or(|f| f == l))
                })
                .filter(|t| t.view.loading.as_ref().is_some_and(|a| a.range == *range))
                .count()
        };
        let own = loads_of(Some(fence));
        assert!(
            own <= 1,
            "{own} loads of {range:?} at a time by fence {fence}, at most 1 allowed"
        );
        let all = loads_of(None);
        assert!(
            all <= 2,
            "{all} loads of {range:?} at a time, at most 2 allowed"
        );
    }

    /// Executes an order at target `i`, as its agent would.
    fn execute(&mut self, i: usize, fence: Fence, order: &PlacementOrder) -> Outcome {
        if matches!(order, PlacementOrder::Load(_)) && self.failures_left > 0 {
            self.failures_left -= 1;
            return Outcome::Failed;
        }
        let end = self.now + Duration::from_secs(3 + self.random_below(5));
        let replaces = match order {
            PlacementOrder::Load(a) => {
                let view = &self.targets[i].view;
                view.loading.as_ref().or(view.holds.as_ref()) != Some(a)
            }
            PlacementOrder::Unload => true,
            _ => false,
        };
        if replaces {
            self.check_replaced(i);
        }
        let target = &mut self.targets[i];
        let view = &mut target.view;
        view.revision += 1;
        match order {
            PlacementOrder::Load(a) if replaces => {
                (view.holds, view.loading) = (None, Some(a.clone()));
                view.adapters.clear();
                target.load = Some((fence, end));
                self.check_loads(&a.range.clone(), fence);
            }
            PlacementOrder::Unload => {
                (view.holds, view.loading) = (None, None);
                target.load = None;
            }
            PlacementOrder::LoadAdapter(a) => {
                if !view.adapters.contains(a) {
                    view.adapters.push(a.clone());
                }
                view.adapters.sort();
            }
            PlacementOrder::ChangeRole(r) => view.role.clone_from(r),
            PlacementOrder::Load(_) | PlacementOrder::Confirm => {}
        }
        Outcome::Done
    }

    /// Delivers an order to its target, and sends the answer.
    fn deliver_order(&mut self, (_, planner, name, incarnation, id, order): &OrderInFlight) {
        let i: usize = name.trim_start_matches("target-").parse().unwrap();
        let (id, fence) = (*id, id.0);
        if !self.targets[i].view.available || self.targets[i].view.incarnation != *incarnation {
            return;
        }
        let outcome = if id > self.targets[i].highest_order {
            self.targets[i].highest_order = id;
            self.execute(i, fence, order)
        } else if fence < self.targets[i].highest_order.0 {
            Outcome::Fenced
        } else {
            Outcome::Unknown
        };
        let answer = if *order == PlacementOrder::Confirm && outcome == Outcome::Done {
            let view = self.targets[i].view.clone();
            PlacementEvent::Confirmed { fence, view }
        } else {
            let target = name.clone();
            PlacementEvent::OrderResult {
                target,
                fence,
                outcome,
            }
        };
        let at = self.now + Duration::from_millis(self.random_below(2000));
        if self.random_below(100) >= self.loss_percent {
            self.answers.push((at, *planner, answer));
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, rest): (Vec<OrderInFlight>, Vec<OrderInFlight>) =
            std::mem::take(&mut self.orders)
                .into_iter()
                .partition(|o| o.0 <= now);
        self.orders = rest;
        for order in due {
            self.deliver_order(&order);
        }
        for target in &mut self.targets {
            if target.load.is_some_and(|(_, end)| end <= now) {
                target.load = None;
                target.view.holds = target.view.loading.take();
                target.view.revision += 1;
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.0 <= now);
        self.answers = rest;
        for (_, planner, event) in due {
            self.send_event(planner, event);
        }
        for planner in 0..PLANNERS {
            // Reports arrive up to 5 s late, and may overtake each other.
            let views = self.targets.iter().map(|t| t.view.clone()).collect();
            let at = self.now + Duration::from_millis(self.random_below(5000));
            self.answers
                .push((at, planner, PlacementEvent::Targets(views)));
            self.send_event(planner, PlacementEvent::Tick);
        }
    }

    fn kill(&mut self, i: usize) {
        let target = &mut self.targets[i];
        target.view.available = false;
        target.view.revision += 1;
        target.load = None;
        self.disturbed = self.now;
    }

    fn restart(&mut self, i: usize) {
        if !self.targets[i].view.available {
            let incarnation = self.targets[i].view.incarnation + 1;
            self.targets[i] = target(i);
            self.targets[i].view.incarnation = incarnation;
            // The agent reads the highest fencing token before it forwards any order.
            self.targets[i].highest_order = (self.fence, 0);
        }
    }

    fn resume(&mut self, i: usize) {
        self.planners[i].paused = false;
        for event in std::mem::take(&mut self.planners[i].inbox) {
            self.send_event(i, event);
        }
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Wait(n) => (0..n).for_each(|_| self.tick()),
            Step::Configure(i) => self.configure(i),
            Step::TakeOver(i) => self.take_over(i),
            Step::Pause(i) => self.planners[i].paused = true,
            Step::Resume(i) => self.resume(i),
            Step::Kill(i) => self.kill(i),
            Step::Restart(i) => self.restart(i),
            Step::Load(i, load) => {
                self.targets[i].view.load = load;
                self.targets[i].view.revision += 1;
            }
            Step::Loss(percent) => self.loss_percent = percent,
            Step::Duplicate(n) => self.duplicates_left = n,
            Step::Fail(n) => self.failures_left = n,
        }
        self.tick();
    }

    /// Ends all faults, runs the quiet ticks, and checks that each range has the replicas that the
    /// configuration demands.
    pub fn finish(&mut self) {
        (self.loss_percent, self.duplicates_left, self.failures_left) = (0, 0, 0);
        (0..PLANNERS).for_each(|i| self.resume(i));
        (0..TARGETS).for_each(|i| self.restart(i));
        self.take_over(self.holder);
        (0..QUIET_TICKS).for_each(|_| self.tick());
        for range in &self.desired {
            let have = self.serving(&range.assignment, usize::MAX);
            let want = range.min_replicas as usize;
            self.check_adapters_and_roles(range);
            assert!(
                have >= want,
                "{:?} has {have} of {want} replicas",
                range.assignment
            );
        }
    }
}

impl World {
    /// Checks that each replica has the adapters and each role has its replicas.
    fn check_adapters_and_roles(&self, range: &DesiredRange) {
        let serving: Vec<&TargetView> = self
            .targets
            .iter()
            .map(|t| &t.view)
            .filter(|v| v.holds.as_ref() == Some(&range.assignment))
            .collect();
        for view in &serving {
            let all = range.adapters.iter().all(|a| view.adapters.contains(a));
            assert!(
                all,
                "{} lacks some adapters of {:?}: {view:?}",
                view.target, range.adapters
            );
        }
        let wanted: u32 = range.roles.iter().map(|(_, n)| n).sum();
        if serving.len() >= wanted as usize {
            for (role, want) in &range.roles {
                let have = serving.iter().filter(|v| v.role == *role).count();
                assert!(
                    have >= *want as usize,
                    "{:?} has {have} of {want} replicas in role {role}",
                    range.assignment
                );
            }
        }
    }
}

/// Generates the transitions. Its state is only the seed of the simulation.
pub struct PlacementModel;

impl ReferenceStateMachine for PlacementModel {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let planner = || 0..PLANNERS;
        prop_oneof![
            10 => (1..200u32).prop_map(Step::Wait),
            2 => (0..4usize).prop_map(Step::Configure),
            3 => planner().prop_map(Step::TakeOver),
            1 => planner().prop_map(Step::Pause),
            2 => planner().prop_map(Step::Resume),
            1 => (0..TARGETS).prop_map(Step::Kill),
            2 => (0..TARGETS).prop_map(Step::Restart),
            3 => (0..TARGETS, 0..100u8).prop_map(|(i, l)| Step::Load(i, l)),
            1 => (0..40u64).prop_map(Step::Loss),
            1 => Just(Step::Loss(0)),
            2 => (1..6u32).prop_map(Step::Duplicate),
            1 => (1..3u32).prop_map(Step::Fail),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

pub struct PlacementTest;

impl StateMachineTest for PlacementTest {
    type SystemUnderTest = World;
    type Reference = PlacementModel;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        count_step();
        world.step(&step);
        world
    }

    fn teardown(mut world: World, _: u64) {
        world.finish();
    }
}

/// Guards against orders that remove the last replica of a range, against several loads of a range
/// at the same time, and against ranges that never get their replicas.
#[test]
fn ranges_keep_and_get_their_replicas() {
    check::<PlacementTest>("placement", &[1, 2, 3, 4], 64, 50);
}
