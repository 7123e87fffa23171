//! A response whose body is being received.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout, timeout_at};

use super::body::{self, Buffer};
use super::pool::{Connection, Pool};
use super::{Client, Error, Target, Timeouts, describe, remaining};
use crate::buffer::{Budget, Reservation};

/// Maximum number of bytes that are still received after the deadline. They may have arrived before it, while
/// this process was held up; more keep coming without end.
const MAX_LATE_BYTES: usize = 256 * 1024;
/// Maximum size of a body that is received only so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Maximum time for receiving it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

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
    max_body_time: Duration,
    target: Target,
    timeouts: Timeouts,
    late_bytes: usize,
    skipped: u32,
    budget: Budget,
    reservation: Reservation,
}

impl Exchange {
    pub(super) fn new(
        response: http::Response<Incoming>,
        connection: Connection,
        client: &Client,
        target: &Target,
        timeouts: Timeouts,
    ) -> Self {
        connection.meter().record_progress();
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
            skipped: connection.expected().skipped(),
            status: parts.status,
            headers: parts.headers,
            body,
            connection: Some(connection),
            pool: client.pool.clone(),
            max_idle: client.settings.max_idle,
            max_body_time: client.settings.max_body_time,
            target: *target,
            timeouts,
            late_bytes: 0,
            budget: client.budget.clone(),
            reservation: client.budget.reserve(),
        }
    }

    /// Number of responses that came before this one and named another request.
    pub fn skipped(&self) -> u32 {
        self.skipped
    }

    /// Returns what tells the end of the body.
    pub fn body_end(&self) -> BodyEnd {
        self.body_end
    }

    /// Returns the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Stalled`], [`Error::Closed`], [`Error::OverLimit`] or [`Error::DeadlineExceeded`]; the
    /// connection is then closed and further calls return `None`. A body without content length or chunked encoding, which ends
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
            if let Some(connection) = &self.connection {
                connection.meter().record_progress();
            }
            // Trailers are ignored.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            return Some(Ok(data));
        }
    }

    async fn next_frame(&mut self) -> Result<Option<hyper::body::Frame<Bytes>>, Error> {
        if self.late_bytes > MAX_LATE_BYTES {
            return Err(Error::DeadlineExceeded);
        }
        let remaining_time = remaining(&self.target);
        let limit = remaining_time.map_or(self.timeouts.progress, |remaining_time| {
            remaining_time.min(self.timeouts.progress)
        });
        let until = tokio::time::Instant::now() + limit;
        let Ok(frame) = timeout_at(until, self.body.frame()).await else {
            return Err(self.timeout_error());
        };
        let frame = frame.transpose().map_err(|error| self.read_error(&error))?;
        // A timeout does not end a body whose next chunk is always there.
        if remaining_time.is_some_and(|left| left.is_zero()) {
            let data = frame.as_ref().and_then(|frame| frame.data_ref());
            self.late_bytes += data.map_or(0, Bytes::len);
        }
        Ok(frame)
    }

    fn read_error(&self, error: &hyper::Error) -> Error {
        let reason = describe(error).into();
        let connection = self.connection.as_ref();
        let is_exceeded = connection.is_some_and(|connection| connection.meter().is_exceeded());
        match is_exceeded || is_invalid(error) {
            true => Error::OverLimit { reason },
            false => Error::Closed { reason },
        }
    }

    fn timeout_error(&self) -> Error {
        match self.target.deadline {
            Some(deadline) if Instant::now() >= deadline => Error::DeadlineExceeded,
            _ => Error::Stalled,
        }
    }

    /// Reads the rest of the body. It keeps its part of the client's budget until it is dropped.
    ///
    /// # Errors
    ///
    /// As for [`Exchange::next_chunk`]; also [`Error::OverLimit`] when the rest of the body exceeds `max_bytes`
    /// bytes or, without a deadline, the client's maximum time, and [`Error::OverBudget`]. The connection is
    /// then closed.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let limit = self.max_body_time;
        let until = match self.target.deadline {
            Some(_) => None,
            None => Some(tokio::time::Instant::now() + limit),
        };
        if self.body.size_hint().lower() > max_bytes as u64 {
            return Err(body::over_size(max_bytes));
        }
        let mut body = Buffer::new(max_bytes, self.budget.reserve());
        loop {
            let chunk = match until {
                Some(until) => timeout_at(until, self.next_chunk())
                    .await
                    .map_err(|_| slow_body(limit))?,
                None => self.next_chunk().await,
            };
            match chunk {
                Some(chunk) => body.append(&chunk?)?,
                None => return Ok(body.into_bytes()),
            }
        }
    }

    /// Reserves memory for received bytes that the caller keeps, such as a part of an event. A later call
    /// replaces the size; dropping the exchange releases it.
    ///
    /// # Errors
    ///
    /// [`Error::OverBudget`]; the connection is then closed.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), Error> {
        match self.reservation.resize(bytes) {
            true => Ok(()),
            false => Err(self.fail(Error::OverBudget { bytes })),
        }
    }

    /// Receives the rest of a short body in the background, so that the connection can be reused, and closes
    /// the connection if the body does not end soon.
    pub fn discard(mut self) {
        tokio::spawn(async move {
            let _ = timeout(DISCARD_TIMEOUT, async {
                let mut bytes = 0;
                while let Some(Ok(chunk)) = self.next_chunk().await {
                    bytes += chunk.len();
                    if bytes > MAX_DISCARDED_BYTES {
                        return;
                    }
                }
            })
            .await;
        });
    }

    fn fail(&mut self, error: Error) -> Error {
        self.connection = None;
        let blames_server = !matches!(error, Error::DeadlineExceeded | Error::OverBudget { .. });
        if blames_server {
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

fn slow_body(limit: Duration) -> Error {
    Error::OverLimit {
        reason: format!("the body takes longer than {limit:?}").into(),
    }
}

/// Whether the framing of a body exceeds a limit of hyper.
fn is_invalid(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    source.is_some_and(|source| source.kind() == ErrorKind::InvalidData)
}
