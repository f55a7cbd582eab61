//! Stateful fuzz tests of claims, at-most-once calls, leases and fencing; see docs/testing.md.

#[cfg(test)]
mod calls;
#[cfg(test)]
mod calls_nodes;
#[cfg(test)]
mod calls_world;
#[cfg(test)]
mod faults;
#[cfg(test)]
mod flows;
#[cfg(test)]
mod leases;
#[cfg(test)]
mod oracle;
#[cfg(test)]
mod regressions;
#[cfg(test)]
mod runner;
#[cfg(test)]
mod shards;
#[cfg(test)]
mod store;
