//! An instance as it asks for leases: which versions it keeps to, and until when it may act.
use crate::lists::{ListUpdate, Lists};
use crate::{majority, Document, Fact, InstanceId, Message, Micros, Version, MAX_PENDING_VERSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Whether an instance could act on the strictest of these contents; if not, why.
pub type Validator = Arc<dyn Fn(&[Arc<str>]) -> Result<(), String> + Send + Sync>;

#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    Send(InstanceId, Message),
    /// Act on the strictest of what [`LeaseHolder::active_documents`] gives: carried out before what comes behind it is said.
    ApplyDocuments,
    /// Keep to what others' lists say now, see [`LeaseHolder::excluded_servers`]: carried out before what comes behind it is said.
    ApplyLists,
    /// A mark that was set by hand elsewhere: whether that server is out, and since when. Carried out likewise.
    ApplyMaintenance {
        name: Arc<str>,
        in_maintenance: bool,
        set_at: u64,
    },
    Log(String),
}

/// A lease, from when it was asked for.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Lease {
    pub(crate) from: Micros,
    pub(crate) cleared: Version,
    /// How often the names on the own list had changed when it was asked for.
    naming: u64,
}

/// When a turn was asked, and how often the names on the own list had changed by then.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Turn {
    pub(crate) at: Micros,
    naming: u64,
}

#[derive(Clone)]
pub struct LeaseHolder {
    keepers: Vec<InstanceId>,
    pub(crate) within: Micros,
    judge: Validator,
    /// All it keeps to: what holds, and what may come to hold.
    pub(crate) documents: BTreeMap<Version, Arc<str>>,
    pub(crate) refused: BTreeSet<Version>,
    /// The earliest version that may still hold anywhere; none before a majority of keepers has said so.
    pub(crate) base: Option<Version>,
    turn: u64,
    /// When each turn was asked, while a lease for it would live.
    pub(crate) asked: BTreeMap<u64, Turn>,
    pub(crate) leases: BTreeMap<InstanceId, Lease>,
    next: Micros,
    lists: Lists,
    /// Keepers whose last answer came when its lease was over.
    too_far: BTreeSet<InstanceId>,
}

impl LeaseHolder {
    /// How often it asks within the length of a lease.
    const ASKS: f64 = 4.0;

    pub fn new(keepers: Vec<InstanceId>, within: Micros, judge: Validator) -> LeaseHolder {
        LeaseHolder {
            keepers,
            within,
            judge,
            documents: BTreeMap::new(),
            refused: BTreeSet::new(),
            base: None,
            turn: 0,
            asked: BTreeMap::new(),
            leases: BTreeMap::new(),
            next: Micros(0),
            lists: Lists::default(),
            too_far: BTreeSet::new(),
        }
    }

    /// Passes on who may be sent to as well, not only who may not.
    pub fn with_full_lists(mut self) -> LeaseHolder {
        self.lists.whole = true;
        self
    }

    /// Hears of those servers alone that its own list names, and sends to none of which a majority of keepers does not tell yet.
    pub fn with_subscription(mut self) -> LeaseHolder {
        self.lists.subscribes = true;
        self
    }

    /// What its own list tells.
    pub fn handle_list_update(&mut self, now: Micros, listed: ListUpdate, out: &mut Vec<Action>) {
        let was_full = self.lists.full();
        let (changed, renamed) = self.lists.listed(now, listed);
        if self.lists.full() && !was_full {
            out.push(Action::Log("the list is too long: others are not told all of it".into()));
        }
        if renamed {
            out.push(Action::ApplyLists);
        }
        if changed || renamed {
            self.ask(now, out);
        }
    }

    /// A mark that was set by hand at this instance.
    pub fn handle_maintenance_change(
        &mut self, now: Micros, (name, is_out, at): (&str, bool, u64), out: &mut Vec<Action>,
    ) {
        if self.lists.marked(now, &Arc::from(name), is_out, at) {
            self.ask(now, out);
        }
    }

    /// Servers to which nothing new may go by others' lists, and the life of theirs for which that was said.
    pub fn excluded_servers(&self) -> BTreeMap<&Arc<str>, u64> {
        self.lists.out()
    }

    /// Servers on its list of which a majority of keepers does not tell it yet, by the life that is listed: nothing may go there.
    pub fn unconfirmed_servers(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.lists.untold()
    }

    /// Servers as others' lists word them, where this instance's own does not name them in that life.
    pub fn foreign_entries(&self) -> impl Iterator<Item = &Arc<str>> {
        self.lists.unknown()
    }

    /// What its own file says; false if that is not taken.
    pub fn propose(&mut self, now: Micros, document: Document, out: &mut Vec<Action>) -> bool {
        let version = document.version;
        let latest = self.documents.keys().next_back().copied();
        if let Some(latest) = latest.filter(|latest| version.epoch_and_number() < latest.epoch_and_number()) {
            out.push(Action::Log(format!("version {version} not taken: {latest} is known, which is later")));
            return false;
        }
        self.learn(now, document, out) && self.documents.contains_key(&version)
    }

    pub fn handle_message(&mut self, now: Micros, from: InstanceId, word: Message, out: &mut Vec<Action>) {
        if !self.keepers.contains(&from) {
            return;
        }
        self.lists.spoke(now, from);
        match word {
            Message::LeaseGrant { sequence: turn, committed: cleared, lag_us: behind } => {
                self.granted(now, from, (turn, cleared, Micros(behind)), out)
            }
            Message::UnknownReport { known_hash: have } => {
                let (base, changes) = self.lists.says().since(have);
                let to = self.lists.says().hash();
                out.push(Action::Send(
                    from,
                    Message::FactUpdate { number: 0, base_hash: base, new_hash: to, changes },
                ));
                self.ask_one(now, from, out);
            }
            Message::UnknownNames { known_hash: have } => {
                let (base, more, fewer) = self.lists.names_beyond(have);
                if let (Some(to), _) = self.lists.named() {
                    out.push(Action::Send(
                        from,
                        Message::Subscribe { base_hash: base, new_hash: to, added: more, removed: fewer },
                    ));
                    self.ask_one(now, from, out);
                }
            }
            Message::FactUpdate { number: at, base_hash: base, new_hash: to, changes } => {
                if self.lists.hear(from, at, (base, to, changes)) {
                    self.look_at_lists(now, out);
                }
            }
            Message::RequestDocuments(versions) => {
                let known = versions.iter().filter_map(|version| self.documents.get_key_value(version));
                let known: Vec<_> = known.map(|(version, text)| (*version, text.clone())).collect();
                if !known.is_empty() {
                    out.push(Action::Send(from, Message::Documents(known)));
                    self.ask_one(now, from, out);
                }
            }
            Message::Documents(documents) => {
                let before = (self.documents.len(), self.refused.len());
                for (version, text) in documents {
                    self.learn(now, Document { version, text }, out);
                }
                if (self.documents.len(), self.refused.len()) == before {
                    return;
                }
                self.ask(now, out);
            }
            Message::StateChanged => self.ask_one(now, from, out),
            // Only a keeper is told these.
            Message::LeaseRequest { .. } | Message::Subscribe { .. } => {}
        }
    }

    /// To be called at [`LeaseHolder::next_wakeup`].
    pub fn handle_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now >= self.next {
            self.ask(now, out);
        }
    }

    pub fn next_wakeup(&self) -> Micros {
        self.next
    }

    /// Until when it may act on what it keeps to; nothing before a majority's leases live.
    pub fn lease_valid_until(&self) -> Micros {
        let mut ends: Vec<Micros> = self.leases.values().map(|lease| lease.from + self.within).collect();
        ends.sort_unstable_by(|one, other| other.cmp(one));
        ends.get(majority(self.keepers.len()) - 1).copied().unwrap_or_default()
    }

    /// What it keeps to, the earliest first.
    pub fn active_documents(&self) -> impl Iterator<Item = (&Version, &Arc<str>)> {
        self.documents.iter()
    }

    /// What holds, as far as it knows.
    pub fn committed(&self) -> Option<Version> {
        self.base
    }

    /// False if it can't take it, which is said once.
    fn learn(&mut self, now: Micros, document: Document, out: &mut Vec<Action>) -> bool {
        let Document { version, text } = document;
        if self.documents.contains_key(&version) || self.refused.contains(&version) {
            return !self.refused.contains(&version);
        }
        if let Some(base) = self.base {
            if version.epoch_and_number() == base.epoch_and_number() {
                out.push(Action::Log(format!(
                    "version {version} not taken: {base} holds under the same number, with another content"
                )));
                self.refuse(version);
                return false;
            }
            if version < base {
                return false;
            }
        }
        if let Some(twin) =
            self.documents.keys().find(|other| other.epoch_and_number() == version.epoch_and_number())
        {
            out.push(Action::Log(format!(
                "versions {twin} and {version} have one number and two contents: neither comes to hold, a higher number must"
            )));
        }
        let texts: Vec<Arc<str>> = self.documents.values().cloned().chain([text.clone()]).collect();
        let full =
            if texts.len() > MAX_PENDING_VERSIONS { Err("too many versions wait".into()) } else { Ok(()) };
        // Also as it is once the earlier ones hold no more: guards against a version that can be taken with others alone.
        let each = (0..texts.len()).try_for_each(|first| (self.judge)(&texts[first..]));
        if let Err(why) = full.and(each) {
            out.push(Action::Log(format!("version {version} refused: {why}")));
            self.refuse(version);
            return false;
        }
        self.documents.insert(version, text);
        out.push(Action::ApplyDocuments);
        self.ask(now, out);
        true
    }

    fn refuse(&mut self, version: Version) {
        self.refused.insert(version);
        // Guards against a writer without end; the lowest are the least likely to be told again.
        while self.refused.len() > MAX_PENDING_VERSIONS {
            self.refused.pop_first();
        }
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.next = now + self.within.times(1.0 / Self::ASKS);
        let within = self.within;
        self.asked.retain(|_, turn| turn.at + within > now);
        if self.lists.forget_silent(now, within) {
            self.look_at_lists(now, out);
        }
        self.turn += 1;
        self.asked.insert(self.turn, Turn { at: now, naming: self.lists.named().1 });
        let says = self.keepers.iter().map(|keeper| Action::Send(*keeper, self.word(*keeper)));
        out.extend(says);
    }

    fn look_at_lists(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(marks) = self.lists.look(now) else { return };
        out.push(Action::ApplyLists);
        let mark = |(name, fact): (Arc<str>, Fact)| Action::ApplyMaintenance {
            name,
            in_maintenance: fact.excluded,
            set_at: fact.since,
        };
        out.extend(marks.into_iter().map(mark));
    }

    /// Asks one keeper alone, where only that one has something new.
    fn ask_one(&mut self, now: Micros, keeper: InstanceId, out: &mut Vec<Action>) {
        self.turn += 1;
        self.asked.insert(self.turn, Turn { at: now, naming: self.lists.named().1 });
        out.push(Action::Send(keeper, self.word(keeper)));
    }

    fn word(&self, keeper: InstanceId) -> Message {
        Message::LeaseRequest {
            sequence: self.turn,
            known_versions: self.documents.keys().copied().collect(),
            rejected_versions: self.refused.iter().copied().collect(),
            reported_hash: self.lists.says().hash(),
            names_hash: self.lists.named().0,
            received_hash: self.lists.heard_of(keeper).0,
            last_update: self.lists.heard_of(keeper).1,
        }
    }

    fn granted(
        &mut self, now: Micros, from: InstanceId, granted: (u64, Version, Micros), out: &mut Vec<Action>,
    ) {
        let (turn, cleared, behind) = granted;
        // Counted from when it was asked for, whenever the answer comes, and less by what had not been heard by then.
        let asked = self.asked.get(&turn).copied();
        let naming = asked.map_or(0, |turn| turn.naming);
        let at = asked.map(|turn| turn.at - behind);
        let Some(at) = at.filter(|at| *at + self.within > now) else {
            // One that was asked before the last, and is remembered no more.
            if behind == Micros(0) && self.too_far.insert(from) {
                let within = self.within.secs();
                out.push(Action::Log(format!(
                    "accord.within: a keeper's answer took longer than the {within:.3} s that a lease lives"
                )));
            }
            return;
        };
        self.too_far.remove(&from);
        let known = self.documents.contains_key(&cleared);
        if !known
            || !self.lists.tells_by(naming)
            || self.leases.get(&from).is_some_and(|lease| (lease.from, lease.naming) >= (at, naming))
        {
            return;
        }
        self.leases.insert(from, Lease { from: at, cleared, naming });
        self.leases.retain(|_, lease| lease.from + self.within > now);
        self.agree_on_names(out);
        let agreed = self.agreed(|lease| lease.cleared);
        if let Some(agreed) = agreed.filter(|agreed| Some(*agreed) > self.base) {
            self.base = Some(agreed);
            let loosened = self.documents.keys().next().is_some_and(|first| *first < agreed);
            self.documents = self.documents.split_off(&agreed);
            self.refused = self.refused.split_off(&agreed);
            // Guards against acting by a lease of one for whom something earlier holds.
            self.leases.retain(|_, lease| lease.cleared >= agreed);
            out.push(Action::Log(format!("version {agreed} holds")));
            if loosened {
                out.push(Action::ApplyDocuments);
            }
        }
    }

    /// What a majority of its leases says, or more.
    fn agreed<T: Ord>(&self, of: impl Fn(&Lease) -> T) -> Option<T> {
        let mut held: Vec<T> = self.leases.values().map(of).collect();
        held.sort_unstable_by(|one, other| other.cmp(one));
        held.into_iter().nth(majority(self.keepers.len()) - 1)
    }

    /// Sends to servers on its list once a majority of keepers tells of them.
    fn agree_on_names(&mut self, out: &mut Vec<Action>) {
        if let Some(agreed) = self.agreed(|lease| lease.naming).filter(|agreed| self.lists.told_by(*agreed)) {
            // Guards against acting by a lease of one that does not tell of all that is sent to.
            self.leases.retain(|_, lease| lease.naming >= agreed);
            out.push(Action::ApplyLists);
        }
    }
}
