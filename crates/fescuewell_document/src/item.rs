//! Sections of a document and their items, for code that is generic over sections.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::model::{Account, Document, Group, Kind, Model, Server, Service};

fescuewell_core::data! {
    /// A section of a document, i.e. one of its lists.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Section {
        /// Kinds of request.
        Kinds,
        /// Groups.
        Groups,
        /// Client accounts.
        Accounts,
        /// Models.
        Models,
        /// Backend servers.
        Servers,
        /// Plain services.
        Services,
    }
}

impl Section {
    /// All sections, in the order of the document.
    pub const ALL: [Self; 6] = [
        Self::Kinds,
        Self::Groups,
        Self::Accounts,
        Self::Models,
        Self::Servers,
        Self::Services,
    ];

    /// Returns the key of the section in the document.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kinds => "kinds",
            Self::Groups => "groups",
            Self::Accounts => "accounts",
            Self::Models => "models",
            Self::Servers => "servers",
            Self::Services => "services",
        }
    }

    /// Returns the singular noun for an item of this section.
    pub fn singular(self) -> &'static str {
        match self {
            Self::Kinds => "kind",
            Self::Groups => "group",
            Self::Accounts => "client account",
            Self::Models => "model",
            Self::Servers => "backend server",
            Self::Services => "service",
        }
    }

    /// Returns the section with this key.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.name() == name)
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An item of a section, identified by its name.
pub trait Item: Clone + PartialEq + Serialize + DeserializeOwned {
    /// Section of the items of this type.
    const SECTION: Section;

    /// Returns the item's name, unique within its section.
    fn name(&self) -> &Arc<str>;

    /// Returns all items of this type in a document.
    fn list(document: &Document) -> &Vec<Self>;

    /// Returns all items of this type in a document, mutably.
    fn list_mut(document: &mut Document) -> &mut Vec<Self>;
}

macro_rules! items {
    ($($item:ident in $list:ident as $section:ident;)*) => {
        $(
            impl Item for $item {
                const SECTION: Section = Section::$section;

                fn name(&self) -> &Arc<str> {
                    &self.name
                }

                fn list(document: &Document) -> &Vec<Self> {
                    &document.$list
                }

                fn list_mut(document: &mut Document) -> &mut Vec<Self> {
                    &mut document.$list
                }
            }
        )*
    };
}

items! {
    Kind in kinds as Kinds;
    Group in groups as Groups;
    Account in accounts as Accounts;
    Model in models as Models;
    Server in servers as Servers;
    Service in services as Services;
}

/// Evaluates `$body` once for each section, with `$item` as an alias for the type of its items.
#[macro_export]
macro_rules! for_each_section {
    ($item:ident => $body:expr) => {{
        {
            type $item = $crate::model::Kind;
            $body;
        }
        {
            type $item = $crate::model::Group;
            $body;
        }
        {
            type $item = $crate::model::Account;
            $body;
        }
        {
            type $item = $crate::model::Model;
            $body;
        }
        {
            type $item = $crate::model::Server;
            $body;
        }
        {
            type $item = $crate::model::Service;
            $body;
        }
    }};
}

/// Evaluates `$body` with `$item` as an alias for the type of the items of `$section`.
#[macro_export]
macro_rules! with_section {
    ($section:expr, $item:ident => $body:expr) => {
        match $section {
            $crate::item::Section::Kinds => {
                type $item = $crate::model::Kind;
                $body
            }
            $crate::item::Section::Groups => {
                type $item = $crate::model::Group;
                $body
            }
            $crate::item::Section::Accounts => {
                type $item = $crate::model::Account;
                $body
            }
            $crate::item::Section::Models => {
                type $item = $crate::model::Model;
                $body
            }
            $crate::item::Section::Servers => {
                type $item = $crate::model::Server;
                $body
            }
            $crate::item::Section::Services => {
                type $item = $crate::model::Service;
                $body
            }
        }
    };
}

/// Sorts every section by name. The order of items has no meaning; stored documents are sorted.
pub fn sort(document: &mut Document) {
    for_each_section!(T => T::list_mut(document).sort_by(|a, b| a.name().cmp(b.name())));
}
