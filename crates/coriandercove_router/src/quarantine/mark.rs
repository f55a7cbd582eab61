//! What requests are recognised by when targets end under them.

use coriandercove_base::hash::hash64;

use crate::protocol::PromptPart;

/// Something that requests share and that may crash targets: a part of their prompts, or the whole
/// request if it comes again.
pub type Mark = u64;

/// Bit that distinguishes whole requests from parts, whose identifiers callers choose: nobody can
/// send a part that is another's request.
const REQUEST_BIT: Mark = 1 << 63;

/// Content by which a request is recognised when it comes again.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host in lower case, without the port.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Client account; empty if the request has none.
    pub account: &'a str,
    /// All parts of the prompt, the request's own included; bodies of prompts may be alike.
    pub prompt: &'a [PromptPart],
    /// Complete body.
    pub body: &'a [u8],
}

/// Mark of a part of a prompt.
#[must_use]
pub const fn part_mark(part: PromptPart) -> Mark {
    part & !REQUEST_BIT
}

/// Mark of a whole request; equal in all entries. The hash is cryptographic, so that nobody can
/// compose a request that is taken for another one, and entries need no common secret.
#[must_use]
pub fn request_mark(content: &RequestContent<'_>) -> Mark {
    let prompt: Vec<u8> = content
        .prompt
        .iter()
        .flat_map(|p| p.to_le_bytes())
        .collect();
    let fields = [
        content.method.as_bytes(),
        content.host.as_bytes(),
        content.path.as_bytes(),
        content.account.as_bytes(),
        &prompt,
        content.body,
    ];
    hash64(&fields) | REQUEST_BIT
}

/// Whether a mark is that of a whole request.
#[must_use]
pub const fn is_request(mark: Mark) -> bool {
    mark & REQUEST_BIT != 0
}
