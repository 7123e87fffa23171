//! The JSON interface's requests.

use fescuewell_core::prelude::*;
use fescuewell_document::key;
use fescuewell_document::parse::MAX_TEXT_BYTES;
use rouille::{Request, Response};
use serde::Serialize;

use super::{App, body};
use crate::api::{Failure, Purpose, Stored, submit};
use crate::live;
use crate::server::Operator;

type Answer = Result<Response, Box<Failure>>;

fn refuse(code: Code) -> Box<Failure> {
    Box::new(Refusal::new(code).into())
}

fn refusal(refusal: Refusal) -> Box<Failure> {
    Box::new(refusal.into())
}

fn json<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    Response::json(value).with_status_code(status)
}

impl App {
    pub(super) fn api(&self, request: &Request, path: &str) -> Response {
        let answer = match self.bearer(request) {
            Some(operator) => self.api_for(request, path, operator),
            None => Err(refuse(Code::SignInRequired)),
        };
        answer.unwrap_or_else(|failure| json(status(&failure), &*failure))
    }

    /// The operator whose token was sent. Every operator's hash is compared, whichever matches.
    fn bearer(&self, request: &Request) -> Option<&Operator> {
        let token = request.header("Authorization")?.strip_prefix("Bearer ")?;
        let mut found = None;
        for operator in &self.settings.operators {
            let Some(hash) = &operator.token_hash else {
                continue;
            };
            if key::verify(token, hash) {
                found = Some(operator);
            }
        }
        found
    }

    fn api_for(&self, request: &Request, path: &str, operator: &Operator) -> Answer {
        match (request.method(), path) {
            ("GET", "/api/document") => self.document(request),
            ("POST", "/api/document") => {
                let purpose = match request.get_param("merge").as_deref() {
                    Some("yes") => Purpose::Merge,
                    _ => Purpose::Apply,
                };
                self.submitted(request, purpose, operator)
            }
            ("POST", "/api/check") => self.submitted(request, Purpose::Check, operator),
            ("GET", "/api/state") => {
                let after = request.get_param("after");
                let token = self.settings.instance_token.as_deref();
                let state = live::read(&self.store, after.as_deref(), token).map_err(refusal)?;
                Ok(json(200, &state))
            }
            (_, "/api/document" | "/api/check" | "/api/state") => {
                Err(refuse(Code::MethodNotAllowed))
            }
            _ => Err(refuse(Code::NoSuchPath)),
        }
    }

    fn document(&self, request: &Request) -> Answer {
        let loaded = match request.get_param("version") {
            None => self.store.current(),
            Some(text) => {
                let version = text.parse().map_err(|_| refuse(Code::InvalidField))?;
                self.store.at(Version(version))
            }
        };
        let loaded = loaded.map_err(refusal)?;
        let stored = Stored {
            version: loaded.version(),
            document: (*loaded.document).clone(),
        };
        Ok(json(200, &stored))
    }

    fn submitted(&self, request: &Request, purpose: Purpose, operator: &Operator) -> Answer {
        let base = request.get_param("base");
        let Some(base) = base.and_then(|text| text.parse().ok()) else {
            let detail = "`base` names the version that the document was made from.";
            return Err(refusal(
                Refusal::new(Code::InvalidField).with_detail(detail),
            ));
        };
        let text = body(request, MAX_TEXT_BYTES as u64).map_err(refusal)?;
        let accepted = submit(&self.store, &text, Version(base), purpose, &operator.name)?;
        Ok(json(200, &accepted))
    }
}

fn status(failure: &Failure) -> u16 {
    let number = failure.error.code;
    let code = Code::ALL.iter().find(|code| code.number() == number);
    code.map_or(500, |code| code.status())
}
