//! Which headers go on.

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};

use crate::dialect::HeaderNames;

/// Whether a header concerns one connection only.
fn is_hop(name: &HeaderName) -> bool {
    *name == CONNECTION
        || *name == TE
        || *name == TRAILER
        || *name == TRANSFER_ENCODING
        || *name == UPGRADE
        || matches!(name.as_str(), "keep-alive" | "proxy-connection" | "expect")
        || name.as_str().starts_with("proxy-auth")
}

/// Names that the message's own `Connection` header declares to concern one connection.
fn named(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    let words = values.filter_map(|value| value.to_str().ok());
    let words = words.flat_map(|value| value.split(','));
    words
        .filter_map(|word| HeaderName::from_bytes(word.trim().as_bytes()).ok())
        .collect()
}

/// Headers of a request for a backend server, without those that the system sets itself.
///
/// A caller that could set them would choose another account's name, or take memory that was reserved for
/// somebody else.
pub fn request_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let dropped = named(headers);
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if is_hop(name) || *name == CONTENT_LENGTH || dropped.contains(name) {
            continue;
        }
        if *name == names.account_key || names.reserved.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Headers of an answer for the caller.
pub fn response_headers(headers: &HeaderMap, closing: bool) -> HeaderMap {
    let dropped = named(headers);
    let mut kept = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers {
        if is_hop(name) || *name == CONTENT_LENGTH || dropped.contains(name) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    if closing {
        kept.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    kept
}

/// Whether the sender of an answer will close its connection.
pub fn closes(headers: &HeaderMap) -> bool {
    named(headers).iter().any(|name| name.as_str() == "close")
}

/// The host that a request names.
pub fn host(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|value| value.to_str().ok());
    host.unwrap_or_default()
}
