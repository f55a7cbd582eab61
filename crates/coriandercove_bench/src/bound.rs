//! Upper bound of the throughput of the engines of a plan.

use coriandercove_local::Plan;

use crate::profile::RequestLengths;

/// Returns the upper bound of answers/s, computed from the settings of the engines: the sum over
/// the replicas of a layer range, for the range with the smallest sum. The time for each answer,
/// the inverse of `answer_bound`, is linear in both lengths, so the mean lengths give the bound for
/// requests of mixed lengths.
pub fn answers_per_second(plan: &Plan, lengths: RequestLengths) -> f64 {
    let prompt = lengths.mean_prompt().round() as u32;
    let output = lengths.mean_output().round() as u32;
    let mut ranges: Vec<(u16, f64)> = Vec::new();
    for engine in &plan.engines {
        let bound = plan.engine_settings(engine, 0).answer_bound(prompt, output);
        match ranges.iter_mut().find(|(l, _)| *l == engine.first_layer) {
            Some((_, sum)) => *sum += bound,
            None => ranges.push((engine.first_layer, bound)),
        }
    }
    ranges
        .iter()
        .map(|(_, sum)| *sum)
        .fold(f64::INFINITY, f64::min)
}

/// Returns the upper bound of generated tokens/s.
pub fn tokens_per_second(plan: &Plan, lengths: RequestLengths) -> f64 {
    answers_per_second(plan, lengths) * lengths.mean_output()
}

#[cfg(test)]
mod tests;
