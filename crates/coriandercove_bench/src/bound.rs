//! The throughput that the engines of a plan allow.

use coriandercove_local::Plan;

use crate::profile::Shape;

/// Answers/s that the engines allow, from their settings alone: the sum over the replicas of the
/// layer range with the smallest sum. `answer_bound` is linear in both lengths when inverted, so
/// mean lengths give the bound of the mixture.
pub fn answers_per_second(plan: &Plan, shape: Shape) -> f64 {
    let prompt = shape.mean_prompt().round() as u32;
    let output = shape.mean_output().round() as u32;
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

/// Generated tokens/s that the engines allow.
pub fn tokens_per_second(plan: &Plan, shape: Shape) -> f64 {
    answers_per_second(plan, shape) * shape.mean_output()
}

#[cfg(test)]
mod tests;
