//! Seeded randomness. Decision logic receives its generator from outside, so that a seed replays a run.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The generator used throughout the project.
pub type Rng = Pcg64Mcg;

/// A generator that yields the same sequence for the same seed.
#[must_use]
pub fn seeded(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// A generator seeded by the operating system, for production processes.
#[must_use]
pub fn from_os() -> Rng {
    Rng::from_os_rng()
}

/// A random 128-bit identifier.
pub fn random_id(rng: &mut impl RngCore) -> u128 {
    (u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64())
}

/// A generator for another part, seeded from this one.
pub fn fork(rng: &mut Rng) -> Rng {
    Rng::seed_from_u64(rng.next_u64())
}
