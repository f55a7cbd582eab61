//! Runs the state machine test from fixed or random seeds.

use std::cell::Cell;
use std::hash::{BuildHasher, RandomState};
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};

use coriandercove_agent::stage::fault as agent_fault;
use coriandercove_base::rng::Rng;
use coriandercove_entry::core::fault as entry_fault;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::RngCore;

/// Environment variable with the number of cases to run from random seeds instead of the fixed
/// ones.
const CASES_VAR: &str = "CORIANDERCOVE_FUZZ_CASES";
/// Environment variable with the first seed, instead of a random one.
const SEED_VAR: &str = "CORIANDERCOVE_FUZZ_SEED";
/// Number of cases that are generated from one seed.
const CASES_PER_SEED: u32 = 16;

/// A deliberate fault of an agent or of an entry.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Agent(agent_fault::Fault),
    Entry(entry_fault::Fault),
}

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
    static WHOLE: Cell<u64> = const { Cell::new(0) };
    static VIOLATION: Cell<bool> = const { Cell::new(false) };
}

/// Counts a step of the current run.
pub fn count_step() {
    STEPS.set(STEPS.get() + 1);
}

/// Counts the complete responses of a case.
pub fn count_whole(answers: u64) {
    WHOLE.set(WHOLE.get() + answers);
}

/// Fails the current case because of a violation. Unwinds without calling the panic hook, because
/// shrinking repeats the failure many times.
pub fn violation(what: &str) -> ! {
    VIOLATION.set(true);
    resume_unwind(Box::new(format!("violation: {what}")))
}

pub fn rng(seed: u64) -> Rng {
    coriandercove_base::rng::seeded(seed)
}

/// Returns a random number below `n`, or 0 if `n` is 0.
pub fn below(rng: &mut Rng, n: usize) -> usize {
    (rng.next_u64() % (n.max(1) as u64)) as usize
}

fn set_fault(fault: Option<Fault>) {
    agent_fault::set(None);
    entry_fault::set(None);
    match fault {
        Some(Fault::Agent(fault)) => agent_fault::set(Some(fault)),
        Some(Fault::Entry(fault)) => entry_fault::set(Some(fault)),
        None => {}
    }
}

fn runner(seed: u64) -> TestRunner {
    let config = Config {
        cases: CASES_PER_SEED,
        failure_persistence: None,
        max_shrink_iters: 4_000,
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
            Err(format!("seed {seed}: {reason}\n{transitions:?}"))
        }
        Err(TestError::Abort(reason)) => Err(format!("seed {seed}: {reason}")),
    }
}

/// Returns whether a case of a seed fails; stops at the first failure, without shrinking.
fn finds<T: StateMachineTest>(seed: u64, steps: usize) -> bool {
    let mut runner = runner(seed);
    let config = runner.config().clone();
    let strategy = T::Reference::sequential_strategy(1..steps);
    (0..CASES_PER_SEED).any(|_| {
        let tree = strategy.new_tree(&mut runner).unwrap();
        let (state, transitions, seen) = tree.current();
        let case = || T::test_sequential(config.clone(), state, transitions, seen);
        catch_unwind(AssertUnwindSafe(case)).is_err()
    })
}

/// Runs the test from `seeds` seeds starting at `first`, or as [`CASES_VAR`] and [`SEED_VAR`] say,
/// and panics with a shrunk sequence of steps if a case fails. Also panics if there are too few
/// complete responses, because then the test would check hardly anything.
pub fn check<T: StateMachineTest>(name: &str, first: u64, seeds: u64, steps: usize) {
    set_fault(None);
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let (first, count) = match (number(CASES_VAR), number(SEED_VAR)) {
        (Some(cases), seed) => {
            let fresh = || RandomState::new().hash_one(name) >> 16;
            let seed = seed.unwrap_or_else(fresh);
            (seed, cases.div_ceil(u64::from(CASES_PER_SEED)))
        }
        (None, Some(seed)) => (seed, 1),
        (None, None) => (first, seeds),
    };
    STEPS.set(0);
    WHOLE.set(0);
    println!("{name}: {count} seeds from {first}");
    for seed in first..first + count {
        if let Err(message) = run::<T>(seed, steps) {
            panic!("{name}: {message}");
        }
    }
    let (steps, whole) = (STEPS.get(), WHOLE.get());
    println!("{name}: {steps} steps, {whole} whole answers");
    assert!(
        whole > steps / 40,
        "{whole} whole answers in {steps} steps; more than {} are expected",
        steps / 40
    );
}

/// Returns the number of steps until a violation is found with `fault` switched on; `None` if
/// `seeds` seeds find none.
pub fn steps_to_find<T: StateMachineTest>(fault: Fault, seeds: u64, steps: usize) -> Option<u64> {
    set_fault(Some(fault));
    STEPS.set(0);
    VIOLATION.set(false);
    let found = (1..=seeds).any(|seed| finds::<T>(seed, steps)) && VIOLATION.get();
    set_fault(None);
    found.then(|| STEPS.get())
}
