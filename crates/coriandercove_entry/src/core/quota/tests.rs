use std::time::Duration;

use coriandercove_base::rng;
use coriandercove_config::{Account, Config, Pipeline};
use coriandercove_peer::frame::loopback;
use coriandercove_policy::admission::{Admitted, Arrival};
use googletest::prelude::*;

use super::super::{Core, CoreConfig};

const QUOTA: u64 = 1000;

fn core(name: &str) -> Core {
    let cfg = CoreConfig {
        own: loopback(name, 1),
        zone: "z".into(),
        credit_tokens: 64,
    };
    let account = Account {
        name: "a".into(),
        weight: 1,
        quota_tokens_per_second: QUOTA,
        burst_tokens: QUOTA,
        concurrency: 100,
        priority: 0,
        keys: Vec::new(),
    };
    let pipeline = Pipeline {
        model: "m".into(),
        version: "1".to_owned(),
        layers: 4,
        hidden_size: 8,
        bytes_per_value: 2,
        max_tokens: 10_000,
        first_token_deadline: Duration::from_secs(1),
        token_deadline: Duration::from_secs(1),
        request_deadline: Duration::from_secs(1),
        priority: 0,
        compute: Vec::new(),
    };
    let config = Config {
        accounts: vec![account],
        pipelines: vec![pipeline],
        ..Config::default()
    };
    let mut core = Core::new(cfg, rng::seeded(1));
    core.set_config(Duration::ZERO, &config);
    core.set_entries(
        Duration::ZERO,
        &["e1".into(), "e2".into(), "e3".into(), "e4".into()],
    );
    core
}

/// Returns the share of admitted requests when one of four entries gets 0.8 of the quota for 60 s.
fn admitted(with_digests: bool) -> f64 {
    let (mut busy, others) = (core("e1"), [core("e2"), core("e3"), core("e4")]);
    busy.admission.set_slots("m", 10);
    let (mut sent, mut refused) = (0_u32, 0_u32);
    for step in 0..600_u64 {
        let now = Duration::from_millis(100 * step);
        if with_digests && step % 20 == 0 {
            for (name, other) in ["e2", "e3", "e4"].into_iter().zip(&others) {
                busy.on_demand(now, &name.into(), &other.demand(now, 20));
            }
        }
        let req = u128::from(step) + 1;
        let arrival = Arrival {
            req,
            account: "a".into(),
            pool: "m".into(),
            cost: 80,
            priority: 0,
            deadline: now + Duration::from_secs(1),
            service_time: Duration::ZERO,
        };
        sent += 1;
        match busy.admission.offer(now, arrival) {
            Admitted::Dispatch => busy.admission.release(now, req, 80),
            _ => refused += 1,
        }
    }
    1.0 - f64::from(refused) / f64::from(sent)
}

/// Guards against an even split of the quota among four entries when the account sends all its
/// requests to one of them, which then would admit only a quarter of the quota.
#[gtest]
fn an_account_gets_its_quota_at_one_entry() {
    expect_that!(admitted(true), ge(0.95));
    expect_that!(admitted(false), lt(0.95));
}
