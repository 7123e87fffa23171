//! Client of the object store: a subset of the S3 protocol.
//!
//! Used: path-style `PUT /{bucket}/{name}` and `GET /{bucket}/{name}`, with 404 for an absent object.
//! Missing: request signing (Signature Version 4; a bearer token is sent instead, which stores with
//! token or network-based access accept), multipart uploads, listing, versions, virtual-host-style
//! addresses, and checksums in headers. Objects here are named by their content's hash, so that their
//! readers can check the content themselves.

use std::fmt::Write as _;
use std::sync::Arc;

use fescuewell_core::platform::{self, Error};

use crate::http::{Client, Exchange, Failure};
use crate::settings;

const SERVICE: &str = "object store";

/// One bucket of the object store.
pub struct Objects {
    client: Client,
    bucket: Arc<str>,
}

impl Objects {
    /// A client for the bucket of `settings`. Opens no connection yet.
    ///
    /// # Errors
    ///
    /// When the address or the bucket is not usable or the token cannot be read.
    pub fn new(settings: &settings::Bucket) -> Result<Self, settings::Error> {
        let bucket = settings.bucket.clone();
        if !is_bucket(&bucket) {
            return Err(settings::Error::Bucket { bucket });
        }
        let client = Client::new(&settings.endpoint)?;
        Ok(Self { client, bucket })
    }

    fn path(&self, name: &str) -> String {
        format!("/{}/{}", self.bucket, escape(name))
    }
}

fn is_bucket(bucket: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    let starts_well = bucket.starts_with(|first: char| first.is_ascii_alphanumeric());
    starts_well && bucket.bytes().all(allowed)
}

/// Escapes all but unreserved characters. A dot is escaped too: `.` and `..` would change the path.
fn escape(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_') {
            text.push(byte.into());
            continue;
        }
        let _ = write!(text, "%{byte:02X}");
    }
    text
}

fn failed(reason: Arc<str>) -> Error {
    Error {
        service: SERVICE,
        reason,
    }
}

fn lost(failure: Failure) -> Error {
    let (Failure::Refused(reason) | Failure::Lost(reason)) = failure;
    failed(reason)
}

fn unexpected(exchange: &Exchange) -> Error {
    failed(format!("status {}", exchange.status).into())
}

impl platform::Objects for Objects {
    fn put(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        let exchange = self.client.put(&self.path(name), content).map_err(lost)?;
        match exchange.status {
            200 | 201 | 204 => Ok(()),
            _ => Err(unexpected(&exchange)),
        }
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let exchange = self.client.get(&self.path(name)).map_err(lost)?;
        match exchange.status {
            200 => Ok(Some(exchange.body)),
            404 => Ok(None),
            _ => Err(unexpected(&exchange)),
        }
    }
}
