//! Sites, zones and the links between zones.

use std::time::Duration;

use coriandercove_base::{ZoneId, data};

data! {
    /// A location of a team, with one or more zones.
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

    /// Expected delay and bandwidth between two zones, or within one zone if `a` equals `b`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Link {
        /// The zone whose name sorts first.
        pub a: ZoneId,
        /// The other zone, or the same one for the link within a zone.
        pub b: ZoneId,
        /// One-way delay.
        #[serde(with = "crate::duration")]
        pub delay: Duration,
        /// Bandwidth in bytes per second for each connection.
        pub bytes_per_second: u64,
    }
}

impl Link {
    /// Name of the link, `{a}~{b}`. Zone names cannot contain `~`, so no two links share a name.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}~{}", self.a, self.b)
    }
}
