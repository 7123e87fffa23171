//! Parser for JSON with comments. Errors include the line, the column, the field and the allowed values.
//!
//! The parser reads configuration documents ([`read_document`]) and the daemons' settings files
//! ([`settings`](crate::settings)). It accepts comments and trailing commas, but no other JSON5 extensions.
//! The size and the nesting depth are limited.

mod deserialize;

use std::sync::Arc;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;

use crate::check;
use crate::fault::Fault;
use crate::model::Document;

/// Maximum size of a text in bytes. 22,000 groups with long lists need about 20 MB.
pub const MAX_TEXT_BYTES: usize = 32 << 20;

/// Maximum nesting depth of arrays and objects.
pub const MAX_NESTING: usize = 32;

fescuewell_core::data! {
    /// A position in a text. Both numbers start at 1, and columns count characters.
    #[derive(Copy)]
    pub struct Position {
        /// Line number.
        pub line: u32,
        /// Column number.
        pub column: u32,
    }
}

impl Position {
    /// Returns the position of the byte at `offset`.
    pub fn at_offset(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: 1 + before.bytes().filter(|byte| *byte == b'\n').count() as u32,
            column: 1 + before[line_start..].chars().count() as u32,
        }
    }
}

/// Reads a document and validates it with [`check::check`].
///
/// # Errors
///
/// Returns all faults that the check finds, with line and column, or a single fault if the text can't be parsed.
pub fn read_document(text: &str) -> Result<Document, Vec<Fault>> {
    let value = parse_value(text).map_err(|fault| vec![fault])?;
    let document: Document = from_value(text, &value).map_err(|fault| vec![fault])?;
    let faults = check::check(&document);
    if faults.is_empty() {
        return Ok(document);
    }
    let mut located = Vec::with_capacity(faults.len());
    for fault in faults {
        let offset = offset_of(&value, &fault.path);
        located.push(fault.with_position(Position::at_offset(text, offset)));
    }
    Err(located)
}

/// Reads a value of any type from JSON with comments, without further validation.
///
/// # Errors
///
/// Returns the first fault found.
pub fn read<T>(text: &str) -> Result<T, Fault>
where
    T: DeserializeOwned,
{
    let value = parse_value(text)?;
    from_value(text, &value)
}

fn from_value<T>(text: &str, value: &Value<'_>) -> Result<T, Fault>
where
    T: DeserializeOwned,
{
    T::deserialize(deserialize::Node(value)).map_err(|error| error.into_fault(text))
}

fn parse_value(text: &str) -> Result<Value<'_>, Fault> {
    if text.len() > MAX_TEXT_BYTES {
        let message = format!(
            "the text has {} bytes; the limit is {MAX_TEXT_BYTES}",
            text.len()
        );
        return Err(Fault::new("", message));
    }
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).map_err(|error| {
        let message = format!("invalid JSON: {}", error.kind());
        Fault::new("", message).with_position(Position::at_offset(text, error.range().start))
    })?;
    let Some(value) = parsed.value else {
        return Err(Fault::new("", "the text is empty").with_suggestion("expected `{ ... }`"));
    };
    match find_too_deep(&value, MAX_NESTING) {
        None => Ok(value),
        Some(offset) => {
            let message = format!("nested deeper than {MAX_NESTING} levels");
            Err(Fault::new("", message).with_position(Position::at_offset(text, offset)))
        }
    }
}

/// Returns the offset of the first value that is nested deeper than `max_depth`. The parser limits its own
/// recursion, so this recursion is limited too.
fn find_too_deep(value: &Value<'_>, max_depth: usize) -> Option<usize> {
    let children: Vec<&Value<'_>> = match value {
        Value::Object(object) => object.properties.iter().map(|p| &p.value).collect(),
        Value::Array(array) => array.elements.iter().collect(),
        _ => return None,
    };
    if max_depth == 0 {
        return Some(value.range().start);
    }
    children
        .into_iter()
        .find_map(|child| find_too_deep(child, max_depth - 1))
}

/// Returns the offset of the value at a path such as `groups[3].reach[0]`, or of its deepest existing parent.
fn offset_of(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
        let next = match value {
            Value::Object(object) => object.get(step).map(|property| &property.value),
            Value::Array(array) => step
                .trim_end_matches(']')
                .parse::<usize>()
                .ok()
                .and_then(|index| array.elements.get(index)),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    value.range().start
}

/// Formats the steps from the root to a value as a path.
fn join_path(steps: &[Step]) -> Arc<str> {
    let mut path = String::new();
    for step in steps {
        match step {
            Step::Index(index) => path.push_str(&format!("[{index}]")),
            Step::Field(name) => {
                if !path.is_empty() {
                    path.push('.');
                }
                path.push_str(name);
            }
        }
    }
    path.into()
}

/// One step of a path, from a value to one of its children.
enum Step {
    Field(String),
    Index(usize),
}
