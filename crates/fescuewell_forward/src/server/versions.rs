//! Software versions of the servers in a list of updates, as instances send them to each other.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize};

use super::{Change, Update};

/// Software versions of the servers in a list of updates, each with the positions of its updates.
///
/// Always the last field of a message. Earlier program versions ignore it, and do not send it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Versions(Vec<(Arc<str>, Vec<u32>)>);

impl Versions {
    /// Collects the versions of some updates.
    pub fn collect(updates: &[Update]) -> Self {
        let mut versions: Vec<(Arc<str>, Vec<u32>)> = Vec::new();
        for (position, update) in updates.iter().enumerate() {
            let Change::Entry(entry) = &update.change else {
                continue;
            };
            let Some(version) = &entry.version else {
                continue;
            };
            let position = position as u32;
            match versions.iter_mut().find(|(known, _)| known == version) {
                Some((_, positions)) => positions.push(position),
                None => versions.push((version.clone(), vec![position])),
            }
        }
        Self(versions)
    }

    /// Sets the versions of the same updates.
    pub fn assign(self, updates: &mut [Update]) {
        for (version, positions) in self.0 {
            for position in positions {
                let Some(update) = updates.get_mut(position as usize) else {
                    continue;
                };
                if let Change::Entry(entry) = &mut update.change {
                    entry.version = Some(version.clone());
                }
            }
        }
    }

    /// Returns `true` if no version is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'de> Deserialize<'de> for Versions {
    /// Returns no versions at the end of the input, where earlier program versions stop.
    fn deserialize<Source>(source: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        Ok(Self(Vec::deserialize(source).unwrap_or_default()))
    }
}
