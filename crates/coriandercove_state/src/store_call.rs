//! Calls to the object store as actions, and their results as events.

use coriandercove_base::data;

/// Version of an object. A version never repeats for the same name, also not after the
/// object was deleted and created again, and it rises with every write.
pub type Version = u64;

data! {
    /// A call that the runtime makes on behalf of a state machine.
    #[derive(Eq)]
    pub enum StoreCall {
        /// Reads the names of all objects that start with `prefix`.
        List {
            /// Start of the names.
            prefix: String,
        },
        /// Reads one object.
        Get {
            /// Name of the object.
            name: String,
        },
        /// Writes the object if there is none of this name.
        Create {
            /// Name of the object.
            name: String,
            /// Content of the object.
            value: Vec<u8>,
        },
        /// Writes the object if its version is still `version`.
        PutIf {
            /// Name of the object.
            name: String,
            /// The version that the write replaces.
            version: Version,
            /// Content of the object.
            value: Vec<u8>,
        },
        /// Deletes the object if its version is still `version`.
        DeleteIf {
            /// Name of the object.
            name: String,
            /// The version that is deleted.
            version: Version,
        },
    }

    /// Result of a [`StoreCall`]. The runtime reports exactly one for each call.
    #[derive(Eq)]
    pub enum StoreReply {
        /// Names found by `List`.
        Names(Vec<String>),
        /// The object read by `Get`.
        Value {
            /// Version of the object.
            version: Version,
            /// Content of the object.
            value: Vec<u8>,
        },
        /// The object of a `Get`, `PutIf` or `DeleteIf` does not exist.
        Absent,
        /// The write took effect and gave the object this version.
        Written(Version),
        /// The object exists (`Create`) or has another version; nothing was written.
        Conflict,
        /// The object was deleted.
        Deleted,
        /// The call certainly had no effect and will have none, for example because no
        /// connection could be opened.
        Unavailable,
        /// No answer arrived: a write may have taken effect or may still do so.
        Lost,
    }
}
