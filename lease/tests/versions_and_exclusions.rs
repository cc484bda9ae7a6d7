//! How lease holders and a lease server treat versions that can't be committed at once, and exclusions of
//! servers.
mod common;

use common::{document, version, LEASE_DURATION};
use oakhollow_lease::*;
use std::sync::Arc;

const LEASE_SERVER: InstanceId = InstanceId(0);

/// One lease server and two lease holders; messages are delivered at once and in order. The second holder
/// rejects documents that contain `odd`.
struct Cluster {
    now: Micros,
    lease_server: LeaseServer,
    holders: Vec<LeaseHolder>,
    log: Vec<String>,
}

impl Cluster {
    fn new() -> Cluster {
        let validator = |accepts_odd: bool| -> Validator {
            Arc::new(move |texts: &[Arc<str>]| {
                if !accepts_odd && texts.iter().any(|text| text.contains("odd")) {
                    return Err("settings.odd: not known here".into());
                }
                Ok(())
            })
        };
        let holder =
            |accepts_odd| LeaseHolder::new(vec![LEASE_SERVER], LEASE_DURATION, validator(accepts_odd));
        let holders = vec![holder(true), holder(false)];
        let mut cluster = Cluster {
            now: Micros(0),
            lease_server: LeaseServer::new(Micros(0), LEASE_DURATION),
            holders,
            log: Vec::new(),
        };
        assert!(cluster.propose(0, document(5)) && cluster.propose(1, document(5)));
        cluster.pass_tenths(20);
        assert_eq!(cluster.committed(), [Some(version(5)), Some(version(5))]);
        cluster
    }

    fn propose(&mut self, holder_index: usize, document: Document) -> bool {
        let mut actions = Vec::new();
        let accepted = self.holders[holder_index].propose(self.now, document, &mut actions);
        self.apply_actions(holder_index, actions);
        accepted
    }

    fn apply_actions(&mut self, holder_index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(_, message) => {
                    let (from, mut out) =
                        (HolderId { instance: InstanceId(holder_index as u32), incarnation: 1 }, Vec::new());
                    self.lease_server.handle_message(self.now, from, message, &mut out);
                    self.deliver(out);
                }
                Action::Log(text) => self.log.push(text),
                Action::ApplyDocuments | Action::ApplyLists | Action::ApplyMaintenance { .. } => {}
            }
        }
    }

    fn deliver(&mut self, out: Vec<(HolderId, Message)>) {
        for (to, message) in out.into_iter().filter(|(_, message)| *message != Message::StateChanged) {
            let (holder_index, mut actions) = (to.instance.0 as usize, Vec::new());
            self.holders[holder_index].handle_message(self.now, LEASE_SERVER, message, &mut actions);
            self.apply_actions(holder_index, actions);
        }
    }

    /// Advances the time by that many tenths of a lease, and runs the timers after each.
    fn pass_tenths(&mut self, tenths: u32) {
        for _ in 0..tenths {
            self.now = self.now + LEASE_DURATION.times(0.1);
            for holder_index in 0..self.holders.len() {
                let mut actions = Vec::new();
                self.holders[holder_index].handle_timer(self.now, &mut actions);
                self.apply_actions(holder_index, actions);
            }
            let mut out = Vec::new();
            self.lease_server.handle_timer(self.now, &mut out);
            self.deliver(out);
        }
    }

    fn committed(&self) -> [Option<Version>; 2] {
        [self.holders[0].committed(), self.holders[1].committed()]
    }
}

fn document_with_text(number: u64, text: &str) -> Document {
    Document { version: Version { hash: 99, ..version(number) }, text: text.into() }
}

#[test]
fn lower_numbers_and_other_content_of_the_committed_version_are_rejected() {
    let mut cluster = Cluster::new();
    assert!(!cluster.propose(0, document(4)) && !cluster.propose(0, document_with_text(5, "")));
    assert!(cluster.log.iter().any(|line| line.ends_with("is later")), "{:?}", cluster.log);
    assert!(cluster.log.iter().any(|line| line.contains("with different content")), "{:?}", cluster.log);
    cluster.pass_tenths(30);
    assert_eq!(cluster.committed(), [Some(version(5)), Some(version(5))]);
}

#[test]
fn two_contents_with_the_same_number_are_not_committed() {
    let mut cluster = Cluster::new();
    cluster.propose(0, document(6));
    cluster.propose(1, document_with_text(6, ""));
    cluster.pass_tenths(30);
    assert_eq!(cluster.committed(), [Some(version(5)), Some(version(5))]);
    assert!(cluster
        .holders
        .iter()
        .all(|holder| holder.active_documents().count() == 3 && holder.lease_valid_until() > cluster.now));
    assert!(
        cluster.log.iter().any(|line| line.contains("the same number but different content")),
        "{:?}",
        cluster.log
    );
    cluster.propose(0, document(7));
    cluster.pass_tenths(20);
    assert_eq!(cluster.committed(), [Some(version(7)), Some(version(7))]);
}

#[test]
fn rejected_version_is_not_committed_until_it_is_replaced() {
    let mut cluster = Cluster::new();
    cluster.propose(0, document_with_text(6, "odd"));
    cluster.pass_tenths(30);
    assert_eq!(cluster.committed(), [Some(version(5)), Some(version(5))]);
    // Both go on acting, and the lease server names the holder that prevents the commit.
    assert!(cluster.holders.iter().all(|holder| holder.lease_valid_until() > cluster.now));
    let blocking = cluster.lease_server.pending_version(cluster.now).expect("a pending version").1;
    assert!(
        blocking.iter().map(|lease| (lease.holder.instance.0, lease.rejects)).eq([(1, true)]),
        "{blocking:?}"
    );
    assert_eq!(cluster.log.iter().filter(|line| line.contains("rejected: settings.odd")).count(), 1);
    cluster.propose(0, document(7));
    cluster.pass_tenths(20);
    assert_eq!(cluster.committed(), [Some(version(7)), Some(version(7))]);
}

#[test]
fn documents_beyond_the_limit_are_not_requested_repeatedly() {
    let mut cluster = Cluster::new();
    (6..40).for_each(|number| _ = cluster.propose(0, document_with_text(number, "odd")));
    assert_eq!(cluster.holders[0].active_documents().count(), MAX_PENDING_VERSIONS);
    // The second holder rejects all of those, and knows one that the lease server can't store.
    assert!(cluster.propose(1, document(50)));
    cluster.pass_tenths(20);
    assert_eq!(cluster.committed(), [Some(version(5)), Some(version(5))]);
    assert!(cluster.holders.iter().all(|holder| holder.lease_valid_until() > cluster.now));
}

#[test]
fn lease_shorter_than_the_round_trip_is_logged_once() {
    let accept_all = |_: &[Arc<str>]| Ok(());
    let mut holder = LeaseHolder::new(vec![LEASE_SERVER], LEASE_DURATION, Arc::new(accept_all));
    let (mut actions, mut log_lines) = (Vec::new(), 0);
    holder.propose(Micros(0), document(5), &mut actions);
    for sequence in 1..4 {
        let now = Micros(sequence * 1_000);
        holder.handle_timer(now, &mut actions);
        let late_grant = Message::LeaseGrant { sequence, committed: version(5), lag_us: 0 };
        holder.handle_message(now + LEASE_DURATION + LEASE_DURATION, LEASE_SERVER, late_grant, &mut actions);
        log_lines += actions
            .drain(..)
            .filter(|action| matches!(action, Action::Log(text) if text.starts_with("accord.within")))
            .count();
    }
    assert_eq!((log_lines, holder.lease_valid_until()), (1, Micros(0)));
}

/// Applies an update of an instance's own list, delivers the messages that follow, and lets a tenth of a
/// lease pass.
fn update_list(
    cluster: &mut Cluster, holder_index: usize, index: u64, snapshot: bool, entries: &[(&str, u64, bool)],
) {
    let fact = |since, excluded| Some(Fact { since, excluded, first_hand: true, entry: None });
    let entries = entries.iter().map(|(name, since, excluded)| (Arc::from(*name), fact(*since, *excluded)));
    let (mut actions, entries) = (Vec::new(), entries.collect());
    cluster.holders[holder_index].handle_list_update(
        cluster.now,
        ListUpdate { index, snapshot, entries },
        &mut actions,
    );
    cluster.apply_actions(holder_index, actions);
    cluster.pass_tenths(1);
}

fn excluded(cluster: &Cluster, holder_index: usize) -> Vec<(String, u64)> {
    cluster.holders[holder_index]
        .excluded_servers()
        .into_iter()
        .map(|(name, since)| (name.to_string(), since))
        .collect()
}

#[test]
fn drain_counts_until_no_list_reports_it() {
    let mut cluster = Cluster::new();
    update_list(&mut cluster, 0, 1, true, &[("a", 1, false), ("b", 1, false)]);
    update_list(&mut cluster, 1, 1, true, &[("a", 1, false), ("b", 1, false)]);
    update_list(&mut cluster, 0, 2, false, &[("a", 1, true)]);
    assert!(excluded(&cluster, 1).contains(&("a".into(), 1)));
    // The second instance's discovery says that it is in use, under a higher index: the indexes of two
    // discoveries can't be compared.
    update_list(&mut cluster, 1, 9, false, &[("a", 1, false)]);
    assert!(excluded(&cluster, 1).contains(&("a".into(), 1)));
    // The instance that reported the drain takes it back, and the list of the other one advances.
    update_list(&mut cluster, 0, 3, false, &[("a", 1, false)]);
    update_list(&mut cluster, 1, 10, false, &[]);
    cluster.pass_tenths(5);
    assert_eq!((excluded(&cluster, 0), excluded(&cluster, 1)), (vec![], vec![]));
}

#[test]
fn missing_entry_counts_as_removed_unless_the_list_index_decreases() {
    let mut cluster = Cluster::new();
    update_list(&mut cluster, 0, 5, true, &[("a", 1, false), ("b", 1, false)]);
    update_list(&mut cluster, 0, 1, true, &[]);
    assert_eq!(excluded(&cluster, 1), []);
    update_list(&mut cluster, 0, 5, true, &[("a", 1, false), ("b", 1, false)]);
    update_list(&mut cluster, 0, 6, true, &[("b", 1, false)]);
    assert_eq!(excluded(&cluster, 1)[0], ("a".into(), 1));
}
