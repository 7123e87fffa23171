//! Names of the store's tables, and the JSON format of the instance list's rows.
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

/// Table that holds all rows of [`fescuewell_core::table::Table`].
pub const PRODUCT: &str = "product";
/// Table of the instance list, with one row per instance name.
pub const INSTANCES: &str = "instances";

/// Why a row of the instance list cannot be decoded.
#[derive(Debug, Snafu)]
pub enum Malformed {
    /// The row is not valid JSON of the expected shape.
    #[snafu(display("{source}"))]
    Json {
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// The instance name or the availability zone is empty.
    #[snafu(display("{field} is empty"))]
    Empty {
        /// Name of the empty field.
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

/// Decodes a row of the instance list.
///
/// # Errors
///
/// [`Malformed`] when the row is not valid.
pub fn read_listing(name: Arc<str>, row: &[u8]) -> Result<Listing, Malformed> {
    let decoded: Line = serde_json::from_slice(row).context(JsonSnafu)?;
    ensure!(!name.is_empty(), EmptySnafu { field: "name" });
    ensure!(!decoded.zone.is_empty(), EmptySnafu { field: "zone" });
    Ok(Listing {
        name,
        role: decoded.role,
        address: decoded.address,
        zone: decoded.zone,
        state: decoded.state,
    })
}

/// Encodes a row of the instance list.
pub fn write_listing(listing: &Listing) -> Vec<u8> {
    let row = Line {
        role: listing.role,
        address: listing.address,
        zone: listing.zone.clone(),
        state: listing.state,
    };
    serde_json::to_vec(&row).unwrap_or_default()
}
