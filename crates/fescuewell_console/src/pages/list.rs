//! Overview, the lists of sections, and the history.

use fescuewell_document::difference::compare;
use fescuewell_document::head::Head;
use fescuewell_document::item::{Item, Section};
use fescuewell_document::model::Document;
use fescuewell_document::with_section;
use rouille::Response;
use serde_json::Value;

use super::changes_table;
use crate::form::{Control, fields};
use crate::html::{encode, escape, page, time};
use crate::session::Session;
use crate::store::Loaded;

/// Items on one page of a list.
const ITEMS_SHOWN: usize = 100;
/// Names of a list field that are spelled out in a table.
const NAMES_SHOWN: usize = 4;

/// The first page: what is in force.
pub fn overview(session: &Session, current: &Loaded, accepted: bool) -> Response {
    let mut html = String::new();
    if accepted {
        html.push_str("<div class=\"notice\" role=\"status\"><p>Accepted.</p></div>\n");
    }
    match &current.head {
        None => html.push_str("<p>No document has been accepted yet. Add backend servers, models and kinds first, then groups.</p>\n"),
        Some(head) => html.push_str(&format!(
            "<p>Version {} is in force, accepted by {} at {}.</p>\n",
            head.version.0,
            escape(&head.author),
            time(head.accepted_at_unix)
        )),
    }
    html.push_str("<table><caption>Sections</caption><thead><tr><th scope=\"col\">Section</th><th scope=\"col\">Items</th></tr></thead><tbody>\n");
    for section in Section::ALL {
        let count = with_section!(section, T => T::list(&current.document).len());
        html.push_str(&format!(
            "<tr><th scope=\"row\"><a href=\"/{section}\">{section}</a></th><td class=\"number\">{count}</td></tr>\n"
        ));
    }
    html.push_str("</tbody></table>\n");
    page(200, "Overview", Some(session), &html)
}

/// Which part of a list is shown.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Only names that contain this.
    pub find: String,
    /// Only names after this one.
    pub after: String,
    /// Version that was just accepted.
    pub accepted: Option<String>,
}

/// The items of a section.
pub fn section(
    session: &Session,
    section: Section,
    document: &Document,
    filter: &Filter,
) -> Response {
    let mut html = String::new();
    if let Some(version) = &filter.accepted {
        html.push_str(&format!(
            "<div class=\"notice\" role=\"status\"><p>Accepted as version {}.</p></div>\n",
            escape(version)
        ));
    }
    html.push_str(&format!(
        "<p><a href=\"/{section}/new\">Add a {}</a></p>\n\
         <form method=\"get\" action=\"/{section}\"><label for=\"find\">Find by name</label> \
         <input type=\"text\" id=\"find\" name=\"find\" value=\"{}\"> <button class=\"plain\">Find</button></form>\n",
        section.singular(),
        escape(&filter.find)
    ));
    let items = with_section!(section, T => chosen::<T>(document, filter));
    html.push_str(&table(section, &items));
    if items.len() == ITEMS_SHOWN
        && let Some(last) = items.last().and_then(|item| item["name"].as_str())
    {
        html.push_str(&format!(
            "<p><a href=\"/{section}?find={}&amp;after={}\">Next page</a></p>\n",
            encode(&filter.find),
            encode(last)
        ));
    }
    let mut title = section.name().to_owned();
    title[..1].make_ascii_uppercase();
    page(200, &title, Some(session), &html)
}

fn chosen<T>(document: &Document, filter: &Filter) -> Vec<Value>
where
    T: Item,
{
    let mut items: Vec<&T> = Vec::new();
    for item in T::list(document) {
        let name = &**item.name();
        if name > filter.after.as_str() && name.contains(filter.find.as_str()) {
            items.push(item);
        }
    }
    items.sort_by(|a, b| a.name().cmp(b.name()));
    let shown = items.into_iter().take(ITEMS_SHOWN);
    shown
        .filter_map(|item| serde_json::to_value(item).ok())
        .collect()
}

fn table(section: Section, items: &[Value]) -> String {
    let mut html = String::from("<table><thead><tr>");
    for field in fields(section) {
        html.push_str(&format!("<th scope=\"col\">{}</th>", escape(field.label)));
    }
    html.push_str("</tr></thead><tbody>\n");
    for item in items {
        html.push_str("<tr>");
        for field in fields(section) {
            html.push_str(&cell(section, field.path, &field.control, item));
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</tbody></table>\n");
    if items.is_empty() {
        html.push_str("<p>None.</p>\n");
    }
    html
}

fn cell(section: Section, path: &str, control: &Control, item: &Value) -> String {
    let value = path.split('.').fold(item, |value, step| &value[step]);
    if path == "name" {
        let name = value.as_str().unwrap_or("");
        let (link, text) = (encode(name), escape(name));
        return format!("<th scope=\"row\"><a href=\"/{section}/{link}\">{text}</a></th>");
    }
    let text = match value {
        Value::Null => "–".to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::Array(elements) => short_list(elements),
        other => other.to_string(),
    };
    let class = match control {
        Control::Number => " class=\"number\"",
        _ => "",
    };
    format!("<td{class}>{}</td>", escape(&text))
}

fn short_list(elements: &[Value]) -> String {
    let names = elements.iter().filter_map(|element| match element {
        Value::String(name) => Some(name.as_str()),
        other => other["name"].as_str(),
    });
    let shown: Vec<&str> = names.take(NAMES_SHOWN).collect();
    match elements.len() > shown.len() {
        true => format!(
            "{} and {} more",
            shown.join(", "),
            elements.len() - shown.len()
        ),
        false => shown.join(", "),
    }
}

/// The latest versions.
pub fn history(session: &Session, heads: &[Head]) -> Response {
    let mut html = String::from(
        "<table><thead><tr><th scope=\"col\">Version</th><th scope=\"col\">Accepted</th>\
         <th scope=\"col\">By</th><th scope=\"col\">Content</th></tr></thead><tbody>\n",
    );
    for head in heads {
        html.push_str(&format!(
            "<tr><th scope=\"row\"><a href=\"/history/{0}\">{0}</a></th><td>{1}</td><td>{2}</td><td><code>{3}</code></td></tr>\n",
            head.version.0,
            time(head.accepted_at_unix),
            escape(&head.author),
            head.root
        ));
    }
    html.push_str("</tbody></table>\n");
    if let Some(oldest) = heads.last().filter(|head| head.version.0 > 1) {
        let before = oldest.version.0 - 1;
        html.push_str(&format!(
            "<p><a href=\"/history?from={before}\">Older</a></p>\n"
        ));
    }
    page(200, "History", Some(session), &html)
}

/// What one version changed.
pub fn version(session: &Session, before: &Loaded, after: &Loaded) -> Response {
    let mut html = String::new();
    if let Some(head) = &after.head {
        html.push_str(&format!(
            "<p>Accepted by {} at {}.</p>\n",
            escape(&head.author),
            time(head.accepted_at_unix)
        ));
    }
    let changes = compare(&before.document, &after.document);
    html.push_str(&changes_table("Changes", &changes));
    let title = format!("Version {}", after.version().0);
    page(200, &title, Some(session), &html)
}
