//! Three-way merge of two edits of the same document.
//!
//! When two operators edit concurrently, the second must neither overwrite the first edit unnoticed nor lose
//! their own input. Edits of different fields are merged; edits of the same field are returned as conflicts
//! with all three values. Amounts are never added up, so two top-ups of one budget always conflict.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value};

use super::{by_name, label, to_json};
use crate::for_each_section;
use crate::item::{Item, Section};
use crate::model::Document;

fescuewell_core::data! {
    /// A field that both sides changed to different values.
    pub struct Conflict {
        /// Section of the item.
        pub section: Section,
        /// Name of the item.
        pub name: Arc<str>,
        /// Path within the item; empty if one side removed the item and the other changed it.
        pub field: Arc<str>,
        /// Value in the common base; `None` if absent.
        pub base: Option<Arc<str>>,
        /// Value in this side's edit.
        pub mine: Option<Arc<str>>,
        /// Value in the document that was accepted in the meantime.
        pub theirs: Option<Arc<str>>,
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: &Option<Arc<str>>| match value {
            Some(value) => value.to_string(),
            None => "(absent)".to_owned(),
        };
        write!(
            f,
            "{}/{} {}: was {}, accepted meanwhile {}, yours {}",
            self.section,
            self.name,
            self.field,
            show(&self.base),
            show(&self.theirs),
            show(&self.mine)
        )
    }
}

/// Merges two edits of `base`.
///
/// The result must still pass [`check`](crate::check::check): two valid edits may be invalid in combination.
///
/// # Errors
///
/// Returns a conflict for every field that both sides changed to different values.
pub fn merge(
    base: &Document,
    mine: &Document,
    theirs: &Document,
) -> Result<Document, Vec<Conflict>> {
    let (merged, conflicts) = merge_preferring_mine(base, mine, theirs);
    match conflicts.is_empty() {
        true => Ok(merged),
        false => Err(conflicts),
    }
}

/// Merges two edits of `base`, keeping `mine` for conflicting fields, and returns the conflicts.
///
/// The console shows the result to the operator to resolve the conflicts, so that no input is lost.
pub fn merge_preferring_mine(
    base: &Document,
    mine: &Document,
    theirs: &Document,
) -> (Document, Vec<Conflict>) {
    let mut merged = theirs.clone();
    let mut conflicts = Vec::new();
    for_each_section!(T => merge_section::<T>([base, mine, theirs], &mut merged, &mut conflicts));
    (merged, conflicts)
}

/// Applies the changes from `base` to `mine` to `merged`, which initially equals `theirs`.
fn merge_section<T>(sides: [&Document; 3], merged: &mut Document, conflicts: &mut Vec<Conflict>)
where
    T: Item,
{
    let [base, mine, theirs] = sides.map(by_name::<T>);
    let mut names: Vec<&Arc<str>> = base.keys().chain(mine.keys()).copied().collect();
    names.sort();
    names.dedup();
    for name in names {
        let versions = [&base, &mine, &theirs].map(|side| side.get(name).copied());
        let [base_item, my_item, their_item] = versions;
        if base_item == my_item || my_item == their_item {
            continue;
        }
        let list = T::list_mut(merged);
        let position = list.iter().position(|item| item.name() == name);
        if base_item == their_item {
            set_item(list, position, my_item.cloned());
            continue;
        }
        set_item(list, position, merge_item(name, versions, conflicts));
    }
}

/// Replaces, removes or appends an item.
fn set_item<T>(list: &mut Vec<T>, position: Option<usize>, item: Option<T>) {
    match (position, item) {
        (Some(index), Some(item)) => list[index] = item,
        (Some(index), None) => {
            list.remove(index);
        }
        (None, Some(item)) => list.push(item),
        (None, None) => {}
    }
}

fn merge_item<T>(
    name: &Arc<str>,
    versions: [Option<&T>; 3],
    conflicts: &mut Vec<Conflict>,
) -> Option<T>
where
    T: Item,
{
    let values = versions.map(|item| item.map(to_json));
    let [base_item, my_item, their_item] = values.each_ref().map(Option::as_ref);
    let mut merger = Merger::default();
    let merged = merger.merge("", base_item, my_item, their_item);
    for (field, sides) in merger.conflicts {
        let [base, mine, theirs] = sides;
        conflicts.push(Conflict {
            section: T::SECTION,
            name: name.clone(),
            field: field.into(),
            base,
            mine,
            theirs,
        });
    }
    merged.and_then(|value| serde_json::from_value(value).ok())
}

/// Merges JSON values and collects the conflicts.
#[derive(Default)]
struct Merger {
    conflicts: Vec<(String, [Option<Arc<str>>; 3])>,
}

impl Merger {
    fn merge(
        &mut self,
        path: &str,
        base: Option<&Value>,
        mine: Option<&Value>,
        theirs: Option<&Value>,
    ) -> Option<Value> {
        if base == mine || mine == theirs {
            return theirs.cloned();
        }
        if base == theirs {
            return mine.cloned();
        }
        match (mine, theirs) {
            (Some(Value::Object(mine)), Some(Value::Object(theirs))) => {
                let base = base.and_then(Value::as_object);
                Some(Value::Object(self.merge_objects(path, base, mine, theirs)))
            }
            (Some(Value::Array(mine)), Some(Value::Array(theirs))) => {
                let base = base.and_then(Value::as_array);
                Some(Value::Array(self.merge_arrays(path, base, mine, theirs)))
            }
            _ => {
                let sides = [base, mine, theirs].map(|side| side.map(|v| v.to_string().into()));
                self.conflicts.push((path.to_owned(), sides));
                mine.cloned()
            }
        }
    }

    fn merge_objects(
        &mut self,
        path: &str,
        base: Option<&Map<String, Value>>,
        mine: &Map<String, Value>,
        theirs: &Map<String, Value>,
    ) -> Map<String, Value> {
        let mut merged = Map::new();
        let new = mine.keys().filter(|name| !theirs.contains_key(*name));
        for name in theirs.keys().chain(new) {
            let base = base.and_then(|base| base.get(name));
            let value = self.merge(
                &join_path(path, name),
                base,
                mine.get(name),
                theirs.get(name),
            );
            if let Some(value) = value {
                merged.insert(name.clone(), value);
            }
        }
        merged
    }

    /// Merges two lists element by element. Lists are sets of names or of named items.
    fn merge_arrays(
        &mut self,
        path: &str,
        base: Option<&Vec<Value>>,
        mine: &[Value],
        theirs: &[Value],
    ) -> Vec<Value> {
        let base = by_label(base.map_or(&[], Vec::as_slice));
        let (my_elements, their_elements) = (by_label(mine), by_label(theirs));
        let new = mine
            .iter()
            .filter(|e| !their_elements.contains_key(&label(e)));
        let mut merged = Vec::new();
        for element in theirs.iter().chain(new) {
            let name = label(element);
            let [base, mine, theirs] =
                [&base, &my_elements, &their_elements].map(|side| side.get(&name).copied());
            merged.extend(self.merge(&join_path(path, &name), base, mine, theirs));
        }
        merged
    }
}

fn by_label(elements: &[Value]) -> BTreeMap<String, &Value> {
    elements.iter().map(|e| (label(e), e)).collect()
}

fn join_path(path: &str, step: &str) -> String {
    match path {
        "" => step.to_owned(),
        _ => format!("{path}.{step}"),
    }
}
