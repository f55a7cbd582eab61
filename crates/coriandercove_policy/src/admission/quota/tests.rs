//! Tests of quota shares and of the token bucket.

use proptest::prelude::*;

use super::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(33), ..ProptestConfig::default() })]

    /// Guards against shares that together exceed the quota, or that leave demand unserved although
    /// the quota has room.
    #[test]
    fn shares_add_up_to_the_quota(quota in 0.1_f64..1e6, demands in prop::collection::vec(0.0_f64..1e5, 1..50)) {
        let mut sum = 0.0;
        let total: f64 = demands.iter().sum();
        for i in 0..demands.len() {
            let mut seen = demands.clone();
            seen.swap(0, i);
            let share = quota_share(quota, &seen);
            prop_assert!(share >= 0.0);
            let fair = demands[i].min(quota / demands.len() as f64);
            prop_assert!(share >= fair - 1e-6 * quota);
            if total <= quota {
                prop_assert!(share >= demands[i] - 1e-6);
            }
            sum += share;
        }
        prop_assert!((sum - quota).abs() <= 1e-6 * quota.max(total), "{sum} of {quota}");
    }

    /// Guards against a bucket that lets more pass than its rate and burst allow.
    #[test]
    fn a_bucket_passes_at_most_rate_and_burst(rate in 1.0_f64..1000.0, burst in 1.0_f64..1000.0, asks in prop::collection::vec((0_u64..500, 1.0_f64..800.0), 1..200)) {
        let mut bucket = Bucket::new(rate, burst, Time::ZERO);
        let mut now = Time::ZERO;
        let (mut passed, mut largest) = (0.0, 0.0_f64);
        for (step, cost) in asks {
            now += Duration::from_millis(step);
            if bucket.wait_time(now, cost).is_zero() {
                bucket.charge(now, cost);
                passed += cost;
                largest = largest.max(cost);
            }
        }
        let bound = rate * now.as_secs_f64() + burst.max(largest);
        prop_assert!(passed <= bound + 1e-6, "{passed} of {bound}");
    }
}
