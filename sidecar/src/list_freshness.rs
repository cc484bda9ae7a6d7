//! How long a list of endpoints may be used while nothing new is heard from discovery. No sockets, no clock: events in, time handed in.
//!
//! A change counts as notified at the latest [`NOTIFIED_WITHIN`] after discovery had it and could be reached, and nothing new may be sent
//! to an endpoint that drains or has left when the grace is over. Whoever has heard nothing for that long knows of no endpoint that it
//! may still be sent to. What can't be known is whether discovery could be reached: one that is down and one that has too many
//! callers are told apart by nothing that they answer. `docs/design.md` has what was weighed.
use oakhollow::types::Micros;

/// A change counts as notified so long after discovery had it and could be reached, whether or not it was heard.
const NOTIFIED_WITHIN: Micros = Micros::millis(6_000);
/// For so long calls that are turned away count as calls to a discovery that is down, where the list is long: what the platform lets
/// an instance go without asking.
const OUTAGE: Micros = Micros(2 * oakhollow_terms::SidecarConfig::MAX_LIST_REQUEST_INTERVAL.0);
/// A list of so many endpoints is long. What a fleet's calls cost a discovery grows with the lines of its answers: the shorter the list,
/// the likelier calls are turned away because it is down, and not because it has too many callers.
const LONG_LIST: f64 = 1_000.0;
/// How many times as long they count so where the list is short.
const MOST_TIMES: f64 = 2.0;
/// A process may be held up between the last look at the list and the first byte of an attempt, and another reads its clock.
const MARGIN: Micros = Micros::millis(300);
/// A connection that takes longer to come up was kept from discovery by the network.
const CONNECTS_WITHIN: Micros = Micros::millis(500);

/// What is known of how old the list is.
#[derive(Clone, Debug)]
pub struct ListFreshness {
    /// Until when the list was up to date, or discovery was surely not to be reached.
    up_to_date: Micros,
    /// Discovery may be down since then: the watch was ended, or none has begun.
    may_be_down: bool,
    /// Since when discovery could be reached, as far as is known, and nothing was heard.
    reachable_since: Option<Micros>,
}

impl ListFreshness {
    /// That of a process which starts with the list as it last had it.
    pub fn started_at(now: Micros) -> ListFreshness {
        ListFreshness { up_to_date: now, may_be_down: true, reachable_since: None }
    }

    /// Discovery has told what it had at that time, or that nothing has changed.
    pub fn heard(&mut self, up_to: Micros) {
        self.up_to_date = self.up_to_date.max(up_to);
        (self.may_be_down, self.reachable_since) = (false, None);
    }

    /// A watch that had told something was ended, or is given up for another address: until then it was in order.
    pub fn watch_ended(&mut self, now: Micros) {
        self.up_to_date = self.up_to_date.max(now);
        self.may_be_down = true;
    }

    /// The connection of a call did not come up.
    pub fn unreachable(&mut self, now: Micros) {
        *self = ListFreshness::started_at(now);
    }

    /// The connection of a call that was begun then has come up. So many endpoints are listed.
    pub fn connected(&mut self, begun: Micros, now: Micros, endpoints: usize) {
        if now - begun > CONNECTS_WITHIN {
            self.up_to_date = self.up_to_date.max(now);
        }
        let outage = OUTAGE.times((LONG_LIST / endpoints.max(1) as f64).clamp(1.0, MOST_TIMES));
        let since = if self.may_be_down { self.up_to_date + outage } else { self.up_to_date };
        self.reachable_since.get_or_insert(since);
    }

    /// A call that was begun then is being answered with a list.
    pub fn answered(&mut self, begun: Micros) {
        let since = begun.max(self.up_to_date);
        self.reachable_since = Some(self.reachable_since.map_or(since, |before| before.min(since)));
    }

    /// Until when the list may be used, if the settings state a grace; none while discovery is not known to be reached.
    pub fn usable_until(&self, grace: Micros) -> Option<Micros> {
        let since = self.reachable_since.filter(|_| grace.0 > 0)?;
        Some(since + NOTIFIED_WITHIN + grace - MARGIN)
    }
}
