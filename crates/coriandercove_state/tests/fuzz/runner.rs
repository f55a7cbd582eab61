//! Runs state machine tests with fixed seeds, and with random seeds for a time that is set in the
//! environment.
#![expect(
    clippy::print_stdout,
    reason = "the output reports seeds and step counts"
)]

use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Environment variable: seconds for which each fuzz test runs with random seeds after its fixed
/// ones.
const SECONDS_VARIABLE: &str = "CORIANDERCOVE_FUZZ_SECONDS";
/// Environment variable: one seed to run in place of the fixed ones.
const SEED_VARIABLE: &str = "CORIANDERCOVE_FUZZ_SEED";

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
}

/// Counts a transition of a run, to report after how many transitions a fault was found.
pub fn count_step() {
    STEPS.with(|s| s.set(s.get() + 1));
}

/// A failure that a seed has shown.
#[cfg_attr(
    not(feature = "faults"),
    expect(dead_code, reason = "only the tests of deliberate faults read `steps`")
)]
pub struct Failure {
    /// Seed, failed check and transitions of the case, after shrinking.
    pub message: String,
    /// Number of transitions until the first failure, over all cases.
    pub steps: u64,
}

fn config(seed: u64, cases: u32, shrink: bool) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        // With 0 iterations the strategy of proptest-state-machine panics.
        max_shrink_iters: if shrink { 300 } else { 4 },
        ..Config::default()
    }
}

/// Runs `cases` random sequences of up to `len` transitions from one seed. Returns the failure, if
/// any; `shrink` reduces it to fewer transitions.
pub fn run<T>(seed: u64, cases: u32, len: usize, shrink: bool) -> Option<Failure>
where
    T: StateMachineTest,
{
    STEPS.with(|s| s.set(0));
    let steps_to_failure = Cell::new(0);
    let cfg = config(seed, cases, shrink);
    let strategy = T::Reference::sequential_strategy(len / 2..len);
    let result = TestRunner::new(cfg.clone()).run(&strategy, |(state, transitions, seen)| {
        let cfg = cfg.clone();
        let run = std::panic::AssertUnwindSafe(|| {
            T::test_sequential(cfg, state, transitions, seen);
        });
        if let Err(panic) = std::panic::catch_unwind(run) {
            if steps_to_failure.get() == 0 {
                steps_to_failure.set(STEPS.with(Cell::get));
            }
            std::panic::resume_unwind(panic);
        }
        Ok(())
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, (_, transitions, _))) => Some(Failure {
            message: format!("seed {seed}: {reason}\n{transitions:#?}"),
            steps: steps_to_failure.get(),
        }),
        Err(TestError::Abort(reason)) => panic!("seed {seed}: the run was aborted: {reason}"),
    }
}

/// Returns the number in an environment variable.
fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs the fixed seeds, and then random ones if [`SECONDS_VARIABLE`] is set. Panics at the first
/// failure.
pub fn check<T>(name: &str, seeds: &[u64], cases: u32, len: usize)
where
    T: StateMachineTest,
{
    let one = variable(SEED_VARIABLE).map(|s| vec![s]);
    for seed in one.as_deref().unwrap_or(seeds) {
        if let Some(failure) = run::<T>(*seed, cases, len, true) {
            panic!("{name}: {}", failure.message);
        }
    }
    let Some(seconds) = variable(SECONDS_VARIABLE) else {
        return;
    };
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut runs = 0;
    while Instant::now() < until {
        let seed = rand::RngCore::next_u64(&mut coriandercove_base::rng::from_os());
        if let Some(failure) = run::<T>(seed, cases, len, true) {
            panic!("{name}: {}", failure.message);
        }
        runs += 1;
    }
    println!("{name}: {runs} fresh seeds of {cases} cases passed");
}
