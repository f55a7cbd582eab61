//! The platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::http::{HttpCall, HttpClient};
use coriandercove_base::{ZoneId, data};

use crate::store::{StoreError, StoreResult};

/// Largest number of VMs in a list. A longer list is rejected.
const MAX_VMS: usize = 100_000;

data! {
    /// A VM of the deployment.
    #[derive(Eq)]
    pub struct Vm {
        /// Name of the VM, unique in the deployment.
        pub name: String,
        /// Address at which the process on the VM listens.
        pub address: SocketAddr,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Whether the VM runs or is about to be removed.
        pub state: VmState,
    }

    /// State of a VM.
    #[derive(Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// The VM runs.
        Live,
        /// The VM still runs, but the platform is about to remove it.
        Leaving,
    }

    /// Answer to `GET /v1/vms`. The list may lag behind the actual state of the VMs.
    #[derive(Eq, Default)]
    pub struct VmTable {
        /// Version of the list, which rises with each change.
        pub version: u64,
        /// The VMs in the order of their names.
        pub vms: Vec<Vm>,
    }
}

/// Source of the VM list: the platform, or a substitute in tests.
pub trait VmSource {
    /// Reads the current list.
    ///
    /// # Errors
    /// Returns [`StoreError::Unavailable`] or [`StoreError::RateLimited`].
    fn vms(&self) -> StoreResult<VmTable>;
}

/// Client that reads the VM list over HTTP.
#[derive(Clone)]
pub struct VmList {
    client: HttpClient,
    url: String,
    timeout: Duration,
}

impl VmList {
    /// Creates a client of the platform at `url`, such as `http://127.0.0.1:9001`. `timeout`
    /// applies to each call.
    #[must_use]
    pub fn new(client: HttpClient, url: &str, timeout: Duration) -> Self {
        Self {
            client,
            url: url.trim_end_matches('/').to_owned(),
            timeout,
        }
    }
}

impl VmSource for VmList {
    fn vms(&self) -> StoreResult<VmTable> {
        let call = HttpCall::new("GET", format!("{}/v1/vms", self.url)).timeout(self.timeout);
        let client = self.client.clone();
        Box::pin(async move {
            let answer = client.call(call).await;
            let answer = answer.map_err(|e| unavailable(&e))?;
            match answer.status {
                200 => decode_vms(&answer.body).map_err(|e| unavailable(&e)),
                status => Err(unavailable(&format!("status {status}"))),
            }
        })
    }
}

fn unavailable(message: &impl ToString) -> StoreError {
    StoreError::Unavailable {
        message: message.to_string(),
    }
}

/// Decodes the body of an answer to `GET /v1/vms` and sorts the VMs by name.
///
/// # Errors
/// Returns a description of the first problem: invalid JSON, too many VMs, or a name that appears
/// twice.
pub fn decode_vms(body: &[u8]) -> Result<VmTable, String> {
    let mut table: VmTable = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if table.vms.len() > MAX_VMS {
        return Err(format!("vms: {} of at most {MAX_VMS}", table.vms.len()));
    }
    table.vms.sort_by(|a, b| a.name.cmp(&b.name));
    let twice = table.vms.windows(2).find(|w| w[0].name == w[1].name);
    match twice {
        Some(w) => Err(format!("vms: {:?} appears twice", w[0].name)),
        None => Ok(table),
    }
}
