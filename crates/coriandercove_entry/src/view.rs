//! The configuration in force, indexed for lookups by request.

use std::rc::Rc;

use coriandercove_base::ConfigVersion;
use coriandercove_config::keys::KeyIndex;
use coriandercove_config::{Account, Config};

/// One version of the configuration with its indices.
pub struct ConfigView {
    /// The version.
    pub version: ConfigVersion,
    /// The configuration.
    pub config: Config,
    keys: KeyIndex,
}

impl ConfigView {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(version: ConfigVersion, config: Config) -> Rc<Self> {
        let keys = KeyIndex::new(&config.accounts);
        Rc::new(Self {
            version,
            config,
            keys,
        })
    }

    /// The client account that an `Authorization` header proves.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<&Account> {
        let key = authorization?.strip_prefix("Bearer ")?.trim();
        self.keys
            .find(key)
            .and_then(|i| self.config.accounts.get(i))
    }
}
