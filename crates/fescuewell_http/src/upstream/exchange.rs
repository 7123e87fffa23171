//! An answer under way.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use super::pool::{Connection, Pool};
use super::{Error, Target, Timeouts, cause, remaining};

/// An answer whose head has come. Dropping it before its end cancels it: the connection is closed.
pub struct Exchange {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
    connection: Option<Connection>,
    pool: Arc<Pool>,
    keep: usize,
    target: Target,
    timeouts: Timeouts,
}

impl Exchange {
    pub(super) fn new(
        response: http::Response<Incoming>,
        connection: Connection,
        pool: Arc<Pool>,
        keep: usize,
        target: &Target,
        timeouts: Timeouts,
    ) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            status: parts.status,
            headers: parts.headers,
            body,
            connection: Some(connection),
            pool,
            keep,
            target: *target,
            timeouts,
        }
    }

    /// The next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Error::Stalled`], [`Error::Closed`] or [`Error::DeadlineExceeded`]; the connection is closed then
    /// and the body yields nothing more. A body that the server ends by closing the connection, without
    /// length or chunks, cannot be told from one that broke.
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
            // Trailers carry nothing that is needed here.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            return Some(Ok(data));
        }
    }

    async fn next_frame(&mut self) -> Result<Option<hyper::body::Frame<Bytes>>, Error> {
        let left = remaining(&self.target);
        let limit = left.map_or(self.timeouts.progress, |left| {
            left.min(self.timeouts.progress)
        });
        let until = tokio::time::Instant::now() + limit;
        let Ok(frame) = timeout_at(until, self.body.frame()).await else {
            return Err(self.late());
        };
        frame.transpose().map_err(|error| Error::Closed {
            reason: cause(&error).into(),
        })
    }

    fn late(&self) -> Error {
        match self.target.deadline {
            Some(deadline) if Instant::now() >= deadline => Error::DeadlineExceeded,
            _ => Error::Stalled,
        }
    }

    /// Reads the rest of the body whole.
    ///
    /// # Errors
    ///
    /// As for [`Exchange::next_chunk`]; [`Error::Closed`] also when the body is larger than `most` bytes.
    pub async fn collect(mut self, most: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > most {
                let reason = "the answer is larger than allowed".into();
                return Err(Error::Closed { reason });
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
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
            self.pool.keep(connection, self.keep);
        }
    }
}
