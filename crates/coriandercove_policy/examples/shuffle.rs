//! Prints the figures of shuffle sharding for several shard sizes, with 30 and with 3300 replicas.
//!
//! Run with `cargo run --release -p coriandercove_policy --example shuffle`.

use std::io::Write as _;

use coriandercove_policy::shuffle::{ShuffleModel, measure};

fn main() -> std::io::Result<()> {
    for (replicas, accounts, prompts, sizes) in [
        (30, 10, 100, &[2, 4, 8, 15, 30][..]),
        (3300, 19_000, 6, &[4, 8, 16, 64, 256, 1024, 3300][..]),
    ] {
        for shard in sizes {
            let figures = measure(&ShuffleModel {
                replicas,
                accounts,
                shard: *shard,
                skew: 1.0,
                prompts,
                cache: 50,
                seed: 1,
            });
            writeln!(
                std::io::stdout(),
                "replicas {replicas} accounts {accounts} shard {shard}: half kept {:.3} all lost {:.4} balance {:.3} served {:.3} hits {:.3} unsharded {:.3}",
                figures.half_kept,
                figures.all_lost,
                figures.balance,
                figures.served,
                figures.hits,
                figures.hits_unsharded
            )?;
        }
    }
    Ok(())
}
