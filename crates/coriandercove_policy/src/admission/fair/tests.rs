//! Tests of the fair queue's invariants.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;

#[derive(Debug, Clone)]
enum Op {
    Push {
        account: u8,
        priority: u8,
        cost: u64,
    },
    Pop,
    PutBack,
    Correct {
        account: u8,
        actual: u64,
    },
    Remove {
        pick: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0_u8..6, 0_u8..3, 1_u64..2000).prop_map(|(account, priority, cost)| Op::Push { account, priority, cost }),
        3 => Just(Op::Pop),
        1 => Just(Op::PutBack),
        1 => (0_u8..6, 1_u64..2000).prop_map(|(account, actual)| Op::Correct { account, actual }),
        1 => any::<usize>().prop_map(|pick| Op::Remove { pick }),
    ]
}

fn name(account: u8) -> AccountId {
    format!("a{account}").into()
}

fn weight(account: &str) -> f64 {
    [0.5, 1.0, 2.0, 3.0, 10.0, 100.0][usize::from(account.as_bytes()[1] - b'0')]
}

/// Guards against an account that gets more than its share by declaring too little.
#[test]
fn corrected_costs_count() {
    let mut queue = FairQueue::default();
    for (i, account) in (0..800).map(|i| (i, name(i as u8 % 2))) {
        let item = FairItem { req: i, cost: 100 };
        queue.push(&account, 1.0, (0, i as u64), item);
    }
    let mut served = [0, 0];
    for _ in 0..400 {
        let account = queue.pop().expect("requests wait").account;
        let declares_too_little = account == name(0);
        queue.adjust_cost(&account, 100, if declares_too_little { 300 } else { 100 });
        served[usize::from(!declares_too_little)] += 1;
    }
    assert_eq!(served, [100, 300]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(32), ..ProptestConfig::default() })]

    /// Guards against lost and duplicated requests, wrong sums and a virtual time that decreases.
    #[test]
    fn the_queue_holds_exactly_what_was_pushed(ops in prop::collection::vec(op(), 1..300)) {
        let mut queue = FairQueue::default();
        let mut model: BTreeMap<RequestId, (AccountId, Place, u64)> = BTreeMap::new();
        let mut last: Option<Popped> = None;
        let mut time = 0;
        for (i, op) in ops.into_iter().enumerate() {
            match op {
                Op::Push { account, priority, cost } => {
                    let (req, place) = (i as u128, (priority, i as u64));
                    let account = name(account);
                    queue.push(&account, weight(&account), place, FairItem { req, cost });
                    model.insert(req, (account, place, cost));
                }
                Op::Pop => {
                    last = queue.pop();
                    prop_assert_eq!(last.is_none(), model.is_empty());
                    if let Some(p) = &last {
                        let got = (p.account.clone(), p.place, p.item.cost);
                        prop_assert_eq!(model.remove(&p.item.req), Some(got));
                    }
                }
                Op::Correct { account, actual } => queue.adjust_cost(&name(account), 1000, actual),
                Op::PutBack => if let Some(p) = last.take() {
                    model.insert(p.item.req, (p.account.clone(), p.place, p.item.cost));
                    let weight = weight(&p.account);
                    queue.put_back(p, weight);
                },
                Op::Remove { pick } => if !model.is_empty() {
                    let (req, (account, place, cost)) = model.iter().nth(pick % model.len()).map(|(k, v)| (*k, v.clone())).expect("not empty");
                    prop_assert_eq!(queue.remove(&account, place), Some(FairItem { req, cost }));
                    model.remove(&req);
                },
            }
            prop_assert!(queue.virtual_time() >= time);
            time = queue.virtual_time();
            prop_assert_eq!(queue.len(), model.len());
            prop_assert_eq!(queue.backlog(), model.values().map(|m| m.2).sum::<u64>());
        }
    }

    /// Guards against unfairness beyond the bound of start-time fair queueing: two backlogged
    /// accounts differ by at most one largest request each, per weight.
    #[test]
    fn backlogged_accounts_are_served_in_proportion(costs in prop::collection::vec((1_u64..1000, 1_u64..1000), 50..200), a in 0_u8..6, b in 0_u8..6) {
        prop_assume!(a != b);
        let (a, b) = (name(a), name(b));
        let mut queue = FairQueue::default();
        for (i, (cost_a, cost_b)) in costs.iter().enumerate() {
            for (account, cost) in [(&a, *cost_a), (&b, *cost_b)] {
                let req = (i * 2) as u128;
                queue.push(account, weight(account), (0, i as u64), FairItem { req, cost });
            }
        }
        let mut left = [costs.len(), costs.len()];
        let mut served = [0.0, 0.0];
        while left[0] > 0 && left[1] > 0 {
            let p = queue.pop().expect("both are backlogged");
            let k = usize::from(p.account == b);
            left[k] -= 1;
            served[k] += p.item.cost as f64 / weight(&p.account);
            let bound = 1000.0 / weight(&a) + 1000.0 / weight(&b) + 1.0;
            prop_assert!((served[0] - served[1]).abs() <= bound);
        }
    }
}
