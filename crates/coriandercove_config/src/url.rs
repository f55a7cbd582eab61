//! Validation of the URLs in answers and settings.

/// Allowed form of a URL, for error messages.
const FORM: &str =
    "http://HOST:PORT with an IP address or a host name, such as http://10.0.0.5:7300";

/// Checks that `url` is a plain HTTP URL with a host, and without query, fragment or user.
///
/// # Errors
/// The problem and the allowed form.
pub fn check_url(url: &str) -> Result<(), (String, &'static str)> {
    let fail = |problem: &str| Err((format!("`{url}` {problem}"), FORM));
    let Some(rest) = url.strip_prefix("http://") else {
        return fail("does not start with http://");
    };
    let authority = rest.split('/').next().unwrap_or_default();
    if rest.contains(['?', '#', ' ']) || authority.contains('@') {
        return fail("has a query, a fragment, a user or a space");
    }
    let (host, port) = match authority.rsplit_once(':') {
        Some((host, port)) if !port.ends_with(']') => (host, Some(port)),
        _ => (authority, None),
    };
    if host.is_empty() {
        return fail("has no host");
    }
    match port.map(str::parse::<u16>) {
        None => Ok(()),
        Some(Ok(port)) if port > 0 => Ok(()),
        Some(_) => fail("has an invalid port"),
    }
}
