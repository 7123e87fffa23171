//! Parses model requests: model and options, an upper bound of the cost, and the hashes of the prompt.
//!
//! The body is kept as a JSON value, since fields that this system does not interpret are forwarded to the
//! backend server unchanged.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use serde_json::Value;

/// Bytes of prompt text in one block of the prefix hashes.
const BLOCK_BYTES: usize = 256;
/// Maximum number of hashed blocks; these distinguish longer prompts well enough.
const MAX_BLOCKS: usize = 128;
/// Added to the prompt bound for the tokens that chat templates put around the messages.
const TEMPLATE_TOKENS: u32 = 64;

/// The API path of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Path {
    /// The path at the backend server, which is the same as the caller's.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A model request parsed from the caller's body.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Name of the model.
    pub model: Arc<str>,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Whether the caller requested token usage in the stream.
    pub include_usage: bool,
    /// The caller's output limit in tokens, if it set one.
    pub output_limit: Option<u32>,
    /// Upper bound of the prompt in tokens.
    ///
    /// Every tokenizer in use maps at least one byte to each token, so the body's length in bytes
    /// is a bound for any tokenizer. An estimate of bytes per token would be too low for rare
    /// scripts, and the group would overspend without notice.
    pub bound: u32,
    /// The whole body.
    pub body: Value,
    /// Text of the prompt, for the prefix hashes.
    text: String,
}

impl Prompt {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedRequest`] when the body is not a JSON object, [`Code::InvalidField`] with the field's
    /// name.
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
        reject_multiple_choices(&body)?;
        let stream = flag(&body, "stream")?;
        let include_usage = body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false);
        let output_limit = output_limit(&body)?;
        let text = match path {
            Path::Chat => chat_text(&body)?,
            Path::Text => completion_text(&body)?,
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

    /// Returns the hashes of the successive blocks of the prompt; each covers all blocks before it.
    ///
    /// The salt gives two groups different hashes for the same prompt, so that response times of one
    /// group reveal nothing about the prompts of another.
    pub fn prefix(&self, salt: &str) -> Vec<Digest> {
        let mut blocks = Vec::new();
        let mut chain = Digest::of(salt.as_bytes());
        for block in self
            .text
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .take(MAX_BLOCKS)
        {
            let mut input = chain.0.to_le_bytes().to_vec();
            input.extend_from_slice(block);
            chain = Digest::of(&input);
            blocks.push(chain);
        }
        blocks
    }

    /// Returns the body for the backend server: always a stream with usage, limited to `limit` output tokens.
    ///
    /// The router assembles non-streamed responses itself, so that both kinds use the same code and can be
    /// resumed.
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

fn invalid(field: &str, expected: &str) -> Refusal {
    Refusal::new(Code::InvalidField).with_detail(format!("Field {field}: {expected} is wanted."))
}

fn flag(body: &Value, field: &str) -> Result<bool, Refusal> {
    match &body[field] {
        Value::Null => Ok(false),
        Value::Bool(value) => Ok(*value),
        _ => Err(invalid(field, "true or false")),
    }
}

// Several choices share one prompt but multiply the output, which the hold would not cover.
fn reject_multiple_choices(body: &Value) -> Result<(), Refusal> {
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

// The size of an image behind a URL is unknown here, so no hold would be an upper bound. The size of an inline
// image is bounded by the body's length.
fn add_part(part: &Value, text: &mut String) -> Result<(), Refusal> {
    if let Some(url) = part["image_url"]["url"].as_str()
        && !url.starts_with("data:")
    {
        return Err(invalid("image_url.url", "a data: URL"));
    }
    text.push_str(&part.to_string());
    Ok(())
}

fn completion_text(body: &Value) -> Result<String, Refusal> {
    match &body["prompt"] {
        Value::String(prompt) => Ok(prompt.clone()),
        _ => Err(invalid("prompt", "a string")),
    }
}
