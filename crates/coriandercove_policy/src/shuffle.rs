//! Shuffle shards: a fixed small set of replicas for each client account.

/// Picks the shard of an account: indices into `replicas`, best first.
#[must_use]
pub fn shard<T: AsRef<str>>(account: &str, replicas: &[T], size: usize) -> Vec<usize> {
    unimplemented!()
}
