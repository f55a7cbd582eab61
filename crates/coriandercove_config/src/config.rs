//! The typed configuration of the whole deployment, the same at every node.

mod account;
mod check;
mod codec;
mod limits;
mod pipeline;
mod service;
mod site;
mod target;

pub use account::{Account, KeyHash};
pub use check::{NAME_FORM, is_name};
pub(crate) use check::{check_quality, list_names};
pub use codec::OBJECTS_SOURCE;
pub use limits::{ClaimSettings, Limits};
pub use pipeline::{LayerCompute, Pipeline};
pub use service::{Repeat, Rule, Service};
pub use site::{Link, Site, Zone};
pub use target::{Placement, Target, TargetKind};

use coriandercove_base::data;

data! {
    /// The configuration of the deployment. Each list is sorted by the name of its items; a valid
    /// configuration has no duplicate names.
    #[derive(Default, Eq)]
    pub struct Config {
        /// Sites, sorted by name.
        pub sites: Vec<Site>,
        /// Zones, sorted by name.
        pub zones: Vec<Zone>,
        /// Links between zones, sorted by the names of their two zones.
        pub links: Vec<Link>,
        /// Model pipelines, sorted by model.
        pub pipelines: Vec<Pipeline>,
        /// Plain services, sorted by name.
        pub services: Vec<Service>,
        /// Client accounts, sorted by name.
        pub accounts: Vec<Account>,
        /// Targets, sorted by id.
        pub targets: Vec<Target>,
        /// Desired placements, sorted by [`Placement::name`].
        pub placements: Vec<Placement>,
        /// Limits on queues, retries and rates.
        pub limits: Limits,
        /// How calls with an idempotency key that must not repeat are recorded.
        pub claims: ClaimSettings,
    }
}

impl Config {
    /// The zone called `name`.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        find_sorted(&self.zones, name, |z| &z.name)
    }

    /// The region of the site that `zone` belongs to.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        let site = &self.zone(zone)?.site;
        find_sorted(&self.sites, site, |s| &s.name).map(|s| s.region.as_str())
    }

    /// The pipeline of `model`.
    #[must_use]
    pub fn pipeline(&self, model: &str) -> Option<&Pipeline> {
        find_sorted(&self.pipelines, model, |p| &p.model)
    }

    /// The plain service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        find_sorted(&self.services, name, |s| &s.name)
    }

    /// The client account called `name`.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        find_sorted(&self.accounts, name, |a| &a.name)
    }

    /// The target with this id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Target> {
        find_sorted(&self.targets, id, |t| &t.id)
    }

    /// The link between two zones, given in either order.
    #[must_use]
    pub fn link(&self, a: &str, b: &str) -> Option<&Link> {
        let (a, b) = if a <= b { (a, b) } else { (b, a) };
        let i = self
            .links
            .binary_search_by(|l| (&*l.a, &*l.b).cmp(&(a, b)))
            .ok()?;
        Some(&self.links[i])
    }

    /// Sorts every list. Call it after adding items directly: the lookups use binary search.
    pub fn sort(&mut self) {
        self.sites.sort_by(|x, y| x.name.cmp(&y.name));
        self.zones.sort_by(|x, y| x.name.cmp(&y.name));
        self.links.sort_by(|x, y| (&x.a, &x.b).cmp(&(&y.a, &y.b)));
        self.pipelines.sort_by(|x, y| x.model.cmp(&y.model));
        self.services.sort_by(|x, y| x.name.cmp(&y.name));
        self.accounts.sort_by(|x, y| x.name.cmp(&y.name));
        self.targets.sort_by(|x, y| x.id.cmp(&y.id));
        self.placements.sort_by_key(Placement::name);
    }
}

/// Finds an item by binary search in a list that is sorted by `name`.
fn find_sorted<'a, T>(items: &'a [T], wanted: &str, name: impl Fn(&T) -> &str) -> Option<&'a T> {
    let i = items.binary_search_by(|t| name(t).cmp(wanted)).ok()?;
    Some(&items[i])
}

#[cfg(test)]
mod tests;
