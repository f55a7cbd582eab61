//! Calls that the state machines for claims and leases make to the object store, and their results.
//! The configuration log has its own, [`crate::config_log::StoreCall`].

use coriandercove_base::data;

/// Version of an object. It rises with every write and never repeats for the same name, not even
/// after the object was deleted and created again.
pub type Version = u64;

data! {
    /// A call that the runtime makes on behalf of a state machine.
    #[derive(Eq)]
    pub enum StoreCall {
        /// Reads the names of all objects that start with `prefix`.
        List {
            /// Prefix of the names.
            prefix: String,
        },
        /// Reads one object.
        Get {
            /// Name of the object to read.
            name: String,
        },
        /// Writes the object if no object has this name.
        Create {
            /// Name of the new object.
            name: String,
            /// Content of the new object.
            value: Vec<u8>,
        },
        /// Writes the object if its version is still `version`.
        PutIf {
            /// Name of the object to replace.
            name: String,
            /// The version that the object must have.
            version: Version,
            /// New content of the object.
            value: Vec<u8>,
        },
        /// Deletes the object if its version is still `version`.
        DeleteIf {
            /// Name of the object to delete.
            name: String,
            /// The version that the object must have.
            version: Version,
        },
    }

    /// Result of a [`StoreCall`]. The runtime reports exactly one for each call.
    #[derive(Eq)]
    pub enum StoreReply {
        /// The names found by a `List`.
        Names(Vec<String>),
        /// The object read by a `Get`.
        Value {
            /// Version that was read.
            version: Version,
            /// Content of that version.
            value: Vec<u8>,
        },
        /// The object of a `Get`, `PutIf` or `DeleteIf` does not exist.
        Absent,
        /// The write succeeded and gave the object this version.
        Written(Version),
        /// The object exists already (`Create`) or has another version (`PutIf`, `DeleteIf`);
        /// nothing was changed.
        Conflict,
        /// The object was deleted by this `DeleteIf`.
        Deleted,
        /// The call had no effect and will never have one, for example because no connection
        /// could be opened.
        Unavailable,
        /// No answer arrived: a write may have taken effect, or may still take effect later.
        Lost,
    }
}
