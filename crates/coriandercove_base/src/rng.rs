//! Seeded random number generators. Decision logic gets its generator from the caller, so that a
//! run can be replayed from its seed.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The random number generator used in all crates.
pub type Rng = Pcg64Mcg;

/// Creates a generator that yields the same sequence for the same seed.
#[must_use]
pub fn seeded(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

/// Creates a generator seeded by the operating system, for production processes.
#[must_use]
pub fn from_os() -> Rng {
    Rng::from_os_rng()
}

/// Returns a random 128-bit identifier.
pub fn random_id(rng: &mut impl RngCore) -> u128 {
    (u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64())
}

/// Creates an independent generator for another component, seeded from `rng`.
pub fn fork(rng: &mut Rng) -> Rng {
    Rng::seed_from_u64(rng.next_u64())
}
