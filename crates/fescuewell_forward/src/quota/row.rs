//! What the store keeps of the prepaid tokens.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::era::Fence;
use super::rate_limit::Limit;

/// Leading byte of a ledger without eras, which the program version before reads as well: [`former`].
const FORMER_LEDGER: u8 = 1;
/// Leading byte of a ledger, so that another program version is told from damage.
const LEDGER: u8 = 2;
/// Leading byte of the first journals: [`former`].
const FIRST_JOURNAL: u8 = 1;
/// Leading byte of the journals of the program version before: [`former`].
const FORMER_JOURNAL: u8 = 2;
/// Leading byte of every journal.
const JOURNAL: u8 = 3;

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
    /// Era of the store in which the holder itself wrote this last; see [`super::era`].
    pub era: u32,
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
    pub demand_per_s: u64,
}

/// All grants of one account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Era of the store in which it was settled; see [`super::era`].
    pub era: u32,
    /// One for each holder that was ever granted something.
    pub grants: Vec<Grant>,
}

impl Ledger {
    /// What a holder may consume.
    pub fn granted(&self, holder: &str) -> u64 {
        self.grant(holder).map_or(0, |grant| grant.granted)
    }

    /// A holder's part, if it was ever granted something.
    pub fn grant(&self, holder: &str) -> Option<&Grant> {
        self.grants.iter().find(|grant| &*grant.holder == holder)
    }

    /// What all holders together may consume.
    pub fn total(&self) -> u64 {
        self.grants.iter().map(|grant| grant.granted).sum()
    }

    /// Replaces a holder's grant.
    pub fn set_grant(&mut self, grant: Grant) {
        let known = self.grants.iter_mut();
        match known.into_iter().find(|known| known.holder == grant.holder) {
            Some(known) => *known = grant,
            None => self.grants.push(grant),
        }
    }

    /// The row's bytes.
    pub fn encode(&self) -> Vec<u8> {
        match former::Ledger::new(self) {
            Some(ledger) => encode(&ledger, FORMER_LEDGER),
            None => encode(self, LEDGER),
        }
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`Error`] when it is not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.first() {
            Some(&FORMER_LEDGER) => decode::<former::Ledger>(bytes, FORMER_LEDGER).map(Self::from),
            _ => decode(bytes, LEDGER),
        }
    }
}

/// Leading byte of the fence.
const FENCE: u8 = 1;

impl Fence {
    /// The row's bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, FENCE)
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`Error`] when it is not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes, FENCE)
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
    /// What may be consumed beyond that each second after [`BURST_ONLY_MS`](super::rate_limit::BURST_ONLY_MS),
    pub peak_rate: u64,
    /// up to this much,
    pub bucket_size: u64,
    /// and each second from there on.
    pub sustained_rate: u64,
}

/// A holder's own record for its next incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Rises with each start of the holder's process.
    pub incarnation: u64,
    /// The moment it speaks of, by the store's clock in milliseconds; never later than the truth.
    pub at_ms: u64,
    /// Era of the store in which it was written. One of a former era may have been followed by others that are lost.
    pub era: u32,
    /// Whether the writer knew what it was granted; see [`super::era::Status`].
    pub knows_grants: bool,
    /// One for each account.
    pub entries: Vec<Entry>,
}

impl Journal {
    /// The entry of an account.
    pub fn entry(&self, account: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.account == account)
    }

    /// Most that the writer can have consumed of an account by `store_ms`.
    pub fn max_consumed(&self, account: &str, store_ms: u64) -> u64 {
        let entry = self.entry(account);
        entry.map_or(0, |entry| Limit::new(entry, self.at_ms).limit_at(store_ms))
    }

    /// The row's bytes.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, JOURNAL)
    }

    /// Reads a row, also one of the program versions before: instances are replaced one after the other.
    ///
    /// # Errors
    ///
    /// [`Error`] when it is not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.first() {
            Some(&FIRST_JOURNAL) => {
                decode::<former::FirstJournal>(bytes, FIRST_JOURNAL).map(Self::from)
            }
            Some(&FORMER_JOURNAL) => {
                decode::<former::Journal>(bytes, FORMER_JOURNAL).map(Self::from)
            }
            _ => decode(bytes, JOURNAL),
        }
    }
}

/// The rows of the program versions before, which knew no eras of the store.
mod former {
    use std::sync::Arc;

    use serde::{Deserialize, Serialize};

    use super::Entry;

    #[derive(Serialize, Deserialize)]
    pub struct Grant {
        holder: Arc<str>,
        granted: u64,
    }

    #[derive(Serialize, Deserialize)]
    pub struct Ledger {
        grants: Vec<Grant>,
    }

    impl Ledger {
        /// The ledger as that version reads it; nothing where an era would be lost.
        pub fn new(ledger: &super::Ledger) -> Option<Self> {
            let has_eras = ledger.era > 0 || ledger.grants.iter().any(|grant| grant.era > 0);
            let grants = ledger.grants.iter().map(|grant| Grant {
                holder: grant.holder.clone(),
                granted: grant.granted,
            });
            (!has_eras).then(|| Self {
                grants: grants.collect(),
            })
        }
    }

    impl From<Ledger> for super::Ledger {
        fn from(ledger: Ledger) -> Self {
            let grants = ledger.grants.into_iter().map(|grant| super::Grant {
                holder: grant.holder,
                granted: grant.granted,
                era: 0,
            });
            Self {
                era: 0,
                grants: grants.collect(),
            }
        }
    }

    /// An entry whose promise ended at the grant alone.
    #[derive(Deserialize)]
    pub struct FirstEntry {
        account: Arc<str>,
        consumed: u64,
        burst: u64,
        /// Always 0: nothing beyond the burst while the promise was tight.
        _tight_rate: u64,
        rate: u64,
    }

    #[derive(Deserialize)]
    pub struct FirstJournal {
        incarnation: u64,
        at_ms: u64,
        entries: Vec<FirstEntry>,
    }

    impl From<FirstJournal> for super::Journal {
        fn from(journal: FirstJournal) -> Self {
            let entries = journal.entries.into_iter().map(|entry| Entry {
                account: entry.account,
                consumed: entry.consumed,
                burst: entry.burst,
                peak_rate: entry.rate,
                bucket_size: u64::MAX,
                sustained_rate: 0,
            });
            Self {
                incarnation: journal.incarnation,
                at_ms: journal.at_ms,
                era: 0,
                knows_grants: true,
                entries: entries.collect(),
            }
        }
    }

    #[derive(Deserialize)]
    pub struct Journal {
        incarnation: u64,
        at_ms: u64,
        entries: Vec<Entry>,
    }

    impl From<Journal> for super::Journal {
        fn from(journal: Journal) -> Self {
            Self {
                incarnation: journal.incarnation,
                at_ms: journal.at_ms,
                era: 0,
                knows_grants: true,
                entries: journal.entries,
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
