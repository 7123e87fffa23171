//! The console as a running service: settings, start and stop.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fescuewell_core::log_event;
use fescuewell_core::platform::ObjectStore;
use fescuewell_core::prelude::*;
use fescuewell_core::table::Table;
use rouille::{Request, Response};
use snafu::Snafu;

use crate::gate::{Gate, Limits};
use crate::random;
use crate::routes::App;
use crate::store::Store;

/// How often the server's thread looks whether it should stop.
const POLL: Duration = Duration::from_millis(100);

/// An operator who may sign in.
#[derive(Clone)]
pub struct Operator {
    /// Name, as it stands in the history.
    pub name: Arc<str>,
    /// Stored form of the password, as [`password::hash`](crate::password::hash) makes it.
    pub password_hash: Arc<str>,
    /// Stored form of the token for the command line, as
    /// [`hash_key`](fescuewell_document::key::hash_key) makes it.
    pub token_hash: Option<Arc<str>>,
}

/// What the console needs to know.
#[derive(Clone)]
pub struct Settings {
    /// Where operators connect; port 0 for any free one.
    pub listen: SocketAddr,
    /// Who may sign in. A caller's key opens nothing here.
    pub operators: Vec<Operator>,
    /// Whether operators come through TLS, so that the cookie is sent over nothing else.
    pub secure_cookie: bool,
    /// Token that the instances' operator listeners ask for.
    pub instance_token: Option<Arc<str>>,
    /// Limits of the listener.
    pub limits: Limits,
}

impl Settings {
    /// Settings without operators: nobody can sign in yet.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            operators: Vec::new(),
            secure_cookie: false,
            instance_token: None,
            limits: Limits::default(),
        }
    }

    /// Adds an operator.
    pub fn with_operator(mut self, operator: Operator) -> Self {
        self.operators.push(operator);
        self
    }

    /// Sets the token that the instances' operator listeners ask for.
    pub fn with_instance_token(mut self, token: Arc<str>) -> Self {
        self.instance_token = Some(token);
        self
    }

    /// Sets the limits of the listener.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// Why the console could not start.
#[derive(Debug, Snafu)]
#[snafu(display("the console cannot listen on {address}: {reason}"))]
pub struct Error {
    /// Where it was to listen.
    pub address: SocketAddr,
    /// What the operating system said.
    pub reason: Arc<str>,
}

/// A running console.
pub struct Console {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    serving: Option<JoinHandle<()>>,
    gate: Arc<Mutex<Gate>>,
}

type Handler = Box<dyn Fn(&Request) -> Response + Send + Sync>;

impl Console {
    /// Starts the console over the platform's services.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(
        settings: Settings,
        table: Arc<dyn Table>,
        objects: Arc<dyn ObjectStore>,
    ) -> Result<Self, Error> {
        let listen = settings.listen;
        let limits = settings.limits;
        let token = random::token();
        let store = Store::new(table, objects);
        let app = Arc::new(App::new(settings, store, token.clone()));
        let failed = |error: io::Error| Error {
            address: listen,
            reason: error.to_string().into(),
        };
        let server = serve(&app).map_err(failed)?;
        let gate = Gate::start(listen, server.server_addr(), token, limits).map_err(failed)?;
        let address = gate.address();
        let gate = Arc::new(Mutex::new(gate));
        let stopping = Arc::new(AtomicBool::new(false));
        let (for_thread, stop_flag) = (gate.clone(), stopping.clone());
        let serving = thread::Builder::new()
            .name("console".into())
            .spawn(move || run(server, &app, &for_thread, &stop_flag))
            .map_err(failed)?;
        log_event!(Event::Started, "part=console address={address}");
        Ok(Self {
            address,
            stopping,
            serving: Some(serving),
            gate,
        })
    }

    /// Where operators connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets requests under way finish, and ends the console's threads.
    pub fn stop(&mut self) {
        lock(&self.gate).stop();
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(serving) = self.serving.take() {
            let _ = serving.join();
        }
    }
}

impl Drop for Console {
    fn drop(&mut self) {
        if self.serving.is_some() {
            self.stop();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The inner server: on loopback, behind the gate.
fn serve(app: &Arc<App>) -> io::Result<rouille::Server<Handler>> {
    let app = app.clone();
    let handler: Handler = Box::new(move |request| app.handle(request));
    let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    rouille::Server::new(inner, handler).map_err(io::Error::other)
}

fn run(
    mut server: rouille::Server<Handler>,
    app: &Arc<App>,
    gate: &Mutex<Gate>,
    stopping: &AtomicBool,
) {
    while !stopping.load(Ordering::SeqCst) {
        server.poll_timeout(POLL);
        // tiny_http stops accepting for good at its first accept error, without saying so to its owner. The
        // gate notices a refused connection; a new inner server takes the old one's place.
        if !lock(gate).inner_is_lost() {
            continue;
        }
        match serve(app) {
            Ok(fresh) => {
                log_event!(
                    Event::AcceptFailed,
                    "listener=console-inner action=replaced"
                );
                lock(gate).set_inner(fresh.server_addr());
                server.join();
                server = fresh;
            }
            Err(error) => log_event!(Event::AcceptFailed, "listener=console-inner error={error}"),
        }
    }
    server.poll_timeout(POLL);
    server.join();
}
