//! How long a list of endpoints may be used while nothing is heard from discovery. Holds no sockets and reads no
//! clock: it takes events, each with its time.
//!
//! A change counts as notified at the latest [`NOTIFIED_WITHIN`] after discovery had it and could be reached. Once the
//! drain grace has passed after that, nothing new may be sent to an endpoint that drains or has left. An instance that
//! has heard nothing for that long can't be sure that any endpoint may still be sent to. Whether discovery could be
//! reached can't always be known: its answers are the same when it is down as when it is overloaded. `docs/design.md`
//! compares the alternatives.
use oakhollow::types::Micros;

/// A change counts as notified this long after discovery had it and could be reached, whether or not it was received.
const NOTIFIED_WITHIN: Micros = Micros::millis(6_000);
/// For this long, list requests that are rejected count as sent to a discovery that is down, if the list is long. The
/// platform lets an instance go this long without a request.
const ASSUMED_OUTAGE: Micros = Micros(2 * oakhollow_config::SidecarConfig::MAX_LIST_REQUEST_INTERVAL.0);
/// A list of this many endpoints is long. The cost of a fleet's list requests grows with the number of lines in the
/// answers: the shorter the list, the likelier a rejection means that discovery is down, and not that it is overloaded.
const LONG_LIST_ENDPOINTS: f64 = 1_000.0;
/// The factor by which [`ASSUMED_OUTAGE`] is longer where the list is short.
const SHORT_LIST_FACTOR: f64 = 2.0;
/// A process may be delayed between the last check of the deadline and an attempt's first byte, which a server
/// times by another clock.
const DELAY_MARGIN: Micros = Micros::millis(300);
/// If a connection takes longer than this to open, the network kept this instance from reaching discovery until then.
const MAX_CONNECT_TIME: Micros = Micros::millis(500);

/// What is known of the age of the list.
#[derive(Clone, Debug)]
pub struct ListFreshness {
    /// Until when the list was up to date, or discovery could certainly not be reached.
    up_to_date: Micros,
    /// Discovery may have been down since then: the watch ended, or none has begun.
    may_be_down: bool,
    /// Since when discovery could be reached, as far as is known, without anything being heard.
    reachable_since: Option<Micros>,
}

impl ListFreshness {
    /// The state of a process that starts with the list it last had.
    pub fn started_at(now: Micros) -> ListFreshness {
        ListFreshness { up_to_date: now, may_be_down: true, reachable_since: None }
    }

    /// Discovery has sent all changes up to this time, or said that nothing has changed.
    pub fn heard(&mut self, up_to: Micros) {
        self.up_to_date = self.up_to_date.max(up_to);
        (self.may_be_down, self.reachable_since) = (false, None);
    }

    /// A watch that had received something ended, or is abandoned for another address. Until now the list was up to
    /// date.
    pub fn watch_ended(&mut self, now: Micros) {
        self.up_to_date = self.up_to_date.max(now);
        self.may_be_down = true;
    }

    /// The connection of a list request could not be opened.
    pub fn unreachable(&mut self, now: Micros) {
        *self = ListFreshness::started_at(now);
    }

    /// The connection of a list request that began at `began` has been opened. The list has this many endpoints.
    pub fn connected(&mut self, began: Micros, now: Micros, endpoints: usize) {
        if now - began > MAX_CONNECT_TIME {
            self.up_to_date = self.up_to_date.max(now);
        }
        let outage = ASSUMED_OUTAGE
            .times((LONG_LIST_ENDPOINTS / endpoints.max(1) as f64).clamp(1.0, SHORT_LIST_FACTOR));
        let since = if self.may_be_down { self.up_to_date + outage } else { self.up_to_date };
        self.reachable_since.get_or_insert(since);
    }

    /// A list request that began at `began` is being answered with a list.
    pub fn answered(&mut self, began: Micros) {
        let since = began.max(self.up_to_date);
        self.reachable_since = Some(self.reachable_since.map_or(since, |before| before.min(since)));
    }

    /// Until when the list may be used, if the settings state a grace; none while discovery is not known to be
    /// reachable.
    pub fn usable_until(&self, grace: Micros) -> Option<Micros> {
        let since = self.reachable_since.filter(|_| grace.0 > 0)?;
        Some(since + NOTIFIED_WITHIN + grace - DELAY_MARGIN)
    }
}
