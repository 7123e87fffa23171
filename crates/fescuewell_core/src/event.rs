//! Numbered log events, listed in `docs/EVENTS.md`.
//!
//! A log line has the format `E2001 route.chosen key=value ...`. Use [`log_event!`](crate::log_event):
//!
//! ```
//! use fescuewell_core::prelude::*;
//! fescuewell_core::log_event!(Event::RouteChosen, "request={} server={}", "a/1", "engine-1");
//! ```

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $title:literal, $text:literal;)*) => {
        crate::data! {
            /// A log event. Numbers are stable.
            #[derive(Copy)]
            pub enum Event {
                $(
                    #[doc = $text]
                    $name = $number,
                )*
            }
        }

        impl Event {
            /// All events, in the order of their definition.
            pub const ALL: &'static [Event] = &[$(Event::$name),*];

            /// Returns the stable number.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the log level.
            pub fn level(self) -> log::Level {
                match self {
                    $(Event::$name => log::Level::$level,)*
                }
            }

            /// Returns the short title, such as `route.chosen`.
            pub fn title(self) -> &'static str {
                match self {
                    $(Event::$name => $title,)*
                }
            }

            /// Returns the description.
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }
        }
    };
}

events! {
    Started = 1001, Info, "process.started", "The process has read its settings and listens.";
    Ready = 1002, Info, "process.ready", "The instance takes requests.";
    DrainStarted = 1003, Info, "drain.started", "The instance was asked to stop and hands over.";
    DrainFinished = 1004, Info, "drain.finished", "Nothing is left open; the process ends.";
    Isolated = 1005, Warn, "process.isolated", "Neither the store nor a peer answered for too long; requests are refused.";
    DrainRefused = 1007, Info, "drain.refused", "A request may not end before the process does and is refused; it has not run. Says how much time is left and how long requests of its route usually take.";
    StateChanged = 1006, Info, "state.changed", "A state chart took a step.";

    RouteChosen = 2001, Info, "route.chosen", "A backend server was chosen for a request, and why.";
    RouteRefused = 2002, Info, "route.refused", "A request was refused, with its result code.";
    RouteRetried = 2003, Info, "route.retried", "An attempt failed and another one is made.";
    RequestDone = 2004, Info, "request.done", "A request ended, with its tokens and times.";
    StreamResumed = 2005, Info, "stream.resumed", "A broken stream was taken up again at an offset.";
    ServerEjected = 2006, Warn, "server.ejected", "A backend server stalled or failed and gets no more work for a while.";
    ServerReturned = 2007, Info, "server.returned", "An ejected backend server gets work again, a little at first.";
    ServerLeaving = 2008, Info, "server.leaving", "A backend server is leaving and gets no new work.";
    AttemptFailed = 2011, Info, "attempt.failed", "A request sent to a backend server was turned away, failed, or got no whole answer.";
    ServerListed = 2009, Info, "server.listed", "A backend server appeared in the list, or its entry changed.";
    ServerEnded = 2012, Info, "server.ended", "A backend server started again under its name, or is gone: what was observed of it is forgotten.";
    ServerUnreadable = 2013, Warn, "server.unreadable", "A row of the list of backend servers names none; it is passed over.";
    ZoneEvacuated = 2014, Warn, "zone.evacuated", "The operator evacuates an availability zone: its backend servers get no new work.";
    ZoneReturned = 2015, Info, "zone.returned", "The operator has taken an evacuation back; the zone's backend servers count as cold at first.";
    ServerCrashed = 2016, Warn, "server.crashed", "A backend server crashed: its connections broke and nothing listens there, or it has started again. Names what it was running for this instance.";
    RequestQuarantined = 2017, Warn, "request.quarantined", "Backend servers crashed under a request again and again; it is sent to none any more.";
    RequestProbed = 2018, Info, "request.probed", "A quarantined request is sent once more, to find out whether servers still crash under it.";
    ServerLimited = 2020, Info, "server.limited", "A backend server declared the request rate that it accepts from all instances, or another one, or none any more (-). Says whether a response declared it or another instance told of it.";
    HeaderMalformed = 2021, Warn, "header.malformed", "A response of a backend server declares a condition that cannot be read; it is ignored. One line a second at most.";
    ServerResting = 2022, Info, "server.resting", "A backend server rejected a request and wants none from this instance for a while.";
    PathLost = 2023, Warn, "path.lost", "This instance reaches no backend server, and another one does: requests are sent by others.";
    PathRestored = 2024, Info, "path.restored", "This instance reaches the backend servers again and sends requests by itself.";
    PathChecked = 2025, Info, "path.checked", "New connections to several backend servers failed; the check found a server in reach, or no instance that reaches one.";
    RequestForwarded = 2026, Info, "request.forwarded", "A request was passed to another instance, which sends it to its backend server.";
    ForwardRefused = 2027, Info, "forward.refused", "Another instance did not send a request, which has not run, or could not be reached.";
    ForwardServed = 2028, Info, "forward.served", "A request of another instance was sent to a backend server, with the outcome of the exchange.";
    StreamTakenUp = 2029, Info, "stream.taken_up", "A caller takes up a stream; the software version that began it is known, and only servers of that version are chosen.";
    StreamUnknown = 2030, Info, "stream.unknown", "A caller takes up a stream, and the software version that began it is not known here; the request has not run.";
    VersionGone = 2031, Info, "version.gone", "A stream cannot go on: no backend server of the software version that began it accepts requests.";
    StreamsPublished = 2032, Info, "streams.published", "This instance writes the software versions of its streams to the store, since other instances are out of reach, or stops doing so.";
    ServerPathLost = 2033, Warn, "path.server_lost", "This instance does not reach a backend server that another one reaches: its requests are sent by others.";
    ServerPathRestored = 2034, Info, "path.server_restored", "This instance reaches a backend server again and sends requests to it by itself.";
    ServersBehind = 2035, Warn, "servers.behind", "The list of backend servers has not been brought up to date for a second or more; names its age and how digests fared since the last such line.";
    PartQuarantined = 2036, Warn, "part.quarantined", "Backend servers crashed under requests with a part of their prompts again and again; requests with it are sent to none any more.";
    PartProbed = 2037, Info, "part.probed", "A request with a quarantined part is sent once, to find out whether servers still crash under it.";
    PartCleared = 2038, Info, "part.cleared", "A request with a part under which servers had crashed was answered whole.";
    StreamCut = 2039, Info, "stream.cut", "A stream ended before its last event. Names who ended it and why, why no other server went on with it, how long its server had been silent, the events that the caller has, and the configuration in force with its age.";
    AttemptSilent = 2040, Info, "attempt.silent", "A backend server has sent nothing for some time. Says whether a second one is asked beside it, or why the request waits for the first one alone.";
    AttemptOvertaken = 2041, Info, "attempt.overtaken", "Another backend server delivered first; the attempt at this one is cancelled.";
    ResponseForeign = 2042, Warn, "response.foreign", "A backend server sent responses that name another request, or none. Says how many were skipped, and whether the response of this request followed.";
    RequestCleared = 2019, Info, "request.cleared", "A request under which servers had crashed was answered whole.";
    TokensAwaited = 2010, Info, "tokens.awaited", "A request waits for tokens of its client account.";

    AllowanceDrawn = 3001, Info, "allowance.drawn", "Allowances were drawn from prepaid budgets.";
    AllowanceReturned = 3002, Info, "allowance.returned", "Unused allowances were returned.";
    AllowanceReclaimed = 3003, Info, "allowance.reclaimed", "Allowances of a terminated instance were returned after its streams were settled.";
    TokensLent = 3007, Info, "tokens.lent", "Tokens of an account were lent to another instance, or refused.";
    TokensCharged = 3008, Info, "tokens.charged", "A request that was not answered was charged: it may have run, or its caller left after the first events.";
    BillsCommitted = 3004, Info, "bills.committed", "Bills became durable.";
    BillAbsorbed = 3005, Warn, "bill.absorbed", "A second bill for a request was dropped.";
    BillInDoubt = 3006, Warn, "bill.in_doubt", "The cost of a request could not be learned; its hold was charged.";

    SlotTaken = 4001, Info, "slot.taken", "This instance now arbitrates a slot of request ids.";
    SlotReleased = 4002, Info, "slot.released", "This instance handed a slot back.";
    SlotLost = 4003, Warn, "slot.lost", "Another instance took over a slot while this one was away.";
    ClaimAbandoned = 4004, Info, "claim.abandoned", "A claim was dropped because its call was never sent.";

    PeerJoined = 5001, Info, "peer.joined", "An instance appeared in the membership.";
    PeerLost = 5002, Warn, "peer.lost", "An instance's heartbeats stopped.";
    TableDown = 5003, Warn, "table.down", "The table service stopped answering.";
    TableUp = 5004, Info, "table.up", "The table service answers again.";
    SweepStarted = 5005, Info, "sweep.started", "The streams of a terminated instance are being settled.";
    SweepFinished = 5006, Info, "sweep.finished", "All streams of a terminated instance are settled.";
    ListingSkipped = 5007, Warn, "listing.skipped", "Entries of the instance list could not be read and were passed over.";
    LinkFailed = 5008, Warn, "link.failed", "An instance could not be connected to; messages to it are dropped until the next try.";
    LinkSilent = 5009, Warn, "link.silent", "A connection to an instance stopped acknowledging messages and is replaced.";
    InstancesNamed = 5014, Info, "instances.named", "Callers are sent to these instances from now on.";
    CallersSentAway = 5015, Warn, "callers.sent_away", "Callers send this instance more than it passes on; it says that it is not ready for a while.";
    ConnectionsKeptOut = 5016, Info, "connections.kept_out", "New connections of callers are refused until what is being sent fits again.";
    JournalAdopted = 5011, Info, "journal.adopted", "What the former process of this instance may have spent was taken over.";
    JournalLost = 5012, Error, "journal.lost", "Another process writes this instance's journal; nothing more is spent here.";
    JournalOverdue = 5017, Warn, "journal.overdue", "The journal cannot be renewed; a restart now would be charged what was promised since the last one.";
    JournalRenewed = 5018, Info, "journal.renewed", "An overdue journal was written; the charge of a restart is small again.";
    TableSilent = 5019, Info, "table.silent", "A call to the table service failed while it was known to be down.";
    StoreRestored = 5020, Warn, "store.restored", "The store has come back from a copy; grants and journals are written anew.";
    EraSettled = 5021, Info, "era.settled", "All instances have confirmed their grants since the store came back, or had the time for it; those named have not.";
    GrantConfirmed = 5022, Info, "grant.confirmed", "The ledger shows the grant of this instance as confirmed in a new era of the store; consumed is over all its processes.";
    SettingsReloaded = 5013, Info, "settings.reloaded", "The settings were read again.";
    KeysReloaded = 5010, Info, "keys.reloaded", "Certificate, key and authority were read again and are in use.";

    DocumentAccepted = 6001, Info, "document.accepted", "A configuration document was accepted.";
    DocumentInForce = 6002, Info, "document.in_force", "This instance now acts by a newer document.";
    DocumentRefused = 6003, Warn, "document.refused", "A document did not pass, with its result code.";

    DocumentUnreadable = 6004, Error, "document.unreadable", "This program cannot read the operator's configuration; the one before stays in force.";

    DocumentBehind = 6005, Warn, "document.behind", "Other instances report a newer document, which this one has not obtained yet.";

    OrderPlaced = 7001, Info, "order.placed", "A backend server was ordered to load, unload or change role, and why.";
    OrderRefused = 7002, Warn, "order.refused", "A backend server refused an order, for instance for its fencing number.";
    OrderRepaired = 7003, Warn, "order.repaired", "A read-back differed from what was ordered and was put right.";

    ConnectionRefused = 8001, Warn, "listener.refused", "A listener turned a connection or a request away.";
    AcceptFailed = 8002, Error, "listener.accept_failed", "Accepting a connection failed; the listener goes on.";
    InternalFault = 9001, Error, "internal.fault", "Something that should not happen did.";
}

/// Logs an event, formatting the remaining arguments as `key=value` text.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($arg:tt)+) => {{
        let event: $crate::event::Event = $event;
        ::log::log!(
            target: "fescuewell",
            event.level(),
            "E{} {} {}",
            event.number(),
            event.title(),
            format_args!($($arg)+)
        );
    }};
}
