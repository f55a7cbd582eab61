//! Command line of `coriandercove-standin`.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Parser, Subcommand};
use coriandercove_base::Layer;
use coriandercove_platform::{Vm, VmState};
use coriandercove_standin::engine::{CostModel, EngineSettings, WeightStore};
use coriandercove_standin::service::ServiceSettings;
use coriandercove_standin::store::StoreSettings;
use coriandercove_standin::vm_list::VmListSettings;

/// Runs a stand-in for the platform or for a target and prints the address that it listens on.
#[derive(Parser)]
#[command(version)]
pub struct Args {
    /// The stand-in to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The stand-in to run, with its options.
#[derive(Subcommand)]
pub enum Command {
    /// The platform's object store.
    Store(StoreArgs),
    /// The platform's VM list.
    VmList(VmListArgs),
    /// An engine.
    Engine(EngineArgs),
    /// A plain service that accepts bookings.
    Service(ServiceArgs),
}

/// Options of the object store.
#[derive(clap::Args)]
pub struct StoreArgs {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Reads, listings and watches per second for all clients together.
    #[arg(long, default_value_t = 2_000.0)]
    read_rate: f64,
    /// Writes per second for all clients together.
    #[arg(long, default_value_t = 300.0)]
    write_rate: f64,
    /// Time that each call takes before its effect, in ms.
    #[arg(long, default_value_t = 2)]
    latency_ms: u64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl StoreArgs {
    /// Converts the options to the settings of the store stand-in.
    pub const fn settings(&self) -> StoreSettings {
        StoreSettings {
            listen: self.listen,
            read_rate: self.read_rate,
            write_rate: self.write_rate,
            latency: Duration::from_millis(self.latency_ms),
            seed: self.seed,
        }
    }
}

/// Options of the VM list.
#[derive(clap::Args)]
pub struct VmListArgs {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Time until a change of the list is visible, in ms.
    #[arg(long, default_value_t = 2_000)]
    lag_ms: u64,
    /// A VM as `name,zone,address`; may be repeated.
    #[arg(long = "vm")]
    vms: Vec<String>,
}

impl VmListArgs {
    /// Converts the options to the settings of the VM list stand-in. The error names the `--vm`
    /// that cannot be parsed.
    pub fn settings(&self) -> Result<VmListSettings, String> {
        let vms = self.vms.iter().map(|text| parse_vm(text));
        Ok(VmListSettings {
            listen: self.listen,
            lag: Duration::from_millis(self.lag_ms),
            vms: vms.collect::<Result<_, _>>()?,
        })
    }
}

fn parse_vm(text: &str) -> Result<Vm, String> {
    let parts: Vec<&str> = text.split(',').collect();
    let [name, zone, address] = parts[..] else {
        return Err(format!("--vm {text:?}: must be name,zone,address"));
    };
    Ok(Vm {
        name: name.to_owned(),
        zone: zone.into(),
        address: address
            .parse()
            .map_err(|e| format!("--vm {text:?}: invalid address: {e}"))?,
        state: VmState::Live,
    })
}

/// Options of an engine.
#[derive(clap::Args)]
pub struct EngineArgs {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Name of the model.
    #[arg(long, default_value = "draft")]
    model: String,
    /// Version of the weights.
    #[arg(long, default_value = "1")]
    model_version: String,
    /// First layer that the engine holds.
    #[arg(long, default_value_t = 0)]
    first_layer: Layer,
    /// Layer after the last one that the engine holds; by default the number of layers of the
    /// model.
    #[arg(long)]
    end_layer: Option<Layer>,
    /// Number of layers of the whole model.
    #[arg(long, default_value_t = 32)]
    total_layers: Layer,
    /// Kind of accelerator: a100, a10, l4 or t4.
    #[arg(long, default_value = "a10")]
    accelerator: String,
    /// Fixed time of an iteration, without that of its items, in us; by default that of the
    /// accelerator.
    #[arg(long)]
    base_us: Option<u64>,
    /// Time to decode one position in one layer, in ns; by default that of the accelerator.
    #[arg(long)]
    decode_layer_ns: Option<u64>,
    /// Time to prefill one position in one layer, in ns; by default that of the accelerator.
    #[arg(long)]
    prefill_layer_ns: Option<u64>,
    /// Largest number of sequences in one iteration.
    #[arg(long, default_value_t = 64)]
    max_batch: u32,
    /// Number of tokens whose KV state fits in memory.
    #[arg(long, default_value_t = 200_000)]
    kv_capacity_tokens: u64,
    /// Largest number of positions in the prefix cache.
    #[arg(long, default_value_t = 50_000)]
    cache_tokens: u64,
    /// Time until a cache event can be read, in ms.
    #[arg(long, default_value_t = 200)]
    cache_event_delay_ms: u64,
    /// Share of cache events that are lost, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    cache_event_loss: f64,
    /// Greatest age of a load report, in ms.
    #[arg(long, default_value_t = 200)]
    load_lag_ms: u64,
    /// Time to load the weights of one layer, in ms.
    #[arg(long, default_value_t = 50)]
    load_layer_ms: u64,
    /// Follow orders with an old fencing token.
    #[arg(long)]
    ignore_fence: bool,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl EngineArgs {
    /// Converts the options to the settings of the engine stand-in. The error names the value that
    /// is not valid.
    pub fn settings(&self) -> Result<EngineSettings, String> {
        let end = self.end_layer.unwrap_or(self.total_layers);
        let mut s = EngineSettings::new(&self.model, self.first_layer, end, self.total_layers);
        s.listen = self.listen;
        s.info.version.clone_from(&self.model_version);
        s.info.accelerator.clone_from(&self.accelerator);
        s.info.max_batch = self.max_batch;
        s.info.kv_capacity_tokens = self.kv_capacity_tokens;
        s.info.checks_fence = !self.ignore_fence;
        s.info.check()?;
        s.cost = self.cost()?;
        s.cache_tokens = self.cache_tokens;
        s.cache_event_delay = Duration::from_millis(self.cache_event_delay_ms);
        s.cache_event_loss = self.cache_event_loss;
        s.load_lag = Duration::from_millis(self.load_lag_ms);
        s.weights = WeightStore::new(Duration::from_millis(self.load_layer_ms));
        s.seed = self.seed;
        Ok(s)
    }

    fn cost(&self) -> Result<CostModel, String> {
        let kind = &self.accelerator;
        let mut cost = CostModel::for_accelerator(kind)
            .ok_or_else(|| format!("--accelerator {kind:?}: must be a100, a10, l4 or t4"))?;
        if let Some(us) = self.base_us {
            cost.base = Duration::from_micros(us);
        }
        if let Some(ns) = self.decode_layer_ns {
            cost.decode_layer = Duration::from_nanos(ns);
        }
        if let Some(ns) = self.prefill_layer_ns {
            cost.prefill_layer = Duration::from_nanos(ns);
        }
        Ok(cost)
    }
}

/// Options of a plain service.
#[derive(clap::Args)]
pub struct ServiceArgs {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Time of each call before its effect, in ms.
    #[arg(long, default_value_t = 2)]
    delay_ms: u64,
    /// Time of each call between its effect and its answer, in ms.
    #[arg(long, default_value_t = 0)]
    answer_delay_ms: u64,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl ServiceArgs {
    /// Converts the options to the settings of the service stand-in.
    pub const fn settings(&self) -> ServiceSettings {
        ServiceSettings {
            listen: self.listen,
            delay: Duration::from_millis(self.delay_ms),
            answer_delay: Duration::from_millis(self.answer_delay_ms),
            seed: self.seed,
        }
    }
}
