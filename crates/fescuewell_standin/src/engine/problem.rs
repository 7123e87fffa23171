//! Errors that the engine answers with.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use snafu::Snafu;

/// Why the engine did not do what it was asked. None of these ran anything.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Problem {
    /// The request cannot be read.
    #[snafu(display("{reason}"))]
    Invalid {
        /// What is wrong with it.
        reason: Arc<str>,
    },
    /// The model is not loaded here.
    #[snafu(display("model {model} is not loaded"))]
    ModelNotLoaded {
        /// The model asked for.
        model: Arc<str>,
    },
    /// The id was used before.
    #[snafu(display("a response of id {id} exists already"))]
    Duplicate {
        /// The id.
        id: Arc<str>,
    },
    /// There is no record of this id.
    #[snafu(display("there is no response of id {id}"))]
    NoSuchResponse {
        /// The id.
        id: Arc<str>,
    },
    /// A control refuses all new work.
    #[snafu(display("the engine refuses new work"))]
    Refusing,
    /// The queue is full.
    #[snafu(display("the engine's queue is full"))]
    QueueFull,
    /// The order's fencing number is old.
    #[snafu(display("the fencing number is older than {highest}"))]
    StaleFencing {
        /// The highest number seen.
        highest: u64,
    },
    /// There is no room for another model.
    #[snafu(display("there is no room for another model"))]
    NoRoom,
    /// There is nothing at the path.
    #[snafu(display("no such path"))]
    NoSuchPath,
}

impl Problem {
    /// A request that cannot be read.
    pub fn invalid(reason: impl Into<Arc<str>>) -> Self {
        Self::Invalid {
            reason: reason.into(),
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Invalid { .. } => StatusCode::BAD_REQUEST,
            Self::ModelNotLoaded { .. } | Self::NoSuchResponse { .. } | Self::NoSuchPath => {
                StatusCode::NOT_FOUND
            }
            Self::Duplicate { .. } | Self::StaleFencing { .. } | Self::NoRoom => {
                StatusCode::CONFLICT
            }
            Self::Refusing | Self::QueueFull => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// A short name for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Invalid { .. } => "invalid_request",
            Self::ModelNotLoaded { .. } => "model_not_loaded",
            Self::Duplicate { .. } => "duplicate_request",
            Self::NoSuchResponse { .. } => "no_such_response",
            Self::Refusing => "refusing",
            Self::QueueFull => "queue_full",
            Self::StaleFencing { .. } => "stale_fencing_number",
            Self::NoRoom => "no_room",
            Self::NoSuchPath => "no_such_path",
        }
    }

    /// The JSON body: `{"error":{"code","message","run":"not_run"}}`.
    pub fn body(&self) -> Bytes {
        let error = json!({
            "code": self.code(),
            "message": self.to_string(),
            "run": "not_run",
        });
        json!({ "error": error }).to_string().into()
    }
}
