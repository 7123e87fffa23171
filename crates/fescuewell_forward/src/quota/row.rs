//! Rows of the store that describe prepaid tokens.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::era::Fence;
use super::rate_limit::Limit;

/// Leading byte of a ledger without eras, which the previous program version can read as well; see
/// [`legacy`].
const LEDGER_V1: u8 = 1;
/// Leading byte of the current ledger format; an unknown leading byte shows that another program
/// version wrote the row.
const LEDGER_V2: u8 = 2;
/// Leading byte of the first journal format; see [`legacy`].
const JOURNAL_V1: u8 = 1;
/// Leading byte of the journal format of the previous program version; see [`legacy`].
const JOURNAL_V2: u8 = 2;
/// Leading byte of the journal format without returns, which the previous program version can read as
/// well; see [`legacy`].
const JOURNAL_V3: u8 = 3;
/// Leading byte of the current journal format.
const JOURNAL_V4: u8 = 4;

/// Error when decoding a row.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The row was written by another program version.
    #[snafu(display("the row has the unknown format {format:?}"))]
    Format {
        /// Leading byte of the row.
        format: Option<u8>,
    },
    /// The content does not match the format.
    #[snafu(display("the row cannot be decoded: {reason}"))]
    Content {
        /// Error of the decoder.
        reason: Arc<str>,
    },
}

/// Grant of one holder for an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Total that the holder may consume, over all its incarnations.
    pub granted: u64,
    /// Era of the store in which the holder itself last wrote this grant; see [`super::era`].
    pub era: u32,
}

/// Usage of one account that a holder reports to the others.
///
/// It is kept apart from the rows with conditional writes: it changes all the time and would make
/// them conflict all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Client account.
    pub account: Arc<str>,
    /// Tokens consumed or held so far.
    pub consumed: u64,
    /// Demand in tokens per second.
    pub demand_per_s: u64,
}

/// All grants of one account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Era of the store in which the account was settled; see [`super::era`].
    pub era: u32,
    /// One grant for each holder that ever had one.
    pub grants: Vec<Grant>,
}

impl Ledger {
    /// Returns the total that a holder may consume.
    pub fn granted(&self, holder: &str) -> u64 {
        self.grant(holder).map_or(0, |grant| grant.granted)
    }

    /// Returns the grant of a holder, if it ever had one.
    pub fn grant(&self, holder: &str) -> Option<&Grant> {
        self.grants.iter().find(|grant| &*grant.holder == holder)
    }

    /// Returns the sum of all grants.
    pub fn total(&self) -> u64 {
        self.grants.iter().map(|grant| grant.granted).sum()
    }

    /// Adds or replaces the grant of a holder.
    pub fn set_grant(&mut self, grant: Grant) {
        let known = self.grants.iter_mut();
        match known.into_iter().find(|known| known.holder == grant.holder) {
            Some(known) => *known = grant,
            None => self.grants.push(grant),
        }
    }

    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        match legacy::LedgerV1::new(self) {
            Some(ledger) => encode(&ledger, LEDGER_V1),
            None => encode(self, LEDGER_V2),
        }
    }

    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.first() {
            Some(&LEDGER_V1) => decode::<legacy::LedgerV1>(bytes, LEDGER_V1).map(Self::from),
            _ => decode(bytes, LEDGER_V2),
        }
    }
}

/// Leading byte of the fence.
const FENCE_V1: u8 = 1;

impl Fence {
    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        encode(self, FENCE_V1)
    }

    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes, FENCE_V1)
    }
}

/// Limit of the consumption of one account by a holder; see [`Limit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Client account.
    pub account: Arc<str>,
    /// Tokens consumed or held when the journal was written.
    pub consumed: u64,
    /// Tokens that may be consumed immediately beyond `consumed`.
    pub burst: u64,
    /// Tokens that may be consumed per second after
    /// [`BURST_ONLY_MS`](super::rate_limit::BURST_ONLY_MS), up to `bucket_size`.
    pub peak_rate: u64,
    /// Tokens that may be consumed at the peak rate in addition to `sustained_rate`.
    pub bucket_size: u64,
    /// Tokens that may be consumed per second beyond `bucket_size`.
    pub sustained_rate: u64,
    /// The lowest grant that a ledger write by this process may set while the journal is in force. The
    /// write may take effect after the process has ended. `None` if there is no such write.
    pub max: Option<u64>,
}

/// Record of a holder for its next incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Increases with each start of the process of the holder.
    pub incarnation: u64,
    /// Time to which the record refers, by the store clock in milliseconds. It is never later than
    /// the true time.
    pub at_ms: u64,
    /// Era of the store in which the record was written. In a later era, records that followed it
    /// may be lost.
    pub era: u32,
    /// Whether the writer knew its grants; see [`super::era::Status`].
    pub knows_grants: bool,
    /// One entry per account.
    pub entries: Vec<Entry>,
}

impl Journal {
    /// Returns the entry of an account.
    pub fn entry(&self, account: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| &*entry.account == account)
    }

    /// Returns the maximum that the writer can have consumed of an account by `store_ms`.
    pub fn max_consumed(&self, account: &str, store_ms: u64) -> u64 {
        let entry = self.entry(account);
        entry.map_or(0, |entry| Limit::new(entry, self.at_ms).limit_at(store_ms))
    }

    /// Encodes the row.
    pub fn encode(&self) -> Vec<u8> {
        match legacy::JournalV3::new(self) {
            Some(journal) => encode(&journal, JOURNAL_V3),
            None => encode(self, JOURNAL_V4),
        }
    }

    /// Decodes the row, including earlier formats, because instances are updated one after the
    /// other.
    ///
    /// # Errors
    ///
    /// [`Error`] if the bytes are not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.first() {
            Some(&JOURNAL_V1) => decode::<legacy::JournalV1>(bytes, JOURNAL_V1).map(Self::from),
            Some(&JOURNAL_V2) => decode::<legacy::JournalV2>(bytes, JOURNAL_V2).map(Self::from),
            Some(&JOURNAL_V3) => decode::<legacy::JournalV3>(bytes, JOURNAL_V3).map(Self::from),
            _ => decode(bytes, JOURNAL_V4),
        }
    }
}

/// Row formats of earlier program versions: the first ones have no eras, and none has returns in journals.
mod legacy {
    use std::sync::Arc;

    use serde::{Deserialize, Serialize};

    use super::Entry;

    #[derive(Serialize, Deserialize)]
    pub struct GrantV1 {
        holder: Arc<str>,
        granted: u64,
    }

    #[derive(Serialize, Deserialize)]
    pub struct LedgerV1 {
        grants: Vec<GrantV1>,
    }

    impl LedgerV1 {
        /// Converts a ledger to this format, or returns `None` if that would lose an era.
        pub fn new(ledger: &super::Ledger) -> Option<Self> {
            let has_eras = ledger.era > 0 || ledger.grants.iter().any(|grant| grant.era > 0);
            let grants = ledger.grants.iter().map(|grant| GrantV1 {
                holder: grant.holder.clone(),
                granted: grant.granted,
            });
            (!has_eras).then(|| Self {
                grants: grants.collect(),
            })
        }
    }

    impl From<LedgerV1> for super::Ledger {
        fn from(ledger: LedgerV1) -> Self {
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

    /// An entry without a bucket: its rate applies until the grant is used up.
    #[derive(Deserialize)]
    pub struct EntryV1 {
        account: Arc<str>,
        consumed: u64,
        burst: u64,
        /// Always 0: only the burst could be spent during the first seconds.
        _initial_rate: u64,
        rate: u64,
    }

    #[derive(Deserialize)]
    pub struct JournalV1 {
        incarnation: u64,
        at_ms: u64,
        entries: Vec<EntryV1>,
    }

    impl From<JournalV1> for super::Journal {
        fn from(journal: JournalV1) -> Self {
            let entries = journal.entries.into_iter().map(|entry| Entry {
                account: entry.account,
                consumed: entry.consumed,
                burst: entry.burst,
                peak_rate: entry.rate,
                bucket_size: u64::MAX,
                sustained_rate: 0,
                max: None,
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

    /// An entry without a maximum.
    #[derive(Serialize, Deserialize)]
    pub struct EntryV2 {
        account: Arc<str>,
        consumed: u64,
        burst: u64,
        peak_rate: u64,
        bucket_size: u64,
        sustained_rate: u64,
    }

    impl EntryV2 {
        /// Converts an entry to this format, or returns `None` if that would lose its maximum.
        fn new(entry: &Entry) -> Option<Self> {
            entry.max.is_none().then(|| Self {
                account: entry.account.clone(),
                consumed: entry.consumed,
                burst: entry.burst,
                peak_rate: entry.peak_rate,
                bucket_size: entry.bucket_size,
                sustained_rate: entry.sustained_rate,
            })
        }
    }

    impl From<EntryV2> for Entry {
        fn from(entry: EntryV2) -> Self {
            Self {
                account: entry.account,
                consumed: entry.consumed,
                burst: entry.burst,
                peak_rate: entry.peak_rate,
                bucket_size: entry.bucket_size,
                sustained_rate: entry.sustained_rate,
                max: None,
            }
        }
    }

    #[derive(Serialize, Deserialize)]
    pub struct JournalV3 {
        incarnation: u64,
        at_ms: u64,
        era: u32,
        knows_grants: bool,
        entries: Vec<EntryV2>,
    }

    impl JournalV3 {
        /// Converts a journal to this format, or returns `None` if that would lose a maximum.
        pub fn new(journal: &super::Journal) -> Option<Self> {
            let entries = journal.entries.iter().map(EntryV2::new);
            Some(Self {
                incarnation: journal.incarnation,
                at_ms: journal.at_ms,
                era: journal.era,
                knows_grants: journal.knows_grants,
                entries: entries.collect::<Option<Vec<EntryV2>>>()?,
            })
        }
    }

    impl From<JournalV3> for super::Journal {
        fn from(journal: JournalV3) -> Self {
            Self {
                incarnation: journal.incarnation,
                at_ms: journal.at_ms,
                era: journal.era,
                knows_grants: journal.knows_grants,
                entries: journal.entries.into_iter().map(Entry::from).collect(),
            }
        }
    }

    #[derive(Deserialize)]
    pub struct JournalV2 {
        incarnation: u64,
        at_ms: u64,
        entries: Vec<EntryV2>,
    }

    impl From<JournalV2> for super::Journal {
        fn from(journal: JournalV2) -> Self {
            Self {
                incarnation: journal.incarnation,
                at_ms: journal.at_ms,
                era: 0,
                knows_grants: true,
                entries: journal.entries.into_iter().map(Entry::from).collect(),
            }
        }
    }
}

fn encode<Content>(content: &Content, format: u8) -> Vec<u8>
where
    Content: Serialize,
{
    let bytes = postcard::to_extend(content, vec![format]);
    // Fails only for types that cannot be serialized, and all of the above can.
    bytes.unwrap_or_default()
}

fn decode<Content>(bytes: &[u8], expected: u8) -> Result<Content, Error>
where
    Content: for<'a> Deserialize<'a>,
{
    let (format, content) = match bytes.split_first() {
        Some((format, content)) => (Some(*format), content),
        None => (None, bytes),
    };
    if format != Some(expected) {
        return FormatSnafu { format }.fail();
    }
    postcard::from_bytes(content).map_err(|error| Error::Content {
        reason: error.to_string().into(),
    })
}
