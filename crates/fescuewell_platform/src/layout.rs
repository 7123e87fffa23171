//! Where the product's data stands in the store, and the form of the instance list's rows.
//!
//! ```
//! use fescuewell_platform::layout;
//!
//! let row = br#"{"role":"engine","address":"127.0.0.1:9000","zone":"a","state":"live"}"#;
//! let listing = layout::read_listing("engine-1".into(), row).unwrap();
//! assert_eq!(layout::write_listing(&listing), row);
//! ```

use std::net::SocketAddr;
use std::sync::Arc;

use fescuewell_core::platform::{Listing, Role, State};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// Table of all rows of [`fescuewell_core::table::Table`].
pub const PRODUCT: &str = "product";
/// Table of the instance list: a row for each name.
pub const INSTANCES: &str = "instances";

/// A row of the instance list that cannot be read.
#[derive(Debug, Snafu)]
pub enum Malformed {
    /// It is not of the form that is wanted.
    #[snafu(display("{source}"))]
    Form {
        /// What the decoder said.
        source: serde_json::Error,
    },
    /// It has no name, or none for its availability zone.
    #[snafu(display("{field} is empty"))]
    Empty {
        /// Which.
        field: &'static str,
    },
}

#[derive(Serialize, Deserialize)]
struct Line {
    #[serde(with = "RoleText")]
    role: Role,
    address: SocketAddr,
    zone: Arc<str>,
    #[serde(with = "StateText")]
    state: State,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "Role", rename_all = "lowercase")]
enum RoleText {
    Entry,
    Engine,
    Service,
}

#[derive(Serialize, Deserialize)]
#[serde(remote = "State", rename_all = "lowercase")]
enum StateText {
    Live,
    Leaving,
    Terminated,
}

/// Reads a row of the instance list.
///
/// # Errors
///
/// [`Malformed`] says what is wrong with it.
pub fn read_listing(name: Arc<str>, row: &[u8]) -> Result<Listing, Malformed> {
    let line: Line = serde_json::from_slice(row).context(FormSnafu)?;
    ensure!(!name.is_empty(), EmptySnafu { field: "name" });
    ensure!(!line.zone.is_empty(), EmptySnafu { field: "zone" });
    Ok(Listing {
        name,
        role: line.role,
        address: line.address,
        zone: line.zone,
        state: line.state,
    })
}

/// Writes a row of the instance list.
pub fn write_listing(listing: &Listing) -> Vec<u8> {
    let line = Line {
        role: listing.role,
        address: listing.address,
        zone: listing.zone.clone(),
        state: listing.state,
    };
    serde_json::to_vec(&line).unwrap_or_default()
}
