//! Which fields the form of each section has.

use fescuewell_document::item::Section;

/// How a field is shown.
pub enum Control {
    /// One line of text.
    Text,
    /// A whole number.
    Number,
    /// Yes or no.
    Flag,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// The name of an item of another section.
    Reference(Section),
    /// Names of items of another section.
    Names(Section),
    /// A list of elements with fields of their own.
    Rows(&'static [Field]),
}

/// One field of a form.
pub struct Field {
    /// Path within the item.
    pub path: &'static str,
    /// What people read.
    pub label: &'static str,
    /// Unit and meaning.
    pub hint: &'static str,
    /// How it is shown.
    pub control: Control,
    /// Whether it may stay empty.
    pub optional: bool,
}

const fn field(
    path: &'static str,
    label: &'static str,
    hint: &'static str,
    control: Control,
) -> Field {
    Field {
        path,
        label,
        hint,
        control,
        optional: false,
    }
}

const NAME: Field = field(
    "name",
    "Name",
    "1 to 64 lower-case letters, digits, dots and hyphens. It cannot be changed later.",
    Control::Text,
);

const KINDS: &[Field] = &[
    NAME,
    field(
        "priority",
        "Priority",
        "0 is the most urgent.",
        Control::Number,
    ),
    field(
        "floor_percent",
        "Floor (percent)",
        "Share of the capacity that this kind gets even while more urgent work waits. All floors together: at most 50.",
        Control::Number,
    ),
    field(
        "deadline_ms",
        "Deadline (milliseconds)",
        "For requests that name none, counted from their arrival.",
        Control::Number,
    ),
];

const GROUPS: &[Field] = &[
    NAME,
    field(
        "prepaid",
        "Prepaid (tokens)",
        "The total paid so far, not what is left. A top-up raises it.",
        Control::Number,
    ),
    field(
        "weight",
        "Weight",
        "Share among groups of one kind of request.",
        Control::Number,
    ),
    field(
        "allowance.outage_seconds",
        "Outage to outlast (seconds)",
        "Longer: fewer refusals while the table is away. Shorter: less money tied up.",
        Control::Number,
    ),
    field(
        "allowance.share_percent",
        "Largest draw (percent of what is left)",
        "What one instance may draw at once.",
        Control::Number,
    ),
    field(
        "allowance.least",
        "Least draw (tokens)",
        "Drawn at once while as much is left.",
        Control::Number,
    ),
    field(
        "reach",
        "Backend servers that the group may reach",
        "",
        Control::Names(Section::Servers),
    ),
];

const ACCOUNTS: &[Field] = &[
    NAME,
    field(
        "group",
        "Group that pays",
        "",
        Control::Reference(Section::Groups),
    ),
    field(
        "default_kind",
        "Kind of requests that name none",
        "",
        Control::Reference(Section::Kinds),
    ),
];

const MODELS: &[Field] = &[
    NAME,
    field(
        "context_tokens",
        "Context (tokens)",
        "Prompt and output together.",
        Control::Number,
    ),
    field(
        "default_output",
        "Output limit (tokens)",
        "For requests that name none.",
        Control::Number,
    ),
    Field {
        path: "base",
        label: "Base model",
        hint: "Only for an adapter.",
        control: Control::Reference(Section::Models),
        optional: true,
    },
    field(
        "least_servers",
        "Fewest backend servers that keep it loaded",
        "",
        Control::Number,
    ),
];

const SERVERS: &[Field] = &[
    NAME,
    field(
        "role",
        "Role",
        "An engine runs models, a service runs plain calls.",
        Control::Choice(&["engine", "service"]),
    ),
    field("address", "Address", "IP number and port.", Control::Text),
    field("zone", "Availability zone", "", Control::Text),
    field(
        "models",
        "Models that it may load",
        "Engines only.",
        Control::Names(Section::Models),
    ),
    field(
        "concurrency",
        "Requests at once",
        "From the whole fleet.",
        Control::Number,
    ),
    field(
        "checks_fencing",
        "Checks fencing numbers",
        "Whether it refuses orders that carry an old one.",
        Control::Flag,
    ),
];

const CALL: &[Field] = &[
    field("name", "Call", "", Control::Text),
    field("repeatable", "May run more than once", "", Control::Flag),
    field("kind", "Kind", "", Control::Reference(Section::Kinds)),
    field("price", "Price (tokens)", "", Control::Number),
];

const SERVICES: &[Field] = &[
    NAME,
    field(
        "servers",
        "Backend servers that run it",
        "",
        Control::Names(Section::Servers),
    ),
    field(
        "calls",
        "Calls",
        "A row without a name is left out.",
        Control::Rows(CALL),
    ),
];

/// The fields of a section's form.
pub fn fields(section: Section) -> &'static [Field] {
    match section {
        Section::Kinds => KINDS,
        Section::Groups => GROUPS,
        Section::Accounts => ACCOUNTS,
        Section::Models => MODELS,
        Section::Servers => SERVERS,
        Section::Services => SERVICES,
    }
}
