//! Header filtering between callers and backend servers.

use std::collections::HashSet;

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};

use crate::dialect::HeaderNames;

/// Returns `true` for hop-by-hop headers.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    *name == CONNECTION
        || *name == TE
        || *name == TRAILER
        || *name == TRANSFER_ENCODING
        || *name == UPGRADE
        || matches!(name.as_str(), "keep-alive" | "proxy-connection" | "expect")
        || name.as_str().starts_with("proxy-auth")
}

/// Returns the header names listed in the message's `Connection` header, which are hop-by-hop too. A set, as a caller
/// can list thousands.
fn connection_options(headers: &HeaderMap) -> HashSet<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    let words = values.filter_map(|value| value.to_str().ok());
    let words = words.flat_map(|value| value.split(','));
    words
        .filter_map(|word| HeaderName::from_bytes(word.trim().as_bytes()).ok())
        .collect()
}

/// Returns the headers of a request to a backend server, without those that only the gateway may
/// set.
///
/// Otherwise a caller could set the name of another client account or use memory reserved for
/// others.
pub fn request_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let dropped = connection_options(headers);
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if is_hop_by_hop(name) || *name == CONTENT_LENGTH || dropped.contains(name) {
            continue;
        }
        if *name == names.account_key || names.reserved.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Returns the headers of a response to a caller.
pub fn response_headers(headers: &HeaderMap, close_connection: bool) -> HeaderMap {
    let dropped = connection_options(headers);
    let mut kept = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers {
        if is_hop_by_hop(name) || *name == CONTENT_LENGTH || dropped.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    if close_connection {
        kept.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    kept
}

/// Returns the `Host` header, or an empty string.
pub fn host(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok());
    host.unwrap_or_default()
}
