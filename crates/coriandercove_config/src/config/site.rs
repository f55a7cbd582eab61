//! Sites, zones and the links between zones.

use std::time::Duration;

use coriandercove_base::{ZoneId, data};

data! {
    /// A place where a team works, with one or more zones near it.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Site {
        /// Name of the site.
        pub name: String,
        /// Region that the site belongs to.
        pub region: String,
    }

    /// An availability zone.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Zone {
        /// Name of the zone.
        pub name: ZoneId,
        /// Site that the zone belongs to.
        pub site: String,
    }

    /// Expected properties of the link between two zones, or within one zone if both ends are equal.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Link {
        /// The end whose name sorts first.
        pub a: ZoneId,
        /// The other end.
        pub b: ZoneId,
        /// Delay in one direction.
        #[serde(with = "crate::duration")]
        pub delay: Duration,
        /// Bandwidth in bytes per second for each connection.
        pub bytes_per_second: u64,
    }
}

impl Link {
    /// Name of the link. `~` cannot be part of a zone's name, so that no two links share a name.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}~{}", self.a, self.b)
    }
}
