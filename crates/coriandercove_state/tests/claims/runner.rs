//! Runs a state machine test with fixed or random seeds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

use coriandercove_base::rng::Rng;
use coriandercove_state::fault::{self, Fault};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Environment variable: number of cases to run with random seeds instead of the fixed ones.
const CASES: &str = "CORIANDERCOVE_FUZZ_CASES";
/// Environment variable: first seed to use instead of a random one.
const SEED: &str = "CORIANDERCOVE_FUZZ_SEED";
/// Number of cases that are generated from one seed.
const CASES_PER_SEED: u32 = 64;

thread_local! {
    /// How often each event of [`tally`] happened.
    static TALLY: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
    /// Steps of the current search.
    static STEPS: Cell<u64> = const { Cell::new(0) };
    /// Whether the oracle reported a violation in the current search.
    static VIOLATION: Cell<bool> = const { Cell::new(false) };
}

/// Counts a step of the current search.
pub fn count_step() {
    STEPS.set(STEPS.get() + 1);
}

/// Counts an event by its name, to show which states the cases reach.
pub fn tally(what: &'static str) {
    TALLY.with_borrow_mut(|tally| *tally.entry(what).or_default() += 1);
}

/// Fails the current case because the oracle found a violation. Unwinds without calling the panic
/// hook, which would print a message for each of the many failures during shrinking.
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

/// Returns whether a case of a seed fails. Stops at the first one, without shrinking.
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

/// Runs the test with `seeds` fixed seeds, or as the environment variables say, and panics with a
/// shrunk sequence of steps if a case fails. The cases of the fixed seeds must tally each event in
/// `reached` at least once.
pub fn check<T: StateMachineTest>(name: &str, seeds: u64, steps: usize, reached: &[&str]) {
    fault::set(None);
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let (first, count) = match (number(CASES), number(SEED)) {
        (Some(cases), seed) => {
            let random = || RandomState::new().hash_one(name) >> 16;
            let seed = seed.unwrap_or_else(random);
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
        // A run with other seeds may have too few cases to reach everything.
        return;
    }
    let missed: Vec<_> = reached
        .iter()
        .filter(|r| !tally.contains_key(**r))
        .collect();
    assert!(missed.is_empty(), "{name}: never reached {missed:?}");
}

/// Returns the number of steps until the test finds a violation with `fault` switched on, or `None`
/// if it finds none.
pub fn steps_to_find<T: StateMachineTest>(fault: Fault, seeds: u64, steps: usize) -> Option<u64> {
    fault::set(Some(fault));
    STEPS.set(0);
    VIOLATION.set(false);
    let found = (1..=seeds).any(|seed| finds::<T>(seed, steps)) && VIOLATION.get();
    fault::set(None);
    found.then(|| STEPS.get())
}
