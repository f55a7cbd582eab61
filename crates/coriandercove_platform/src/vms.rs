//! The platform's list of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::http::{HttpCall, HttpClient};
use coriandercove_base::{ZoneId, data};

use crate::store::{StoreError, StoreResult};

/// VMs in one list. A list with more is refused.
const MAX_VMS: usize = 100_000;

data! {
    /// A VM in the list.
    #[derive(Eq)]
    pub struct Vm {
        /// Name of the VM, unique in the deployment.
        pub name: String,
        /// Where the process in the VM's slot listens.
        pub address: SocketAddr,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Whether the VM is about to be taken away.
        pub state: VmState,
    }

    /// Whether a VM stays.
    #[derive(Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// The VM runs.
        Live,
        /// The VM will be taken away.
        Leaving,
    }

    /// Answer to `GET /v1/vms`. It lags behind the actual state.
    #[derive(Eq, Default)]
    pub struct VmTable {
        /// Rises with each change.
        pub version: u64,
        /// The VMs in the order of their names.
        pub vms: Vec<Vm>,
    }
}

/// The VM list as the system uses it.
pub trait VmSource {
    /// The list as the platform shows it now.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] or [`StoreError::RateLimited`].
    fn vms(&self) -> StoreResult<VmTable>;
}

/// The VM list reached over HTTP.
#[derive(Clone)]
pub struct VmList {
    client: HttpClient,
    url: String,
    timeout: Duration,
}

impl VmList {
    /// The list at `url`, such as `http://127.0.0.1:9001`.
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

/// Decodes the body of a VM list.
///
/// # Errors
/// A description of the first place that is not valid.
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
