//! What the store keeps of the prepaid tokens.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::pace::Pace;

/// Leading byte of every ledger, so that another program version is told from damage.
const LEDGER: u8 = 1;
/// Leading byte of the journals of the program version before: [`former`].
const FORMER_JOURNAL: u8 = 1;
/// Leading byte of every journal.
const JOURNAL: u8 = 2;

/// A row that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Written by another program version.
    #[snafu(display("the row has the unknown format {format:?}"))]
    Format {
        /// Its leading byte.
        format: Option<u8>,
    },
    /// The content does not fit the format.
    #[snafu(display("the row cannot be decoded: {reason}"))]
    Content {
        /// What the decoder said.
        reason: Arc<str>,
    },
}

/// One holder's part of an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The holder.
    pub holder: Arc<str>,
    /// Total that it may ever consume, over all its incarnations.
    pub granted: u64,
}

/// What a holder tells the others of its use of one account, beside the rows that are changed on condition: it changes all
/// the time, and a conditional row would be in conflict all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The account.
    pub account: Arc<str>,
    /// Consumed or held back so far.
    pub consumed: u64,
    /// Demand in tokens a second.
    pub rate: u64,
}

/// All grants of one account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// One for each holder that was ever granted something.
    pub grants: Vec<Grant>,
}

impl Ledger {
    /// What a holder may consume.
    pub fn granted(&self, holder: &str) -> u64 {
        let own = self.grants.iter().find(|grant| &*grant.holder == holder);
        own.map_or(0, |grant| grant.granted)
    }

    /// What all holders together may consume.
    pub fn total(&self) -> u64 {
        self.grants.iter().map(|grant| grant.granted).sum()
    }

    /// Replaces a holder's grant.
    pub fn set(&mut self, grant: Grant) {
        let known = self.grants.iter_mut();
        match known.into_iter().find(|known| known.holder == grant.holder) {
            Some(known) => *known = grant,
            None => self.grants.push(grant),
        }
    }

    /// The row's bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, LEDGER)
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`Error`] when it is not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes, LEDGER)
    }
}

/// How far a holder may have gone with one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The account.
    pub account: Arc<str>,
    /// Consumed or held back at the journal's moment.
    pub consumed: u64,
    /// What may be consumed beyond that at once.
    pub burst: u64,
    /// What may be consumed beyond that each second after [`TIGHT_MS`](super::pace::TIGHT_MS),
    pub rate: u64,
    /// up to this much,
    pub lump: u64,
    /// and each second from there on.
    pub steady: u64,
}

/// A holder's own record for its next incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Rises with each start of the holder's process.
    pub incarnation: u64,
    /// The moment it speaks of, by the store's clock in milliseconds; never later than the truth.
    pub at_ms: u64,
    /// One for each account.
    pub entries: Vec<Entry>,
}

impl Journal {
    /// The entry of an account.
    pub fn entry(&self, account: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.account == account)
    }

    /// Most that the writer can have consumed of an account by `store_ms`.
    pub fn bound(&self, account: &str, store_ms: u64) -> u64 {
        let entry = self.entry(account);
        entry.map_or(0, |entry| Pace::new(entry, self.at_ms).ceiling(store_ms))
    }

    /// The row's bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, JOURNAL)
    }

    /// Reads a row, also one of the program version before: instances are replaced one after the other.
    ///
    /// # Errors
    ///
    /// [`Error`] when it is not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.first() {
            Some(&FORMER_JOURNAL) => {
                decode::<former::Journal>(bytes, FORMER_JOURNAL).map(Self::from)
            }
            _ => decode(bytes, JOURNAL),
        }
    }
}

/// The journal of the program version before, whose promise ended at the grant alone.
mod former {
    use std::sync::Arc;

    use serde::Deserialize;

    #[derive(Deserialize)]
    pub struct Entry {
        account: Arc<str>,
        consumed: u64,
        burst: u64,
        /// Always 0: nothing beyond the burst while the promise was tight.
        _tight_rate: u64,
        rate: u64,
    }

    #[derive(Deserialize)]
    pub struct Journal {
        incarnation: u64,
        at_ms: u64,
        entries: Vec<Entry>,
    }

    impl From<Journal> for super::Journal {
        fn from(journal: Journal) -> Self {
            let entries = journal.entries.into_iter().map(|entry| super::Entry {
                account: entry.account,
                consumed: entry.consumed,
                burst: entry.burst,
                rate: entry.rate,
                lump: u64::MAX,
                steady: 0,
            });
            Self {
                incarnation: journal.incarnation,
                at_ms: journal.at_ms,
                entries: entries.collect(),
            }
        }
    }
}

fn encode<Content>(content: &Content, format: u8) -> Vec<u8>
where
    Content: Serialize,
{
    let bytes = postcard::to_extend(content, vec![format]);
    // Only a type that cannot be written at all fails here, and those above can.
    bytes.unwrap_or_default()
}

fn decode<Content>(bytes: &[u8], wanted: u8) -> Result<Content, Error>
where
    Content: for<'a> Deserialize<'a>,
{
    let (format, content) = match bytes.split_first() {
        Some((format, content)) => (Some(*format), content),
        None => (None, bytes),
    };
    if format != Some(wanted) {
        return FormatSnafu { format }.fail();
    }
    postcard::from_bytes(content).map_err(|error| Error::Content {
        reason: error.to_string().into(),
    })
}
