//! The pages of one edit: the form, the review of what it changes, and a new key.

use fescuewell_core::prelude::*;
use fescuewell_document::difference::compare;
use fescuewell_document::item::Section;
use fescuewell_document::model::Document;
use rouille::Response;

use super::{changes_table, clash_table, fault_summary};
use crate::edit::{Action, Again, Edit, Ready};
use crate::form::{self, hidden};
use crate::html::{escape, page};
use crate::session::Session;

/// Hidden fields that say which edit this is. The action is left out where buttons choose it.
fn edit_fields(edit: &Edit, session: &Session) -> String {
    let mut html = hidden("csrf", &session.csrf);
    html.push_str(&hidden("section", edit.section.name()));
    html.push_str(&hidden("base", &edit.base.0.to_string()));
    if let Some(item) = &edit.item {
        html.push_str(&hidden("item", item));
    }
    html
}

fn action_fields(action: &Action) -> String {
    match action {
        Action::Save => hidden("action", "save"),
        Action::Remove => hidden("action", "remove"),
        Action::AddKey(name) => hidden("action", "add-key") + &hidden("key_name", name),
        Action::RemoveKey(name) => hidden("action", "remove-key") + &hidden("key_name", name),
        Action::TopUp(amount) => hidden("action", "top-up") + &hidden("add", amount),
    }
}

fn title(edit: &Edit) -> String {
    let what = edit.section.singular();
    match &edit.item {
        Some(name) => format!("{} {name}", capitalized(what)),
        None => format!("New {what}"),
    }
}

fn capitalized(text: &str) -> String {
    let mut chars = text.chars();
    let first = chars.next().map(|c| c.to_ascii_uppercase());
    first.into_iter().chain(chars).collect()
}

/// The form of an item, with what is wrong with it.
pub fn form(session: &Session, again: &Again) -> Response {
    let Again { edit, current, .. } = again;
    let mut html = fault_summary(&again.faults);
    html.push_str(&clash_table(&again.clashes));
    html.push_str(&format!(
        "<form method=\"post\" action=\"/edit/review\">\n{}{}\
         <div class=\"actions\"><button name=\"action\" value=\"save\">Review the change</button></div></form>\n",
        edit_fields(edit, session),
        form::render(edit.section, &edit.typed, &current.document, edit.item.is_none()),
    ));
    if edit.item.is_some() {
        html.push_str(&side_forms(edit, session, &current.document));
    }
    let status = match again.faults.is_empty() && again.clashes.is_empty() {
        true => 200,
        false if again.faults.is_empty() => Code::DocumentRaced.status(),
        false => Code::DocumentInvalid.status(),
    };
    page(status, &title(edit), Some(session), &html)
}

/// What can be done with an existing item besides changing its fields.
fn side_forms(edit: &Edit, session: &Session, document: &Document) -> String {
    let fields = edit_fields(edit, session);
    let mut html = String::new();
    match edit.section {
        Section::Groups => html.push_str(&format!(
            "<h2>Top up</h2><form method=\"post\" action=\"/edit/review\">\n{fields}\
             <div class=\"field\"><label for=\"field-add\">Tokens to add</label>\
             <input type=\"text\" inputmode=\"numeric\" autocomplete=\"off\" id=\"field-add\" name=\"add\" value=\"{}\"></div>\
             <button name=\"action\" value=\"top-up\">Review the top-up</button></form>\n",
            escape(match &edit.action {
                Action::TopUp(amount) => amount,
                _ => "",
            })
        )),
        Section::Accounts => html.push_str(&keys(edit, &fields, document)),
        _ => {}
    }
    html.push_str(&format!(
        "<h2>Remove</h2><form method=\"post\" action=\"/edit/review\">\n{fields}\
         <button class=\"danger\" name=\"action\" value=\"remove\">Review the removal</button></form>\n"
    ));
    html
}

fn keys(edit: &Edit, fields: &str, document: &Document) -> String {
    let name = edit.item.as_ref();
    let account = document.accounts.iter().find(|a| Some(&a.name) == name);
    let keys = account.map_or(&[][..], |account| account.keys.as_slice());
    let mut html = String::from("<h2>Keys</h2>\n");
    if keys.is_empty() {
        html.push_str("<p>The account has no key, so nobody can use it.</p>\n");
    }
    html.push_str("<ul>\n");
    for key in keys {
        let name = escape(&key.name);
        html.push_str(&format!(
            "<li><form method=\"post\" action=\"/edit/review\">\n{fields}{}{name} \
             <button class=\"plain\" name=\"action\" value=\"remove-key\">Remove key {name}</button></form></li>\n",
            hidden("key_name", &key.name)
        ));
    }
    html.push_str(&format!(
        "</ul>\n<form method=\"post\" action=\"/edit/review\">\n{fields}\
         <div class=\"field\"><label for=\"field-key_name\">Name of a new key</label>\
         <p class=\"hint\" id=\"key_name-hint\">The key itself is made when you accept, and shown once.</p>\
         <input type=\"text\" autocomplete=\"off\" id=\"field-key_name\" name=\"key_name\" value=\"{}\" aria-describedby=\"key_name-hint\"></div>\
         <button name=\"action\" value=\"add-key\">Review the new key</button></form>\n",
        escape(match &edit.action {
            Action::AddKey(name) => name,
            _ => "",
        })
    ));
    html
}

/// What an edit changes, to be accepted or taken back to the form.
pub fn review(session: &Session, ready: &Ready, problem: Option<&Refusal>) -> Response {
    let Ready { edit, current, .. } = ready;
    let mut html = String::new();
    let mut status = 200;
    if let Some(refusal) = problem {
        status = refusal.code.status();
        html.push_str(&format!(
            "<div class=\"error\" role=\"alert\"><p>E{} {}</p></div>\n",
            refusal.code.number(),
            escape(&refusal.message)
        ));
    }
    if !ready.meanwhile.is_empty() {
        status = Code::DocumentRaced.status();
        html.push_str(&format!(
            "<div class=\"notice\" role=\"status\"><p>The document was changed by somebody else while you \
             were editing. Version {} is in force now. Your change is kept and shown below as it would \
             apply to it; nothing has been accepted yet.</p></div>\n",
            current.version().0
        ));
        html.push_str(&changes_table("Accepted meanwhile", &ready.meanwhile));
    }
    let changes = compare(&current.document, &ready.after);
    match &edit.action {
        Action::AddKey(name) => html.push_str(&format!(
            "<p>The account {} gets a new key named {}. It is made when you accept, and shown once.</p>\n",
            escape(edit.item.as_deref().unwrap_or("")),
            escape(name)
        )),
        _ => html.push_str(&changes_table("Your change", &changes)),
    }
    let fields = edit_fields(edit, session) + &action_fields(&edit.action) + &edit.typed.hidden();
    let accept = match changes.is_empty() {
        true => "",
        false => "<button formaction=\"/edit/accept\">Accept</button>",
    };
    html.push_str(&format!(
        "<form method=\"post\" action=\"/edit/again\">\n{fields}<div class=\"actions\">{accept}\
         <button class=\"plain\">Back to the form</button></div></form>\n"
    ));
    page(status, "Review the change", Some(session), &html)
}

/// A key that was just made: the only time it is shown.
pub fn new_key(session: &Session, account: &str, key: &str, problem: Option<&Refusal>) -> Response {
    let mut html = String::new();
    let mut status = 200;
    if let Some(refusal) = problem {
        status = refusal.code.status();
        html.push_str(&format!(
            "<div class=\"error\" role=\"alert\"><p>E{} {}</p><p>The key may or may not be in force. Look at the \
             account: if the key is listed, the one below is it.</p></div>\n",
            refusal.code.number(),
            escape(&refusal.message)
        ));
    }
    html.push_str(&format!(
        "<p>New key of the account {}. It is not stored anywhere and will not be shown again.</p>\n\
         <p><code class=\"key\">{}</code></p>\n<p><a href=\"/accounts/{}\">Back to the account</a></p>\n",
        escape(account),
        escape(key),
        crate::html::encode(account)
    ));
    page(status, "New key", Some(session), &html)
}
