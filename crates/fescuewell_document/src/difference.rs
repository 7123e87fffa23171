//! Differences between two documents, as text and as data, and the three-way merge of two edits of the same
//! document.
//!
//! ```
//! use fescuewell_document::prelude::*;
//! use fescuewell_document::difference::{Action, compare};
//! let kind = Kind { name: "urgent".into(), priority: 0, floor_percent: 0, deadline_ms: 500 };
//! let before = Document { kinds: vec![kind.clone()], ..Document::default() };
//! let after = Document { kinds: vec![Kind { deadline_ms: 900, ..kind }], ..Document::default() };
//! let changes = compare(&before, &after);
//! assert_eq!(changes[0].action, Action::Changed);
//! assert_eq!(changes[0].to_string(), "kinds/urgent: deadline_ms 500 -> 900");
//! ```

mod merge;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use serde_json::Value;

pub use merge::{Conflict, merge, merge_preferring_mine};

use crate::for_each_section;
use crate::item::{Item, Section};
use crate::model::Document;

fescuewell_core::data! {
    /// How an item differs.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// The item is new.
        Added,
        /// The item no longer exists.
        Removed,
        /// Some of the item's fields differ.
        Changed,
    }

    /// One field that differs.
    pub struct FieldChange {
        /// Path within the item: `allowance.min_draw`, `calls.confirm.price`, `reach.engine-1`.
        pub field: Arc<str>,
        /// Old value as JSON text; `None` if the field was absent.
        pub before: Option<Arc<str>>,
        /// New value as JSON text; `None` if the field is absent.
        pub after: Option<Arc<str>>,
    }

    /// One item that differs.
    pub struct Change {
        /// Section of the item.
        pub section: Section,
        /// Name of the item.
        pub name: Arc<str>,
        /// How the item differs.
        pub action: Action,
        /// The fields that differ; all fields if the item was added or removed.
        pub fields: Vec<FieldChange>,
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "{} {before} -> {after}", self.field),
            (None, Some(after)) => write!(f, "{} added as {after}", self.field),
            (Some(before), None) => write!(f, "{} removed, was {before}", self.field),
            (None, None) => write!(f, "{}", self.field),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}: ", self.section, self.name)?;
        match self.action {
            Action::Added => f.write_str("added"),
            Action::Removed => f.write_str("removed"),
            Action::Changed => {
                let fields: Vec<String> = self.fields.iter().map(ToString::to_string).collect();
                f.write_str(&fields.join("; "))
            }
        }
    }
}

/// Returns all items that differ, sorted by section and name.
pub fn compare(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    for_each_section!(T => compare_section::<T>(before, after, &mut changes));
    changes
}

fn by_name<T>(document: &Document) -> HashMap<&Arc<str>, &T>
where
    T: Item,
{
    let items = T::list(document).iter();
    items.map(|item| (item.name(), item)).collect()
}

fn compare_section<T>(before: &Document, after: &Document, changes: &mut Vec<Change>)
where
    T: Item,
{
    let start = changes.len();
    let old = by_name::<T>(before);
    let new = by_name::<T>(after);
    for (name, item) in &new {
        let old_item = old.get(name).copied();
        if old_item == Some(*item) {
            continue;
        }
        changes.push(describe_change(name, old_item, Some(*item)));
    }
    for (name, item) in &old {
        if !new.contains_key(name) {
            changes.push(describe_change(name, Some(*item), None));
        }
    }
    changes[start..].sort_by(|a, b| a.name.cmp(&b.name));
}

fn describe_change<T>(name: &Arc<str>, before: Option<&T>, after: Option<&T>) -> Change
where
    T: Item,
{
    let action = match (before, after) {
        (None, _) => Action::Added,
        (_, None) => Action::Removed,
        _ => Action::Changed,
    };
    let mut fields = compare_fields(&fields_of(before), &fields_of(after));
    if fields.is_empty() {
        // The items differ but none of their fields: only the order of a list changed.
        fields.push(FieldChange {
            field: "order of a list".into(),
            before: None,
            after: None,
        });
    }
    Change {
        section: T::SECTION,
        name: name.clone(),
        action,
        fields,
    }
}

/// JSON values by path within an item.
type FieldValues = BTreeMap<String, Arc<str>>;

fn compare_fields(before: &FieldValues, after: &FieldValues) -> Vec<FieldChange> {
    let mut fields = Vec::new();
    for (field, old_value) in before {
        let new_value = after.get(field);
        if new_value != Some(old_value) {
            fields.push(FieldChange {
                field: field.as_str().into(),
                before: Some(old_value.clone()),
                after: new_value.cloned(),
            });
        }
    }
    for (field, new_value) in after {
        if !before.contains_key(field) {
            fields.push(FieldChange {
                field: field.as_str().into(),
                before: None,
                after: Some(new_value.clone()),
            });
        }
    }
    fields
}

fn fields_of<T>(item: Option<&T>) -> FieldValues
where
    T: Item,
{
    let mut fields = FieldValues::new();
    if let Some(item) = item {
        flatten("", &to_json(item), &mut fields);
        fields.remove("name");
    }
    fields
}

/// Converts an item to JSON. This can't fail, as items contain only string keys and finite numbers.
fn to_json<T>(item: &T) -> Value
where
    T: Item,
{
    serde_json::to_value(item).unwrap_or(Value::Null)
}

/// Adds all scalar values below `value` to `fields`.
fn flatten(path: &str, value: &Value, fields: &mut FieldValues) {
    let join = |step: &str| match path {
        "" => step.to_owned(),
        _ => format!("{path}.{step}"),
    };
    match value {
        Value::Object(object) => {
            for (name, field) in object {
                flatten(&join(name), field, fields);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                flatten(&join(&label(element)), element, fields);
            }
        }
        // `null` is equivalent to an absent option.
        Value::Null => {}
        _ => {
            fields.insert(path.to_owned(), value.to_string().into());
        }
    }
}

/// Identifies an element within its list: by its `name` field, or by its value if it has none.
fn label(element: &Value) -> String {
    match element {
        Value::String(text) => text.clone(),
        _ => match element.get("name").and_then(Value::as_str) {
            Some(name) => name.to_owned(),
            None => element.to_string(),
        },
    }
}
