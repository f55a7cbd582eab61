//! Carries out the store calls of the configuration log.

use std::rc::Rc;
use std::time::Duration;

use coriandercove_platform::{Store, StoreError, list_all};
use coriandercove_state::config_log::{StoreAnswer, StoreCall};

/// Longest time that one watch waits. A waiting watch counts as one call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Makes one call. A write whose answer may have been lost yields [`StoreAnswer::Lost`].
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
            Err(e) => failed(&e),
        },
        StoreCall::Delete { name } => delete(&*store, &name).await,
        StoreCall::Watch { prefix, after } => watch(&*store, &prefix, &after).await,
    }
}

const fn failed(e: &StoreError) -> StoreAnswer {
    match e {
        StoreError::Unknown { .. } => StoreAnswer::Lost,
        _ => StoreAnswer::Unavailable,
    }
}

/// Deletes whatever version there is. Log and snapshot objects are never written twice, so the
/// version read is the only one.
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
        Err(e) => failed(&e),
    }
}

/// Names above `after`, at once if there are some. The list gives the revision from which the watch
/// misses nothing.
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
