//! Pages as text: escaping, the frame around every page, and times.

use std::fmt::Write as _;

use rouille::Response;

use crate::session::Session;

/// The style sheet of all pages.
pub const STYLE: &str = include_str!("style.css");

/// Text with the characters that HTML gives a meaning replaced, for content and quoted attributes.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            _ => escaped.push(c),
        }
    }
    escaped
}

/// Text for one step of a path or a value of a query.
pub fn encode(text: &str) -> String {
    form_urlencoded::byte_serialize(text.as_bytes()).collect()
}

const LINKS: [(&str, &str); 9] = [
    ("/", "Overview"),
    ("/groups", "Groups"),
    ("/accounts", "Client accounts"),
    ("/kinds", "Kinds"),
    ("/models", "Models"),
    ("/servers", "Backend servers"),
    ("/services", "Services"),
    ("/history", "History"),
    ("/state", "Live state"),
];

/// A whole page. Without a session it has no menu.
pub fn page(status: u16, title: &str, session: Option<&Session>, body: &str) -> Response {
    let title = escape(title);
    let menu = session.map_or_else(String::new, menu);
    let html = format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n\
         <title>{title} – fescuewell</title>\n\
         <link rel=\"stylesheet\" href=\"/style.css\">\n</head>\n<body>\n\
         <a class=\"skip\" href=\"#main\">Skip to content</a>\n{menu}\
         <main id=\"main\">\n<h1>{title}</h1>\n{body}</main>\n</body>\n</html>\n"
    );
    guarded(Response::html(html)).with_status_code(status)
}

fn menu(session: &Session) -> String {
    let mut html = String::from("<header><nav aria-label=\"Sections\"><ul>\n");
    for (path, label) in LINKS {
        let _ = writeln!(html, "<li><a href=\"{path}\">{label}</a></li>");
    }
    let _ = write!(
        html,
        "</ul></nav>\n<form method=\"post\" action=\"/sign-out\">{}<span>Signed in as {}</span> \
         <button>Sign out</button></form></header>\n",
        crate::form::hidden("csrf", &session.csrf),
        escape(&session.operator)
    );
    html
}

/// Headers that keep a page from being kept, framed, or made to run anything.
pub fn guarded(response: Response) -> Response {
    response
        .with_unique_header("Cache-Control", "no-store")
        .with_unique_header("X-Content-Type-Options", "nosniff")
        .with_unique_header("X-Frame-Options", "DENY")
        .with_unique_header("Referrer-Policy", "no-referrer")
        .with_unique_header(
            "Content-Security-Policy",
            "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
        )
}

const DAY: u64 = 86_400;

/// Seconds since the Unix epoch as `2026-12-02 18:46:00 UTC`.
///
/// ```
/// assert_eq!(fescuewell_console::html::time(951_782_400), "2000-02-29 00:00:00 UTC");
/// ```
pub fn time(unix_seconds: u64) -> String {
    let (days, seconds) = (unix_seconds / DAY, unix_seconds % DAY);
    // Years that start in March put the leap day at the end of the year; eras are 400 years long.
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02} UTC",
        seconds / 3_600,
        seconds / 60 % 60,
        seconds % 60
    )
}
