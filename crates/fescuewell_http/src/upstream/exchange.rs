//! A response whose body is being received.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout_at;

use super::pool::{Connection, Pool};
use super::{Error, Target, Timeouts, describe, remaining};

/// What tells the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// A length, chunks, or a status without a body.
    Framing,
    /// The end of the connection, also if the server crashed.
    Connection,
}

/// A request whose response head has been received. Dropping it before the end of the body closes the
/// connection, which cancels the request.
pub struct Exchange {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    body: Incoming,
    body_end: BodyEnd,
    connection: Option<Connection>,
    pool: Arc<Pool>,
    max_idle: usize,
    target: Target,
    timeouts: Timeouts,
}

impl Exchange {
    pub(super) fn new(
        response: http::Response<Incoming>,
        connection: Connection,
        pool: Arc<Pool>,
        max_idle: usize,
        target: &Target,
        timeouts: Timeouts,
    ) -> Self {
        let (parts, body) = response.into_parts();
        let is_framed = body.is_end_stream()
            || parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        let body_end = match is_framed {
            true => BodyEnd::Framing,
            false => BodyEnd::Connection,
        };
        Self {
            body_end,
            status: parts.status,
            headers: parts.headers,
            body,
            connection: Some(connection),
            pool,
            max_idle,
            target: *target,
            timeouts,
        }
    }

    /// Returns what tells the end of the body.
    pub fn body_end(&self) -> BodyEnd {
        self.body_end
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Stalled`], [`Error::Closed`] or [`Error::DeadlineExceeded`]; the connection is then closed
    /// and further calls return `None`. A body without content length or chunked encoding, which ends
    /// when the server closes the connection, cannot be distinguished from a truncated one; see [`Exchange::body_end`].
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, Error>> {
        loop {
            self.connection.as_ref()?;
            let frame = match self.next_frame().await {
                Ok(frame) => frame,
                Err(error) => return Some(Err(self.fail(error))),
            };
            let Some(frame) = frame else {
                self.finish();
                return None;
            };
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            return Some(Ok(data));
        }
    }

    async fn next_frame(&mut self) -> Result<Option<hyper::body::Frame<Bytes>>, Error> {
        let remaining_time = remaining(&self.target);
        let limit = remaining_time.map_or(self.timeouts.progress, |remaining_time| {
            remaining_time.min(self.timeouts.progress)
        });
        let until = tokio::time::Instant::now() + limit;
        let Ok(frame) = timeout_at(until, self.body.frame()).await else {
            return Err(self.timeout_error());
        };
        frame.transpose().map_err(|error| Error::Closed {
            reason: describe(&error).into(),
        })
    }

    fn timeout_error(&self) -> Error {
        match self.target.deadline {
            Some(deadline) if Instant::now() >= deadline => Error::DeadlineExceeded,
            _ => Error::Stalled,
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As for [`Exchange::next_chunk`]; also [`Error::Closed`] when the rest of the body exceeds `max_bytes` bytes.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            if body.len() + chunk.len() > max_bytes {
                let reason = "the response body exceeds the maximum size".into();
                return Err(Error::Closed { reason });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    fn fail(&mut self, error: Error) -> Error {
        self.connection = None;
        if error != Error::DeadlineExceeded {
            self.pool.close_idle(self.target.address);
        }
        error
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection, self.max_idle);
        }
    }
}
