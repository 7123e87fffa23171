//! What the three clients share: one HTTP exchange with limits on time and size.

use std::io::{ErrorKind as IoErrorKind, Read};
use std::sync::Arc;
use std::time::Duration;

use attohttpc::header::HeaderMap;
use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Session, StatusCode};

use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

use crate::settings::{Endpoint, Error};

/// Largest reply that is read. A reply beyond it is a failure, not a reason to run out of memory.
const REPLY_LIMIT: u64 = 64 * 1024 * 1024;

/// How the text of a PEM file starts; anything else is a path.
const PEM_START: &str = "-----BEGIN";

/// A reply of this status has neither body nor length.
const NO_CONTENT: StatusCode = StatusCode::NO_CONTENT;

/// A service's base address and the session to reach it with.
pub(crate) struct Client {
    base: Arc<str>,
    session: Session,
}

/// A whole reply.
pub(crate) struct Exchange {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Why there was no whole reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection was refused, so no byte of the request left.
    Refused(Arc<str>),
    /// Some of the request may have been received and acted upon.
    Lost(Arc<str>),
}

impl Client {
    pub(crate) fn new(endpoint: &Endpoint) -> Result<Self, Error> {
        let address = endpoint.address.clone();
        if endpoint.connect_timeout_ms == 0 || endpoint.timeout_ms == 0 {
            return Err(Error::Timeout { address });
        }
        if !is_address(&address) {
            return Err(Error::Address { address });
        }
        let secure = address.starts_with("https://");
        if secure != endpoint.authority.is_some() {
            return Err(Error::AuthorityMissing { address });
        }
        let timeout = Duration::from_millis(endpoint.timeout_ms.into());
        let mut session = Session::new();
        session.connect_timeout(Duration::from_millis(endpoint.connect_timeout_ms.into()));
        session.read_timeout(timeout);
        // The read timeout alone bounds each read, not the reply: a server that sends a byte now and
        // then would hold the caller for ever. This bounds the whole exchange.
        session.timeout(timeout);
        // By default a proxy named in the environment would be used. The platform's traffic, with its
        // token, would leave through it, and an outage of the proxy would look like one of the platform.
        session.proxy_settings(ProxySettings::builder().build());
        // A redirected write could be applied by the first server and refused by the second,
        // and would then be reported as "not written".
        session.follow_redirects(false);
        if let Some(authority) = &endpoint.authority {
            // Without a provider of its own choice the TLS library panics as soon as two are linked in.
            // That one was installed before is no failure.
            let _ = rustls::crypto::ring::default_provider().install_default();
            for certificate in read_authority(&address, authority)? {
                session.add_root_certificate(certificate);
            }
        }
        if let Some(token) = &endpoint.token {
            session.header("Authorization", format!("Bearer {}", token.read()?));
        }
        let base = address.trim_end_matches('/').into();
        Ok(Self { base, session })
    }

    pub(crate) fn post(&self, path: &str, body: Vec<u8>) -> Result<Exchange, Failure> {
        let request = self.session.post(format!("{}{path}", self.base));
        exchange(
            request
                .bytes(body)
                .header("Content-Type", "application/json"),
        )
    }

    pub(crate) fn put(&self, path: &str, body: &[u8]) -> Result<Exchange, Failure> {
        let request = self.session.put(format!("{}{path}", self.base));
        exchange(request.bytes(body))
    }

    pub(crate) fn get(&self, path: &str) -> Result<Exchange, Failure> {
        exchange(self.session.get(format!("{}{path}", self.base)))
    }
}

fn is_address(address: &str) -> bool {
    let plain_text = address.strip_prefix("http://");
    let Some(rest) = plain_text.or_else(|| address.strip_prefix("https://")) else {
        return false;
    };
    let host = rest.split('/').next().unwrap_or_default();
    let plain = rest.bytes().all(|byte| byte.is_ascii_graphic());
    !host.is_empty() && plain && !rest.contains(['@', '?', '#', '"', '<', '>', '\\'])
}

fn read_authority(
    address: &Arc<str>,
    authority: &Arc<str>,
) -> Result<Vec<CertificateDer<'static>>, Error> {
    let failed = |reason: String| Error::Authority {
        address: address.clone(),
        reason: reason.into(),
    };
    let text = if authority.trim_start().starts_with(PEM_START) {
        authority.to_string()
    } else {
        std::fs::read_to_string(&**authority).map_err(|error| failed(error.to_string()))?
    };
    let blocks: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    match blocks {
        Ok(blocks) if !blocks.is_empty() => Ok(blocks),
        Ok(_) => Err(failed("no certificate was found".into())),
        Err(error) => Err(failed(error.to_string())),
    }
}

fn exchange<Body>(request: RequestBuilder<Body>) -> Result<Exchange, Failure>
where
    Body: attohttpc::body::Body,
{
    let response = request.send().map_err(|error| classify(&error))?;
    let (status, headers, reader) = response.split();
    let mut body = Vec::new();
    let read = reader.take(REPLY_LIMIT + 1).read_to_end(&mut body);
    if let Err(error) = read {
        return Err(Failure::Lost(error.to_string().into()));
    }
    if body.len() as u64 > REPLY_LIMIT {
        return Err(Failure::Lost("the reply is too large".into()));
    }
    if !is_whole(&headers, &body) && !status.is_redirection() && status != NO_CONTENT {
        return Err(Failure::Lost("the reply was cut off".into()));
    }
    let status = status.as_u16();
    Ok(Exchange { status, body })
}

/// Whether the body has the length that was announced for it.
///
/// The library takes the end of a connection for the end of the body, also when more was announced.
/// The first half of an object would then pass for the object. A chunked body it does check; one
/// with neither length nor chunks can be cut off unseen and is not accepted.
fn is_whole(headers: &HeaderMap, body: &[u8]) -> bool {
    if headers.contains_key("transfer-encoding") {
        return true;
    }
    let length = headers.get("content-length");
    let announced = length.and_then(|value| value.to_str().ok()?.parse().ok());
    announced == Some(body.len())
}

/// Tells a refused connection from everything else.
///
/// Taking a lost reply for "nothing was written" would draw or bill twice. Other failures to connect
/// (a timeout, no route) share their error kinds with failures of an open connection, and the
/// library does not say which it was, so they count as lost: the price is one read-back.
fn classify(error: &attohttpc::Error) -> Failure {
    let reason: Arc<str> = error.to_string().into();
    match error.kind() {
        ErrorKind::Io(source) if source.kind() == IoErrorKind::ConnectionRefused => {
            Failure::Refused(reason)
        }
        _ => Failure::Lost(reason),
    }
}
