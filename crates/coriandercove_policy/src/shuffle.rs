//! Shuffle sharding: each client account is assigned a small fixed set of replicas.
//!
//! A shard limits how many replicas an account can break. The drawback is a less even load, since a
//! large account cannot use replicas outside its shard. [`measure`] simulates both effects.

use std::collections::VecDeque;

use coriandercove_base::hash::{hash64, mix64, rendezvous};
use coriandercove_base::{data, rng};
use rand::Rng as _;

/// Returns the shard of an account as indices into `replicas`, in order of preference. Adding or
/// removing a replica changes only the shards that it joins or leaves.
#[must_use]
pub fn shard<T: AsRef<str>>(account: &str, replicas: &[T], size: usize) -> Vec<usize> {
    rendezvous(hash64(&[account.as_bytes()]), replicas, size)
}

data! {
    /// Parameters of a simulation of shuffle sharding.
    #[derive(Copy)]
    pub struct ShuffleModel {
        /// Number of replicas of one model, all of the same capacity.
        pub replicas: usize,
        /// Number of client accounts.
        pub accounts: usize,
        /// Number of replicas in a shard.
        pub shard: usize,
        /// Exponent of the Zipf distribution of demand over accounts; 1 is a common value.
        pub skew: f64,
        /// Number of different prompts of an account of mean demand. Other accounts have more or
        /// fewer in proportion to their demand.
        pub prompts: usize,
        /// Number of prompts that the prefix cache of one replica holds.
        pub cache: usize,
        /// Seed of the simulation.
        pub seed: u64,
    }

    /// Result of a simulation. All figures are from 0 to 1.
    #[derive(Copy)]
    pub struct ShuffleFigures {
        /// Fraction of the other accounts that keep half or more of their shard when the account
        /// with the median demand breaks every replica of its own shard.
        pub half_kept: f64,
        /// Fraction of the other accounts that lose every replica of their shard in that case.
        pub all_lost: f64,
        /// Mean load of the replicas divided by the load of the busiest one: the fraction of the
        /// fleet's throughput that is reached when the first replica saturates.
        pub balance: f64,
        /// Fraction of the total demand that is served if the demand equals the fleet's capacity
        /// and each account divides its load over its shard as evenly as possible.
        pub served: f64,
        /// Fraction of requests that hit a prefix cache with shards.
        pub hits: f64,
        /// Fraction of requests that hit a prefix cache with affinity over all replicas, without
        /// shards, for comparison.
        pub hits_unsharded: f64,
    }
}

/// Mean number of requests for each prompt. The first half of all requests fills the caches, and
/// hits are counted in the second half.
const REQUESTS_PER_PROMPT: usize = 10;

/// Maximum number of rounds in which each account moves load to the less loaded replicas of its
/// shard.
const MAX_BALANCING_ROUNDS: usize = 40;

/// Relative change of the busiest replica's load below which the rounds end.
const LOAD_TOLERANCE: f64 = 1e-3;

/// Simulates one shard size and returns its isolation, load balance and cache hits.
#[must_use]
pub fn measure(model: &ShuffleModel) -> ShuffleFigures {
    let replicas: Vec<String> = (0..model.replicas).map(|i| format!("r{i}")).collect();
    let shards = shards(model, &replicas);
    let demand = demand(model);
    let (half_kept, all_lost) = isolation(&shards);
    let loads = balance_loads(model, &shards, &demand);
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    let served: f64 = loads.iter().map(|l| l.min(1.0)).sum();
    let all_replicas: Vec<usize> = (0..model.replicas).collect();
    ShuffleFigures {
        half_kept,
        all_lost,
        balance: 1.0 / busiest.max(1.0),
        served: served / model.replicas as f64,
        hits: hits(model, &demand, |account| &shards[account]),
        hits_unsharded: hits(model, &demand, |_| &all_replicas),
    }
}

fn shards(model: &ShuffleModel, replicas: &[String]) -> Vec<Vec<usize>> {
    // Hashing every replica name for every account would take minutes with 3300 replicas and 19,000
    // accounts, so the simulation mixes one hash per account with one hash per replica.
    let keys: Vec<u64> = replicas.iter().map(|r| hash64(&[r.as_bytes()])).collect();
    let size = model.shard.clamp(1, model.replicas);
    let pick = |account: usize| {
        let key = hash64(&[&account.to_le_bytes(), &model.seed.to_le_bytes()]);
        let weight = |(i, k): (usize, &u64)| (mix64(key ^ k), i);
        let mut weighted: Vec<(u64, usize)> = keys.iter().enumerate().map(weight).collect();
        weighted.select_nth_unstable(size - 1);
        weighted.truncate(size);
        weighted.sort_unstable();
        weighted.into_iter().map(|(_, i)| i).collect()
    };
    (0..model.accounts).map(pick).collect()
}

/// Returns the demand of each account. The sum is the capacity of the fleet, which is 1 for each
/// replica.
fn demand(model: &ShuffleModel) -> Vec<f64> {
    let zipf = (1..=model.accounts).map(|rank| (rank as f64).powf(-model.skew));
    let zipf: Vec<f64> = zipf.collect();
    let scale = model.replicas as f64 / zipf.iter().sum::<f64>();
    zipf.iter().map(|d| d * scale).collect()
}

/// Returns the figures `half_kept` and `all_lost` of [`ShuffleFigures`].
fn isolation(shards: &[Vec<usize>]) -> (f64, f64) {
    let mut broken = shards[shards.len() / 2].clone();
    broken.sort_unstable();
    let (mut half_kept, mut all_lost) = (0, 0);
    let others = shards
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != shards.len() / 2);
    for (_, shard) in others {
        let is_lost = |r: &&usize| broken.binary_search(r).is_ok();
        let lost = shard.iter().filter(is_lost).count();
        half_kept += usize::from(2 * lost <= shard.len());
        all_lost += usize::from(lost == shard.len());
    }
    let count = (shards.len() - 1).max(1) as f64;
    (half_kept as f64 / count, all_lost as f64 / count)
}

/// Returns the load of each replica after the accounts have divided their demand over their shards.
fn balance_loads(model: &ShuffleModel, shards: &[Vec<usize>], demand: &[f64]) -> Vec<f64> {
    let mut shares: Vec<Vec<f64>> = shards
        .iter()
        .zip(demand)
        .map(|(shard, d)| vec![d / shard.len() as f64; shard.len()])
        .collect();
    let mut loads = vec![0.0; model.replicas];
    for (shard, share) in shards.iter().zip(&shares) {
        for (r, p) in shard.iter().zip(share) {
            loads[*r] += p;
        }
    }
    let mut busiest = f64::INFINITY;
    for _ in 0..MAX_BALANCING_ROUNDS {
        for ((shard, share), total) in shards.iter().zip(&mut shares).zip(demand) {
            for (r, p) in shard.iter().zip(share.iter()) {
                loads[*r] -= p;
            }
            let others: Vec<f64> = shard.iter().map(|r| loads[*r]).collect();
            *share = water_fill(&others, *total);
            for (r, p) in shard.iter().zip(share.iter()) {
                loads[*r] += p;
            }
        }
        let before = std::mem::replace(&mut busiest, loads.iter().copied().fold(0.0, f64::max));
        if (before - busiest).abs() < LOAD_TOLERANCE * busiest {
            break;
        }
    }
    loads
}

/// Divides `amount` over replicas with these loads so that the highest resulting load is lowest
/// (water-filling). Returns the share of each replica.
fn water_fill(loads: &[f64], amount: f64) -> Vec<f64> {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut new_load = 0.0;
    for (i, load) in sorted.iter().enumerate() {
        sum += load;
        new_load = (sum + amount) / (i + 1) as f64;
        if sorted.get(i + 1).is_none_or(|next| new_load <= *next) {
            break;
        }
    }
    loads.iter().map(|l| (new_load - l).max(0.0)).collect()
}

/// Returns the fraction of requests whose prompt is cached at the replica chosen by affinity, which
/// is a hash of account and prompt over the account's replicas. Each replica caches its most
/// recently used prompts.
fn hits<'a>(
    model: &ShuffleModel,
    demand: &[f64],
    replicas: impl Fn(usize) -> &'a Vec<usize>,
) -> f64 {
    let mut rng = rng::seeded(model.seed);
    let mut cumulative = Vec::with_capacity(demand.len());
    let mut sum = 0.0;
    for d in demand {
        sum += d;
        cumulative.push(sum);
    }
    let mut caches: Vec<VecDeque<u64>> = vec![VecDeque::new(); model.replicas];
    let mean = sum / demand.len() as f64;
    let requests = REQUESTS_PER_PROMPT * model.prompts.max(1) * demand.len();
    let mut hits = 0;
    for n in 0..requests {
        let at = rng.random::<f64>() * sum;
        let account = cumulative
            .partition_point(|c| *c < at)
            .min(demand.len() - 1);
        let prompts = model.prompts as f64 * demand[account] / mean;
        let prompt = rng.random_range(0..(prompts as usize).max(1));
        let key = hash64(&[&account.to_le_bytes(), &prompt.to_le_bytes()]);
        let candidates = replicas(account);
        let cache = &mut caches[candidates[key as usize % candidates.len()]];
        if let Some(i) = cache.iter().position(|k| *k == key) {
            hits += usize::from(n >= requests / 2);
            cache.remove(i);
        } else if cache.len() >= model.cache.max(1) {
            cache.pop_front();
        }
        cache.push_back(key);
    }
    hits as f64 / (requests - requests / 2) as f64
}

#[cfg(test)]
mod tests;
