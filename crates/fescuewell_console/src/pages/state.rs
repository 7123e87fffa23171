//! The page of live state.

use rouille::Response;
use serde_json::Value;

use crate::html::{encode, escape, page};
use crate::live::{Instance, State};
use crate::session::Session;

/// Budgets, instances, refusals and backend servers.
pub fn live(session: &Session, state: &State) -> Response {
    let mut html =
        String::from("<p>As of this moment; load the page again for the next one.</p>\n");
    html.push_str(&budgets(state));
    html.push_str(&instances(&state.instances));
    html.push_str(&refusals(state));
    html.push_str(&servers(&state.instances));
    page(200, "Live state", Some(session), &html)
}

fn head(caption: &str, columns: &[&str]) -> String {
    let mut html = format!("<table><caption>{}</caption><thead><tr>", escape(caption));
    for column in columns {
        html.push_str(&format!("<th scope=\"col\">{}</th>", escape(column)));
    }
    html.push_str("</tr></thead><tbody>\n");
    html
}

fn budgets(state: &State) -> String {
    let columns = ["Group", "Prepaid", "Spent", "Allowed out", "Free"];
    let mut html = head("Budgets, in tokens", &columns);
    for budget in &state.budgets {
        html.push_str(&format!(
            "<tr><th scope=\"row\">{}</th><td class=\"number\">{}</td><td class=\"number\">{}</td>\
             <td class=\"number\">{}</td><td class=\"number\">{}</td></tr>\n",
            escape(&budget.group),
            budget.prepaid,
            budget.spent,
            budget.granted,
            budget.free
        ));
    }
    html.push_str(
        "</tbody></table>\n<p class=\"hint\">“Spent” is what closed instances spent. “Allowed out” is what live ones \
         may still spend or have spent since they started.</p>\n",
    );
    if let Some(after) = &state.more_after {
        html.push_str(&format!(
            "<p><a href=\"/state?after={}\">More budgets</a></p>\n",
            encode(after)
        ));
    }
    html
}

fn instances(instances: &[Instance]) -> String {
    let columns = [
        "Instance",
        "Zone",
        "State",
        "Document version",
        "Heartbeat",
        "Answer",
    ];
    let mut html = head("Instances", &columns);
    for instance in instances {
        let row = &instance.row;
        let answer = match (&instance.state, &instance.problem) {
            (Some(_), _) => "answers".to_owned(),
            (None, Some(problem)) => format!("no answer: {problem}"),
            (None, None) => "not asked".to_owned(),
        };
        html.push_str(&format!(
            "<tr><th scope=\"row\">{}</th>",
            escape(&instance.name)
        ));
        for text in ["zone", "state", "version", "beat"].map(|field| plain(&row[field])) {
            html.push_str(&format!("<td>{}</td>", escape(&text)));
        }
        html.push_str(&format!("<td>{}</td></tr>\n", escape(&answer)));
    }
    html.push_str("</tbody></table>\n");
    html
}

fn refusals(state: &State) -> String {
    let mut html = head(
        "Refusals since the instances started",
        &["Code", "Meaning", "Count"],
    );
    for (code, count) in &state.refusals {
        html.push_str(&format!(
            "<tr><th scope=\"row\">{}</th><td>{}</td><td class=\"number\">{count}</td></tr>\n",
            escape(code),
            escape(meaning(code))
        ));
    }
    html.push_str("</tbody></table>\n");
    html
}

fn meaning(code: &str) -> &'static str {
    let number = code.parse::<u16>().ok();
    let all = fescuewell_core::code::Code::ALL.iter();
    let found = all.copied().find(|known| Some(known.number()) == number);
    found.map_or("", |known| known.text())
}

/// Backend servers as each instance sees them: `{"servers": [{"name": ..., ...}, ...]}`.
fn servers(instances: &[Instance]) -> String {
    let mut html = head(
        "Backend servers, as each instance sees them",
        &["Backend server", "Instance", "What it says"],
    );
    for instance in instances {
        let servers = instance
            .state
            .as_ref()
            .and_then(|s| s["servers"].as_array());
        for server in servers.into_iter().flatten() {
            html.push_str(&format!(
                "<tr><th scope=\"row\">{}</th><td>{}</td><td>{}</td></tr>\n",
                escape(&plain(&server["name"])),
                escape(&instance.name),
                escape(&details(server))
            ));
        }
    }
    html.push_str("</tbody></table>\n");
    html
}

fn details(server: &Value) -> String {
    let fields = server.as_object().into_iter().flatten();
    let shown = fields.filter(|(name, _)| *name != "name");
    let texts: Vec<String> = shown
        .map(|(name, value)| format!("{name}: {}", plain(value)))
        .collect();
    texts.join(", ")
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "–".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
