//! Reading a completion request: prompt, limits and the headers kept with its record.

use std::sync::Arc;

use fescuewell_http::depth;
use http::HeaderMap;
use serde_json::Value;

use super::problem::Problem;

/// Nesting that a body may have.
const MAX_DEPTH: usize = 64;

/// Which of the two completion interfaces was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// What a router noted with a response, returned with its record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metadata {
    /// `X-Fescuewell-Account`.
    pub account: Option<Arc<str>>,
    /// `X-Fescuewell-Request`.
    pub request: Option<Arc<str>>,
    /// `X-Fescuewell-Group`.
    pub group: Option<Arc<str>>,
    /// `X-Fescuewell-Hold`.
    pub hold: Option<Arc<str>>,
}

/// A completion request as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// Which interface it came by.
    pub interface: Interface,
    /// The model it names.
    pub model: Arc<str>,
    /// The prompt as one text.
    pub prompt: Arc<str>,
    /// Output limit, if it gives one.
    pub max_tokens: Option<u32>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Lower numbers run first.
    pub priority: i64,
    /// Keeps the prefix cache of one group apart from another's.
    pub cache_salt: Arc<str>,
    /// Whether the answer goes on to the output limit.
    pub ignore_eos: bool,
}

/// Renders chat messages as the one text that is tokenized: `<|role|>content` and a line feed for each, then
/// `<|assistant|>`. A later turn of the same conversation therefore starts with the text of this one.
pub fn render(messages: &[(&str, &str)]) -> String {
    let mut text = String::new();
    for (role, content) in messages {
        text.push_str("<|");
        text.push_str(role);
        text.push_str("|>");
        text.push_str(content);
        text.push('\n');
    }
    text.push_str("<|assistant|>");
    text
}

impl Completion {
    /// Reads the body of a completion request.
    ///
    /// # Errors
    ///
    /// [`Problem::Invalid`] when the body is not JSON of the right form.
    pub fn parse(interface: Interface, body: &[u8]) -> Result<Self, Problem> {
        let value = parse_json(body)?;
        let Some(model) = value["model"].as_str() else {
            return Err(Problem::invalid("model is missing"));
        };
        let prompt = match interface {
            Interface::Chat => chat_prompt(&value)?,
            Interface::Text => text_prompt(&value)?,
        };
        Ok(Self {
            interface,
            model: model.into(),
            prompt: prompt.into(),
            max_tokens: max_tokens(&value)?,
            stream: value["stream"].as_bool().unwrap_or(false),
            priority: value["priority"].as_i64().unwrap_or(0),
            cache_salt: value["cache_salt"].as_str().unwrap_or_default().into(),
            ignore_eos: value["ignore_eos"].as_bool().unwrap_or(false),
        })
    }
}

/// Parses a body within the bound on its nesting.
///
/// # Errors
///
/// [`Problem::Invalid`].
pub fn parse_json(body: &[u8]) -> Result<Value, Problem> {
    depth::check(body, MAX_DEPTH).map_err(|error| Problem::invalid(error.to_string()))?;
    serde_json::from_slice(body).map_err(|error| Problem::invalid(error.to_string()))
}

fn max_tokens(value: &Value) -> Result<Option<u32>, Problem> {
    let field = match &value["max_completion_tokens"] {
        Value::Null => &value["max_tokens"],
        given => given,
    };
    if field.is_null() {
        return Ok(None);
    }
    let limit = field.as_u64().and_then(|limit| u32::try_from(limit).ok());
    match limit {
        Some(limit) if limit > 0 => Ok(Some(limit)),
        _ => Err(Problem::invalid("max_tokens is not a positive number")),
    }
}

fn chat_prompt(value: &Value) -> Result<String, Problem> {
    let Some(messages) = value["messages"].as_array() else {
        return Err(Problem::invalid("messages is missing"));
    };
    let mut read = Vec::with_capacity(messages.len());
    for message in messages {
        let role = message["role"].as_str();
        let content = message["content"].as_str();
        let (Some(role), Some(content)) = (role, content) else {
            return Err(Problem::invalid("a message lacks its role or text content"));
        };
        read.push((role, content));
    }
    Ok(render(&read))
}

fn text_prompt(value: &Value) -> Result<String, Problem> {
    match value["prompt"].as_str() {
        Some(prompt) => Ok(prompt.to_owned()),
        None => Err(Problem::invalid("prompt is missing")),
    }
}

impl Metadata {
    /// Takes the metadata headers.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        Self {
            account: header(headers, "x-fescuewell-account"),
            request: header(headers, "x-fescuewell-request"),
            group: header(headers, "x-fescuewell-group"),
            hold: header(headers, "x-fescuewell-hold"),
        }
    }
}

/// A header's text.
pub fn header(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    headers.get(name)?.to_str().ok().map(Into::into)
}
