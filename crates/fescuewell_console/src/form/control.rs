//! The HTML of one field: a label, a hint that the control refers to, and the control.

use fescuewell_document::item::{Item, Section};
use fescuewell_document::model::Document;
use fescuewell_document::with_section;

use super::{Control, EMPTY_ROWS, Field, PREFIX, Typed};
use crate::html::escape;

/// Up to so many names are offered as checkboxes; more go into a text area.
const MOST_CHECKBOXES: usize = 60;
/// Up to so many names are offered in a list to choose from; more are typed.
const MOST_OPTIONS: usize = 300;

/// The id of a field's control, to which error summaries link.
pub(crate) fn id_of(path: &str) -> String {
    format!("field-{}", path.replace('.', "-"))
}

pub(super) fn render(field: &Field, typed: &Typed, document: &Document) -> String {
    match &field.control {
        Control::Names(section) => names(field, typed, *section, document),
        Control::Rows(columns) => rows(field, columns, typed, document),
        _ => {
            let control = single(field.path, field, typed, document, None);
            let (id, label) = (id_of(field.path), escape(field.label));
            let hint = hint(field);
            format!(
                "<div class=\"field\"><label for=\"{id}\">{label}</label>{hint}{control}</div>\n"
            )
        }
    }
}

fn hint(field: &Field) -> String {
    if field.hint.is_empty() {
        return String::new();
    }
    let (id, text) = (id_of(field.path), escape(field.hint));
    format!("<p class=\"hint\" id=\"{id}-hint\">{text}</p>")
}

/// Attributes that every control has: its name, its id, and what describes it.
fn attributes(path: &str, field: &Field, label: Option<&str>) -> String {
    let mut text = format!("name=\"{PREFIX}{}\" id=\"{}\"", escape(path), id_of(path));
    if let Some(label) = label {
        text.push_str(&format!(" aria-label=\"{}\"", escape(label)));
    } else if !field.hint.is_empty() {
        text.push_str(&format!(" aria-describedby=\"{}-hint\"", id_of(path)));
    }
    text
}

fn single(
    path: &str,
    field: &Field,
    typed: &Typed,
    document: &Document,
    label: Option<&str>,
) -> String {
    let attributes = attributes(path, field, label);
    let value = typed.get(path);
    match &field.control {
        Control::Flag => {
            let checked = if value.is_empty() { "" } else { " checked" };
            format!("<input type=\"checkbox\" value=\"yes\" {attributes}{checked}>")
        }
        Control::Choice(words) => {
            let words: Vec<&str> = words.to_vec();
            select(&attributes, &words, value, field.optional)
        }
        Control::Reference(section) => {
            let names = names_of(*section, document);
            if names.len() > MOST_OPTIONS {
                return text_input(&attributes, value, "text");
            }
            select(
                &attributes,
                &names,
                value,
                field.optional || label.is_some(),
            )
        }
        Control::Number => text_input(&attributes, value, "numeric"),
        _ => text_input(&attributes, value, "text"),
    }
}

fn text_input(attributes: &str, value: &str, mode: &str) -> String {
    let value = escape(value);
    format!(
        "<input type=\"text\" inputmode=\"{mode}\" autocomplete=\"off\" value=\"{value}\" {attributes}>"
    )
}

fn select(attributes: &str, names: &[&str], value: &str, with_empty: bool) -> String {
    let mut html = format!("<select {attributes}>");
    if with_empty || value.is_empty() {
        html.push_str("<option value=\"\">(none)</option>");
    }
    // What was typed is kept although nothing of that name exists any more.
    let unknown = (!value.is_empty() && !names.contains(&value)).then_some(value);
    for name in names.iter().copied().chain(unknown) {
        let selected = if name == value { " selected" } else { "" };
        let name = escape(name);
        html.push_str(&format!(
            "<option value=\"{name}\"{selected}>{name}</option>"
        ));
    }
    html.push_str("</select>");
    html
}

fn names_of(section: Section, document: &Document) -> Vec<&str> {
    let mut names: Vec<&str> = with_section!(section, T => {
        T::list(document).iter().map(|item| &**item.name()).collect()
    });
    names.sort_unstable();
    names
}

fn names(field: &Field, typed: &Typed, section: Section, document: &Document) -> String {
    let known = names_of(section, document);
    let values = typed.names(field.path);
    let chosen: Vec<&str> = values.iter().filter_map(|v| v.as_str()).collect();
    if known.len() > MOST_CHECKBOXES {
        return text_area(field, &chosen);
    }
    let (label, hint) = (escape(field.label), hint(field));
    let mut html = format!(
        "<fieldset id=\"{}\"><legend>{label}</legend>{hint}",
        id_of(field.path)
    );
    let unknown = chosen.iter().copied().filter(|name| !known.contains(name));
    for name in known.iter().copied().chain(unknown) {
        let checked = if chosen.contains(&name) {
            " checked"
        } else {
            ""
        };
        let (path, name) = (escape(field.path), escape(name));
        html.push_str(&format!(
            "<label class=\"check\"><input type=\"checkbox\" name=\"{PREFIX}{path}\" \
             value=\"{name}\"{checked}> {name}</label>\n"
        ));
    }
    if known.is_empty() {
        html.push_str(&format!(
            "<p class=\"hint\">There are no {section} yet.</p>"
        ));
    }
    html.push_str("</fieldset>\n");
    html
}

fn text_area(field: &Field, chosen: &[&str]) -> String {
    let (id, label) = (id_of(field.path), escape(field.label));
    let lines = escape(&chosen.join("\n"));
    let path = escape(field.path);
    format!(
        "<div class=\"field\"><label for=\"{id}\">{label}</label>\
         <p class=\"hint\" id=\"{id}-hint\">One name a line. {}</p>\
         <textarea id=\"{id}\" name=\"{PREFIX}{path}\" rows=\"12\" \
         aria-describedby=\"{id}-hint\">{lines}</textarea></div>\n",
        escape(field.hint)
    )
}

fn rows(field: &Field, columns: &[Field], typed: &Typed, document: &Document) -> String {
    let (id, label) = (id_of(field.path), escape(field.label));
    let mut html = format!(
        "<fieldset id=\"{id}\"><legend>{label}</legend>{}<table><thead><tr>",
        hint(field)
    );
    for column in columns {
        html.push_str(&format!("<th scope=\"col\">{}</th>", escape(column.label)));
    }
    html.push_str("</tr></thead><tbody>");
    let filled = typed.filled_rows(field.path);
    for index in 0..filled + EMPTY_ROWS {
        html.push_str("<tr>");
        for column in columns {
            let path = format!("{}.{index}.{}", field.path, column.path);
            let label = format!("{} of row {}", column.label, index + 1);
            let control = single(&path, column, typed, document, Some(&label));
            html.push_str(&format!("<td>{control}</td>"));
        }
        html.push_str("</tr>");
    }
    html.push_str("</tbody></table></fieldset>\n");
    html
}

impl Typed {
    /// Number of rows up to the last one in which anything stands.
    fn filled_rows(&self, path: &str) -> usize {
        let mut filled = 0;
        for index in 0..self.row_count(path) {
            let prefix = format!("{path}.{index}.");
            let mut values = self.values.iter();
            if values.any(|(name, value)| name.starts_with(&prefix) && !value.is_empty()) {
                filled = index + 1;
            }
        }
        filled
    }
}
