//! Reading a model request: what is asked, an upper bound of its cost, and the hashes of its prompt.
//!
//! The body stays a JSON value besides, since fields that this system has no opinion on pass
//! through to the backend server unchanged.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use serde_json::Value;

/// Bytes of prompt text to one block of the prefix hashes.
const BLOCK_BYTES: usize = 256;
/// Most blocks that are hashed; longer prompts are told apart well enough by these.
const MOST_BLOCKS: usize = 128;
/// Added to the prompt bound for what templates put around the messages.
const TEMPLATE_TOKENS: u32 = 64;

/// Which of the two model paths was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Path {
    /// The path at the backend server; the same as the caller's.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A model request as read from the caller's body.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Name of the model.
    pub model: Arc<str>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether the caller wants usage in the stream.
    pub include_usage: bool,
    /// The caller's output limit, if it named one.
    pub output_limit: Option<u32>,
    /// Upper bound of the prompt in tokens.
    ///
    /// Every tokenizer in use maps at least one byte to each token, so the body's length in bytes
    /// bounds the prompt whatever the tokenizer; a bound from an estimate of bytes per token would
    /// be broken by rare scripts, and the group would overspend unseen.
    pub bound: u32,
    /// The whole body.
    pub body: Value,
    /// The prompt's text, for the prefix hashes.
    text: String,
}

impl Prompt {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedRequest`] for what is not JSON, [`Code::InvalidField`] with the field's name.
    pub fn read(path: Path, bytes: &[u8]) -> Result<Self, Refusal> {
        let body: Value = serde_json::from_slice(bytes)
            .map_err(|error| Refusal::new(Code::MalformedRequest).with_detail(error.to_string()))?;
        let Some(fields) = body.as_object() else {
            return Err(
                Refusal::new(Code::MalformedRequest).with_detail("The body is not a JSON object.")
            );
        };
        let Some(model) = fields.get("model").and_then(Value::as_str) else {
            return Err(invalid("model", "a string"));
        };
        refuse_several_choices(&body)?;
        let stream = flag(&body, "stream")?;
        let include_usage = body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false);
        let output_limit = output_limit(&body)?;
        let text = match path {
            Path::Chat => chat_text(&body)?,
            Path::Text => plain_text(&body)?,
        };
        let bound = u32::try_from(bytes.len())
            .unwrap_or(u32::MAX)
            .saturating_add(TEMPLATE_TOKENS);
        Ok(Self {
            model: model.into(),
            stream,
            include_usage,
            output_limit,
            bound,
            body,
            text,
        })
    }

    /// Hashes of the successive blocks of the prompt; each covers all blocks before it.
    ///
    /// The salt keeps two groups with the same prompt apart, so that the speed of one group's
    /// answers says nothing about the other's prompts.
    pub fn prefix(&self, salt: &str) -> Vec<Digest> {
        let mut blocks = Vec::new();
        let mut chain = Digest::of(salt.as_bytes());
        for block in self
            .text
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .take(MOST_BLOCKS)
        {
            let mut input = chain.0.to_le_bytes().to_vec();
            input.extend_from_slice(block);
            chain = Digest::of(&input);
            blocks.push(chain);
        }
        blocks
    }

    /// The body for the backend server: always a stream with usage, cut at `limit` output tokens.
    ///
    /// Whole answers are assembled here, so that one path serves both and both can be resumed.
    pub fn upstream_body(&self, limit: u32, priority: u8, cache_salt: &str) -> Vec<u8> {
        let mut body = self.body.clone();
        body["stream"] = true.into();
        body["stream_options"] = serde_json::json!({"include_usage": true});
        body["max_tokens"] = limit.into();
        body["priority"] = priority.into();
        body["cache_salt"] = cache_salt.into();
        if let Some(fields) = body.as_object_mut() {
            fields.remove("max_completion_tokens");
        }
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

fn invalid(field: &str, wanted: &str) -> Refusal {
    Refusal::new(Code::InvalidField).with_detail(format!("Field {field}: {wanted} is wanted."))
}

fn flag(body: &Value, field: &str) -> Result<bool, Refusal> {
    match &body[field] {
        Value::Null => Ok(false),
        Value::Bool(value) => Ok(*value),
        _ => Err(invalid(field, "true or false")),
    }
}

// Several choices share one prompt but multiply the output; the hold would not cover them.
fn refuse_several_choices(body: &Value) -> Result<(), Refusal> {
    for field in ["n", "best_of"] {
        let value = &body[field];
        if !value.is_null() && value.as_u64() != Some(1) {
            return Err(invalid(field, "1"));
        }
    }
    Ok(())
}

fn output_limit(body: &Value) -> Result<Option<u32>, Refusal> {
    for field in ["max_completion_tokens", "max_tokens"] {
        let value = &body[field];
        if value.is_null() {
            continue;
        }
        let limit = value
            .as_u64()
            .and_then(|limit| u32::try_from(limit).ok())
            .filter(|limit| *limit > 0);
        return limit
            .map(Some)
            .ok_or_else(|| invalid(field, "a whole number from 1"));
    }
    Ok(None)
}

fn chat_text(body: &Value) -> Result<String, Refusal> {
    let Some(messages) = body["messages"].as_array().filter(|list| !list.is_empty()) else {
        return Err(invalid("messages", "a list with at least one message"));
    };
    let mut text = String::new();
    for message in messages {
        text.push_str(
            message["role"]
                .as_str()
                .ok_or_else(|| invalid("messages[].role", "a string"))?,
        );
        text.push('\n');
        add_content(&message["content"], &mut text)?;
        text.push('\n');
    }
    Ok(text)
}

fn add_content(content: &Value, text: &mut String) -> Result<(), Refusal> {
    match content {
        Value::Null => Ok(()),
        Value::String(part) => {
            text.push_str(part);
            Ok(())
        }
        Value::Array(parts) => {
            for part in parts {
                add_part(part, text)?;
            }
            Ok(())
        }
        _ => Err(invalid("messages[].content", "a string or a list of parts")),
    }
}

// A picture behind an address has a size that nobody here knows, so no hold would be a true bound.
// A picture inside the body is bounded by the body's length.
fn add_part(part: &Value, text: &mut String) -> Result<(), Refusal> {
    if let Some(url) = part["image_url"]["url"].as_str()
        && !url.starts_with("data:")
    {
        return Err(invalid("image_url.url", "a data: URL"));
    }
    text.push_str(&part.to_string());
    Ok(())
}

fn plain_text(body: &Value) -> Result<String, Refusal> {
    match &body["prompt"] {
        Value::String(prompt) => Ok(prompt.clone()),
        _ => Err(invalid("prompt", "a string")),
    }
}
