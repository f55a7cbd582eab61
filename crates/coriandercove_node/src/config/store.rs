//! Executes the store calls of the configuration log.

use std::rc::Rc;
use std::time::Duration;

use coriandercove_platform::{Store, StoreError, list_all};
use coriandercove_state::config_log::{StoreAnswer, StoreCall};

/// Longest time that one watch call waits for a change. However long it waits, it counts as one
/// call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Executes one call. Returns [`StoreAnswer::Lost`] if a write may have taken effect although its
/// answer was lost, and [`StoreAnswer::Unavailable`] for any other failure.
pub async fn call(store: Rc<dyn Store>, call: StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Get { name } => match store.get(&name).await {
            Ok(object) => StoreAnswer::Object(Some(object.value.to_vec())),
            Err(StoreError::NotFound) => StoreAnswer::Object(None),
            Err(_) => StoreAnswer::Unavailable,
        },
        StoreCall::List { prefix } => match list_all(&*store, &prefix).await {
            Ok(listing) => StoreAnswer::Names(listing.objects.into_iter().map(|o| o.key).collect()),
            Err(_) => StoreAnswer::Unavailable,
        },
        StoreCall::Create { name, body } => match store.create(&name, body.into()).await {
            Ok(_) => StoreAnswer::Created,
            Err(StoreError::Conflict { .. }) => StoreAnswer::Exists,
            Err(e) => write_failed(&e),
        },
        StoreCall::Delete { name } => delete(&*store, &name).await,
        StoreCall::Watch { prefix, after } => watch(&*store, &prefix, &after).await,
    }
}

const fn write_failed(e: &StoreError) -> StoreAnswer {
    match e {
        StoreError::Unknown { .. } => StoreAnswer::Lost,
        _ => StoreAnswer::Unavailable,
    }
}

/// Deletes an object whatever its version is. Log and snapshot objects are never overwritten, so
/// the version that is read first is the only one the object ever has.
async fn delete(store: &dyn Store, name: &str) -> StoreAnswer {
    let version = match store.get(name).await {
        Ok(object) => object.version,
        Err(StoreError::NotFound) => return StoreAnswer::Deleted,
        Err(_) => return StoreAnswer::Unavailable,
    };
    match store.delete_if(name, version).await {
        Ok(()) | Err(StoreError::NotFound | StoreError::Conflict { current: None }) => {
            StoreAnswer::Deleted
        }
        Err(e) => write_failed(&e),
    }
}

/// Returns the names above `after`: immediately if the listing has any, otherwise those that appear
/// while the watch waits. The watch starts from the revision of the listing, so no change between
/// the two calls is missed.
async fn watch(store: &dyn Store, prefix: &str, after: &str) -> StoreAnswer {
    let listing = match store.list(prefix, after).await {
        Ok(listing) => listing,
        Err(_) => return StoreAnswer::Unavailable,
    };
    if !listing.objects.is_empty() {
        return StoreAnswer::Names(listing.objects.into_iter().map(|o| o.key).collect());
    }
    match store.watch(prefix, listing.revision, WATCH_WAIT).await {
        Ok(batch) => {
            let new = batch.changes.into_iter().filter(|c| c.value.is_some());
            let mut names: Vec<_> = new.map(|c| c.key).filter(|k| k.as_str() > after).collect();
            names.sort();
            StoreAnswer::Names(names)
        }
        Err(_) => StoreAnswer::Unavailable,
    }
}
