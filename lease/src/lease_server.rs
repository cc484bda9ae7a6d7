//! A lease server grants leases, and commits a version once no lease prevents it. It keeps no state across a
//! restart.
use crate::facts::Facts;
use crate::leases::Leases;
use crate::reports::{ReportOutcome, ReportRef, Reports};
use crate::{HolderId, Message, Micros, Version, CLOCK_RATE_TOLERANCE, MAX_PENDING_VERSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The fields of a lease request.
struct RequestFields {
    sequence: u64,
    known_versions: BTreeSet<Version>,
    rejected_versions: BTreeSet<Version>,
    reported_hash: u64,
    names_hash: Option<u64>,
    received_hash: u64,
}

/// A lease that prevents a pending version from being committed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct BlockingLease {
    /// The holder of the lease.
    pub holder: HolderId,
    /// When the lease expires.
    pub expires_at: Micros,
    /// The holder can't apply that version, so it prevents the commit for as long as its lease is renewed.
    pub rejects: bool,
}

/// The lease server of one instance.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LeaseServer {
    /// The time from which it grants leases and commits versions: those granted before its restart have
    /// expired by then.
    pub(crate) active_from: Micros,
    /// How long it counts a lease as valid: longer than the holder does, by [`CLOCK_RATE_TOLERANCE`].
    padded_lease_duration: Micros,
    pub(crate) documents: BTreeMap<Version, Arc<str>>,
    pub(crate) committed: Option<Version>,
    pub(crate) leases: Leases,
    pub(crate) reports: Reports,
    /// The number of the last fact update it sent; it increases over restarts too.
    last_update: u64,
    entries_examined: u64,
}

impl LeaseServer {
    /// `lease_duration` is how long a lease holder counts its lease as valid.
    pub fn new(now: Micros, lease_duration: Micros) -> LeaseServer {
        let padded_lease_duration = lease_duration.times(1.0 + CLOCK_RATE_TOLERANCE);
        // Waits for one lease, so that it does not commit a version that a lease granted before its restart
        // still prevents.
        LeaseServer {
            active_from: now + padded_lease_duration,
            padded_lease_duration,
            documents: BTreeMap::new(),
            committed: None,
            leases: Leases::default(),
            reports: Reports::default(),
            last_update: 0,
            entries_examined: 0,
        }
    }

    /// Handles a message from a lease holder.
    pub fn handle_message(
        &mut self, now: Micros, from: HolderId, message: Message, out: &mut Vec<(HolderId, Message)>,
    ) {
        match message {
            Message::LeaseRequest {
                sequence,
                known_versions,
                rejected_versions,
                reported_hash,
                names_hash,
                received_hash,
                last_update: last_known,
            } => {
                // The clock of a lease server may be behind after its restart; without this, lease holders
                // would ignore its updates as old.
                self.last_update = self.last_update.max(last_known);
                let (known_versions, rejected_versions) =
                    (known_versions.into_iter().collect(), rejected_versions.into_iter().collect());
                self.handle_lease_request(
                    now,
                    from,
                    RequestFields {
                        sequence,
                        known_versions,
                        rejected_versions,
                        reported_hash,
                        names_hash,
                        received_hash,
                    },
                    out,
                )
            }
            Message::FactUpdate { base_hash, new_hash, changes, .. } => {
                self.reports.announce_report(from, (base_hash, new_hash), changes)
            }
            Message::Subscribe { base_hash, new_hash, added, removed } => {
                self.reports.announce_names(from, (base_hash, new_hash), added, &removed)
            }
            Message::Documents(documents) => {
                let before = self.documents.len();
                for (version, text) in documents {
                    if self.needs_document(version) && self.documents.len() < MAX_PENDING_VERSIONS {
                        self.documents.insert(version, text);
                    }
                }
                if self.documents.len() > before {
                    self.notify_holders(now, out);
                }
            }
            // These are sent to lease holders only.
            Message::LeaseGrant { .. }
            | Message::RequestDocuments(_)
            | Message::StateChanged
            | Message::UnknownReport { .. }
            | Message::UnknownNames { .. } => {}
        }
        self.commit_ready_version(now, out);
    }

    /// To be called at the time given by [`LeaseServer::next_wakeup`], or at any time.
    pub fn handle_timer(&mut self, now: Micros, out: &mut Vec<(HolderId, Message)>) {
        self.commit_ready_version(now, out);
    }

    /// When a version may be committed without a further message.
    pub fn next_wakeup(&self, now: Micros) -> Option<Micros> {
        let pending = self.documents.keys().any(|version| Some(*version) > self.committed);
        let times =
            [self.leases.next_expiry(now), Some(self.active_from).filter(|active_from| *active_from > now)];
        times.into_iter().flatten().min().filter(|_| pending)
    }

    /// The committed version; `None` before the first commit after a start.
    pub fn committed(&self) -> Option<Version> {
        self.committed
    }

    /// The latest version that is not committed yet, and the leases that prevent it.
    pub fn pending_version(&self, now: Micros) -> Option<(Version, Vec<BlockingLease>)> {
        let version =
            *self.documents.keys().next_back().filter(|version| Some(**version) > self.committed)?;
        let blocking =
            self.leases.iter().filter(|(_, lease)| lease.expires_at > now && !lease.complies_with(version));
        let leases = blocking.map(|(holder, lease)| BlockingLease {
            holder: *holder,
            expires_at: lease.expires_at,
            rejects: lease.rejected_versions.contains(&version),
        });
        Some((version, leases.collect()))
    }

    /// Each valid lease: its holder, when it expires, and the versions its holder knows.
    pub fn leases(&self) -> impl Iterator<Item = (HolderId, Micros, impl Iterator<Item = &Version>)> {
        self.leases.iter().map(|(holder, lease)| (*holder, lease.expires_at, lease.known_versions.iter()))
    }

    /// Whether a version may still be committed here and its document is not known yet.
    fn needs_document(&self, version: Version) -> bool {
        let later = self.committed.is_none_or(|committed| {
            version > committed && version.epoch_and_number() > committed.epoch_and_number()
        });
        later && !self.documents.contains_key(&version)
    }

    fn handle_lease_request(
        &mut self, now: Micros, from: HolderId, fields: RequestFields, out: &mut Vec<(HolderId, Message)>,
    ) {
        let RequestFields {
            sequence,
            known_versions,
            rejected_versions,
            reported_hash,
            names_hash,
            received_hash,
        } = fields;
        // A delayed or duplicated request must not change what is known of its sender.
        if self.reports.last_sequence(from).is_some_and(|last| last >= sequence) {
            return;
        }
        // Requests no more documents than it can store; the rest would be requested again and again.
        let free_slots = MAX_PENDING_VERSIONS.saturating_sub(self.documents.len());
        let requested: Vec<Version> = known_versions
            .iter()
            .copied()
            .filter(|version| self.needs_document(*version))
            .take(free_slots)
            .collect();
        if !requested.is_empty() {
            out.push((from, Message::RequestDocuments(requested)));
        }
        let missing_documents = self.documents.iter().filter(|(version, _)| {
            let superseded = known_versions.first().is_some_and(|first| first > version);
            !known_versions.contains(version) && !rejected_versions.contains(version) && !superseded
        });
        let missing_documents: Vec<_> =
            missing_documents.map(|(version, text)| (*version, text.clone())).collect();
        let committed = self.committed.filter(|committed| known_versions.contains(committed));
        // A holder that lacks a pending version gets no renewal before it has the document; otherwise its
        // renewed leases could prevent the commit for ever.
        let granted = committed.filter(|_| missing_documents.is_empty() && now >= self.active_from);
        // A holder whose report is unknown here gets no lease: it must not act on facts that the leases of
        // other holders do not take into account.
        let report_ref = ReportRef {
            sequence,
            hash: reported_hash,
            requested_topic: names_hash,
            received_hash,
            expires_at: now + self.padded_lease_duration,
        };
        let report_known = self.record_report(now, from, report_ref, out);
        let lag = self.reports.ledger_for(from).and_then(|ledger| ledger.exclusion_lag(received_hash, now));
        let lag = lag.filter(|lag| *lag < self.padded_lease_duration && report_known);
        let granted = granted.zip(lag);
        if !missing_documents.is_empty() {
            out.push((from, Message::Documents(missing_documents)));
        }
        let expires_at = granted.map(|_| now + self.padded_lease_duration);
        self.leases.update(from, (known_versions, rejected_versions), expires_at);
        let grant =
            |(committed, lag): (Version, Micros)| Message::LeaseGrant { sequence, committed, lag_us: lag.0 };
        out.extend(granted.map(|granted| (from, grant(granted))));
    }

    /// Records a holder's report and what it has received, and sends what it lacks. Returns false if its
    /// report or its names are unknown here.
    fn record_report(
        &mut self, now: Micros, from: HolderId, report_ref: ReportRef, out: &mut Vec<(HolderId, Message)>,
    ) -> bool {
        let received_hash = report_ref.received_hash;
        let ReportOutcome { unknown_report, unknown_names, notify } =
            self.reports.record(now, from, report_ref);
        out.extend(unknown_report.map(|known_hash| (from, Message::UnknownReport { known_hash })));
        out.extend(unknown_names.map(|known_hash| (from, Message::UnknownNames { known_hash })));
        let notified = notify.contains(&from);
        notify.into_iter().for_each(|holder| self.send_fact_update(now, holder, out));
        if !notified && self.reports.ledger_for(from).is_some_and(|ledger| ledger.hash() != received_hash) {
            self.send_fact_update(now, from, out);
        }
        unknown_report.is_none() && unknown_names.is_none()
    }

    fn send_fact_update(&mut self, now: Micros, holder: HolderId, out: &mut Vec<(HolderId, Message)>) {
        // After a restart it publishes nothing before it has the reports of all lease holders: otherwise it
        // would withdraw facts that it published before the restart and that leases rely on.
        if now < self.active_from {
            return;
        }
        let Some((base_hash, new_hash, changes)) = self.reports.next_update(holder) else { return };
        self.last_update = self.last_update.max(now.0) + 1;
        out.push((holder, Message::FactUpdate { number: self.last_update, base_hash, new_hash, changes }));
    }

    /// All facts published here.
    pub fn facts(&self) -> &Facts {
        self.reports.ledger().facts()
    }

    /// How many entries were examined since the start: tests and the test bench measure the cost of messages
    /// by this count.
    pub fn entries_examined(&self) -> u64 {
        self.entries_examined + self.leases.entries_examined + self.reports.entries_examined()
    }

    /// Drops expired leases and reports, and commits the latest version that no lease prevents.
    fn commit_ready_version(&mut self, now: Micros, out: &mut Vec<(HolderId, Message)>) {
        self.leases.expire(now);
        let notify = self.reports.expire(now);
        notify.into_iter().for_each(|holder| self.send_fact_update(now, holder, out));
        if now < self.active_from {
            return;
        }
        let later = self.documents.keys().rev().take_while(|version| Some(**version) > self.committed);
        let later: Vec<Version> = later.copied().collect();
        self.entries_examined += later.len() as u64;
        let can_commit = |version: &Version| {
            // Of two documents with the same number neither is committed; otherwise one of them would win by
            // chance.
            let same_number =
                self.documents.keys().filter(|other| other.epoch_and_number() == version.epoch_and_number());
            same_number.count() == 1 && self.leases.all_comply_with(*version)
        };
        let Some(version) = later.into_iter().find(can_commit) else { return };
        self.committed = Some(version);
        self.documents = self.documents.split_off(&version);
        self.notify_holders(now, out);
    }

    fn notify_holders(&mut self, now: Micros, out: &mut Vec<(HolderId, Message)>) {
        let valid = self.leases.iter().filter(|(_, lease)| lease.expires_at > now);
        let before = out.len();
        out.extend(valid.map(|(holder, _)| (*holder, Message::StateChanged)));
        self.entries_examined += (out.len() - before) as u64;
    }
}
