//! Fuzzing of placement over in-memory targets that refuse old fencing numbers.

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
    pub static FAULT: std::cell::Cell<Option<coriandercove_state::placement::PlacementFault>> =
        const { std::cell::Cell::new(None) };
}

const TARGETS: usize = 8;
const PLANNERS: usize = 2;
const TICK: Duration = Duration::from_millis(500);
/// Time for which orders and reports given before a change may still be on their way. Within it
/// the planner cannot know of the change, so the last-replica rule is not checked.
const SETTLE: Duration = Duration::from_secs(45);
/// Quiet rounds after which all ranges must have their replicas: 300 s.
const QUIET: u32 = 600;

/// What happens to the world.
#[derive(Debug, Clone)]
pub enum Step {
    Wait(u32),
    /// One of the configurations below is in force.
    Configure(usize),
    /// The lease changes hands; the old holder does not know.
    TakeOver(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    Load(usize, u8),
    /// Of a hundred orders, so many are lost.
    Loss(u64),
    /// The next orders arrive twice, the second time late.
    Double(u32),
    /// The next loads fail.
    Fail(u32),
}

struct Target {
    view: TargetView,
    /// Highest fencing number and order number seen.
    seen: (Fence, u64),
    /// Fencing number of the load in progress and its end.
    load: Option<(Fence, Time)>,
}

struct Planner {
    placement: Placement,
    paused: bool,
    inbox: Vec<PlacementEvent>,
}

/// Time of arrival, planner, target, its run, fencing number and order number, order.
type OrderMail = (Time, usize, TargetId, u64, (Fence, u64), PlacementOrder);

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
    orders: Vec<OrderMail>,
    answers: Vec<(Time, usize, PlacementEvent)>,
    loss: u64,
    double: u32,
    fail: u32,
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
        seen: (0, 0),
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
            loss: 0,
            double: 0,
            fail: 0,
        };
        world.configure(0);
        world.take_over(0);
        world
    }

    fn pick(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn event(&mut self, i: usize, event: PlacementEvent) {
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
            let at = self.now + Duration::from_millis(self.pick(2000));
            if self.double > 0 {
                self.double -= 1;
                let late = at + Duration::from_secs(self.pick(30));
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
            if self.pick(100) >= self.loss {
                let mail = (at, i, target, incarnation, (fence, seq), order);
                self.orders.push(mail);
            }
        }
    }

    fn configure(&mut self, i: usize) {
        self.desired = configuration(i);
        self.disturbed = self.now;
        for p in 0..PLANNERS {
            self.event(p, PlacementEvent::Desired(configuration(i)));
        }
    }

    fn take_over(&mut self, i: usize) {
        self.fence += 1;
        self.holder = i;
        self.event(i, PlacementEvent::Holder(self.fence));
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

    /// Placement never takes the last replica of a range that is still needed.
    fn check_replaced(&self, i: usize) {
        let Some(held) = self.targets[i].view.holds.as_ref() else {
            return;
        };
        if self.now < self.disturbed + SETTLE || self.serving(held, i) > 0 {
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
            "the last replica of {held:?} is taken from target {i}"
        );
    }

    /// One slow load at a time for each range by one holder, and at most one more by the holder
    /// before.
    fn check_loads(&self, range: &RangeId, fence: Fence) {
        let of = |f: Option<Fence>| {
            self.targets
                .iter()
                .filter(|t| {
                    t.view.available && t.load.is_some_and(|(l, _)| f.is_none_or(|f| f == l))
                })
                .filter(|t| t.view.loading.as_ref().is_some_and(|a| a.range == *range))
                .count()
        };
        assert!(of(Some(fence)) <= 1, "two loads of {range:?} at a time");
        assert!(of(None) <= 2, "three loads of {range:?} at a time");
    }

    fn carry_out(&mut self, i: usize, fence: Fence, order: &PlacementOrder) -> Outcome {
        if matches!(order, PlacementOrder::Load(_)) && self.fail > 0 {
            self.fail -= 1;
            return Outcome::Failed;
        }
        let end = self.now + Duration::from_secs(3 + self.pick(5));
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

    fn order(&mut self, (_, planner, name, incarnation, id, order): &OrderMail) {
        let i: usize = name.trim_start_matches("target-").parse().unwrap();
        let (id, fence) = (*id, id.0);
        if !self.targets[i].view.available || self.targets[i].view.incarnation != *incarnation {
            return;
        }
        let outcome = if id > self.targets[i].seen {
            self.targets[i].seen = id;
            self.carry_out(i, fence, order)
        } else if fence < self.targets[i].seen.0 {
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
        let at = self.now + Duration::from_millis(self.pick(2000));
        if self.pick(100) >= self.loss {
            self.answers.push((at, *planner, answer));
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, rest): (Vec<OrderMail>, Vec<OrderMail>) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|o| o.0 <= now);
        self.orders = rest;
        for mail in due {
            self.order(&mail);
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
            self.event(planner, event);
        }
        for planner in 0..PLANNERS {
            // Reports lag by up to 5 s, and may overtake each other.
            let views = self.targets.iter().map(|t| t.view.clone()).collect();
            let at = self.now + Duration::from_millis(self.pick(5000));
            self.answers
                .push((at, planner, PlacementEvent::Targets(views)));
            self.event(planner, PlacementEvent::Tick);
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
            // The agent reads the highest fencing number before it passes on any order.
            self.targets[i].seen = (self.fence, 0);
        }
    }

    fn resume(&mut self, i: usize) {
        self.planners[i].paused = false;
        for event in std::mem::take(&mut self.planners[i].inbox) {
            self.event(i, event);
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
            Step::Loss(percent) => self.loss = percent,
            Step::Double(n) => self.double = n,
            Step::Fail(n) => self.fail = n,
        }
        self.tick();
    }

    /// After the quiet rounds each range has the replicas that the configuration wants.
    pub fn finish(&mut self) {
        (self.loss, self.double, self.fail) = (0, 0, 0);
        (0..PLANNERS).for_each(|i| self.resume(i));
        (0..TARGETS).for_each(|i| self.restart(i));
        self.take_over(self.holder);
        (0..QUIET).for_each(|_| self.tick());
        for range in &self.desired {
            let have = self.serving(&range.assignment, usize::MAX);
            let want = range.min_replicas as usize;
            self.check_details(range);
            assert!(
                have >= want,
                "{:?} has {have} of {want} replicas",
                range.assignment
            );
        }
    }
}

impl World {
    /// Each replica has the adapters, and each role has its replicas.
    fn check_details(&self, range: &DesiredRange) {
        let serving: Vec<&TargetView> = self
            .targets
            .iter()
            .map(|t| &t.view)
            .filter(|v| v.holds.as_ref() == Some(&range.assignment))
            .collect();
        for view in &serving {
            let all = range.adapters.iter().all(|a| view.adapters.contains(a));
            assert!(all, "{} lacks adapters: {view:?}", view.target);
        }
        let wanted: u32 = range.roles.iter().map(|(_, n)| n).sum();
        if serving.len() >= wanted as usize {
            for (role, want) in &range.roles {
                let have = serving.iter().filter(|v| v.role == *role).count();
                assert!(have >= *want as usize, "{have} of {want} {role} replicas");
            }
        }
    }
}

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
            2 => (1..6u32).prop_map(Step::Double),
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

/// Guards against orders that take the last replica of a range, against several loads of a range
/// at a time, and against ranges that do not get their replicas.
#[test]
fn ranges_keep_and_get_their_replicas() {
    check::<PlacementTest>("placement", &[1, 2, 3, 4], 64, 50);
}
