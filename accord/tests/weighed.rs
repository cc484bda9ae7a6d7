//! What a keeper makes of what all say, which it keeps up by changes, against the plain reckoning: of each subject the most
//! that any who lives says. And that a word costs what it changes, not what all others say.
use oakhollow_accord::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long a member counts a lease.
const WITHIN: Micros = Micros(400);

/// What one says, as a test thinks of it.
type Plain = BTreeMap<u8, (u64, bool)>;

#[derive(Clone, Debug)]
enum Step {
    /// One of them says this from now on.
    Says(u8, Plain),
    /// It starts again: another holder, which says nothing yet.
    Again(u8),
    /// So many hundredths of a lease pass, in which these ask again.
    Passes(u8, Vec<u8>),
}

const HOLDERS: u8 = 4;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let plain = prop::collection::btree_map(0_u8..6, (0_u64..3, any::<bool>()), 0..5);
    let step = prop_oneof![
        4 => (0..HOLDERS, plain).prop_map(|(who, plain)| Step::Says(who, plain)),
        1 => (0..HOLDERS).prop_map(Step::Again),
        3 => (1_u8..60, prop::collection::vec(0..HOLDERS, 0..4)).prop_map(|(length, who)| Step::Passes(length, who)),
    ];
    prop::collection::vec(step, 1..60)
}

/// One who asks, by its own ledger as the package keeps it.
struct Asks {
    member: LeaseHolder,
    life: u64,
    index: u64,
    says: Plain,
    until: Micros,
}

struct Few {
    now: Micros,
    keeper: LeaseServer,
    asks: Vec<Asks>,
}

fn member() -> LeaseHolder {
    LeaseHolder::new(vec![InstanceId(0)], WITHIN, Arc::new(|_: &[Arc<str>]| Ok(())))
}

fn facts(plain: &Plain) -> Vec<(Arc<str>, Option<Fact>)> {
    let fact = |(name, (since, out)): (&u8, &(u64, bool))| {
        let fact = Fact { since: *since, excluded: *out, first_hand: true, entry: None };
        (Arc::from(format!("s{name}")), Some(fact))
    };
    plain.iter().map(fact).collect()
}

impl Few {
    fn new(members: u8) -> Few {
        let fresh = || Asks { member: member(), life: 1, index: 1, says: Plain::new(), until: Micros(0) };
        let asks = (0..members).map(|_| fresh()).collect();
        Few { now: Micros(1), keeper: LeaseServer::new(Micros(0), WITHIN), asks }
    }

    fn carry(&mut self, who: usize, actions: Vec<Action>) {
        let asks = &mut self.asks[who];
        let holder = HolderId { instance: InstanceId(who as u32), incarnation: asks.life };
        for action in actions {
            let Action::Send(_, word) = action else { continue };
            if matches!(word, Message::LeaseRequest { .. }) {
                asks.until = self.now + WITHIN.times(1.0 + CLOCK_RATE_TOLERANCE);
            }
            let mut out = Vec::new();
            self.keeper.handle_message(self.now, holder, word, &mut out);
            // What it hears beyond what it is asked for is left: this is about what it says.
            for (to, word) in out {
                if to == holder && matches!(word, Message::UnknownReport { .. }) {
                    let mut actions = Vec::new();
                    self.asks[who].member.handle_message(self.now, InstanceId(0), word, &mut actions);
                    self.carry(who, actions);
                    return;
                }
            }
        }
    }

    fn ask(&mut self, who: usize) {
        let mut actions = Vec::new();
        self.asks[who].member.handle_message(self.now, InstanceId(0), Message::StateChanged, &mut actions);
        self.carry(who, actions);
    }

    fn says(&mut self, who: usize, plain: Plain) {
        let asks = &mut self.asks[who];
        asks.index += 1;
        // Whole, so that what is gone from it counts as out as well: named as such here.
        let before = std::mem::replace(&mut asks.says, plain.clone());
        let mut entries = facts(&plain);
        for (name, fact) in before {
            if !plain.contains_key(&name) {
                asks.says.insert(name, (fact.0, true));
                entries.push((
                    Arc::from(format!("s{name}")),
                    Some(Fact { since: fact.0, excluded: true, first_hand: true, entry: None }),
                ));
            }
        }
        let mut actions = Vec::new();
        let listed = ListUpdate { index: asks.index, snapshot: false, entries };
        asks.member.handle_list_update(self.now, listed, &mut actions);
        self.carry(who, actions);
        self.ask(who);
    }

    fn reckoned(&self) -> BTreeMap<String, u64> {
        let mut most = BTreeMap::new();
        for asks in self.asks.iter().filter(|asks| asks.until > self.now) {
            for (name, (since, _)) in asks.says.iter().filter(|(_, (_, out))| *out) {
                let known = most.entry(format!("s{name}")).or_insert(*since);
                *known = (*known).max(*since);
            }
        }
        most
    }

    fn kept(&self) -> BTreeMap<String, u64> {
        let facts = self.keeper.facts().iter();
        facts.map(|(subject, fact)| (subject.name().to_string(), fact.since)).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn what_is_kept_by_changes_is_the_most_that_any_who_lives_says(steps in steps()) {
        let mut few = Few::new(HOLDERS);
        for step in steps {
            match step {
                Step::Says(who, plain) => few.says(who as usize, plain),
                Step::Again(who) => {
                    let asks = &mut few.asks[who as usize];
                    // What it said before it started again is said by its earlier life until that runs out.
                    if asks.until > few.now {
                        continue;
                    }
                    *asks = Asks { member: member(), life: asks.life + 1, index: 1, says: Plain::new(), until: Micros(0) };
                }
                Step::Passes(length, who) => {
                    few.now = few.now + WITHIN.times(f64::from(length) / 100.0);
                    who.into_iter().for_each(|who| few.ask(who as usize));
                    few.keeper.handle_timer(few.now, &mut Vec::new());
                }
            }
            prop_assert_eq!(few.kept(), few.reckoned());
        }
    }
}

/// Steps of work of a keeper for one drain that is told to one, and taken back, beside so many others that each say
/// something of their own.
fn steps_for_a_drain(others: u32) -> u64 {
    let (mut keeper, now) = (LeaseServer::new(Micros(0), WITHIN), Micros(1));
    let mut out = Vec::new();
    let says = |holder: u32, name: String, keeper: &mut LeaseServer, out: &mut Vec<(HolderId, Message)>| {
        let holder = HolderId { instance: InstanceId(holder), incarnation: 1 };
        let mut member = member();
        let (mut actions, fact) =
            (Vec::new(), Fact { since: 1, excluded: true, first_hand: true, entry: None });
        let entries = vec![(Arc::from(name), Some(fact))];
        member.handle_list_update(now, ListUpdate { index: 1, snapshot: false, entries }, &mut actions);
        let mut asks = |member: &mut LeaseHolder, out: &mut Vec<(HolderId, Message)>| {
            let mut actions = Vec::new();
            member.handle_message(now, InstanceId(0), Message::StateChanged, &mut actions);
            for action in actions {
                let Action::Send(_, word) = action else { continue };
                keeper.handle_message(now, holder, word, out);
            }
        };
        asks(&mut member, out);
        let mut actions = Vec::new();
        member.handle_message(now, InstanceId(0), Message::UnknownReport { known_hash: 0 }, &mut actions);
        for action in actions {
            let Action::Send(_, word) = action else { continue };
            keeper.handle_message(now, holder, word, out);
        }
    };
    (0..others).for_each(|other| says(other, format!("s{other}"), &mut keeper, &mut out));
    assert_eq!(keeper.facts().len(), others as usize);
    let before = keeper.entries_examined();
    // Another who says what is said already: nobody else is concerned.
    says(others, "s0".into(), &mut keeper, &mut out);
    keeper.entries_examined() - before
}

#[test]
fn a_word_that_changes_nothing_for_others_costs_the_same_beside_many() {
    let (few, many) = (steps_for_a_drain(20), steps_for_a_drain(640));
    assert!(many <= few + 4, "{few} steps beside 20, {many} beside 640");
}
