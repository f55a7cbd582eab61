//! Validation of sites, zones, links, targets, desired placements and limits.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{Checker, check_quality, list_names};
use crate::config::{ClaimSettings, Config, Limits, Link, Placement, TargetKind};

impl Checker {
    pub(super) fn sites(&mut self, config: &Config) {
        let sites: Vec<&str> = config.sites.iter().map(|s| s.name.as_str()).collect();
        for site in &config.sites {
            self.name(format!("site/{}.name", site.name), &site.name);
            self.name(format!("site/{}.region", site.name), &site.region);
        }
        for zone in &config.zones {
            self.name(format!("zone/{}.name", zone.name), &zone.name);
            self.reference(
                format!("zone/{}.site", zone.name),
                "site",
                &zone.site,
                &sites,
            );
        }
    }

    pub(super) fn link(&mut self, config: &Config, link: &Link) {
        let key = format!("link/{}", link.name());
        let zones = config.zone_names();
        self.reference(format!("{key}.a"), "zone", &link.a, &zones);
        self.reference(format!("{key}.b"), "zone", &link.b, &zones);
        if link.a > link.b {
            self.add(
                key.clone(),
                "the ends are not in order".to_owned(),
                "`a` sorts before `b`",
            );
        }
        let quality = check_quality(&key, link.delay, link.bytes_per_second);
        self.problems.0.extend(quality.0);
    }

    pub(super) fn targets(&mut self, config: &Config) {
        let zones = config.zone_names();
        let services: Vec<&str> = config.services.iter().map(|s| s.name.as_str()).collect();
        let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
        for t in &config.targets {
            let key = format!("target/{}", t.id);
            self.name(format!("{key}.id"), &t.id);
            self.reference(format!("{key}.zone"), "zone", &t.zone, &zones);
            match &t.kind {
                TargetKind::Engine { accelerator } => {
                    self.name(format!("{key}.kind.engine.accelerator"), accelerator);
                }
                TargetKind::Service { service } => {
                    self.reference(
                        format!("{key}.kind.service.service"),
                        "service",
                        service,
                        &services,
                    );
                }
            }
            for (field, address) in [("peer", t.peer), ("operations", t.operations)] {
                self.address(&key, field, address);
                if let Some(other) = seen.insert(address, &t.id) {
                    self.add(
                        format!("{key}.{field}"),
                        format!("the address {address} is also used by the target `{other}`"),
                        "an address of its own for each agent",
                    );
                }
            }
        }
    }

    pub(super) fn address(&mut self, key: &str, field: &str, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            self.add(
                format!("{key}.{field}"),
                format!("{address} cannot be reached by other processes"),
                "an IP address and a port from 1, such as 10.0.0.5:7400",
            );
        }
    }

    pub(super) fn placement(&mut self, config: &Config, p: &Placement) {
        let key = format!("placement/{}", p.name());
        let models: Vec<&str> = config.pipelines.iter().map(|x| &*x.model).collect();
        self.reference(format!("{key}.model"), "model", &p.model, &models);
        let layers = config.pipeline(&p.model).map_or(u16::MAX, |x| x.layers);
        if p.first_layer >= p.end_layer || p.end_layer > layers {
            self.add(
                format!("{key}.end_layer"),
                format!(
                    "{}-{} is not a range of the model's layers",
                    p.first_layer, p.end_layer
                ),
                &format!("first_layer < end_layer <= {layers}"),
            );
        }
        for (i, id) in p.targets.iter().enumerate() {
            match config.target(id).map(|t| &t.kind) {
                Some(TargetKind::Engine { accelerator }) => {
                    self.placement_accelerator(
                        config,
                        p,
                        &format!("{key}.targets[{i}]"),
                        accelerator,
                    );
                }
                _ => self.add(
                    format!("{key}.targets[{i}]"),
                    format!("`{id}` is not an engine target"),
                    "ids of engine targets",
                ),
            }
        }
    }

    pub(super) fn placement_accelerator(
        &mut self,
        config: &Config,
        p: &Placement,
        key: &str,
        accelerator: &str,
    ) {
        let Some(pipeline) = config.pipeline(&p.model) else {
            return;
        };
        if pipeline.compute_on(accelerator).is_none() {
            let kinds: Vec<&str> = pipeline
                .compute
                .iter()
                .map(|c| c.accelerator.as_str())
                .collect();
            self.add(
                key.to_owned(),
                format!(
                    "the model `{}` has no expected compute on `{accelerator}`",
                    p.model
                ),
                &list_names(&kinds),
            );
        }
    }

    pub(super) fn limits(&mut self, l: &Limits) {
        let key = "limits/all";
        self.range(
            key,
            "queue_per_account",
            l.queue_per_account.into(),
            1,
            65_536,
        );
        self.range(
            key,
            "queue_per_entry",
            l.queue_per_entry.into(),
            1,
            1_048_576,
        );
        self.range(
            key,
            "replica_concurrency",
            l.replica_concurrency.into(),
            1,
            100_000,
        );
        self.range(
            key,
            "retry_budget_percent",
            l.retry_budget_percent.into(),
            0,
            100,
        );
        self.range(
            key,
            "retry_floor_per_second",
            l.retry_floor_per_second.into(),
            0,
            1000,
        );
        self.millis(key, "retry_backoff_first", l.retry_backoff_first, 1, 10_000);
        self.millis(key, "retry_backoff_max", l.retry_backoff_max, 1, 60_000);
        self.millis(key, "slow_start", l.slow_start, 0, 600_000);
        self.range(
            key,
            "ejection_floor_percent",
            l.ejection_floor_percent.into(),
            0,
            100,
        );
        self.range(key, "replan_percent", l.replan_percent.into(), 100, 10_000);
        self.millis(key, "replan_after", l.replan_after, 0, 600_000);
        self.range(key, "weight_loads", l.weight_loads.into(), 1, 1000);
        if l.retry_backoff_first > l.retry_backoff_max {
            self.add(
                format!("{key}.retry_backoff_max"),
                "it is shorter than `retry_backoff_first`".to_owned(),
                "at least `retry_backoff_first`",
            );
        }
    }

    pub(super) fn claims(&mut self, c: &ClaimSettings) {
        let key = "claims/all";
        self.range(key, "shards", c.shards.into(), 1, 64);
        self.millis(key, "retention", c.retention, 60_000, 7 * 86_400_000);
        self.range(key, "writes_per_second", c.writes_per_second.into(), 1, 100);
        self.range(
            key,
            "segment_bytes",
            c.segment_bytes.into(),
            16 * 1024,
            1024 * 1024,
        );
        self.range(key, "answer_bytes", c.answer_bytes.into(), 0, 64 * 1024);
        // The store accepts several hundred writes per second, shared by all its clients.
        let writes = u64::from(c.shards) * u64::from(c.writes_per_second);
        if writes > 640 {
            self.add(
                format!("{key}.shards"),
                format!("{writes} writes per second are more than the store takes"),
                "shards x writes_per_second at most 640",
            );
        }
    }
}
