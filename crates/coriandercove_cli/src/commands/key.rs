//! `coriandercove key`: generates keys and secrets.

use coriandercove_config::keys::{generate_key, hex};
use coriandercove_config::{NAME_FORM, is_name};
use rand::rngs::StdRng;
use rand::{RngCore as _, SeedableRng as _};
use serde_json::json;

use crate::args::KeyCommand;
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Length of a generated secret, in bytes.
const SECRET_BYTES: usize = 32;

pub(crate) fn run(command: &KeyCommand, out: &mut Output) -> Result<Exit, CliError> {
    match command {
        KeyCommand::New { account } => new_account_key(account, out),
        KeyCommand::Secret => {
            let mut bytes = [0; SECRET_BYTES];
            secure_rng()?.fill_bytes(&mut bytes);
            let secret = hex(&bytes);
            out.result(&format!("{secret}\n"), &json!({"secret": secret}));
            Ok(Exit::Success)
        }
    }
}

/// Generates a key and writes it together with the hash to add to the answers.
fn new_account_key(account: &str, out: &mut Output) -> Result<Exit, CliError> {
    if !is_name(account) {
        let message =
            format!("--account: `{account}` is not a valid name; allowed are {NAME_FORM}");
        return Err(CliError::Usage { message });
    }
    let new = generate_key(&mut secure_rng()?);
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

/// Returns a cryptographic random number generator, seeded by the operating system.
fn secure_rng() -> Result<StdRng, CliError> {
    StdRng::try_from_os_rng().map_err(|e| CliError::Remote {
        message: format!("cannot read random bytes from the operating system: {e}"),
    })
}
