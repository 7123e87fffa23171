//! Which request leads where, and who may make it.

mod api;
mod editing;

use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuewell_core::log_event;
use fescuewell_core::prelude::*;
use fescuewell_core::time::SystemClock;
use fescuewell_document::item::Section;
use fescuewell_document::key;
use rouille::{Request, Response};

use crate::gate::{PEER_HEADER, TOKEN_HEADER};
use crate::html::{STYLE, guarded};
use crate::pages;
use crate::pages::list::Filter;
use crate::server::{Operator, Settings};
use crate::session::{FAILURE_WINDOW, Session, Sessions, Throttle};
use crate::store::Store;
use crate::{live, password, random};

/// Largest form that is read, in bytes.
const LARGEST_FORM: u64 = 1 << 20;
/// Name of the session cookie.
const COOKIE: &str = "fescuewell_session";
/// Versions on one page of the history.
const VERSIONS_SHOWN: u32 = 50;

/// The console behind its listener.
pub struct App {
    settings: Settings,
    store: Store,
    gate_token: Arc<str>,
    clock: SystemClock,
    sessions: Mutex<Sessions>,
    throttle: Mutex<Throttle>,
    /// One password is hashed at a time: each takes 19 MB and a good part of a processor.
    hashing: Mutex<()>,
}

/// A posted form.
type Posted = Vec<(String, String)>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn field<'a>(posted: &'a Posted, name: &str) -> &'a str {
    let found = posted.iter().find(|(known, _)| known == name);
    found.map_or("", |(_, value)| value)
}

/// Reads a body up to a limit.
fn body(request: &Request, limit: u64) -> Result<String, Refusal> {
    let Some(data) = request.data() else {
        return Ok(String::new());
    };
    let mut bytes = Vec::new();
    let read = data.take(limit + 1).read_to_end(&mut bytes);
    if read.is_err() {
        return Err(Refusal::new(Code::MalformedRequest));
    }
    if bytes.len() as u64 > limit {
        let detail = format!("At most {limit} bytes are taken.");
        return Err(Refusal::new(Code::BodyTooLarge).with_detail(detail));
    }
    String::from_utf8(bytes)
        .map_err(|_| Refusal::new(Code::MalformedRequest).with_detail("The body is not UTF-8."))
}

impl App {
    /// The console over a store; requests must carry the gate's token.
    pub fn new(settings: Settings, store: Store, gate_token: Arc<str>) -> Self {
        Self {
            settings,
            store,
            gate_token,
            clock: SystemClock::default(),
            sessions: Mutex::default(),
            throttle: Mutex::default(),
            hashing: Mutex::default(),
        }
    }

    /// Answers one request.
    pub fn handle(&self, request: &Request) -> Response {
        // The inner server listens on loopback: without this check any local process could come past
        // the gate and its limits.
        let token = request.header(TOKEN_HEADER).unwrap_or("");
        if !key::verify(token, &key::hash_key(&self.gate_token)) {
            return Response::text("not through the gate").with_status_code(403);
        }
        let path = request.url();
        if path.starts_with("/api/") {
            return guarded(self.api(request, &path));
        }
        match (request.method(), path.as_str()) {
            ("GET", "/style.css") => {
                return Response::from_data("text/css; charset=utf-8", STYLE)
                    .with_unique_header("X-Content-Type-Options", "nosniff");
            }
            ("GET", "/healthz") => return Response::text("ok\n"),
            ("GET", "/sign-in") => return pages::sign_in(None),
            ("POST", "/sign-in") => return self.sign_in(request),
            _ => {}
        }
        let Some(session) = self.session(request) else {
            return match request.method() {
                "GET" => guarded(Response::redirect_303("/sign-in")),
                _ => pages::sign_in(Some(&Refusal::new(Code::SignInRequired))),
            };
        };
        let answer = match request.method() {
            "GET" | "HEAD" => self.get(request, &path, &session),
            "POST" => self.post(request, &path, &session),
            _ => Err(Refusal::new(Code::MethodNotAllowed)),
        };
        answer.unwrap_or_else(|refusal| pages::refused(&refusal, Some(&session)))
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn session(&self, request: &Request) -> Option<Session> {
        let cookie = cookie(request)?;
        lock(&self.sessions).get(self.now(), &cookie)
    }

    fn sign_in(&self, request: &Request) -> Response {
        let address = peer(request);
        if !lock(&self.throttle).allows(self.now(), address) {
            let refusal = Refusal::new(Code::SignInThrottled).with_retry_after(FAILURE_WINDOW);
            return pages::sign_in(Some(&refusal));
        }
        let posted = match self.posted(request) {
            Ok(posted) => posted,
            Err(refusal) => return pages::sign_in(Some(&refusal)),
        };
        let Some(operator) = self.check_password(&posted) else {
            lock(&self.throttle).failed(self.now(), address);
            log_event!(
                Event::ConnectionRefused,
                "listener=console peer={address} code=5007"
            );
            let refusal = Refusal::new(Code::SignInFailed);
            return pages::sign_in(Some(&refusal));
        };
        lock(&self.throttle).succeeded(address);
        let (cookie, csrf) = (random::token(), random::token());
        lock(&self.sessions).open(self.now(), &cookie, &csrf, &operator.name);
        let secure = if self.settings.secure_cookie {
            "; Secure"
        } else {
            ""
        };
        let header = format!("{COOKIE}={cookie}; Path=/; HttpOnly; SameSite=Strict{secure}");
        guarded(Response::redirect_303("/")).with_unique_header("Set-Cookie", header)
    }

    /// The operator whose name and password were sent. An unknown name costs as much time as a known
    /// one, so that names cannot be found out by the clock.
    fn check_password(&self, posted: &Posted) -> Option<&Operator> {
        let name = field(posted, "operator");
        let operators = &self.settings.operators;
        let known = operators.iter().find(|operator| &*operator.name == name);
        let checked = known.or_else(|| operators.first())?;
        let _one_at_a_time = lock(&self.hashing);
        let right = password::verify(field(posted, "password"), &checked.password_hash);
        known.filter(|_| right)
    }

    /// Reads a posted form. A form that another site sends is refused here, before anything is looked at.
    fn posted(&self, request: &Request) -> Result<Posted, Refusal> {
        if matches!(
            request.header("Sec-Fetch-Site"),
            Some("cross-site" | "same-site")
        ) {
            let refusal = Refusal::new(Code::FormRefused);
            return Err(refusal.with_detail("It comes from another site."));
        }
        let text = body(request, LARGEST_FORM)?;
        Ok(form_urlencoded::parse(text.as_bytes())
            .into_owned()
            .collect())
    }

    fn get(&self, request: &Request, path: &str, session: &Session) -> Result<Response, Refusal> {
        let query = |name: &str| request.get_param(name);
        let steps: Vec<&str> = path.split('/').filter(|step| !step.is_empty()).collect();
        match steps.as_slice() {
            [] => {
                let current = self.store.current()?;
                Ok(pages::list::overview(
                    session,
                    &current,
                    query("accepted").is_some(),
                ))
            }
            ["history"] => {
                let from = query("from")
                    .and_then(|text| text.parse().ok())
                    .map(Version);
                let newest = self.store.current()?.version();
                let from = from.map_or(newest, |from| from.min(newest));
                let heads = self.store.history(from, VERSIONS_SHOWN)?;
                Ok(pages::list::history(session, &heads))
            }
            ["history", version] => {
                let version = version
                    .parse()
                    .map_err(|_| Refusal::new(Code::NoSuchPath))?;
                let after = self.store.at(Version(version))?;
                let before = self.store.at(Version(version.saturating_sub(1)))?;
                Ok(pages::list::version(session, &before, &after))
            }
            ["state"] => {
                let token = self.settings.instance_token.as_deref();
                let state = live::read(&self.store, query("after").as_deref(), token)?;
                Ok(pages::state::live(session, &state))
            }
            [section] => {
                let section = section_of(section)?;
                let filter = Filter {
                    find: query("find").unwrap_or_default(),
                    after: query("after").unwrap_or_default(),
                    accepted: query("accepted"),
                };
                let current = self.store.current()?;
                Ok(pages::list::section(
                    session,
                    section,
                    &current.document,
                    &filter,
                ))
            }
            [section, "new"] => self.form(session, section_of(section)?, None),
            [section, name] => self.form(session, section_of(section)?, Some(name)),
            _ => Err(Refusal::new(Code::NoSuchPath)),
        }
    }

    fn post(&self, request: &Request, path: &str, session: &Session) -> Result<Response, Refusal> {
        let posted = self.posted(request)?;
        // Another site can make a signed-in browser send a form, but cannot know this session's token.
        if !key::verify(field(&posted, "csrf"), &key::hash_key(&session.csrf)) {
            let refusal = Refusal::new(Code::FormRefused);
            return Err(refusal.with_detail("Open the page again."));
        }
        match path {
            "/sign-out" => {
                if let Some(cookie) = cookie(request) {
                    lock(&self.sessions).close(&cookie);
                }
                Ok(guarded(Response::redirect_303("/sign-in")))
            }
            "/edit/review" => self.review(session, &posted),
            "/edit/again" => self.again(session, &posted),
            "/edit/accept" => self.accept(session, &posted),
            _ => Err(Refusal::new(Code::NoSuchPath)),
        }
    }
}

fn section_of(name: &str) -> Result<Section, Refusal> {
    Section::from_name(name).ok_or_else(|| Refusal::new(Code::NoSuchPath))
}

fn cookie(request: &Request) -> Option<String> {
    let mut cookies = rouille::input::cookies(request);
    let found = cookies.find(|(name, _)| *name == COOKIE);
    found.map(|(_, value)| value.to_owned())
}

/// Who connected to the gate.
fn peer(request: &Request) -> IpAddr {
    let header = request.header(PEER_HEADER).unwrap_or("");
    let address = header.parse::<SocketAddr>();
    address.map_or(Ipv4Addr::UNSPECIFIED.into(), |address| address.ip())
}
