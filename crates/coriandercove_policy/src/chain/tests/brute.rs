//! Compares the shortest-path search with an exhaustive search.

use super::*;

/// Total time of a chain according to the planner, with the rounding of its fields to nanoseconds.
fn total(chain: &Chain, output: u32) -> f64 {
    (chain.first_token + chain.per_token * output).as_nanos() as f64
}

/// All covers of the layers, as lists of (target index, exit layer).
fn covers(all: &[Candidate], from: Layer, end: Layer) -> Vec<Vec<(usize, Layer)>> {
    if from == end {
        return vec![Vec::new()];
    }
    let mut out = Vec::new();
    for (i, c) in all.iter().enumerate() {
        let can_enter = c.first_layer <= from && from < c.end_layer;
        for exit in from + 1..=c.end_layer.min(end) {
            if can_enter && (exit == c.end_layer || c.stops_early) {
                for mut rest in covers(all, exit, end) {
                    rest.insert(0, (i, exit));
                    out.push(rest);
                }
            }
        }
    }
    out
}

fn delay(a: &str, b: &str) -> Duration {
    let of = |z: &str| u64::from(z.as_bytes()[1] - b'0');
    Duration::from_micros(1000 * of(a).abs_diff(of(b)))
}

/// Time of a cover without queues, computed from the definition in nanoseconds.
fn cover_time(
    all: &[Candidate],
    cover: &[(usize, Layer)],
    at: &str,
    req: &ChainRequest<'_>,
) -> f64 {
    let (head, last) = (&all[cover[0].0], &all[cover[cover.len() - 1].0]);
    let mut prompt = delay(at, &head.zone) + delay(&last.zone, at);
    let mut token = delay(&last.zone, &head.zone);
    let mut layer = 0;
    for (k, (i, exit)) in cover.iter().enumerate() {
        let c = &all[*i];
        if k > 0 {
            prompt += delay(&all[cover[k - 1].0].zone, &c.zone);
            token += delay(&all[cover[k - 1].0].zone, &c.zone);
        }
        let layers = u32::from(exit - layer);
        prompt += c.prefill_per_layer * layers * req.prompt_tokens;
        token += c.decode_per_layer * layers;
        layer = *exit;
    }
    (prompt + token * req.output_tokens).as_nanos() as f64
}

fn fleet(seed: u64) -> Vec<Candidate> {
    let mut rng = rng::seeded(seed);
    (0..rng.random_range(2..8))
        .map(|i| {
            let first = rng.random_range(0..LAYERS / 2) * 2;
            let end = (first + rng.random_range(1..4) * 2).min(LAYERS);
            let place = format!("z{}", rng.random_range(0..3));
            let mut c = candidate(&format!("t{i}"), &place, first, end);
            c.stops_early = rng.random_range(0..4) == 0;
            c.decode_per_layer = Duration::from_micros(rng.random_range(50..500));
            c
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// Guards against gaps, overlaps, skipped layers and covers that are not the fastest.
    #[test]
    fn the_chain_is_the_fastest_cover(seed in any::<u64>()) {
        let all = fleet(seed);
        // All targets are sampled, because the exhaustive search considers all of them.
        let mut planner = Planner::new(PlannerConfig { sample_per_group: all.len(), ..PlannerConfig::default() });
        all.iter().for_each(|c| planner.upsert(c.clone()));
        for a in ["z0", "z1", "z2"] {
            for b in ["z0", "z1", "z2"] {
                planner.set_zone_link(&zone(a), &zone(b), LinkCost { delay: delay(a, b), bandwidth: 0 });
            }
        }
        let at = zone("z1");
        let req = request(&at, &[]);
        let got = planner.choose(&req, Time::ZERO, &mut rng::seeded(seed));
        let best = covers(&all, 0, LAYERS)
            .iter()
            .map(|cover| cover_time(&all, cover, "z1", &req))
            .min_by(f64::total_cmp);
        prop_assert_eq!(got.is_ok(), best.is_some());
        if let (Ok(chain), Some(best)) = (got, best) {
            let mut layer = 0;
            for hop in &chain.hops {
                prop_assert_eq!(hop.first_layer, layer);
                prop_assert!(hop.end_layer > layer);
                let c = all.iter().find(|c| c.target == hop.target).expect("a known target");
                prop_assert!(c.first_layer <= layer && hop.end_layer <= c.end_layer);
                prop_assert!(hop.end_layer == c.end_layer || c.stops_early);
                layer = hop.end_layer;
            }
            prop_assert_eq!(layer, LAYERS);
            let planned = total(&chain, req.output_tokens);
            prop_assert!((planned - best).abs() <= 200.0, "{} instead of {}", planned, best);
        }
    }
}
