//! The forms of all sections: which fields there are, how they are shown and what was typed into them.

mod control;
mod schema;

pub(crate) use control::id_of as control_id;
pub use schema::{Control, Field, fields};

use std::sync::Arc;

use fescuewell_document::fault::Fault;
use fescuewell_document::item::Section;
use fescuewell_document::model::{Allowance, Document};
use serde_json::{Map, Value};

use crate::html::escape;

/// What all names of typed fields start with, so that they never meet a name of the page's own.
pub const PREFIX: &str = "f.";
/// Rows offered for new elements below those that exist.
const EMPTY_ROWS: usize = 3;
/// Most rows that are read from one form.
const MOST_ROWS: usize = 200;

/// What stands in a form's fields, as text: by path, several values for lists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Typed {
    values: Vec<(Arc<str>, Arc<str>)>,
}

impl Typed {
    /// Picks the typed fields out of a posted form.
    pub fn from_posted(posted: &[(String, String)]) -> Self {
        let mut values = Vec::new();
        for (name, value) in posted {
            if let Some(path) = name.strip_prefix(PREFIX) {
                values.push((path.into(), value.as_str().into()));
            }
        }
        Self { values }
    }

    /// What the form of a new item starts with.
    pub fn for_new(section: Section) -> Self {
        let mut typed = Self::default();
        if section != Section::Groups {
            return typed;
        }
        let usual = Allowance::default();
        typed.set("weight", "1");
        typed.set(
            "allowance.outage_seconds",
            &usual.outage_seconds.to_string(),
        );
        typed.set("allowance.share_percent", &usual.share_percent.to_string());
        typed.set("allowance.least", &usual.min_draw.to_string());
        typed
    }

    /// What the form of an existing item shows.
    pub fn from_item(section: Section, item: &Value) -> Self {
        let mut typed = Self::default();
        for field in fields(section) {
            typed.add_field("", field, item);
        }
        typed
    }

    /// The first value at `path`, or the empty text.
    pub fn get(&self, path: &str) -> &str {
        let found = self.values.iter().find(|(name, _)| &**name == path);
        found.map_or("", |(_, value)| value)
    }

    /// Replaces what stands at `path`.
    pub fn set(&mut self, path: &str, value: &str) {
        self.values.retain(|(name, _)| &**name != path);
        self.values.push((path.into(), value.into()));
    }

    /// Hidden fields that carry everything to the next page.
    pub fn hidden(&self) -> String {
        let mut html = String::new();
        for (name, value) in &self.values {
            html.push_str(&hidden(&format!("{PREFIX}{name}"), value));
        }
        html
    }

    /// The item that was typed, over what `item` had in fields that the form does not show.
    ///
    /// # Errors
    ///
    /// A fault for each field whose text cannot be what the field holds.
    pub fn to_item(&self, section: Section, item: Option<&Value>) -> Result<Value, Vec<Fault>> {
        let mut value = item.cloned().unwrap_or(Value::Object(Map::new()));
        if section == Section::Accounts && value.get("keys").is_none() {
            value["keys"] = Value::Array(Vec::new());
        }
        let mut faults = Vec::new();
        for field in fields(section) {
            match self.read_field("", field) {
                Ok(read) => put(&mut value, field.path, read),
                Err(fault) => faults.extend(fault),
            }
        }
        match faults.is_empty() {
            true => Ok(value),
            false => Err(faults),
        }
    }

    fn add_field(&mut self, prefix: &str, field: &Field, item: &Value) {
        let path = format!("{prefix}{}", field.path);
        let mut value = item;
        for step in field.path.split('.') {
            value = value.get(step).unwrap_or(&Value::Null);
        }
        match (&field.control, value) {
            (Control::Rows(columns), Value::Array(rows)) => {
                for (index, row) in rows.iter().enumerate() {
                    for column in *columns {
                        self.add_field(&format!("{path}.{index}."), column, row);
                    }
                }
            }
            (_, Value::Array(names)) => {
                for name in names.iter().filter_map(Value::as_str) {
                    self.values.push((path.as_str().into(), name.into()));
                }
            }
            (_, Value::Bool(true)) => self.values.push((path.into(), "yes".into())),
            (_, Value::Bool(false) | Value::Null) => {}
            (_, Value::String(text)) => self.values.push((path.into(), text.as_str().into())),
            (_, other) => self.values.push((path.into(), other.to_string().into())),
        }
    }

    fn read_field(&self, prefix: &str, field: &Field) -> Result<Value, Vec<Fault>> {
        let path = format!("{prefix}{}", field.path);
        let text = self.get(&path).trim();
        match &field.control {
            Control::Flag => Ok(Value::Bool(!text.is_empty())),
            Control::Names(_) => Ok(Value::Array(self.names(&path))),
            Control::Rows(columns) => self.read_rows(&path, columns),
            _ if text.is_empty() && field.optional => Ok(Value::Null),
            _ if text.is_empty() => {
                let message = format!("“{}” is missing", field.label);
                Err(vec![Fault::new(path, message)])
            }
            Control::Number => read_number(&path, field, text).map_err(|fault| vec![fault]),
            _ => Ok(text.into()),
        }
    }

    /// Names from checkboxes (several values) or from a text area (several names in one value).
    fn names(&self, path: &str) -> Vec<Value> {
        let mut names = Vec::new();
        for (_, value) in self.values.iter().filter(|(name, _)| &**name == path) {
            let words = value.split([',', ' ', '\t', '\r', '\n']);
            names.extend(words.filter(|word| !word.is_empty()).map(Value::from));
        }
        names
    }

    fn read_rows(&self, path: &str, columns: &[Field]) -> Result<Value, Vec<Fault>> {
        let mut rows = Vec::new();
        let mut faults = Vec::new();
        for index in 0..self.row_count(path) {
            let prefix = format!("{path}.{index}.");
            if self.get(&format!("{prefix}name")).trim().is_empty() {
                continue;
            }
            let mut row = Value::Object(Map::new());
            for column in columns {
                match self.read_field(&prefix, column) {
                    Ok(value) => put(&mut row, column.path, value),
                    Err(fault) => faults.extend(fault),
                }
            }
            rows.push(row);
        }
        match faults.is_empty() {
            true => Ok(Value::Array(rows)),
            false => Err(faults),
        }
    }

    /// Number of rows that stand in the form, empty ones included.
    fn row_count(&self, path: &str) -> usize {
        let prefix = format!("{path}.");
        let mut count = 0;
        for (name, _) in &self.values {
            let Some(rest) = name.strip_prefix(&prefix) else {
                continue;
            };
            let index = rest.split('.').next().and_then(|text| text.parse().ok());
            count = count.max(index.map_or(0, |index: usize| index.saturating_add(1)));
        }
        count.min(MOST_ROWS)
    }
}

fn read_number(path: &str, field: &Field, text: &str) -> Result<Value, Fault> {
    // People write 20 000 or 20_000; commas and dots stay errors, since they mean different things in
    // different countries.
    let digits: String = text
        .chars()
        .filter(|c| !matches!(c, ' ' | '_' | '\u{a0}' | '\u{202f}'))
        .collect();
    digits.parse::<u64>().map(Value::from).map_err(|_| {
        let message = format!("“{}” is not a whole number: {text}", field.label);
        Fault::new(path, message).with_suggestion("digits only, for instance 20000")
    })
}

fn put(item: &mut Value, path: &str, value: Value) {
    let mut at = item;
    for step in path.split('.') {
        if !at.is_object() {
            *at = Value::Object(Map::new());
        }
        at = &mut at[step];
    }
    *at = value;
}

/// One hidden field.
pub fn hidden(name: &str, value: &str) -> String {
    let (name, value) = (escape(name), escape(value));
    format!("<input type=\"hidden\" name=\"{name}\" value=\"{value}\">\n")
}

/// The fields of a form, filled in. With `is_new` unset the name cannot be changed.
pub fn render(section: Section, typed: &Typed, document: &Document, is_new: bool) -> String {
    let mut html = String::new();
    for field in fields(section) {
        if field.path == "name" && !is_new {
            html.push_str(&hidden(&format!("{PREFIX}name"), typed.get("name")));
            continue;
        }
        html.push_str(&control::render(field, typed, document));
    }
    html
}
