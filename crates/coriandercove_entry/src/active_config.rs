//! The configuration in force, indexed for the lookups that each request needs.

use std::rc::Rc;

use coriandercove_base::ConfigVersion;
use coriandercove_config::keys::KeyIndex;
use coriandercove_config::{Account, Config};

/// One version of the configuration with an index of its API keys.
pub struct ActiveConfig {
    /// Version of `config`; increases with each change.
    pub version: ConfigVersion,
    /// The accounts, pipelines, services and targets of this version.
    pub config: Config,
    keys: KeyIndex,
}

impl ActiveConfig {
    /// Builds the key index of a configuration.
    #[must_use]
    pub fn new(version: ConfigVersion, config: Config) -> Rc<Self> {
        let keys = KeyIndex::new(&config.accounts);
        Rc::new(Self {
            version,
            config,
            keys,
        })
    }

    /// Returns the client account whose key an `Authorization: Bearer` header contains; `None` if
    /// the header is missing or malformed or its key is unknown.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<&Account> {
        let key = authorization?.strip_prefix("Bearer ")?.trim();
        self.keys
            .find(key)
            .and_then(|i| self.config.accounts.get(i))
    }
}
