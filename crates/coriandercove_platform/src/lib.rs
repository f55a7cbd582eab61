//! Client of the platform's object store and VM list, with an in-memory store for tests.

pub mod counted;
pub mod http_store;
pub mod memory;
pub mod protocol;
pub mod rate;
pub mod store;
pub mod table;
pub mod vms;

pub use counted::{CallRates, CountedStore};
pub use http_store::HttpStore;
pub use memory::MemoryStore;
pub use rate::RateLimit;
pub use store::{
    Change, Listing, MAX_VALUE, Object, Store, StoreError, StoreResult, Version, WatchBatch,
    list_all,
};
pub use vms::{Vm, VmList, VmSource, VmState, VmTable};
