//! Shuffle shards: a fixed small set of replicas for each client account.
//!
//! A shard limits how many replicas an account can harm. The price is a less even load, since a
//! large account cannot use replicas outside its shard. [`measure`] quantifies both in a model.

use std::collections::VecDeque;

use coriandercove_base::hash::{hash64, mix64, rendezvous};
use coriandercove_base::{data, rng};
use rand::Rng as _;

/// Picks the shard of an account: indices into `replicas`, best first. A change of one replica
/// changes only the shards that it joins or leaves.
#[must_use]
pub fn shard<T: AsRef<str>>(account: &str, replicas: &[T], size: usize) -> Vec<usize> {
    rendezvous(hash64(&[account.as_bytes()]), replicas, size)
}

data! {
    /// Fleet and accounts of a measurement.
    #[derive(Copy)]
    pub struct ShuffleModel {
        /// Replicas of one model, all alike.
        pub replicas: usize,
        /// Client accounts.
        pub accounts: usize,
        /// Replicas of a shard.
        pub shard: usize,
        /// Exponent of the Zipf distribution of demand over accounts; 1 is a usual value.
        pub skew: f64,
        /// Prompts that an account of mean demand repeats; others have more or fewer in
        /// proportion to their demand.
        pub prompts: usize,
        /// Prompts that the prefix cache of one replica holds.
        pub cache: usize,
        /// Seed of the model.
        pub seed: u64,
    }

    /// Result of a measurement. All figures are from 0 to 1.
    #[derive(Copy)]
    pub struct ShuffleFigures {
        /// Part of the accounts that keep half or more of their shard when the account with the
        /// median demand breaks every replica of its own.
        pub half_kept: f64,
        /// Part of the accounts that lose every replica then.
        pub all_lost: f64,
        /// Mean load of a replica over the load of the busiest one: the part of the fleet's
        /// throughput that is reached when the first replica saturates.
        pub balance: f64,
        /// Part of the total demand that the shards can serve if demand equals the fleet's
        /// capacity and each shard divides its load as evenly as it can.
        pub served: f64,
        /// Part of requests that hit a prefix cache with shards.
        pub hits: f64,
        /// Hits with affinity over all replicas, without shards, for comparison.
        pub hits_unsharded: f64,
    }
}

/// Requests for each prompt. The first half fills the caches, the second half is counted.
const REQUESTS_PER_PROMPT: usize = 10;

/// Most rounds of moving load towards the less loaded replicas of each shard.
const ROUNDS: usize = 40;

/// Change of the busiest replica's load below which the rounds end.
const SETTLED: f64 = 1e-3;

/// Measures isolation, balance and cache hits of one shard size.
#[must_use]
pub fn measure(model: &ShuffleModel) -> ShuffleFigures {
    let replicas: Vec<String> = (0..model.replicas).map(|i| format!("r{i}")).collect();
    let shards = shards(model, &replicas);
    let demand = demand(model);
    let (half_kept, all_lost) = isolation(&shards);
    let loads = spread(model, &shards, &demand);
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    let served: f64 = loads.iter().map(|l| l.min(1.0)).sum();
    let whole: Vec<usize> = (0..model.replicas).collect();
    ShuffleFigures {
        half_kept,
        all_lost,
        balance: 1.0 / busiest.max(1.0),
        served: served / model.replicas as f64,
        hits: hits(model, &demand, |account| &shards[account]),
        hits_unsharded: hits(model, &demand, |_| &whole),
    }
}

fn shards(model: &ShuffleModel, replicas: &[String]) -> Vec<Vec<usize>> {
    // Hashing every replica name for every account would take minutes at the planned size, so
    // the model mixes the hashes of accounts and replicas.
    let keys: Vec<u64> = replicas.iter().map(|r| hash64(&[r.as_bytes()])).collect();
    let size = model.shard.clamp(1, model.replicas);
    let pick = |account: usize| {
        let key = hash64(&[&account.to_le_bytes(), &model.seed.to_le_bytes()]);
        let weigh = |(i, k): (usize, &u64)| (mix64(key ^ k), i);
        let mut weighted: Vec<(u64, usize)> = keys.iter().enumerate().map(weigh).collect();
        weighted.select_nth_unstable(size - 1);
        weighted.truncate(size);
        weighted.sort_unstable();
        weighted.into_iter().map(|(_, i)| i).collect()
    };
    (0..model.accounts).map(pick).collect()
}

/// Demand of each account; the sum is the capacity of the fleet, 1 for each replica.
fn demand(model: &ShuffleModel) -> Vec<f64> {
    let zipf = (1..=model.accounts).map(|rank| (rank as f64).powf(-model.skew));
    let zipf: Vec<f64> = zipf.collect();
    let scale = model.replicas as f64 / zipf.iter().sum::<f64>();
    zipf.iter().map(|d| d * scale).collect()
}

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

/// Load of each replica after each account has divided its demand among its shard.
fn spread(model: &ShuffleModel, shards: &[Vec<usize>], demand: &[f64]) -> Vec<f64> {
    let mut parts: Vec<Vec<f64>> = shards
        .iter()
        .zip(demand)
        .map(|(shard, d)| vec![d / shard.len() as f64; shard.len()])
        .collect();
    let mut loads = vec![0.0; model.replicas];
    for (shard, part) in shards.iter().zip(&parts) {
        for (r, p) in shard.iter().zip(part) {
            loads[*r] += p;
        }
    }
    let mut busiest = f64::INFINITY;
    for _ in 0..ROUNDS {
        for ((shard, part), total) in shards.iter().zip(&mut parts).zip(demand) {
            for (r, p) in shard.iter().zip(part.iter()) {
                loads[*r] -= p;
            }
            let others: Vec<f64> = shard.iter().map(|r| loads[*r]).collect();
            *part = fill(&others, *total);
            for (r, p) in shard.iter().zip(part.iter()) {
                loads[*r] += p;
            }
        }
        let before = std::mem::replace(&mut busiest, loads.iter().copied().fold(0.0, f64::max));
        if (before - busiest).abs() < SETTLED * busiest {
            break;
        }
    }
    loads
}

/// Adds `amount` to vessels with these levels so that the highest level touched is lowest.
fn fill(levels: &[f64], amount: f64) -> Vec<f64> {
    let mut sorted = levels.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut surface = 0.0;
    for (i, level) in sorted.iter().enumerate() {
        sum += level;
        surface = (sum + amount) / (i + 1) as f64;
        if sorted.get(i + 1).is_none_or(|next| surface <= *next) {
            break;
        }
    }
    levels.iter().map(|l| (surface - l).max(0.0)).collect()
}

/// Part of requests whose prompt is cached at the replica that affinity picks: the prompt's home
/// among the account's replicas. Each replica keeps the most recent prompts.
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
        let set = replicas(account);
        let cache = &mut caches[set[key as usize % set.len()]];
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
