//! Runs state machine tests with fixed seeds, or with fresh ones for as long as asked.
#![expect(
    clippy::print_stdout,
    reason = "seeds and step counts are for whoever reads the run"
)]

use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Seconds for which each fuzz test runs with fresh seeds after its fixed ones.
const SECONDS: &str = "CORIANDERCOVE_FUZZ_SECONDS";
/// One seed to run in place of the fixed ones.
const SEED: &str = "CORIANDERCOVE_FUZZ_SEED";

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
}

/// Counts a step of a run, for reports of how long a fault took to find.
pub fn count_step() {
    STEPS.with(|s| s.set(s.get() + 1));
}

/// What a seed showed.
#[cfg_attr(
    not(feature = "faults"),
    expect(dead_code, reason = "read by the faults tests")
)]
pub struct Found {
    /// The first failed check.
    pub message: String,
    /// Transitions run until the first failure, over all cases.
    pub steps: u64,
}

fn config(seed: u64, cases: u32, shrink: bool) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        // Without any, the strategy of proptest-state-machine panics.
        max_shrink_iters: if shrink { 300 } else { 4 },
        ..Config::default()
    }
}

/// Runs `cases` random sequences of up to `len` transitions from one seed.
pub fn run<T>(seed: u64, cases: u32, len: usize, shrink: bool) -> Option<Found>
where
    T: StateMachineTest,
{
    STEPS.with(|s| s.set(0));
    let first = Cell::new(0);
    let cfg = config(seed, cases, shrink);
    let strategy = T::Reference::sequential_strategy(len / 2..len);
    let result = TestRunner::new(cfg.clone()).run(&strategy, |(state, transitions, seen)| {
        let cfg = cfg.clone();
        let run = std::panic::AssertUnwindSafe(|| {
            T::test_sequential(cfg, state, transitions, seen);
        });
        if let Err(panic) = std::panic::catch_unwind(run) {
            if first.get() == 0 {
                first.set(STEPS.with(Cell::get));
            }
            std::panic::resume_unwind(panic);
        }
        Ok(())
    });
    match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, (_, transitions, _))) => Some(Found {
            message: format!("seed {seed}: {reason}\n{transitions:#?}"),
            steps: first.get(),
        }),
        Err(TestError::Abort(reason)) => panic!("seed {seed}: the run was aborted: {reason}"),
    }
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs the fixed seeds, then fresh ones if the environment asks for them.
pub fn check<T>(name: &str, seeds: &[u64], cases: u32, len: usize)
where
    T: StateMachineTest,
{
    let one = variable(SEED).map(|s| vec![s]);
    for seed in one.as_deref().unwrap_or(seeds) {
        if let Some(found) = run::<T>(*seed, cases, len, true) {
            panic!("{name}: {}", found.message);
        }
    }
    let Some(seconds) = variable(SECONDS) else {
        return;
    };
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut runs = 0;
    while Instant::now() < until {
        let seed = rand::RngCore::next_u64(&mut coriandercove_base::rng::from_os());
        if let Some(found) = run::<T>(seed, cases, len, true) {
            panic!("{name}: {}", found.message);
        }
        runs += 1;
    }
    println!("{name}: {runs} fresh seeds of {cases} cases passed");
}
