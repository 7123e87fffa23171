//! One operator's edit: what was asked for, applied to the document it started from, and joined with what
//! others had accepted meanwhile.

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::check::check;
use fescuewell_document::difference::{Change, Conflict, compare, merge_preferring_mine};
use fescuewell_document::fault::Fault;
use fescuewell_document::item::{Item, Section};
use fescuewell_document::model::{Document, Key};
use fescuewell_document::{parse, with_section};
use serde_json::Value;

use crate::form::Typed;
use crate::store::{Loaded, Store};

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Add the typed item or put it in the place of the one it was made from.
    Save,
    /// Remove the item.
    Remove,
    /// Add a key of this name to the account.
    AddKey(Arc<str>),
    /// Remove the key of this name from the account.
    RemoveKey(Arc<str>),
    /// Raise the group's prepaid total by what this text says.
    TopUp(Arc<str>),
}

/// One edit of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// Where the item stands.
    pub section: Section,
    /// Name of the item; `None` for a new one.
    pub item: Option<Arc<str>>,
    /// Version that the edit started from.
    pub base: Version,
    /// What is to be done.
    pub action: Action,
    /// What stands in the form.
    pub typed: Typed,
}

impl Edit {
    /// Fills the form from the item where nothing was typed into it: a top-up, a key or a removal is asked
    /// for beside the form, which must not come back empty, as if to be saved so.
    pub fn with_fields_of(mut self, document: &Document) -> Self {
        if self.action != Action::Save
            && let Some(name) = self.item.as_deref()
            && let Some(item) = find(self.section, name, document)
        {
            self.typed = Typed::from_item(self.section, &item);
        }
        self
    }
}

/// What an edit comes to.
pub enum Resolved {
    /// It can be shown and, if nothing happened meanwhile, accepted.
    Ready(Ready),
    /// It has to be corrected.
    Again(Again),
}

/// An edit that has to be corrected: its form again, with what was typed.
pub struct Again {
    /// The edit, to be continued from the document in force.
    pub edit: Edit,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
    /// What somebody else changed differently.
    pub clashes: Vec<Conflict>,
    /// The document in force.
    pub current: Loaded,
}

/// An edit that passed every check.
pub struct Ready {
    /// The edit, to be continued from the document in force.
    pub edit: Edit,
    /// The document in force.
    pub current: Loaded,
    /// The document that the edit makes of it.
    pub after: Document,
    /// What others had accepted since the edit started. The operator has to see it before accepting.
    pub meanwhile: Vec<Change>,
}

/// Applies an edit and joins it with what is in force by now.
///
/// `key_hash` is stored for [`Action::AddKey`].
///
/// # Errors
///
/// When a document cannot be read.
pub fn resolve(store: &Store, edit: Edit, key_hash: &str) -> Result<Resolved, Refusal> {
    let current = store.current()?;
    if edit.base == current.version() {
        return Ok(resolve_unraced(edit, current, key_hash));
    }
    let base = store.at(edit.base)?;
    let mine = match apply(&edit, &base.document, key_hash) {
        Ok(mine) => mine,
        // The form shows the typed values; they are joined once they can be read.
        Err(faults) => return Ok(again(edit, faults, Vec::new(), current)),
    };
    let (edit, mine) = mine;
    let (after, clashes) = merge_preferring_mine(&base.document, &mine, &current.document);
    let meanwhile = compare(&base.document, &current.document);
    let edit = rebase(edit, &after, current.version());
    if !clashes.is_empty() {
        return Ok(again(edit, Vec::new(), clashes, current));
    }
    let faults = faults_of(&edit, &after);
    if !faults.is_empty() {
        return Ok(again(edit, faults, Vec::new(), current));
    }
    Ok(Resolved::Ready(Ready {
        edit,
        current,
        after,
        meanwhile,
    }))
}

fn resolve_unraced(edit: Edit, current: Loaded, key_hash: &str) -> Resolved {
    let (edit, after) = match apply(&edit, &current.document, key_hash) {
        Ok(applied) => applied,
        Err(faults) => return again(edit, faults, Vec::new(), current),
    };
    let faults = faults_of(&edit, &after);
    if !faults.is_empty() {
        return again(edit, faults, Vec::new(), current);
    }
    Resolved::Ready(Ready {
        edit,
        current,
        after,
        meanwhile: Vec::new(),
    })
}

fn again(edit: Edit, faults: Vec<Fault>, clashes: Vec<Conflict>, current: Loaded) -> Resolved {
    let edit = edit.with_fields_of(&current.document);
    Resolved::Again(Again {
        edit,
        faults,
        clashes,
        current,
    })
}

/// The faults of a document, with paths that an operator can follow: those of the edited item name its
/// fields, others name their item in place of its index.
fn faults_of(edit: &Edit, document: &Document) -> Vec<Fault> {
    let mut faults = check(document);
    for fault in &mut faults {
        let Some((section, index, rest)) = split_path(&fault.path) else {
            continue;
        };
        let name = with_section!(section, T => {
            T::list(document).get(index).map(|item| item.name().clone())
        });
        let Some(name) = name else { continue };
        let is_edited = section == edit.section && *name == *edit.typed.get("name").trim();
        fault.path = match is_edited && edit.action == Action::Save {
            true => rest.replace('[', ".").replace(']', "").into(),
            false => format!("{section}/{name} {rest}").into(),
        };
    }
    faults
}

/// `groups[3].reach[0]` as section, index, and `reach[0]`.
fn split_path(path: &str) -> Option<(Section, usize, &str)> {
    let (section, rest) = path.split_once('[')?;
    let (index, rest) = rest.split_once(']')?;
    let rest = rest.trim_start_matches('.');
    Some((Section::from_name(section)?, index.parse().ok()?, rest))
}

/// Continues an edit from a newer document: its form holds what the joined item holds.
///
/// Without this the form would still hold the old text of every field that was not touched, and saving it
/// would silently take back what somebody else had accepted.
fn rebase(mut edit: Edit, merged: &Document, version: Version) -> Edit {
    edit.base = version;
    if edit.action == Action::Save
        && let Some(item) = find(edit.section, edit.typed.get("name"), merged)
    {
        edit.typed = Typed::from_item(edit.section, &item);
    }
    edit
}

/// An item as JSON.
pub fn find(section: Section, name: &str, document: &Document) -> Option<Value> {
    with_section!(section, T => {
        let mut items = T::list(document).iter();
        let item = items.find(|item| &**item.name() == name)?;
        serde_json::to_value(item).ok()
    })
}

/// The document that the edit makes of `base`, and the edit as it is to be continued: a top-up becomes the
/// new total, since a total that is accepted twice does no harm while an increment would.
fn apply(edit: &Edit, base: &Document, key_hash: &str) -> Result<(Edit, Document), Vec<Fault>> {
    let mut edit = edit.clone();
    if let Action::TopUp(amount) = &edit.action {
        edit.typed = topped_up(&edit, amount, base)?;
        edit.action = Action::Save;
    }
    let mut document = base.clone();
    match &edit.action {
        Action::Save => with_section!(edit.section, T => save::<T>(&edit, &mut document))?,
        Action::Remove => with_section!(edit.section, T => remove::<T>(&edit, &mut document))?,
        Action::AddKey(name) => add_key(&edit, name, key_hash, &mut document)?,
        Action::RemoveKey(name) => remove_key(&edit, name, &mut document)?,
        Action::TopUp(_) => {}
    }
    Ok((edit, document))
}

fn fault<T>(path: &str, message: String) -> Result<T, Vec<Fault>> {
    Err(vec![Fault::new(path, message)])
}

fn gone<T>(edit: &Edit) -> Result<T, Vec<Fault>> {
    let name = edit.item.as_deref().unwrap_or("");
    let what = edit.section.singular();
    fault("", format!("there is no {what} `{name}` any more"))
}

fn save<T>(edit: &Edit, document: &mut Document) -> Result<(), Vec<Fault>>
where
    T: Item,
{
    let name = edit.typed.get("name").trim().to_owned();
    let list = T::list_mut(document);
    let position = list.iter().position(|item| **item.name() == *name);
    if edit.item.is_none() && position.is_some() {
        let what = edit.section.singular();
        return fault("name", format!("there is a {what} `{name}` already"));
    }
    let existing = position.and_then(|index| serde_json::to_value(&list[index]).ok());
    let value = edit.typed.to_item(edit.section, existing.as_ref())?;
    let item: T = parse::read(&value.to_string()).map_err(|mut fault| {
        // The position is one in text that the operator never saw.
        fault.position = None;
        vec![fault]
    })?;
    match position {
        Some(index) => list[index] = item,
        None => list.push(item),
    }
    Ok(())
}

fn remove<T>(edit: &Edit, document: &mut Document) -> Result<(), Vec<Fault>>
where
    T: Item,
{
    let list = T::list_mut(document);
    let before = list.len();
    list.retain(|item| Some(item.name()) != edit.item.as_ref());
    if list.len() == before {
        return gone(edit);
    }
    Ok(())
}

fn topped_up(edit: &Edit, amount: &str, base: &Document) -> Result<Typed, Vec<Fault>> {
    let name = edit.item.as_deref().unwrap_or("");
    let Some(group) = base.groups.iter().find(|group| &*group.name == name) else {
        return gone(edit);
    };
    let digits: String = amount.chars().filter(|c| !matches!(c, ' ' | '_')).collect();
    let Ok(added @ 1..) = digits.parse::<u64>() else {
        return fault(
            "add",
            format!("“Tokens to add” is not a whole number: {amount}"),
        );
    };
    let Some(item) = find(Section::Groups, name, base) else {
        return gone(edit);
    };
    let mut typed = Typed::from_item(Section::Groups, &item);
    let total = group.prepaid + Tokens(added);
    typed.set("prepaid", &total.to_string());
    Ok(typed)
}

fn account_keys<'a>(
    edit: &Edit,
    document: &'a mut Document,
) -> Result<&'a mut Vec<Key>, Vec<Fault>> {
    let name = edit.item.as_ref();
    let found = document.accounts.iter_mut().find(|a| Some(&a.name) == name);
    match found {
        Some(account) => Ok(&mut account.keys),
        None => gone(edit),
    }
}

fn add_key(
    edit: &Edit,
    name: &Arc<str>,
    hash: &str,
    document: &mut Document,
) -> Result<(), Vec<Fault>> {
    let keys = account_keys(edit, document)?;
    if keys.iter().any(|key| key.name == *name) {
        return fault("key_name", format!("there is a key `{name}` already"));
    }
    keys.push(Key {
        name: name.clone(),
        hash: hash.into(),
    });
    Ok(())
}

fn remove_key(edit: &Edit, name: &Arc<str>, document: &mut Document) -> Result<(), Vec<Fault>> {
    let keys = account_keys(edit, document)?;
    let before = keys.len();
    keys.retain(|key| key.name != *name);
    if keys.len() == before {
        return fault("", format!("there is no key `{name}` any more"));
    }
    Ok(())
}
