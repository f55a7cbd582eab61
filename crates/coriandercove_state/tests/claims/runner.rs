//! Runs a state machine test from fixed or fresh seeds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

use coriandercove_base::rng::Rng;
use coriandercove_state::fault::{self, Fault};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of cases to run from fresh seeds instead of the fixed ones.
const CASES: &str = "CORIANDERCOVE_FUZZ_CASES";
/// Seed to start from instead of a fresh one.
const SEED: &str = "CORIANDERCOVE_FUZZ_SEED";
/// Cases that share a seed.
const CASES_PER_SEED: u32 = 64;

thread_local! {
    static TALLY: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
    static STEPS: Cell<u64> = const { Cell::new(0) };
    static VIOLATION: Cell<bool> = const { Cell::new(false) };
}

/// Counts a step of the current search.
pub fn count_step() {
    STEPS.set(STEPS.get() + 1);
}

/// Counts something that happened, to show what the cases reach.
pub fn tally(what: &'static str) {
    TALLY.with_borrow_mut(|tally| *tally.entry(what).or_default() += 1);
}

/// Fails the current case because the oracle found a violation. Unwinds without the panic
/// hook, because shrinking fails many times.
pub fn violation(what: &str) -> ! {
    VIOLATION.set(true);
    resume_unwind(Box::new(format!("violation: {what}")))
}

pub fn rng(seed: u64) -> Rng {
    coriandercove_base::rng::seeded(seed)
}

fn runner(seed: u64) -> TestRunner {
    let config = Config {
        cases: CASES_PER_SEED,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

fn run<T: StateMachineTest>(seed: u64, steps: usize) -> Result<(), String> {
    let mut runner = runner(seed);
    let config = runner.config().clone();
    let strategy = T::Reference::sequential_strategy(1..steps);
    let result = runner.run(&strategy, |(state, transitions, seen)| {
        T::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, (_, transitions, _))) => {
            Err(format!("seed {seed}: {reason}\n{transitions:#?}"))
        }
        Err(TestError::Abort(reason)) => Err(format!("seed {seed}: {reason}")),
    }
}

/// Whether the cases of a seed find a violation; stops at the first, without shrinking.
fn finds<T: StateMachineTest>(seed: u64, steps: usize) -> bool {
    let mut runner = runner(seed);
    let config = runner.config().clone();
    let strategy = T::Reference::sequential_strategy(1..steps);
    (0..CASES_PER_SEED).any(|_| {
        let tree = strategy.new_tree(&mut runner).expect("a case");
        let (state, transitions, seen) = tree.current();
        let case = || T::test_sequential(config.clone(), state, transitions, seen);
        catch_unwind(AssertUnwindSafe(case)).is_err()
    })
}

/// Runs the test from `seeds` fixed seeds, or as the environment says, and fails with a
/// shrunk sequence of steps. The fixed seeds must have tallied everything in `reached`.
pub fn check<T: StateMachineTest>(name: &str, seeds: u64, steps: usize, reached: &[&str]) {
    fault::set(None);
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let (first, count) = match (number(CASES), number(SEED)) {
        (Some(cases), seed) => {
            let fresh = || RandomState::new().hash_one(name) >> 16;
            let seed = seed.unwrap_or_else(fresh);
            (seed, cases.div_ceil(u64::from(CASES_PER_SEED)))
        }
        (None, Some(seed)) => (seed, 1),
        (None, None) => (1, seeds),
    };
    STEPS.set(0);
    println!("{name}: {count} seeds from {first}");
    for seed in first..first + count {
        if let Err(message) = run::<T>(seed, steps) {
            panic!("{name}: {message}");
        }
    }
    let tally = TALLY.with_borrow(Clone::clone);
    println!("{name}: {} steps, {tally:?}", STEPS.get());
    if number(CASES).or(number(SEED)).is_some() {
        // A few cases, as in the replay of a seed, need not reach everything.
        return;
    }
    let missed: Vec<_> = reached
        .iter()
        .filter(|r| !tally.contains_key(**r))
        .collect();
    assert!(missed.is_empty(), "{name}: never reached {missed:?}");
}

/// Steps until the test finds a violation with `fault` switched on.
pub fn steps_to_find<T: StateMachineTest>(fault: Fault, seeds: u64, steps: usize) -> Option<u64> {
    fault::set(Some(fault));
    STEPS.set(0);
    VIOLATION.set(false);
    let found = (1..=seeds).any(|seed| finds::<T>(seed, steps)) && VIOLATION.get();
    fault::set(None);
    found.then(|| STEPS.get())
}
