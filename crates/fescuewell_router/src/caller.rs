//! Reads the headers of callers' requests: account key, request id, kind and deadline.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_document::lookup::Index;
use fescuewell_document::model::Account;
use fescuewell_http::listener::Request;
use http::HeaderMap;

/// Header with the request id; a repeated request has the same id.
pub const REQUEST_ID_HEADER: &str = "idempotency-key";
/// Header with the kind of request.
pub const KIND_HEADER: &str = "x-request-kind";
/// Header with the time left for the response, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the number of the last event that the caller received of a stream that it resumes.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;
/// Maximum deadline that a caller may set.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// The caller of a request, as its headers identify it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Name of the client account.
    pub account: Arc<str>,
    /// Name of the group that is billed.
    pub group: Arc<str>,
    /// The request's id; generated when the caller sent none.
    pub id: Arc<str>,
    /// Whether the caller sent the id itself, and so may repeat the request.
    pub may_retry: bool,
    /// Number of the last event of this stream that the caller has received; 0 for none.
    pub last_event: u64,
}

impl Caller {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// [`Code::Unauthorized`], or [`Code::InvalidField`] with the header's name.
    pub fn read<Generate>(
        index: &Index,
        request: &Request,
        generate_id: Generate,
    ) -> Result<Self, Refusal>
    where
        Generate: FnOnce() -> String,
    {
        let account = authenticate(index, &request.headers)?;
        let sent_id = header(request, REQUEST_ID_HEADER)?;
        if let Some(id) = sent_id {
            check_id(id)?;
        }
        let last_event = header(request, LAST_EVENT_HEADER)?.map_or(Ok(0), |text| {
            text.parse()
                .map_err(|_| invalid(LAST_EVENT_HEADER, "the number of an event"))
        })?;
        Ok(Self {
            account: account.name.clone(),
            group: account.group.clone(),
            id: sent_id.map_or_else(|| generate_id().into(), Arc::from),
            may_retry: sent_id.is_some(),
            last_event,
        })
    }

    /// Returns the key that identifies the request on all instances.
    pub fn key(&self) -> RequestKey {
        RequestKey::new(self.account.clone(), self.id.clone())
    }
}

/// Returns the account whose key the request carries.
///
/// # Errors
///
/// [`Code::Unauthorized`] when the key is missing or unknown.
pub fn authenticate<'a>(index: &'a Index, headers: &HeaderMap) -> Result<&'a Account, Refusal> {
    let value = headers.get(http::header::AUTHORIZATION);
    let text = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let key = text.strip_prefix("Bearer ").unwrap_or_default().trim();
    let account = (!key.is_empty())
        .then(|| index.account_by_key(key))
        .flatten();
    account.ok_or_else(|| Refusal::new(Code::Unauthorized))
}

/// Returns the kind that the request names, or its account's default.
///
/// # Errors
///
/// [`Code::UnknownKind`] when no kind has that name.
pub fn kind_of(index: &Index, request: &Request, account: &str) -> Result<Arc<str>, Refusal> {
    if let Some(name) = header(request, KIND_HEADER)? {
        let kind = index.kind(name);
        let unknown = || Refusal::new(Code::UnknownKind).with_detail(name);
        return kind.map(|kind| kind.name.clone()).ok_or_else(unknown);
    }
    let account = index.account(account);
    let kind = account.map(|account| account.default_kind.clone());
    kind.ok_or_else(|| Refusal::new(Code::Unauthorized))
}

/// Returns the time left for the response: the caller's deadline, or that of its kind.
///
/// # Errors
///
/// [`Code::InvalidField`] when the deadline is not a whole number.
pub fn deadline_of(index: &Index, request: &Request, kind: &str) -> Result<Duration, Refusal> {
    let allowed = index
        .kind(kind)
        .map_or(MAX_DEADLINE, |kind| Duration::from_millis(kind.deadline_ms));
    let Some(text) = header(request, DEADLINE_HEADER)? else {
        return Ok(allowed);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| invalid(DEADLINE_HEADER, "a whole number of milliseconds"))?;
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

/// Returns the text of a header.
///
/// # Errors
///
/// [`Code::InvalidField`] when it is not plain text.
pub fn header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = request.headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid(name, "plain text"))?;
    Ok(Some(text.trim()))
}

fn check_id(id: &str) -> Result<(), Refusal> {
    let plain = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_ID_BYTES || !plain {
        return Err(invalid(REQUEST_ID_HEADER, "1 to 128 printable characters"));
    }
    Ok(())
}

fn invalid(name: &str, expected: &str) -> Refusal {
    Refusal::new(Code::InvalidField).with_detail(format!("Header {name}: {expected} is wanted."))
}
