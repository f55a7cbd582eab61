//! `coriandercove key`.

use coriandercove_config::keys::{generate_key, hex};
use coriandercove_config::{NAME_FORM, is_name};
use rand::rngs::StdRng;
use rand::{RngCore as _, SeedableRng as _};
use serde_json::json;

use crate::args::KeyCommand;
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Bytes of a secret.
const SECRET_BYTES: usize = 32;

pub(crate) fn run(command: &KeyCommand, out: &mut Output) -> Result<Exit, CliError> {
    match command {
        KeyCommand::New { account } => new(account, out),
        KeyCommand::Secret => {
            let mut bytes = [0; SECRET_BYTES];
            generator()?.fill_bytes(&mut bytes);
            let secret = hex(&bytes);
            out.result(&format!("{secret}\n"), &json!({"secret": secret}));
            Ok(Exit::Success)
        }
    }
}

fn new(account: &str, out: &mut Output) -> Result<Exit, CliError> {
    if !is_name(account) {
        let message =
            format!("--account: `{account}` is not a valid name; allowed are {NAME_FORM}");
        return Err(CliError::Usage { message });
    }
    let new = generate_key(&mut generator()?);
    let text = format!(
        "{}\n\n# Give the key to the account; it is not kept. Add its hash to the answers, under\n\
         # `keys` of the account `{account}`:\n      - id: \"{}\"\n        hash: \"{}\"\n",
        new.key, new.hash.id, new.hash.hash
    );
    let value =
        json!({"account": account, "key": new.key, "id": new.hash.id, "hash": new.hash.hash});
    out.result(&text, &value);
    Ok(Exit::Success)
}

/// A cryptographic generator, seeded by the operating system.
fn generator() -> Result<StdRng, CliError> {
    StdRng::try_from_os_rng().map_err(|e| CliError::Remote {
        message: format!("the operating system gives no random bytes: {e}"),
    })
}
