//! [`ClaimStore`] on top of the platform's store.

use std::rc::Rc;

use coriandercove_platform::Store;
use coriandercove_state::store_call::{StoreCall, StoreReply};
use futures_util::future::LocalBoxFuture;

use super::ClaimStore;

/// Stores claims on idempotency keys in the platform's store.
pub struct PlatformClaims(pub Rc<dyn Store>);

impl ClaimStore for PlatformClaims {
    fn call(&self, call: StoreCall) -> LocalBoxFuture<'static, StoreReply> {
        Box::pin(coriandercove_node::store::call(Rc::clone(&self.0), call))
    }
}
