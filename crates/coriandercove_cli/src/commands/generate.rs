//! `coriandercove generate`: generates a configuration from answers.

use serde_json::json;

use super::files;
use crate::args::GenerateArgs;
use crate::error::{CliError, Exit};
use crate::output::Output;

pub(crate) fn run(args: &GenerateArgs, out: &mut Output) -> Result<Exit, CliError> {
    let objects = files::answers(&args.answers)?.config.to_objects();
    let Some(path) = &args.out else {
        out.raw(&objects.to_json());
        return Ok(Exit::Success);
    };
    // The file is generated from the answers, so an existing one is overwritten.
    files::write(path, &objects.to_json(), true)?;
    let (count, digest) = (objects.len(), objects.digest());
    let text = format!("{}: {count} objects, digest {digest}\n", path.display());
    out.result(
        &text,
        &json!({"file": path, "objects": count, "digest": digest}),
    );
    Ok(Exit::Success)
}
