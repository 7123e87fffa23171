//! Takes one HTTP request to the service that it is meant for.

use std::io::Read;

use fescuewell_core::platform::{Instances, Objects};
use fescuewell_platform::sd::Group;
use tiny_http::{Header, Method, Request, Response};

use super::control::{Control, Report};
use super::{BUCKET, Shared, table};

/// Largest body of the table service; etcd's own default is 1.5 MiB.
const TABLE_BODY_LIMIT: u64 = 1_572_864;
/// Largest object.
const OBJECT_LIMIT: u64 = 64 * 1024 * 1024;

/// What to answer.
pub(super) enum Answer {
    /// A status and a body.
    Whole(u16, Vec<u8>),
    /// A JSON body with status 200.
    Json(Vec<u8>),
    /// Nothing: the connection is closed.
    None,
    /// The bytes of a model.
    Weights(String),
}

pub(super) fn handle(shared: &Shared, mut request: Request) {
    let answer = if is_allowed(shared, &request) {
        answer(shared, &mut request)
    } else {
        error(401, "the bearer token is missing or wrong")
    };
    // The caller may be gone by now, which is its own affair.
    let _ = match answer {
        Answer::Whole(status, body) => {
            request.respond(Response::from_data(body).with_status_code(status))
        }
        Answer::Json(body) => {
            let header = Header::from_bytes("Content-Type", "application/json");
            let response = Response::from_data(body);
            request.respond(match header {
                Ok(header) => response.with_header(header),
                Err(()) => response,
            })
        }
        Answer::None => {
            drop(request.into_writer());
            Ok(())
        }
        Answer::Weights(model) => shared.weights.send(&model, request),
    };
}

fn is_allowed(shared: &Shared, request: &Request) -> bool {
    let Some(token) = &shared.token else {
        return true;
    };
    let header = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("Authorization"));
    header.is_some_and(|header| header.value.as_str().strip_prefix("Bearer ") == Some(token))
}

fn answer(shared: &Shared, request: &mut Request) -> Answer {
    let path = request.url().split('?').next().unwrap_or_default();
    let segments: Vec<String> = path.split('/').skip(1).map(str::to_owned).collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    let method = request.method().clone();
    match (&method, segments.as_slice()) {
        (Method::Post, ["v3", "kv", operation]) => {
            shared.table_delay.pass();
            with_body(request, TABLE_BODY_LIMIT, |body| {
                table::answer(&shared.content.table, operation, body)
            })
        }
        (Method::Put, [BUCKET, name]) => {
            shared.objects_delay.pass();
            with_body(request, OBJECT_LIMIT, |body| put_object(shared, name, body))
        }
        (Method::Get, [BUCKET, name]) => {
            shared.objects_delay.pass();
            get_object(shared, name)
        }
        (Method::Get, ["instances"]) => {
            shared.instances_delay.pass();
            list(shared)
        }
        (Method::Get, ["weights", model]) => match unescape(model) {
            Some(model) if shared.weights.has(&model) => Answer::Weights(model),
            _ => error(404, "no such model"),
        },
        (Method::Get, ["control"]) => report(shared),
        (Method::Post, ["control"]) => {
            with_body(request, TABLE_BODY_LIMIT, |body| control(shared, body))
        }
        _ => error(404, "there is nothing at this path"),
    }
}

fn with_body<Then>(request: &mut Request, limit: u64, then: Then) -> Answer
where
    Then: FnOnce(&[u8]) -> Answer,
{
    let mut body = Vec::new();
    let read = request.as_reader().take(limit + 1).read_to_end(&mut body);
    if read.is_err() {
        return Answer::None;
    }
    if body.len() as u64 > limit {
        return error(413, "the body is too large");
    }
    then(&body)
}

fn put_object(shared: &Shared, name: &str, body: &[u8]) -> Answer {
    let Some(name) = unescape(name) else {
        return error(400, "the object's name is not valid");
    };
    match shared.content.objects.put(&name, body) {
        Ok(()) => Answer::Whole(200, Vec::new()),
        Err(_) => Answer::None,
    }
}

fn get_object(shared: &Shared, name: &str) -> Answer {
    let Some(name) = unescape(name) else {
        return error(400, "the object's name is not valid");
    };
    match shared.content.objects.get(&name) {
        Ok(Some(content)) => Answer::Whole(200, content),
        Ok(None) => error(404, "no such object"),
        Err(_) => Answer::None,
    }
}

fn list(shared: &Shared) -> Answer {
    let Ok(listings) = shared.content.instances.list() else {
        return Answer::None;
    };
    let groups: Vec<Group> = listings.iter().map(Group::from).collect();
    json(&groups)
}

fn control(shared: &Shared, body: &[u8]) -> Answer {
    let control: Control = match serde_json::from_slice(body) {
        Ok(control) => control,
        Err(reason) => return error(400, &reason.to_string()),
    };
    match control.apply(shared) {
        Ok(()) => report(shared),
        Err(reason) => error(400, &reason.to_string()),
    }
}

fn report(shared: &Shared) -> Answer {
    json(&Report::of(shared))
}

pub(super) fn json<Body>(body: &Body) -> Answer
where
    Body: serde::Serialize,
{
    match serde_json::to_vec(body) {
        Ok(body) => Answer::Json(body),
        Err(reason) => error(500, &reason.to_string()),
    }
}

pub(super) fn error(status: u16, text: &str) -> Answer {
    let body = serde_json::json!({ "error": text, "message": text });
    Answer::Whole(status, body.to_string().into_bytes())
}

/// Resolves percent escapes; `None` when they are broken or the result is not text.
fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let high = char::from(rest.next()?).to_digit(16)?;
        let low = char::from(rest.next()?).to_digit(16)?;
        bytes.push((high * 16 + low) as u8);
    }
    String::from_utf8(bytes).ok()
}
