//! Parses model requests: model and options, an upper bound of the cost, and the hashes of the prompt.
//!
//! Fields that this system does not interpret are forwarded to the backend server as they were received. No tree of
//! values is built, which would take many times the memory of the text.

use std::borrow::Cow;
use std::sync::Arc;

use bytes::Bytes;
use fescuewell_core::prelude::*;
use serde::Deserialize;
use serde::de::{
    DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor,
};
use serde_json::value::RawValue;

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
    /// The whole body, as received.
    pub body: Bytes,
    /// Text of the prompt, for the prefix hashes.
    text: String,
}

impl Prompt {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// [`Code::MalformedRequest`] when the body is not a JSON object, or names an interpreted field twice,
    /// [`Code::InvalidField`] with the field's name.
    pub fn read(path: Path, bytes: &Bytes) -> Result<Self, Refusal> {
        let body = std::str::from_utf8(bytes).map_err(|error| malformed(&error))?;
        serde_json::from_str::<IgnoredAny>(body).map_err(|error| malformed(&error))?;
        if !is_object(body) {
            return Err(
                Refusal::new(Code::MalformedRequest).with_detail("The body is not a JSON object.")
            );
        }
        let fields: Fields<'_> = serde_json::from_str(body).map_err(|error| malformed(&error))?;
        let model = fields.model.and_then(string);
        let model = model.ok_or_else(|| invalid("model", "a string"))?;
        reject_multiple_choices(&fields)?;
        let stream = flag(fields.stream, "stream")?;
        let include_usage = includes_usage(fields.stream_options);
        let output_limit = output_limit(&fields)?;
        let text = match path {
            Path::Chat => chat_text(fields.messages)?,
            Path::Text => fields
                .prompt
                .and_then(string)
                .ok_or_else(|| invalid("prompt", "a string"))?
                .into_owned(),
        };
        let bound = u32::try_from(bytes.len())
            .unwrap_or(u32::MAX)
            .saturating_add(TEMPLATE_TOKENS);
        Ok(Self {
            model: (&*model).into(),
            stream,
            include_usage,
            output_limit,
            bound,
            body: bytes.clone(),
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
        let own = serde_json::json!({
            "stream": true,
            "stream_options": {"include_usage": true},
            "max_tokens": limit,
            "priority": priority,
            "cache_salt": cache_salt,
        });
        let own = own.to_string();
        let mut body = Vec::with_capacity(self.body.len() + own.len());
        body.push(b'{');
        let mut received = serde_json::Deserializer::from_slice(&self.body);
        // The body was parsed before.
        let _ = received.deserialize_map(Forwarded { body: &mut body });
        // The own fields follow those of the caller.
        body.extend_from_slice(&own.as_bytes()[1..]);
        body
    }
}

/// Fields that are replaced in the body for the backend server.
const REPLACED: [&str; 6] = [
    "stream",
    "stream_options",
    "max_tokens",
    "max_completion_tokens",
    "priority",
    "cache_salt",
];

/// Copies the fields of a body that are not replaced, each with a comma behind it.
struct Forwarded<'a> {
    body: &'a mut Vec<u8>,
}

impl<'de> Visitor<'de> for Forwarded<'_> {
    type Value = ();

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<Map>(self, mut map: Map) -> Result<(), Map::Error>
    where
        Map: MapAccess<'de>,
    {
        while let Some(name) = map.next_key::<String>()? {
            let value: &RawValue = map.next_value()?;
            if REPLACED.contains(&&*name) {
                continue;
            }
            serde_json::to_writer(&mut *self.body, &name).map_err(Map::Error::custom)?;
            self.body.push(b':');
            self.body.extend_from_slice(value.get().as_bytes());
            self.body.push(b',');
        }
        Ok(())
    }
}

/// The interpreted fields of a body; `None` if absent or null.
#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Option<&'a RawValue>,
    stream: Option<&'a RawValue>,
    stream_options: Option<&'a RawValue>,
    n: Option<&'a RawValue>,
    best_of: Option<&'a RawValue>,
    max_completion_tokens: Option<&'a RawValue>,
    max_tokens: Option<&'a RawValue>,
    messages: Option<&'a RawValue>,
    prompt: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct StreamOptions<'a> {
    #[serde(borrow)]
    include_usage: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Option<&'a RawValue>,
    content: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow)]
    image_url: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ImageUrl<'a> {
    #[serde(borrow)]
    url: Option<&'a RawValue>,
}

fn is_object(json: &str) -> bool {
    json.trim_ascii_start().starts_with('{')
}

fn is_list(json: &str) -> bool {
    json.trim_ascii_start().starts_with('[')
}

fn parse<'a, Value>(raw: &'a RawValue) -> Option<Value>
where
    Value: Deserialize<'a>,
{
    serde_json::from_str(raw.get()).ok()
}

/// Returns the text of a string.
fn string(raw: &RawValue) -> Option<Cow<'_, str>> {
    let plain = parse::<&str>(raw).map(Cow::Borrowed);
    plain.or_else(|| parse::<String>(raw).map(Cow::Owned))
}

fn malformed(error: &dyn std::error::Error) -> Refusal {
    Refusal::new(Code::MalformedRequest).with_detail(error.to_string())
}

fn invalid(field: &str, expected: &str) -> Refusal {
    Refusal::new(Code::InvalidField).with_detail(format!("Field {field}: {expected} is wanted."))
}

fn flag(value: Option<&RawValue>, field: &str) -> Result<bool, Refusal> {
    let Some(value) = value else {
        return Ok(false);
    };
    parse(value).ok_or_else(|| invalid(field, "true or false"))
}

fn includes_usage(options: Option<&RawValue>) -> bool {
    let options = options.filter(|options| is_object(options.get()));
    let options = options.and_then(parse::<StreamOptions<'_>>);
    let value = options.and_then(|options| options.include_usage);
    value.and_then(parse).unwrap_or(false)
}

// Several choices share one prompt but multiply the output, which the hold would not cover.
fn reject_multiple_choices(fields: &Fields<'_>) -> Result<(), Refusal> {
    for (field, value) in [("n", fields.n), ("best_of", fields.best_of)] {
        if value.is_some_and(|value| parse::<u64>(value) != Some(1)) {
            return Err(invalid(field, "1"));
        }
    }
    Ok(())
}

fn output_limit(fields: &Fields<'_>) -> Result<Option<u32>, Refusal> {
    let values = [
        ("max_completion_tokens", fields.max_completion_tokens),
        ("max_tokens", fields.max_tokens),
    ];
    for (field, value) in values {
        let Some(value) = value else {
            continue;
        };
        let limit = parse::<u32>(value).filter(|limit| *limit > 0);
        return limit
            .map(Some)
            .ok_or_else(|| invalid(field, "a whole number from 1"));
    }
    Ok(None)
}

/// Returns the text of all messages.
fn chat_text(messages: Option<&RawValue>) -> Result<String, Refusal> {
    let expected = || invalid("messages", "a list with at least one message");
    let messages = messages.filter(|messages| is_list(messages.get()));
    let messages = messages.ok_or_else(expected)?.get();
    let mut text = String::new();
    let count = for_each(messages, |message| {
        let read = is_object(message.get()).then(|| parse::<Message<'_>>(message));
        let message = read
            .flatten()
            .ok_or_else(|| invalid("messages[]", "an object that names each field once"))?;
        add_message(&message, &mut text)
    })?;
    if count == 0 {
        return Err(expected());
    }
    Ok(text)
}

fn add_message(message: &Message<'_>, text: &mut String) -> Result<(), Refusal> {
    let role = message.role.and_then(string);
    let role = role.ok_or_else(|| invalid("messages[].role", "a string"))?;
    text.push_str(&role);
    text.push('\n');
    if let Some(content) = message.content {
        add_content(content, text)?;
    }
    text.push('\n');
    Ok(())
}

fn add_content(content: &RawValue, text: &mut String) -> Result<(), Refusal> {
    if is_list(content.get()) {
        return for_each(content.get(), |part| add_part(part, text)).map(drop);
    }
    let part = string(content)
        .ok_or_else(|| invalid("messages[].content", "a string or a list of parts"))?;
    text.push_str(&part);
    Ok(())
}

// The size of an image behind a URL is unknown here, so no hold would be an upper bound. The size of an inline
// image is bounded by the body's length.
fn add_part(part: &RawValue, text: &mut String) -> Result<(), Refusal> {
    if let Some(url) = image_url(part)?
        && !url.starts_with("data:")
    {
        return Err(invalid("image_url.url", "a data: URL"));
    }
    text.push_str(part.get());
    Ok(())
}

/// Returns the URL of an image, if the part has one. An object that names a field twice is invalid: the backend server
/// might take the other one.
fn image_url(part: &RawValue) -> Result<Option<Cow<'_, str>>, Refusal> {
    if !is_object(part.get()) {
        return Ok(None);
    }
    let part: Part<'_> = parse(part).ok_or_else(|| {
        invalid(
            "messages[].content[]",
            "an object that names each field once",
        )
    })?;
    let Some(image) = part.image_url.filter(|image| is_object(image.get())) else {
        return Ok(None);
    };
    let image: ImageUrl<'_> =
        parse(image).ok_or_else(|| invalid("image_url", "an object that names each field once"))?;
    Ok(image.url.and_then(string))
}

/// Calls `visit` for each element of a list and returns their number.
fn for_each<Visit>(list: &str, visit: Visit) -> Result<usize, Refusal>
where
    Visit: FnMut(&RawValue) -> Result<(), Refusal>,
{
    let mut refusal = None;
    let elements = Elements {
        visit,
        refusal: &mut refusal,
    };
    let count = elements.deserialize(&mut serde_json::Deserializer::from_str(list));
    count.map_err(|error| refusal.unwrap_or_else(|| malformed(&error)))
}

/// Visits the elements of a list one by one, without collecting them.
struct Elements<'a, Visit> {
    visit: Visit,
    refusal: &'a mut Option<Refusal>,
}

impl<'de, Visit> DeserializeSeed<'de> for Elements<'_, Visit>
where
    Visit: FnMut(&RawValue) -> Result<(), Refusal>,
{
    type Value = usize;

    fn deserialize<Input>(self, input: Input) -> Result<usize, Input::Error>
    where
        Input: Deserializer<'de>,
    {
        input.deserialize_seq(self)
    }
}

impl<'de, Visit> Visitor<'de> for Elements<'_, Visit>
where
    Visit: FnMut(&RawValue) -> Result<(), Refusal>,
{
    type Value = usize;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<List>(mut self, mut list: List) -> Result<usize, List::Error>
    where
        List: SeqAccess<'de>,
    {
        let mut count = 0;
        while let Some(element) = list.next_element::<&RawValue>()? {
            if let Err(refusal) = (self.visit)(element) {
                *self.refusal = Some(refusal);
                return Err(List::Error::custom("an element is invalid"));
            }
            count += 1;
        }
        Ok(count)
    }
}
