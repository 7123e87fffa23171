//! The steps of an edit: form, review, acceptance.

use fescuewell_core::prelude::*;
use fescuewell_document::item::Section;
use fescuewell_document::key::hash_key;
use rouille::Response;

use super::{App, Posted, field, section_of};
use crate::edit::{Action, Again, Edit, Ready, Resolved, find, resolve};
use crate::form::Typed;
use crate::html::guarded;
use crate::pages;
use crate::random;
use crate::session::Session;

/// How often an acceptance is begun anew when its rows change between the look and the write.
const RACES_FOLLOWED: usize = 3;

impl App {
    /// The empty form of a section, or that of an item.
    pub(super) fn form(
        &self,
        session: &Session,
        section: Section,
        item: Option<&str>,
    ) -> Result<Response, Refusal> {
        let current = self.store.current()?;
        let typed = match item {
            None => Typed::for_new(section),
            Some(name) => {
                let found = find(section, name, &current.document);
                let found = found.ok_or_else(|| Refusal::new(Code::NoSuchPath))?;
                Typed::from_item(section, &found)
            }
        };
        let edit = Edit {
            section,
            item: item.map(Into::into),
            base: current.version(),
            action: Action::Save,
            typed,
        };
        Ok(pages::item::form(session, &plain(edit, current)))
    }

    /// Shows what an edit would change.
    pub(super) fn review(&self, session: &Session, posted: &Posted) -> Result<Response, Refusal> {
        // The hash of the key that will be made is not known yet; any other unused one stands for it.
        let stand_in = hash_key(&random::token());
        let edit = edit_of(posted)?;
        Ok(self.show(session, resolve(&self.store, edit, &stand_in)?))
    }

    /// Back from the review to the form, with everything that was typed.
    pub(super) fn again(&self, session: &Session, posted: &Posted) -> Result<Response, Refusal> {
        let current = self.store.current()?;
        let edit = edit_of(posted)?.with_fields_of(&current.document);
        Ok(pages::item::form(session, &plain(edit, current)))
    }

    /// Accepts a reviewed edit.
    pub(super) fn accept(&self, session: &Session, posted: &Posted) -> Result<Response, Refusal> {
        let edit = edit_of(posted)?;
        let key = random::token();
        let key_hash = hash_key(&key);
        let mut raced = None;
        for _ in 0..RACES_FOLLOWED {
            let ready = match resolve(&self.store, edit.clone(), &key_hash)? {
                Resolved::Ready(ready) if ready.meanwhile.is_empty() => ready,
                // Somebody was faster: nothing is accepted before the operator has seen what changed.
                other => return Ok(self.show(session, other)),
            };
            match self
                .store
                .accept(&ready.current, &ready.after, &session.operator)
            {
                Ok(head) => return Ok(done(session, &edit, &key, head.version)),
                Err(refusal) if refusal.code == Code::DocumentRaced => raced = Some(refusal),
                Err(refusal) => return Ok(not_done(session, &ready, &key, &refusal)),
            }
        }
        Err(raced.unwrap_or_else(|| Refusal::new(Code::DocumentRaced)))
    }

    fn show(&self, session: &Session, resolved: Resolved) -> Response {
        match resolved {
            Resolved::Ready(ready) => pages::item::review(session, &ready, None),
            Resolved::Again(again) => pages::item::form(session, &again),
        }
    }
}

fn plain(edit: Edit, current: crate::store::Loaded) -> Again {
    Again {
        edit,
        faults: Vec::new(),
        clashes: Vec::new(),
        current,
    }
}

fn done(session: &Session, edit: &Edit, key: &str, version: Version) -> Response {
    if let (Action::AddKey(_), Some(account)) = (&edit.action, &edit.item) {
        return pages::item::new_key(session, account, key, None);
    }
    let target = format!("/{}?accepted={}", edit.section, version.0);
    guarded(Response::redirect_303(target))
}

fn not_done(session: &Session, ready: &Ready, key: &str, refusal: &Refusal) -> Response {
    if let (Action::AddKey(_), Run::Unknown, Some(account)) =
        (&ready.edit.action, refusal.run, &ready.edit.item)
    {
        // The key may be in force. Showing it now is the only chance that anybody can use it.
        return pages::item::new_key(session, account, key, Some(refusal));
    }
    pages::item::review(session, ready, Some(refusal))
}

fn edit_of(posted: &Posted) -> Result<Edit, Refusal> {
    let malformed = |what: &str| {
        let detail = format!("The form lacks `{what}`.");
        Refusal::new(Code::MalformedRequest).with_detail(detail)
    };
    let key_name = field(posted, "key_name");
    let action = match field(posted, "action") {
        "save" => Action::Save,
        "remove" => Action::Remove,
        "add-key" => Action::AddKey(key_name.into()),
        "remove-key" => Action::RemoveKey(key_name.into()),
        "top-up" => Action::TopUp(field(posted, "add").into()),
        _ => return Err(malformed("action")),
    };
    let base = field(posted, "base")
        .parse()
        .map_err(|_| malformed("base"))?;
    let item = Some(field(posted, "item")).filter(|name| !name.is_empty());
    Ok(Edit {
        section: section_of(field(posted, "section"))?,
        item: item.map(Into::into),
        base: Version(base),
        action,
        typed: Typed::from_posted(posted),
    })
}
