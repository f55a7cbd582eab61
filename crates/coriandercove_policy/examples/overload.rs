//! Prints goodput and account shares of admission control under overload, in the simulation that
//! the tests use.
//!
//! Run with `cargo run --release -p coriandercove_policy --example overload`.

use std::io::Write as _;

#[path = "../tests/overload/model.rs"]
mod model;

use model::{Load, run};

const SLOTS: u32 = 20;

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout();
    for load in [1.0, 2.0, 5.0, 10.0] {
        let loads = [Load::new("a", load / 2.0), Load::new("b", load / 2.0)];
        let good: f64 = run(1, SLOTS, &loads).iter().sum();
        writeln!(out, "load {load:>4}: goodput {good:.3} of the capacity")?;
    }
    for demand in [0.1, 0.25, 0.5] {
        let alone = run(2, SLOTS, &[Load::new("small", demand)]);
        let loads = [Load::new("small", demand), Load::new("large", 5.0)];
        let beside = run(2, SLOTS, &loads);
        writeln!(
            out,
            "small account asks for {demand}: gets {:.3} alone, {:.3} beside one that asks for 5.0",
            alone[0], beside[0]
        )?;
    }
    Ok(())
}
