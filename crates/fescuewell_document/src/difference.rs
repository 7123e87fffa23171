//! What differs between two documents, for people and as data, and the merge of two edits that started
//! from the same one.
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
    /// What happened to an item.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Action {
        /// It is new.
        Added,
        /// It is gone.
        Removed,
        /// Some of its fields differ.
        Changed,
    }

    /// One field that differs.
    pub struct FieldChange {
        /// Path within the item: `allowance.min_draw`, `calls.confirm.price`, `reach.engine-1`.
        pub field: Arc<str>,
        /// Its value before, as JSON text; `None` when it was absent.
        pub before: Option<Arc<str>>,
        /// Its value after.
        pub after: Option<Arc<str>>,
    }

    /// One item that differs.
    pub struct Change {
        /// Where it stands.
        pub section: Section,
        /// Its name.
        pub name: Arc<str>,
        /// What happened to it.
        pub action: Action,
        /// The fields that differ; all of its fields when it was added or removed.
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

/// All items that differ, by section and then by name.
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
        let was = old.get(name).copied();
        if was == Some(*item) {
            continue;
        }
        changes.push(change_of(name, was, Some(*item)));
    }
    for (name, item) in &old {
        if !new.contains_key(name) {
            changes.push(change_of(name, Some(*item), None));
        }
    }
    changes[start..].sort_by(|a, b| a.name.cmp(&b.name));
}

fn change_of<T>(name: &Arc<str>, before: Option<&T>, after: Option<&T>) -> Change
where
    T: Item,
{
    let action = match (before, after) {
        (None, _) => Action::Added,
        (_, None) => Action::Removed,
        _ => Action::Changed,
    };
    let mut fields = compare_fields(&flat(before), &flat(after));
    if fields.is_empty() {
        // The items differ although no field does: only the order of a list changed.
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

type Flat = BTreeMap<String, Arc<str>>;

fn compare_fields(before: &Flat, after: &Flat) -> Vec<FieldChange> {
    let mut fields = Vec::new();
    for (field, was) in before {
        let is = after.get(field);
        if is != Some(was) {
            fields.push(FieldChange {
                field: field.as_str().into(),
                before: Some(was.clone()),
                after: is.cloned(),
            });
        }
    }
    for (field, is) in after {
        if !before.contains_key(field) {
            fields.push(FieldChange {
                field: field.as_str().into(),
                before: None,
                after: Some(is.clone()),
            });
        }
    }
    fields
}

fn flat<T>(item: Option<&T>) -> Flat
where
    T: Item,
{
    let mut flat = Flat::new();
    if let Some(item) = item {
        flatten("", &value_of(item), &mut flat);
        flat.remove("name");
    }
    flat
}

/// The item as JSON; its types hold only text keys and finite numbers, which always convert.
fn value_of<T>(item: &T) -> Value
where
    T: Item,
{
    serde_json::to_value(item).unwrap_or(Value::Null)
}

fn flatten(path: &str, value: &Value, flat: &mut Flat) {
    let join = |step: &str| match path {
        "" => step.to_owned(),
        _ => format!("{path}.{step}"),
    };
    match value {
        Value::Object(object) => {
            for (name, field) in object {
                flatten(&join(name), field, flat);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                flatten(&join(&label(element)), element, flat);
            }
        }
        // An absent option and an empty one are the same thing.
        Value::Null => {}
        _ => {
            flat.insert(path.to_owned(), value.to_string().into());
        }
    }
}

/// What tells an element from its neighbours: its name, or itself when it is plain text.
fn label(element: &Value) -> String {
    match element {
        Value::String(text) => text.clone(),
        _ => match element.get("name").and_then(Value::as_str) {
            Some(name) => name.to_owned(),
            None => element.to_string(),
        },
    }
}
