//! The interface of the object store.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

/// Version of an object: the store's revision at the latest write to it. The revision rises with
/// each write to any object, so the versions of one key rise even if the object is deleted and
/// created again.
pub type Version = u64;

/// Largest value of an object, in bytes.
pub const MAX_VALUE: usize = 1 << 20;
/// Longest key, in bytes.
pub const MAX_KEY: usize = 512;

/// An object with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version of the value.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// One page of the objects whose keys begin with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Revision of the store when the page was read. A watch from this revision sees every change
    /// that the page does not include.
    pub revision: Version,
    /// Objects in the order of their keys.
    pub objects: Vec<Object>,
    /// Whether objects follow after the last one.
    pub more: bool,
}

/// The latest state of an object that has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the object.
    pub key: String,
    /// Version of the value, or revision of the deletion.
    pub version: Version,
    /// The value; `None` if the object was deleted.
    pub value: Option<Bytes>,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// Revision from which the next watch begins.
    pub revision: Version,
    /// Changed objects in the order of their versions. An object that has changed several times
    /// appears once, in its latest state.
    pub changes: Vec<Change>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The object has another version than the one given, so nothing was changed.
    #[snafu(display("the object is at version {current:?}"))]
    Conflict {
        /// Current version of the object; `None` if it does not exist.
        current: Option<Version>,
    },
    /// The object does not exist.
    #[snafu(display("no such object"))]
    NotFound,
    /// The store cannot be used; a write certainly had no effect.
    #[snafu(display("the store is unavailable: {message}"))]
    Unavailable {
        /// Description of the cause.
        message: String,
    },
    /// Too many calls; this one certainly had no effect.
    #[snafu(display("rate exceeded; next call in {} ms", retry_after.as_millis()))]
    RateLimited {
        /// Time until a call may be made again.
        retry_after: Duration,
    },
    /// The answer to a write was lost. The write may have taken effect, or may do so later.
    #[snafu(display("the outcome of the write is unknown: {message}"))]
    Unknown {
        /// Description of the cause.
        message: String,
    },
    /// The value is too large, so nothing was changed.
    #[snafu(display("the value is larger than {limit} bytes"))]
    TooLarge {
        /// Bytes allowed.
        limit: usize,
    },
    /// The key or prefix has a character or a length that the store does not accept.
    #[snafu(display("key {key:?}: must have 1 to {MAX_KEY} of A-Z a-z 0-9 / . _ : = @ ~ -"))]
    InvalidKey {
        /// The key, cut after [`MAX_KEY`] characters.
        key: String,
    },
    /// The watch began at a revision whose later changes the store no longer has. The caller must
    /// list the objects again.
    #[snafu(display("changes are known from revision {oldest} on only"))]
    Compacted {
        /// Earliest revision from which a watch may begin.
        oldest: Version,
    },
}

/// Future of a call to the store.
pub type StoreResult<T> = LocalBoxFuture<'static, Result<T, StoreError>>;

/// The object store. Implementations make each call once; the caller decides about retries.
///
/// Reads never fail with [`StoreError::Unknown`].
pub trait Store {
    /// Reads an object.
    ///
    /// # Errors
    /// Returns [`StoreError::NotFound`] if it does not exist.
    fn get(&self, key: &str) -> StoreResult<Object>;

    /// Reads the objects whose keys begin with `prefix` and come after `start_after`; see
    /// [`list_all`] for all pages.
    ///
    /// # Errors
    /// Returns [`StoreError`] if the store cannot be read.
    fn list(&self, prefix: &str, start_after: &str) -> StoreResult<Listing>;

    /// Replaces the value of an object that has the given version; returns the new version.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if it has another version or does not exist.
    fn put_if(&self, key: &str, version: Version, value: Bytes) -> StoreResult<Version>;

    /// Creates an object; returns its version.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if it exists.
    fn create(&self, key: &str, value: Bytes) -> StoreResult<Version>;

    /// Deletes an object that has the given version.
    ///
    /// # Errors
    /// Returns [`StoreError::Conflict`] if it has another version or does not exist.
    fn delete_if(&self, key: &str, version: Version) -> StoreResult<()>;

    /// Waits until an object whose key begins with `prefix` has a version above `after`, or until
    /// `wait` has passed; then the batch is empty.
    ///
    /// # Errors
    /// Returns [`StoreError::Compacted`] if the store no longer has all changes after `after`.
    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> StoreResult<WatchBatch>;
}

/// Reads all pages of a listing. The revision is that of the first page, so that a watch from there
/// sees changes made between the pages.
///
/// # Errors
/// Returns the [`StoreError`] of the first page that fails.
pub async fn list_all(store: &dyn Store, prefix: &str) -> Result<Listing, StoreError> {
    let mut all = store.list(prefix, "").await?;
    while all.more {
        let Some(last) = all.objects.last().map(|o| o.key.clone()) else {
            break;
        };
        let page = store.list(prefix, &last).await?;
        if page.objects.first().is_some_and(|o| o.key <= last) {
            let message = format!("the pages of the listing of {prefix:?} are out of order");
            return Err(StoreError::Unavailable { message });
        }
        all.more = page.more && !page.objects.is_empty();
        all.objects.extend(page.objects);
    }
    Ok(all)
}

/// Checks that the store accepts the key.
///
/// # Errors
/// Returns [`StoreError::InvalidKey`] if it does not.
pub fn check_key(key: &str) -> Result<(), StoreError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"/._:=@~-".contains(&b);
    if (1..=MAX_KEY).contains(&key.len()) && key.bytes().all(allowed) {
        return Ok(());
    }
    let key = key.chars().take(MAX_KEY).collect();
    Err(StoreError::InvalidKey { key })
}

/// Checks that `prefix` can be the start of a key. An empty prefix matches all keys.
///
/// # Errors
/// Returns [`StoreError::InvalidKey`] if it cannot.
pub fn check_prefix(prefix: &str) -> Result<(), StoreError> {
    if prefix.is_empty() {
        return Ok(());
    }
    check_key(prefix)
}
