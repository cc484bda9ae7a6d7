//! One that grants leases, and lets a version hold once no lease stands in its way. It forgets all at a new start.
use crate::facts::Facts;
use crate::leases::Leases;
use crate::said::{Asking, Said, Taken};
use crate::{HolderId, Message, Micros, Version, CLOCK_RATE_TOLERANCE, MAX_PENDING_VERSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What one asks with.
struct Asked {
    turn: u64,
    knows: BTreeSet<Version>,
    refuses: BTreeSet<Version>,
    says: u64,
    names: Option<u64>,
    heard: u64,
}

/// For whom a version that does not hold yet waits.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct BlockingLease {
    pub holder: HolderId,
    pub expires_at: Micros,
    /// It can't take that version, and stands in its way for as long as it lives.
    pub rejects: bool,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LeaseServer {
    /// From when on it grants and clears: leases of its earlier life have run out by then.
    pub(crate) awake: Micros,
    /// How long it counts a lease: longer than whoever holds it does.
    span: Micros,
    pub(crate) documents: BTreeMap<Version, Arc<str>>,
    pub(crate) cleared: Option<Version>,
    pub(crate) leases: Leases,
    pub(crate) said: Said,
    /// Numbers what is told of servers, over all lives of this keeper.
    told: u64,
    steps: u64,
}

impl LeaseServer {
    /// `within` is how long a member counts a lease.
    pub fn new(now: Micros, within: Micros) -> LeaseServer {
        let span = within.times(1.0 + CLOCK_RATE_TOLERANCE);
        // Guards against clearing what a lease that this keeper granted before it was started again stands against.
        LeaseServer {
            awake: now + span,
            span,
            documents: BTreeMap::new(),
            cleared: None,
            leases: Leases::default(),
            said: Said::default(),
            told: 0,
            steps: 0,
        }
    }

    pub fn handle_message(
        &mut self, now: Micros, from: HolderId, word: Message, out: &mut Vec<(HolderId, Message)>,
    ) {
        match word {
            Message::LeaseRequest {
                sequence: turn,
                known_versions: knows,
                rejected_versions: refuses,
                reported_hash: says,
                names_hash: names,
                received_hash: heard,
                last_update: after,
            } => {
                // Guards against a keeper that starts again with its clock behind: none would hear it.
                self.told = self.told.max(after);
                let (knows, refuses) = (knows.into_iter().collect(), refuses.into_iter().collect());
                self.ask(now, from, Asked { turn, knows, refuses, says, names, heard }, out)
            }
            Message::FactUpdate { base_hash: base, new_hash: to, changes, .. } => {
                self.said.offer(from, (base, to), changes)
            }
            Message::Subscribe { base_hash: base, new_hash: to, added: more, removed: fewer } => {
                self.said.subscribe(from, (base, to), more, &fewer)
            }
            Message::Documents(documents) => {
                let before = self.documents.len();
                for (version, text) in documents {
                    if self.wants(version) && self.documents.len() < MAX_PENDING_VERSIONS {
                        self.documents.insert(version, text);
                    }
                }
                if self.documents.len() > before {
                    self.tell(now, out);
                }
            }
            // Only a member is told these.
            Message::LeaseGrant { .. }
            | Message::RequestDocuments(_)
            | Message::StateChanged
            | Message::UnknownReport { .. }
            | Message::UnknownNames { .. } => {}
        }
        self.clear(now, out);
    }

    /// To be called at [`LeaseServer::next_wakeup`], or any time.
    pub fn handle_timer(&mut self, now: Micros, out: &mut Vec<(HolderId, Message)>) {
        self.clear(now, out);
    }

    /// When something may hold without a word from anybody.
    pub fn next_wakeup(&self, now: Micros) -> Option<Micros> {
        let pending = self.documents.keys().any(|version| Some(*version) > self.cleared);
        let ends = [self.leases.next_end(now), Some(self.awake).filter(|awake| *awake > now)];
        ends.into_iter().flatten().min().filter(|_| pending)
    }

    pub fn committed(&self) -> Option<Version> {
        self.cleared
    }

    /// The latest version that does not hold yet, and those for whom it waits.
    pub fn pending_version(&self, now: Micros) -> Option<(Version, Vec<BlockingLease>)> {
        let version = *self.documents.keys().next_back().filter(|version| Some(**version) > self.cleared)?;
        let in_the_way =
            self.leases.iter().filter(|(_, lease)| lease.until > now && !lease.keeps_to(version));
        let waiting = in_the_way.map(|(holder, lease)| BlockingLease {
            holder: *holder,
            expires_at: lease.until,
            rejects: lease.refuses.contains(&version),
        });
        Some((version, waiting.collect()))
    }

    /// Each lease that lives, until when, and what its holder knows.
    pub fn leases(&self) -> impl Iterator<Item = (HolderId, Micros, impl Iterator<Item = &Version>)> {
        self.leases.iter().map(|(holder, lease)| (*holder, lease.until, lease.knows.iter()))
    }

    /// A version that may come to hold here, and is not known yet.
    fn wants(&self, version: Version) -> bool {
        let later = self.cleared.is_none_or(|cleared| {
            version > cleared && version.epoch_and_number() > cleared.epoch_and_number()
        });
        later && !self.documents.contains_key(&version)
    }

    fn ask(&mut self, now: Micros, from: HolderId, asked: Asked, out: &mut Vec<(HolderId, Message)>) {
        let Asked { turn, knows, refuses, says, names, heard } = asked;
        // Guards against an ask that comes late, or twice, by which its sender would know less or more than it does.
        if self.said.turn_of(from).is_some_and(|last| last >= turn) {
            return;
        }
        // Guards against asking again and again for what there is no room for.
        let room = MAX_PENDING_VERSIONS.saturating_sub(self.documents.len());
        let wanted: Vec<Version> =
            knows.iter().copied().filter(|version| self.wants(*version)).take(room).collect();
        if !wanted.is_empty() {
            out.push((from, Message::RequestDocuments(wanted)));
        }
        let lacking = self.documents.iter().filter(|(version, _)| {
            let above = knows.first().is_some_and(|first| first > version);
            !knows.contains(version) && !refuses.contains(version) && !above
        });
        let lacking: Vec<_> = lacking.map(|(version, text)| (*version, text.clone())).collect();
        let cleared = self.cleared.filter(|cleared| knows.contains(cleared));
        // Guards against renewing for ever what a later version waits for: whoever lacks it learns it first.
        let granted = cleared.filter(|_| lacking.is_empty() && now >= self.awake);
        // Guards against a lease for one who has heard what is not known here: others' leases must wait for that.
        let asking = Asking { turn, hash: says, names, heard, until: now + self.span };
        let said = self.hears(now, from, asking, out);
        let behind = self.said.told_to(from).and_then(|told| told.behind(heard, now));
        let behind = behind.filter(|behind| *behind < self.span && said);
        let granted = granted.zip(behind);
        if !lacking.is_empty() {
            out.push((from, Message::Documents(lacking)));
        }
        let until = granted.map(|_| now + self.span);
        self.leases.asked(from, (knows, refuses), until);
        let grant = |(cleared, behind): (Version, Micros)| Message::LeaseGrant {
            sequence: turn,
            committed: cleared,
            lag_us: behind.0,
        };
        out.extend(granted.map(|granted| (from, grant(granted))));
    }

    /// Takes what one who asks says and of what it hears, and tells it what it lacks; false if either is not known here.
    fn hears(
        &mut self, now: Micros, from: HolderId, asking: Asking, out: &mut Vec<(HolderId, Message)>,
    ) -> bool {
        let heard = asking.heard;
        let Taken { lacks, lacks_names, hear } = self.said.asked(now, from, asking);
        out.extend(lacks.map(|have| (from, Message::UnknownReport { known_hash: have })));
        out.extend(lacks_names.map(|have| (from, Message::UnknownNames { known_hash: have })));
        let told = hear.contains(&from);
        hear.into_iter().for_each(|holder| self.tell_facts(now, holder, out));
        if !told && self.said.told_to(from).is_some_and(|told| told.hash() != heard) {
            self.tell_facts(now, from, out);
        }
        lacks.is_none() && lacks_names.is_none()
    }

    fn tell_facts(&mut self, now: Micros, holder: HolderId, out: &mut Vec<(HolderId, Message)>) {
        // Guards against one that starts again unsaying what it told in its earlier life, by which leases are held.
        if now < self.awake {
            return;
        }
        let Some((from, to, changes)) = self.said.owed(holder) else { return };
        self.told = self.told.max(now.0) + 1;
        out.push((holder, Message::FactUpdate { number: self.told, base_hash: from, new_hash: to, changes }));
    }

    /// What is said of servers here.
    pub fn facts(&self) -> &Facts {
        self.said.ledger().facts()
    }

    /// Entries looked at since its start, for whoever measures what a word costs.
    pub fn entries_examined(&self) -> u64 {
        self.steps + self.leases.steps + self.said.steps()
    }

    /// Lets the latest version hold against which no lease stands.
    fn clear(&mut self, now: Micros, out: &mut Vec<(HolderId, Message)>) {
        self.leases.expire(now);
        let hear = self.said.expire(now);
        hear.into_iter().for_each(|holder| self.tell_facts(now, holder, out));
        if now < self.awake {
            return;
        }
        let later = self.documents.keys().rev().take_while(|version| Some(**version) > self.cleared);
        let later: Vec<Version> = later.copied().collect();
        self.steps += later.len() as u64;
        let free = |version: &Version| {
            // Guards against one of two contents under one number winning by chance.
            let twins =
                self.documents.keys().filter(|other| other.epoch_and_number() == version.epoch_and_number());
            twins.count() == 1 && self.leases.all_keep_to(*version)
        };
        let Some(version) = later.into_iter().find(free) else { return };
        self.cleared = Some(version);
        self.documents = self.documents.split_off(&version);
        self.tell(now, out);
    }

    fn tell(&mut self, now: Micros, out: &mut Vec<(HolderId, Message)>) {
        let live = self.leases.iter().filter(|(_, lease)| lease.until > now);
        let before = out.len();
        out.extend(live.map(|(holder, _)| (*holder, Message::StateChanged)));
        self.steps += (out.len() - before) as u64;
    }
}
