//! What every caller's request carries besides its body: key, request id, kind, deadline.

use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_document::lookup::Index;
use fescuewell_document::model::Account;
use fescuewell_http::listener::Request;

/// Names the request; a repeat carries the same.
pub const REQUEST_ID_HEADER: &str = "idempotency-key";
/// Names the kind of request.
pub const KIND_HEADER: &str = "x-request-kind";
/// Time left for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Last event that a caller got of a stream that it takes up again.
pub const LAST_EVENT_HEADER: &str = "last-event-id";

/// Longest request id.
const LONGEST_ID: usize = 128;
/// Longest deadline that a caller may ask for.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);

/// Who asks for what, until when.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Name of the client account.
    pub account: Arc<str>,
    /// Name of the group that pays.
    pub group: Arc<str>,
    /// The request's id; made here when the caller sent none.
    pub id: Arc<str>,
    /// Whether the caller sent the id, and so may ask again.
    pub may_ask_again: bool,
    /// Number of the last event that the caller has of this stream.
    pub last_event: u64,
}

impl Caller {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// [`Code::Unauthorized`], or [`Code::InvalidField`] with the header's name.
    pub fn read<Make>(index: &Index, request: &Request, make_id: Make) -> Result<Self, Refusal>
    where
        Make: FnOnce() -> String,
    {
        let account = authenticate(index, request)?;
        let given = header(request, REQUEST_ID_HEADER)?;
        if let Some(id) = given {
            check_id(id)?;
        }
        let last_event = header(request, LAST_EVENT_HEADER)?.map_or(Ok(0), |text| {
            text.parse()
                .map_err(|_| invalid(LAST_EVENT_HEADER, "the number of an event"))
        })?;
        Ok(Self {
            account: account.name.clone(),
            group: account.group.clone(),
            id: given.map_or_else(|| make_id().into(), Arc::from),
            may_ask_again: given.is_some(),
            last_event,
        })
    }

    /// Identity of the request across the fleet.
    pub fn key(&self) -> RequestKey {
        RequestKey::new(self.account.clone(), self.id.clone())
    }
}

/// The account whose key the request carries.
///
/// # Errors
///
/// [`Code::Unauthorized`].
pub fn authenticate<'a>(index: &'a Index, request: &Request) -> Result<&'a Account, Refusal> {
    let value = request.headers.get(http::header::AUTHORIZATION);
    let text = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let key = text.strip_prefix("Bearer ").unwrap_or_default().trim();
    let account = (!key.is_empty())
        .then(|| index.account_by_key(key))
        .flatten();
    account.ok_or_else(|| Refusal::new(Code::Unauthorized))
}

/// The kind that the request names, or its account's default.
///
/// # Errors
///
/// [`Code::UnknownKind`].
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

/// Time left for the answer: what the caller says, or what its kind allows.
///
/// # Errors
///
/// [`Code::InvalidField`].
pub fn deadline_of(index: &Index, request: &Request, kind: &str) -> Result<Duration, Refusal> {
    let allowed = index.kind(kind).map_or(LONGEST_DEADLINE, |kind| {
        Duration::from_millis(kind.deadline_ms)
    });
    let Some(text) = header(request, DEADLINE_HEADER)? else {
        return Ok(allowed);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| invalid(DEADLINE_HEADER, "a whole number of milliseconds"))?;
    Ok(Duration::from_millis(millis).min(LONGEST_DEADLINE))
}

/// A header's text.
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
    if id.is_empty() || id.len() > LONGEST_ID || !plain {
        return Err(invalid(REQUEST_ID_HEADER, "1 to 128 printable characters"));
    }
    Ok(())
}

fn invalid(name: &str, wanted: &str) -> Refusal {
    Refusal::new(Code::InvalidField).with_detail(format!("Header {name}: {wanted} is wanted."))
}
