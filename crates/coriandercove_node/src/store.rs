//! Executes the store calls that several state machines share.

use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::http::{HttpClient, HttpLimits};
use coriandercove_platform::{HttpStore, Store, StoreError, Version, list_all};
use coriandercove_state::store_call::{StoreCall, StoreReply};

/// Timeout of one store call. The store answers within milliseconds, so a longer wait means that it
/// is down.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates a client of the store at `url`, such as `http://127.0.0.1:9000`.
#[must_use]
pub fn http_store(url: &str) -> Rc<dyn Store> {
    let client = HttpClient::new(HttpLimits::default());
    Rc::new(HttpStore::new(client, url, CALL_TIMEOUT))
}

/// Executes one call. Returns [`StoreReply::Lost`] if a write may have taken effect although its
/// answer was lost, and [`StoreReply::Unavailable`] if a failed call certainly had no effect.
pub async fn call(store: Rc<dyn Store>, call: StoreCall) -> StoreReply {
    match call {
        StoreCall::List { prefix } => list_names(&*store, &prefix).await,
        StoreCall::Get { name } => get(&*store, &name).await,
        StoreCall::Create { name, value } => written(store.create(&name, value.into()).await),
        StoreCall::PutIf {
            name,
            version,
            value,
        } => written(store.put_if(&name, version, value.into()).await),
        StoreCall::DeleteIf { name, version } => match store.delete_if(&name, version).await {
            Ok(()) => StoreReply::Deleted,
            Err(e) => write_failed(&e),
        },
    }
}

async fn list_names(store: &dyn Store, prefix: &str) -> StoreReply {
    match list_all(store, prefix).await {
        Ok(listing) => StoreReply::Names(listing.objects.into_iter().map(|o| o.key).collect()),
        Err(_) => StoreReply::Unavailable,
    }
}

async fn get(store: &dyn Store, name: &str) -> StoreReply {
    match store.get(name).await {
        Ok(object) => StoreReply::Value {
            version: object.version,
            value: object.value.to_vec(),
        },
        Err(StoreError::NotFound) => StoreReply::Absent,
        Err(_) => StoreReply::Unavailable,
    }
}

fn written(result: Result<Version, StoreError>) -> StoreReply {
    match result {
        Ok(version) => StoreReply::Written(version),
        Err(e) => write_failed(&e),
    }
}

const fn write_failed(e: &StoreError) -> StoreReply {
    match e {
        StoreError::Conflict { current: Some(_) } => StoreReply::Conflict,
        StoreError::Conflict { current: None } | StoreError::NotFound => StoreReply::Absent,
        StoreError::Unknown { .. } => StoreReply::Lost,
        StoreError::Unavailable { .. }
        | StoreError::RateLimited { .. }
        | StoreError::TooLarge { .. }
        | StoreError::InvalidKey { .. }
        | StoreError::Compacted { .. } => StoreReply::Unavailable,
    }
}

#[cfg(test)]
mod tests;
