//! Checks the facts that a lease server publishes, which it maintains incrementally, against a plain
//! computation: for each subject the greatest fact that any holder with a valid lease reports. Also checks
//! that the cost of a message depends on what it changes, not on what other holders report.
use oakhollow_lease::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long a lease holder counts its lease as valid.
const LEASE_DURATION: Micros = Micros(400);

/// A report in plain form: for each server, its `since` and whether it is excluded.
type PlainReport = BTreeMap<u8, (u64, bool)>;

#[derive(Clone, Debug)]
enum Step {
    /// A holder changes its report to this one.
    Report(u8, PlainReport),
    /// A holder restarts with a new incarnation, which reports nothing yet.
    Restart(u8),
    /// That many hundredths of a lease pass, in which these holders send requests.
    Pass(u8, Vec<u8>),
}

const HOLDERS: u8 = 4;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let report = prop::collection::btree_map(0_u8..6, (0_u64..3, any::<bool>()), 0..5);
    let step = prop_oneof![
        4 => (0..HOLDERS, report).prop_map(|(holder_index, report)| Step::Report(holder_index, report)),
        1 => (0..HOLDERS).prop_map(Step::Restart),
        3 => (1_u8..60, prop::collection::vec(0..HOLDERS, 0..4)).prop_map(|(hundredths, senders)| Step::Pass(hundredths, senders)),
    ];
    prop::collection::vec(step, 1..60)
}

/// A lease holder, with its report in plain form.
struct TestHolder {
    lease_holder: LeaseHolder,
    incarnation: u64,
    /// The index of its list.
    index: u64,
    report: PlainReport,
    lease_valid_until: Micros,
}

struct Cluster {
    now: Micros,
    lease_server: LeaseServer,
    holders: Vec<TestHolder>,
}

fn lease_holder() -> LeaseHolder {
    LeaseHolder::new(vec![InstanceId(0)], LEASE_DURATION, Arc::new(|_: &[Arc<str>]| Ok(())))
}

fn facts(report: &PlainReport) -> Vec<(Arc<str>, Option<Fact>)> {
    let fact = |(name, (since, excluded)): (&u8, &(u64, bool))| {
        let fact = Fact { since: *since, excluded: *excluded, first_hand: true, entry: None };
        (Arc::from(format!("s{name}")), Some(fact))
    };
    report.iter().map(fact).collect()
}

impl Cluster {
    fn new(count: u8) -> Cluster {
        let new_holder = || TestHolder {
            lease_holder: lease_holder(),
            incarnation: 1,
            index: 1,
            report: PlainReport::new(),
            lease_valid_until: Micros(0),
        };
        let holders = (0..count).map(|_| new_holder()).collect();
        Cluster { now: Micros(1), lease_server: LeaseServer::new(Micros(0), LEASE_DURATION), holders }
    }

    fn apply_actions(&mut self, holder_index: usize, actions: Vec<Action>) {
        let holder = &mut self.holders[holder_index];
        let holder_id =
            HolderId { instance: InstanceId(holder_index as u32), incarnation: holder.incarnation };
        for action in actions {
            let Action::Send(_, message) = action else { continue };
            if matches!(message, Message::LeaseRequest { .. }) {
                holder.lease_valid_until = self.now + LEASE_DURATION.times(1.0 + CLOCK_RATE_TOLERANCE);
            }
            let mut out = Vec::new();
            self.lease_server.handle_message(self.now, holder_id, message, &mut out);
            // Fact updates to other holders are not delivered: this test is about reports.
            for (to, message) in out {
                if to == holder_id && matches!(message, Message::UnknownReport { .. }) {
                    let mut actions = Vec::new();
                    self.holders[holder_index].lease_holder.handle_message(
                        self.now,
                        InstanceId(0),
                        message,
                        &mut actions,
                    );
                    self.apply_actions(holder_index, actions);
                    return;
                }
            }
        }
    }

    fn send_request(&mut self, holder_index: usize) {
        let mut actions = Vec::new();
        self.holders[holder_index].lease_holder.handle_message(
            self.now,
            InstanceId(0),
            Message::StateChanged,
            &mut actions,
        );
        self.apply_actions(holder_index, actions);
    }

    fn report(&mut self, holder_index: usize, report: PlainReport) {
        let holder = &mut self.holders[holder_index];
        holder.index += 1;
        // An entry that is missing from the new report counts as excluded, and is sent as such.
        let previous = std::mem::replace(&mut holder.report, report.clone());
        let mut entries = facts(&report);
        for (name, fact) in previous {
            if !report.contains_key(&name) {
                holder.report.insert(name, (fact.0, true));
                entries.push((
                    Arc::from(format!("s{name}")),
                    Some(Fact { since: fact.0, excluded: true, first_hand: true, entry: None }),
                ));
            }
        }
        let mut actions = Vec::new();
        let update = ListUpdate { index: holder.index, snapshot: false, entries };
        holder.lease_holder.handle_list_update(self.now, update, &mut actions);
        self.apply_actions(holder_index, actions);
        self.send_request(holder_index);
    }

    /// The `since` of each server that a holder with a valid lease reports as excluded.
    fn expected(&self) -> BTreeMap<String, u64> {
        let mut greatest = BTreeMap::new();
        for holder in self.holders.iter().filter(|holder| holder.lease_valid_until > self.now) {
            for (name, (since, _)) in holder.report.iter().filter(|(_, (_, excluded))| *excluded) {
                let known = greatest.entry(format!("s{name}")).or_insert(*since);
                *known = (*known).max(*since);
            }
        }
        greatest
    }

    fn published(&self) -> BTreeMap<String, u64> {
        let facts = self.lease_server.facts().iter();
        facts.map(|(subject, fact)| (subject.name().to_string(), fact.since)).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn published_facts_are_the_greatest_of_all_valid_reports(steps in steps()) {
        let mut cluster = Cluster::new(HOLDERS);
        for step in steps {
            match step {
                Step::Report(holder_index, report) => cluster.report(holder_index as usize, report),
                Step::Restart(holder_index) => {
                    let holder = &mut cluster.holders[holder_index as usize];
                    // The report of the earlier incarnation counts until its lease expires, so it restarts
                    // only after that.
                    if holder.lease_valid_until > cluster.now {
                        continue;
                    }
                    *holder = TestHolder {
                        lease_holder: lease_holder(),
                        incarnation: holder.incarnation + 1,
                        index: 1,
                        report: PlainReport::new(),
                        lease_valid_until: Micros(0),
                    };
                }
                Step::Pass(hundredths, senders) => {
                    cluster.now = cluster.now + LEASE_DURATION.times(f64::from(hundredths) / 100.0);
                    senders.into_iter().for_each(|holder_index| cluster.send_request(holder_index as usize));
                    cluster.lease_server.handle_timer(cluster.now, &mut Vec::new());
                }
            }
            prop_assert_eq!(cluster.published(), cluster.expected());
        }
    }
}

/// How many entries a lease server examines for the report of one drain, if `others` holders have each
/// reported a different drain before, and one of them this same drain.
fn entries_examined_for_a_drain(others: u32) -> u64 {
    let (mut lease_server, now) = (LeaseServer::new(Micros(0), LEASE_DURATION), Micros(1));
    let mut out = Vec::new();
    let report = |instance: u32,
                  name: String,
                  lease_server: &mut LeaseServer,
                  out: &mut Vec<(HolderId, Message)>| {
        let holder_id = HolderId { instance: InstanceId(instance), incarnation: 1 };
        let mut lease_holder = lease_holder();
        let (mut actions, fact) =
            (Vec::new(), Fact { since: 1, excluded: true, first_hand: true, entry: None });
        let entries = vec![(Arc::from(name), Some(fact))];
        lease_holder.handle_list_update(now, ListUpdate { index: 1, snapshot: false, entries }, &mut actions);
        let mut send_request = |lease_holder: &mut LeaseHolder, out: &mut Vec<(HolderId, Message)>| {
            let mut actions = Vec::new();
            lease_holder.handle_message(now, InstanceId(0), Message::StateChanged, &mut actions);
            for action in actions {
                let Action::Send(_, message) = action else { continue };
                lease_server.handle_message(now, holder_id, message, out);
            }
        };
        send_request(&mut lease_holder, out);
        let mut actions = Vec::new();
        lease_holder.handle_message(
            now,
            InstanceId(0),
            Message::UnknownReport { known_hash: 0 },
            &mut actions,
        );
        for action in actions {
            let Action::Send(_, message) = action else { continue };
            lease_server.handle_message(now, holder_id, message, out);
        }
    };
    (0..others).for_each(|other| report(other, format!("s{other}"), &mut lease_server, &mut out));
    assert_eq!(lease_server.facts().len(), others as usize);
    let before = lease_server.entries_examined();
    // A fact that another holder reports already: the published facts do not change.
    report(others, "s0".into(), &mut lease_server, &mut out);
    lease_server.entries_examined() - before
}

#[test]
fn cost_of_an_unchanged_fact_does_not_depend_on_other_reports() {
    let (few, many) = (entries_examined_for_a_drain(20), entries_examined_for_a_drain(640));
    assert!(many <= few + 4, "{few} entries beside 20 holders, {many} beside 640");
}
