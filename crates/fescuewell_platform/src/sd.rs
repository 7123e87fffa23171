//! Client of the instance list: the HTTP service-discovery format of Prometheus.
//!
//! The list is a JSON array of groups, each with `targets` (`"ip:port"`) and `labels`. Labels used:
//! `name`, `role` (`entry`, `engine` or `service`), `zone` and `state` (`live`, `leaving` or
//! `terminated`). Groups without a `role` belong to somebody else and are passed over.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::event::Event;
use fescuewell_core::platform::{self, Error, Listing, Role, State};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http::{Client, Failure};
use crate::settings;

const SERVICE: &str = "instance list";

/// The instance list at its address.
pub struct Instances {
    client: Client,
}

/// One group of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Where it listens, `"ip:port"`.
    pub targets: Vec<Arc<str>>,
    /// What is said about it.
    #[serde(default)]
    pub labels: BTreeMap<Arc<str>, Arc<str>>,
}

/// What a list says, and what of it could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reading {
    /// The readable entries, in the order of the list.
    pub listings: Vec<Listing>,
    /// Why the others were skipped.
    pub skipped: Vec<Malformed>,
}

/// Why an entry was skipped.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Malformed {
    /// A label is missing.
    #[snafu(display("label {label} is missing"))]
    Missing {
        /// Which label.
        label: &'static str,
    },
    /// A label has a value that is not known.
    #[snafu(display("label {label} has the unknown value {value:?}"))]
    Value {
        /// Which label.
        label: &'static str,
        /// Its value.
        value: Arc<str>,
    },
    /// A target is not an IP address with a port.
    #[snafu(display("target {target:?} is not ip:port"))]
    Target {
        /// The target.
        target: Arc<str>,
    },
}

impl Instances {
    /// A client for the list at `endpoint`. Opens no connection yet.
    ///
    /// # Errors
    ///
    /// When the address is not usable or the token cannot be read.
    pub fn new(endpoint: &settings::Endpoint) -> Result<Self, settings::Error> {
        let client = Client::new(endpoint)?;
        Ok(Self { client })
    }
}

/// Reads a list. One malformed entry must not hide that another is leaving, so it is skipped and
/// reported; a body that is no list at all is an error.
///
/// # Errors
///
/// When the body is not a JSON array of groups.
pub fn read(body: &[u8]) -> Result<Reading, serde_json::Error> {
    let groups: Vec<Group> = serde_json::from_slice(body)?;
    let mut reading = Reading::default();
    for group in groups {
        if !group.labels.contains_key("role") {
            continue;
        }
        for target in &group.targets {
            match group.listing(target) {
                Ok(listing) => reading.listings.push(listing),
                Err(malformed) => reading.skipped.push(malformed),
            }
        }
    }
    Ok(reading)
}

impl Group {
    /// The listings of this group, one for each target.
    ///
    /// # Errors
    ///
    /// When a label is missing or unknown, or a target is not `ip:port`.
    pub fn listings(&self) -> Result<Vec<Listing>, Malformed> {
        self.targets
            .iter()
            .map(|target| self.listing(target))
            .collect()
    }

    fn listing(&self, target: &Arc<str>) -> Result<Listing, Malformed> {
        let role = self.label("role")?;
        let state = self.label("state")?;
        let address: SocketAddr = target.parse().map_err(|_| Malformed::Target {
            target: target.clone(),
        })?;
        Ok(Listing {
            name: self.label("name")?.clone(),
            role: parse_role(role)?,
            address,
            zone: self.label("zone")?.clone(),
            state: parse_state(state)?,
        })
    }

    fn label(&self, label: &'static str) -> Result<&Arc<str>, Malformed> {
        let value = self.labels.get(label);
        value
            .filter(|value| !value.is_empty())
            .ok_or(Malformed::Missing { label })
    }
}

fn parse_role(value: &Arc<str>) -> Result<Role, Malformed> {
    match &**value {
        "entry" => Ok(Role::Entry),
        "engine" => Ok(Role::Engine),
        "service" => Ok(Role::Service),
        _ => Err(Malformed::Value {
            label: "role",
            value: value.clone(),
        }),
    }
}

/// Reads the value of a `state` label.
///
/// # Errors
///
/// When it is none of the three states.
pub fn parse_state(value: &str) -> Result<State, Malformed> {
    match value {
        "live" => Ok(State::Live),
        "leaving" => Ok(State::Leaving),
        "terminated" => Ok(State::Terminated),
        _ => Err(Malformed::Value {
            label: "state",
            value: value.into(),
        }),
    }
}

impl From<&Listing> for Group {
    fn from(listing: &Listing) -> Self {
        let role = match listing.role {
            Role::Entry => "entry",
            Role::Engine => "engine",
            Role::Service => "service",
        };
        let state = match listing.state {
            State::Live => "live",
            State::Leaving => "leaving",
            State::Terminated => "terminated",
        };
        let labels = [
            ("name", &*listing.name),
            ("role", role),
            ("zone", &*listing.zone),
            ("state", state),
        ];
        Self {
            targets: vec![listing.address.to_string().into()],
            labels: labels
                .map(|(label, value)| (label.into(), value.into()))
                .into(),
        }
    }
}

fn failed(reason: Arc<str>) -> Error {
    Error {
        service: SERVICE,
        reason,
    }
}

impl platform::Instances for Instances {
    fn list(&self) -> Result<Vec<Listing>, Error> {
        let exchange = self.client.get("").map_err(|failure| {
            let (Failure::Refused(reason) | Failure::Lost(reason)) = failure;
            failed(reason)
        })?;
        if exchange.status != 200 {
            return Err(failed(format!("status {}", exchange.status).into()));
        }
        let reading = read(&exchange.body).map_err(|error| failed(error.to_string().into()))?;
        if let Some(first) = reading.skipped.first() {
            fescuewell_core::log_event!(
                Event::ListingSkipped,
                "skipped={} first=\"{first}\"",
                reading.skipped.len()
            );
        }
        Ok(reading.listings)
    }
}
