//! The pages: functions from data to HTML.

pub mod item;
pub mod list;
pub mod state;

use std::sync::Arc;

use fescuewell_core::prelude::*;
use fescuewell_document::difference::{Action, Change, Conflict};
use fescuewell_document::fault::Fault;
use rouille::Response;

use crate::form::control_id;
use crate::html::{escape, page};
use crate::session::Session;

/// Changes that one page lists; an import of thousands is summed up after these.
const MOST_CHANGES_SHOWN: usize = 200;

/// The page for a refusal.
pub fn refused(refusal: &Refusal, session: Option<&Session>) -> Response {
    let ran = match refusal.run {
        Run::NotRun => "Nothing was changed.",
        Run::Unknown => {
            "The change may have taken effect: look at the history before trying again."
        }
        Run::Ran => "The change took effect.",
    };
    let body = format!(
        "<div class=\"error\" role=\"alert\"><p>E{} {}</p><p>{ran}</p></div>\n",
        refusal.code.number(),
        escape(&refusal.message)
    );
    page(refusal.code.status(), "Refused", session, &body)
}

/// The sign-in form.
pub fn sign_in(problem: Option<&Refusal>) -> Response {
    let (status, notice) = match problem {
        None => (200, String::new()),
        Some(refusal) => (
            refusal.code.status(),
            format!(
                "<div class=\"error\" role=\"alert\"><p>E{} {}</p></div>\n",
                refusal.code.number(),
                escape(&refusal.message)
            ),
        ),
    };
    let body = format!(
        "{notice}<form method=\"post\" action=\"/sign-in\">\n\
         <div class=\"field\"><label for=\"operator\">Operator</label>\
         <input type=\"text\" id=\"operator\" name=\"operator\" autocomplete=\"username\" required autofocus></div>\n\
         <div class=\"field\"><label for=\"password\">Password</label>\
         <input type=\"password\" id=\"password\" name=\"password\" autocomplete=\"current-password\" required></div>\n\
         <button>Sign in</button></form>\n"
    );
    let answer = page(status, "Sign in", None, &body);
    match problem.and_then(|refusal| refusal.retry_after) {
        Some(wait) => answer.with_unique_header("Retry-After", wait.as_secs().to_string()),
        None => answer,
    }
}

/// A table of changes.
fn changes_table(caption: &str, changes: &[Change]) -> String {
    if changes.is_empty() {
        return format!("<p>{}: nothing.</p>\n", escape(caption));
    }
    let mut html = format!(
        "<table><caption>{}</caption><thead><tr><th scope=\"col\">Item</th><th scope=\"col\">Field</th>\
         <th scope=\"col\">Before</th><th scope=\"col\">After</th></tr></thead><tbody>\n",
        escape(caption)
    );
    for change in changes.iter().take(MOST_CHANGES_SHOWN) {
        html.push_str(&change_rows(change));
    }
    html.push_str("</tbody></table>\n");
    if changes.len() > MOST_CHANGES_SHOWN {
        let rest = changes.len() - MOST_CHANGES_SHOWN;
        html.push_str(&format!("<p>And {rest} more items.</p>\n"));
    }
    html
}

fn change_rows(change: &Change) -> String {
    let action = match change.action {
        Action::Added => " (added)",
        Action::Removed => " (removed)",
        Action::Changed => "",
    };
    let item = format!("{} {}{action}", change.section.singular(), change.name);
    let mut html = String::new();
    for field in &change.fields {
        let before = shown(field.before.as_deref());
        let after = shown(field.after.as_deref());
        html.push_str(&format!(
            "<tr><th scope=\"row\">{}</th><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            escape(&item),
            escape(&field.field),
            escape(before),
            escape(after)
        ));
    }
    html
}

/// A value as people write it: text without the quotes that it has as JSON.
fn shown(value: Option<&str>) -> &str {
    let Some(value) = value else { return "–" };
    let unquoted = value
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'));
    unquoted.unwrap_or(value)
}

/// The summary at the top of a form: each fault links to its field.
fn fault_summary(faults: &[Fault]) -> String {
    if faults.is_empty() {
        return String::new();
    }
    let mut html =
        String::from("<div class=\"error\" role=\"alert\"><h2>This cannot be accepted</h2><ul>\n");
    for fault in faults {
        let text = escape(&fault.to_string());
        // A path with a slash names another item, whose fields are not on this page.
        if fault.path.is_empty() || fault.path.contains('/') {
            html.push_str(&format!("<li>{text}</li>\n"));
            continue;
        }
        let target = control_id(&fault.path);
        html.push_str(&format!("<li><a href=\"#{target}\">{text}</a></li>\n"));
    }
    html.push_str("</ul></div>\n");
    html
}

/// What was changed by both sides, with all three values.
fn clash_table(clashes: &[Conflict]) -> String {
    if clashes.is_empty() {
        return String::new();
    }
    let mut html = String::from(
        "<div class=\"error\" role=\"alert\"><h2>Somebody else changed the same fields</h2>\
         <p>What you typed is kept below. Decide, then review again.</p></div>\n\
         <table><caption>Changed by both</caption><thead><tr><th scope=\"col\">Item</th>\
         <th scope=\"col\">Field</th><th scope=\"col\">You started from</th>\
         <th scope=\"col\">Accepted meanwhile</th><th scope=\"col\">Yours</th></tr></thead><tbody>\n",
    );
    for clash in clashes {
        let show = |side: &Option<Arc<str>>| escape(shown(side.as_deref()));
        html.push_str(&format!(
            "<tr><th scope=\"row\">{} {}</th><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
            clash.section.singular(),
            escape(&clash.name),
            escape(&clash.field),
            show(&clash.base),
            show(&clash.theirs),
            show(&clash.mine)
        ));
    }
    html.push_str("</tbody></table>\n");
    html
}
