//! Three-way merge: what two operators made of the same document.
//!
//! When operators race, the second one must neither overwrite the first unseen nor lose what was
//! typed. Edits of different fields are joined; edits of the same field are given back as clashes
//! with all three values. Amounts are never added up: two top-ups of one budget always clash.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde_json::{Map, Value};

use super::{by_name, label, value_of};
use crate::for_each_section;
use crate::item::{Item, Section};
use crate::model::Document;

fescuewell_core::data! {
    /// Something that both sides changed, differently.
    pub struct Conflict {
        /// Where the item stands.
        pub section: Section,
        /// The item's name.
        pub name: Arc<str>,
        /// Path within the item; empty when one side removed it while the other changed it.
        pub field: Arc<str>,
        /// What both started from; `None` when it was absent.
        pub base: Option<Arc<str>>,
        /// What this side made of it.
        pub mine: Option<Arc<str>>,
        /// What was accepted meanwhile.
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

/// Joins two edits of `base`.
///
/// The result still has to pass [`check`](crate::check::check): two edits that are valid each may not
/// be so together.
///
/// # Errors
///
/// Every field that both sides changed, differently.
pub fn merge(
    base: &Document,
    mine: &Document,
    theirs: &Document,
) -> Result<Document, Vec<Conflict>> {
    let (merged, clashes) = merge_preferring_mine(base, mine, theirs);
    match clashes.is_empty() {
        true => Ok(merged),
        false => Err(clashes),
    }
}

/// Joins two edits of `base`, keeping `mine` wherever they clash: what to show an operator again, so that
/// nothing that was typed is lost, together with the clashes that are to be decided.
pub fn merge_preferring_mine(
    base: &Document,
    mine: &Document,
    theirs: &Document,
) -> (Document, Vec<Conflict>) {
    let mut merged = theirs.clone();
    let mut clashes = Vec::new();
    for_each_section!(T => merge_section::<T>([base, mine, theirs], &mut merged, &mut clashes));
    (merged, clashes)
}

/// Applies to `merged`, which starts as `theirs`, what `mine` changed since `base`.
fn merge_section<T>(sides: [&Document; 3], merged: &mut Document, clashes: &mut Vec<Conflict>)
where
    T: Item,
{
    let [base, mine, theirs] = sides.map(by_name::<T>);
    let mut names: Vec<&Arc<str>> = base.keys().chain(mine.keys()).copied().collect();
    names.sort();
    names.dedup();
    for name in names {
        let versions = [&base, &mine, &theirs].map(|side| side.get(name).copied());
        let [was, my, their] = versions;
        if was == my || my == their {
            continue;
        }
        let list = T::list_mut(merged);
        let position = list.iter().position(|item| item.name() == name);
        if was == their {
            put(list, position, my.cloned());
            continue;
        }
        put(list, position, merge_item(name, versions, clashes));
    }
}

fn put<T>(list: &mut Vec<T>, position: Option<usize>, item: Option<T>) {
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
    clashes: &mut Vec<Conflict>,
) -> Option<T>
where
    T: Item,
{
    let values = versions.map(|item| item.map(value_of));
    let [was, my, their] = values.each_ref().map(Option::as_ref);
    let mut join = Join::default();
    let merged = join.merge("", was, my, their);
    for (field, sides) in join.clashes {
        let [base, mine, theirs] = sides;
        clashes.push(Conflict {
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

/// Collects clashes while values are joined.
#[derive(Default)]
struct Join {
    clashes: Vec<(String, [Option<Arc<str>>; 3])>,
}

impl Join {
    fn merge(
        &mut self,
        path: &str,
        was: Option<&Value>,
        my: Option<&Value>,
        their: Option<&Value>,
    ) -> Option<Value> {
        if was == my || my == their {
            return their.cloned();
        }
        if was == their {
            return my.cloned();
        }
        match (my, their) {
            (Some(Value::Object(my)), Some(Value::Object(their))) => {
                let was = was.and_then(Value::as_object);
                Some(Value::Object(self.merge_objects(path, was, my, their)))
            }
            (Some(Value::Array(my)), Some(Value::Array(their))) => {
                let was = was.and_then(Value::as_array);
                Some(Value::Array(self.merge_arrays(path, was, my, their)))
            }
            _ => {
                let sides = [was, my, their].map(|side| side.map(|v| v.to_string().into()));
                self.clashes.push((path.to_owned(), sides));
                my.cloned()
            }
        }
    }

    fn merge_objects(
        &mut self,
        path: &str,
        was: Option<&Map<String, Value>>,
        my: &Map<String, Value>,
        their: &Map<String, Value>,
    ) -> Map<String, Value> {
        let mut merged = Map::new();
        let new = my.keys().filter(|name| !their.contains_key(*name));
        for name in their.keys().chain(new) {
            let was = was.and_then(|was| was.get(name));
            let value = self.merge(&join_path(path, name), was, my.get(name), their.get(name));
            if let Some(value) = value {
                merged.insert(name.clone(), value);
            }
        }
        merged
    }

    /// Lists are sets of names or of named items: each element is merged by itself.
    fn merge_arrays(
        &mut self,
        path: &str,
        was: Option<&Vec<Value>>,
        my: &[Value],
        their: &[Value],
    ) -> Vec<Value> {
        let was = labelled(was.map_or(&[], Vec::as_slice));
        let (my_named, their_named) = (labelled(my), labelled(their));
        let new = my.iter().filter(|e| !their_named.contains_key(&label(e)));
        let mut merged = Vec::new();
        for element in their.iter().chain(new) {
            let name = label(element);
            let [was, my, their] =
                [&was, &my_named, &their_named].map(|side| side.get(&name).copied());
            merged.extend(self.merge(&join_path(path, &name), was, my, their));
        }
        merged
    }
}

fn labelled(elements: &[Value]) -> BTreeMap<String, &Value> {
    elements.iter().map(|e| (label(e), e)).collect()
}

fn join_path(path: &str, step: &str) -> String {
    match path {
        "" => step.to_owned(),
        _ => format!("{path}.{step}"),
    }
}
