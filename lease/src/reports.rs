//! The reports of all lease holders at a lease server, merged incrementally: the cost of a message depends on
//! what it changes, not on what other holders report.
use crate::facts::{Fact, FactChange, FactSet, Ledger, Subject, MAX_FACTS};
use crate::subscriptions::{Subscriptions, Topic};
use crate::{HolderId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What this lease server knows of one holder.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct HolderState {
    pub(crate) sequence: u64,
    reported_hash: u64,
    /// The hash of the report it announced last, which its next lease requests will refer to.
    announced_report: u64,
    /// The servers it receives facts about.
    topic: Topic,
    /// The hash of the names it announced last.
    announced_names: u64,
    /// The hash of the facts it has received, or that were sent to it since its last request.
    received_hash: u64,
    expires_at: Micros,
}

/// The parts of a lease request that concern facts about servers.
pub(crate) struct ReportRef {
    pub(crate) sequence: u64,
    pub(crate) hash: u64,
    pub(crate) requested_topic: Topic,
    pub(crate) received_hash: u64,
    pub(crate) expires_at: Micros,
}

/// The content of a report, how many holders report it, and how many announced it last.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct KnownReport {
    content: FactSet,
    reported_by: usize,
    announced_by: usize,
}

/// The result of a lease request.
pub(crate) struct ReportOutcome {
    /// If the report that the request refers to is unknown here: the hash of the holder's last known report.
    pub(crate) unknown_report: Option<u64>,
    /// If the names that the request refers to are unknown here: the hash of the holder's last known names.
    pub(crate) unknown_names: Option<u64>,
    /// The holders to notify because published facts have changed.
    pub(crate) notify: BTreeSet<HolderId>,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Reports {
    holders: BTreeMap<HolderId, HolderState>,
    /// When the report of each holder expires, the earliest first.
    expiry_order: BTreeSet<(Micros, HolderId)>,
    /// Reports by their hash: most holders report the same.
    reports_by_hash: BTreeMap<u64, KnownReport>,
    /// How many distinct current reports contain each fact.
    fact_counts: BTreeMap<Subject, BTreeMap<Fact, usize>>,
    /// Subjects that are not published because the ledger is full.
    overflow: BTreeSet<Subject>,
    /// The published facts, and which holders receive them.
    subscriptions: Subscriptions,
    pub(crate) entries_examined: u64,
}

impl Reports {
    /// All published facts.
    pub(crate) fn ledger(&self) -> &Ledger {
        self.subscriptions.full_ledger()
    }

    /// The facts published to one holder.
    pub(crate) fn ledger_for(&self, holder: HolderId) -> Option<&Ledger> {
        self.subscriptions.ledger_for(self.holders.get(&holder)?.topic)
    }

    pub(crate) fn entries_examined(&self) -> u64 {
        self.entries_examined + self.subscriptions.entries_examined
    }

    pub(crate) fn last_sequence(&self, holder: HolderId) -> Option<u64> {
        self.holders.get(&holder).map(|state| state.sequence)
    }

    /// Records the report that a lease request refers to, and what its sender has received.
    pub(crate) fn record(&mut self, now: Micros, from: HolderId, report: ReportRef) -> ReportOutcome {
        self.entries_examined += 1;
        let ReportRef { sequence, hash, requested_topic, received_hash, expires_at } = report;
        let known = hash == 0 || self.reports_by_hash.contains_key(&hash);
        let previous = self.holders.remove(&from);
        let (previous_hash, announced_report) =
            previous.as_ref().map_or((0, 0), |state| (state.reported_hash, state.announced_report));
        let previous_topic = previous.as_ref().map(|state| state.topic);
        let announced_names = previous.as_ref().map_or(0, |state| state.announced_names);
        if let Some(previous) = previous {
            self.expiry_order.remove(&(previous.expires_at, from));
        }
        let names_known = self.subscriptions.change_topic(from, previous_topic, requested_topic);
        // While its names are unknown here, a holder receives facts about no servers, or about those of its
        // previous names.
        let topic = if names_known { requested_topic } else { previous_topic.unwrap_or(Some(0)) };
        if !names_known && previous_topic.is_none() {
            self.subscriptions.change_topic(from, None, topic);
        }
        let hash = if known { hash } else { previous_hash };
        self.holders.insert(
            from,
            HolderState {
                sequence,
                reported_hash: hash,
                announced_report,
                topic,
                announced_names,
                received_hash,
                expires_at,
            },
        );
        self.expiry_order.insert((expires_at, from));
        let mut notify = BTreeSet::new();
        if hash != previous_hash {
            self.replace_report(now, previous_hash, hash, &mut notify);
        }
        ReportOutcome {
            unknown_report: (!known).then_some(previous_hash),
            unknown_names: (!names_known).then_some(topic.unwrap_or(0)),
            notify,
        }
    }

    /// Records the server names on a holder's list, as a difference from names that are known; `hashes` are
    /// those of the known and of the new names. They take effect with its next lease request that refers to
    /// them.
    pub(crate) fn announce_names(
        &mut self, from: HolderId, hashes: (u64, u64), added: Vec<Arc<str>>, removed: &[Arc<str>],
    ) {
        let Some(announced) = self.holders.get(&from).map(|state| state.announced_names) else { return };
        if hashes.1 != announced && self.subscriptions.announce_names(hashes, added, removed) {
            self.subscriptions.withdraw_names(announced);
            if let Some(state) = self.holders.get_mut(&from) {
                state.announced_names = hashes.1;
            }
        }
    }

    /// Records a holder's next report, as a difference from one that is known. It takes effect with the next
    /// lease request that refers to it, so that a delayed message can't undo what a later request referred
    /// to.
    pub(crate) fn announce_report(
        &mut self, from: HolderId, (base_hash, new_hash): (u64, u64), changes: Vec<FactChange>,
    ) {
        self.entries_examined += changes.len() as u64;
        let Some(announced_report) = self.holders.get(&from).map(|state| state.announced_report) else {
            return;
        };
        let base = if base_hash == 0 { Some(FactSet::default()) } else { self.content(base_hash).cloned() };
        let Some(mut content) = base else { return };
        content.apply(changes);
        // If the result does not match its hash, the holder is asked for its report again.
        if content.facts().len() > MAX_FACTS || content.hash() != new_hash || new_hash == announced_report {
            return;
        }
        if new_hash != 0 {
            self.reports_by_hash
                .entry(new_hash)
                .or_insert(KnownReport { content, ..KnownReport::default() })
                .announced_by += 1;
        }
        if let Some(known) = self.reports_by_hash.get_mut(&announced_report) {
            known.announced_by -= 1;
        }
        self.remove_if_unused(announced_report);
        if let Some(state) = self.holders.get_mut(&from) {
            state.announced_report = new_hash;
        }
    }

    /// Drops the reports of holders that have sent no request in time. Returns the holders to notify because
    /// published facts have changed.
    pub(crate) fn expire(&mut self, now: Micros) -> BTreeSet<HolderId> {
        let mut notify = BTreeSet::new();
        while let Some((_, holder)) =
            self.expiry_order.first().copied().filter(|(expires_at, _)| *expires_at <= now)
        {
            self.entries_examined += 1;
            self.expiry_order.pop_first();
            let Some(state) = self.holders.remove(&holder) else { continue };
            self.subscriptions.unsubscribe(holder, state.topic);
            self.subscriptions.withdraw_names(state.announced_names);
            if let Some(known) = self.reports_by_hash.get_mut(&state.announced_report) {
                known.announced_by -= 1;
            }
            self.remove_if_unused(state.announced_report);
            self.replace_report(now, state.reported_hash, 0, &mut notify);
            notify.remove(&holder);
        }
        notify
    }

    /// The update that a holder lacks: the base hash, the new hash and the changes. Counts it as received; if
    /// the message is lost, the holder's next request shows that.
    pub(crate) fn next_update(&mut self, holder: HolderId) -> Option<(u64, u64, Vec<FactChange>)> {
        let state = self.holders.get_mut(&holder)?;
        let ledger = self.subscriptions.ledger_for(state.topic)?;
        let (base_hash, changes) = ledger.changes_since(state.received_hash);
        state.received_hash = ledger.hash();
        self.entries_examined += 1 + changes.len() as u64;
        Some((base_hash, state.received_hash, changes))
    }

    fn content(&self, hash: u64) -> Option<&FactSet> {
        self.reports_by_hash.get(&hash).map(|known| &known.content)
    }

    fn remove_if_unused(&mut self, hash: u64) {
        if self.reports_by_hash.get(&hash).is_some_and(|known| known.reported_by + known.announced_by == 0) {
            self.reports_by_hash.remove(&hash);
        }
    }

    /// Counts a holder for the added report instead of the removed one, and publishes the facts that change
    /// by that.
    fn replace_report(
        &mut self, now: Micros, removed_hash: u64, added_hash: u64, notify: &mut BTreeSet<HolderId>,
    ) {
        let mut changed = BTreeSet::new();
        if let Some(known) = self.reports_by_hash.get_mut(&added_hash) {
            known.reported_by += 1;
            if known.reported_by == 1 {
                for (subject, fact) in known.content.facts() {
                    let facts = self.fact_counts.entry(subject.clone()).or_default();
                    *facts.entry(fact.clone()).or_default() += 1;
                    changed.insert(subject.clone());
                }
            }
        }
        if let Some(known) = self.reports_by_hash.get_mut(&removed_hash) {
            known.reported_by -= 1;
            if known.reported_by == 0 {
                for (subject, fact) in known.content.facts() {
                    let Some(facts) = self.fact_counts.get_mut(subject) else { continue };
                    if let Some(count) = facts.get_mut(fact) {
                        *count -= 1;
                    }
                    facts.retain(|_, count| *count > 0);
                    changed.insert(subject.clone());
                }
            }
        }
        self.remove_if_unused(removed_hash);
        self.entries_examined += changed.len() as u64;
        // Withdraws facts first, since the ledger may be too full for the new ones.
        let is_withdrawn = |reports: &Reports, subject: &Subject| {
            reports.fact_counts.get(subject).is_none_or(BTreeMap::is_empty)
        };
        let (withdrawn, published): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|subject| is_withdrawn(self, subject));
        for subject in withdrawn {
            self.fact_counts.remove(&subject);
            self.overflow.remove(&subject);
            self.subscriptions.publish(now, &subject, None, notify);
        }
        for subject in published {
            self.publish(now, subject, notify);
        }
        while self.ledger().facts().len() < 2 * MAX_FACTS {
            let Some(subject) = self.overflow.pop_first() else { break };
            self.entries_examined += 1;
            self.publish(now, subject, notify);
        }
    }

    fn publish(&mut self, now: Micros, subject: Subject, notify: &mut BTreeSet<HolderId>) {
        // Bounds the ledger if the lists of the instances have little in common.
        let facts = self.ledger().facts();
        if !facts.contains_key(&subject) && facts.len() >= 2 * MAX_FACTS {
            self.overflow.insert(subject);
            return;
        }
        let greatest = self.fact_counts.get(&subject).and_then(|facts| facts.keys().next_back()).cloned();
        self.subscriptions.publish(now, &subject, greatest, notify);
    }
}
