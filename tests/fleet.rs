//! The fleet's totals, ring and classes against a plain reference that walks every server for each of them, over random
//! sequences of what can happen to servers.
use oakhollow::fleet::{Class, Fleet};
use oakhollow::records::{Server, Trust};
use oakhollow::types::*;
use oakhollow::{Allowance, OutcomeCounts, SeededRng};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const CLASSES: [Class; 5] = [Class::IdleNear, Class::IdleFar, Class::NewNear, Class::NewFar, Class::Busy];

fn allowance() -> Allowance {
    Allowance { left: 0.5, seen: Micros(0) }
}

/// Cold ones count for half.
fn room(server: &Server) -> f64 {
    match server.trust {
        Trust::Fit if server.listing.started.0 > 0 => 0.5,
        Trust::Fit => 1.0,
        _ => 0.0,
    }
}

/// The reference: nothing is kept but the servers and the order of our part of the ring.
#[derive(Default)]
struct Plain {
    now: Micros,
    near: Option<ZoneId>,
    servers: BTreeMap<ServerId, (Server, f64)>,
    circle: Vec<ServerId>,
}

impl Plain {
    fn list(&mut self, whole: bool, entries: &[ListedServer]) {
        if whole {
            self.servers.values_mut().for_each(|(server, _)| server.listing.status = ServerStatus::Gone);
        }
        for entry in entries {
            let fresh = || (Server::new(entry, 0, allowance()), 0.0);
            let (known, _) = self.servers.entry(entry.server).or_insert_with(fresh);
            if entry.started > known.listing.started {
                *known = Server::new(entry, known.out, allowance());
            }
            known.listing = entry.clone();
        }
        self.servers.retain(|_, (server, _)| server.listing.status != ServerStatus::Gone || server.out > 0);
    }

    fn ring(&self) -> Vec<ServerId> {
        let ready = self.servers.values().filter(|(server, _)| server.listing.status == ServerStatus::Ready);
        let mut ring: Vec<_> =
            ready.map(|(server, _)| (server.listing.turn(), server.listing.server)).collect();
        ring.sort_unstable();
        ring.into_iter().map(|(_, id)| id).collect()
    }

    fn draw_circle(&mut self, start: usize, wanted: f64, changed: Option<&[ServerId]>) {
        for (id, (server, kept)) in &mut self.servers {
            if changed.is_none_or(|changed| changed.contains(id)) {
                *kept = room(server);
            }
        }
        let (ring, mut sum) = (self.ring(), 0.0);
        self.circle.clear();
        for id in ring.iter().cycle().skip(start).take(ring.len()) {
            if sum >= wanted {
                break;
            }
            sum += self.servers[id].1;
            self.circle.push(*id);
        }
    }

    fn around(&self) -> impl Iterator<Item = &Server> {
        self.circle.iter().map(|id| &self.servers[id].0)
    }

    fn class(&self, server: &Server) -> Option<Class> {
        let trusted = server.trust == Trust::Fit || server.out == 0;
        let near = self.near.is_none_or(|near| near == server.listing.zone);
        let able = trusted && server.rest <= self.now && self.circle.contains(&server.listing.server);
        able.then_some(match (server.out > 0, server.answered, near) {
            (true, ..) => Class::Busy,
            (_, true, true) => Class::IdleNear,
            (_, true, false) => Class::IdleFar,
            (_, false, true) => Class::NewNear,
            (_, false, false) => Class::NewFar,
        })
    }

    fn check(&self, fleet: &Fleet) {
        let ids =
            |servers: Vec<&Server>| servers.iter().map(|server| server.listing.server).collect::<Vec<_>>();
        assert_eq!(ids(fleet.around().collect()), self.circle);
        let all = || self.servers.values().map(|(server, _)| server);
        let sizes =
            |servers: Vec<&Server>| 0.01 + servers.iter().map(|server| server.listing.weight).sum::<f64>();
        let close = |one: f64, other: f64| assert!((one - other).abs() < 1e-6, "{one} against {other}");
        let usable: Vec<&Server> = all().filter(|server| server.usable()).collect();
        assert_eq!((fleet.usable(), fleet.ready()), (usable.len() as f64, self.ring().len()));
        close(fleet.usable_size(), sizes(usable));
        close(fleet.size_around(), sizes(self.around().filter(|server| server.usable()).collect()));
        let easiest =
            self.around().filter(|server| server.usable()).fold(0.3, |most, one| one.ease.max(most));
        close(fleet.easiest(), easiest);
        let stuck = self.around().filter(|server| server.trust != Trust::Fit).map(|server| server.out);
        assert_eq!(fleet.stuck(), stuck.sum::<u32>());
        let answered: Vec<f64> =
            self.around().filter(|one| one.answered).map(|one| f64::from(one.out)).collect();
        close(fleet.mean_out(), answered.iter().sum::<f64>() / answered.len().max(1) as f64);
        let mut lots = SeededRng::new(1);
        for server in all() {
            let id = server.listing.server;
            let peers: OutcomeCounts =
                self.around().filter(|one| one.listing.server != id).map(|one| one.record).sum();
            close(fleet.peers(id).good, peers.good);
            close(fleet.peers(id).bad, peers.bad);
            let only = |one: &Server| one.listing.server == id;
            let found =
                CLASSES.into_iter().filter(|class| fleet.draw(&[*class], None, &mut lots, &only).is_some());
            assert_eq!(found.collect::<Vec<_>>(), Vec::from_iter(self.class(server)), "{id:?}");
            let cell = server.listing.cell;
            let mut there: Vec<_> = self.around().filter(|one| one.listing.cell == cell).collect();
            there.sort_by_key(|one| one.listing.turn());
            assert_eq!(ids(fleet.cell(cell).collect()), ids(there));
        }
        assert_eq!(fleet.all().count(), self.servers.len());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Whole(Vec<ListedServer>),
    Changes(Vec<ListedServer>),
    Sent(u32),
    Ended(u32, bool, bool),
    Trusted(u32, u8),
    Rests(u32, u64),
    Passes(u64),
    Beat,
}

fn listing(servers: u32) -> impl Strategy<Value = ListedServer> {
    (0..servers, 0..3_u8, 0..4_u8, 0..3_u64).prop_map(|(server, status, size, started)| ListedServer {
        server: ServerId(server),
        zone: ZoneId(server % 2),
        cell: CellId(server % 7),
        status: [ServerStatus::Ready, ServerStatus::Draining, ServerStatus::Gone][usize::from(status)],
        weight: [0.0, 0.5, 1.0, 8.0][usize::from(size)],
        name_hash: u64::from(server) * 7919 % 101,
        started: Micros(started * 1000),
    })
}

fn step(servers: u32) -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop::collection::vec(listing(servers), 0..80).prop_map(Step::Whole),
        8 => prop::collection::vec(listing(servers), 1..4).prop_map(Step::Changes),
        8 => (0..servers).prop_map(Step::Sent),
        8 => (0..servers, any::<bool>(), any::<bool>()).prop_map(|(id, good, slow)| Step::Ended(id, good, slow)),
        4 => (0..servers, 0..3_u8).prop_map(|(id, trust)| Step::Trusted(id, trust)),
        4 => (0..servers, 0..5_000_u64).prop_map(|(id, rest)| Step::Rests(id, rest)),
        4 => (0..3_000_u64).prop_map(Step::Passes),
        2 => Just(Step::Beat),
    ]
}

struct Both {
    fleet: Fleet,
    plain: Plain,
    part: f64,
    number: f64,
    wanted: f64,
}

impl Both {
    fn change(&mut self, id: u32, how: impl Fn(&mut Server)) {
        let id = ServerId(id);
        self.fleet.change(id, &how);
        if let Some((server, _)) = self.plain.servers.get_mut(&id) {
            how(server);
        }
    }

    fn draw_circle(&mut self, changed: Option<&[ServerId]>) {
        let all = self.fleet.ready() as f64;
        let (start, wanted) = ((all * self.part * self.number) as usize, (all * self.part).max(self.wanted));
        match changed {
            Some(changed) => self.fleet.refit(start, wanted, changed, room),
            None => self.fleet.redraw(start, wanted, room),
        }
        self.plain.draw_circle(start, wanted, changed);
    }

    fn list(&mut self, whole: bool, entries: &[ListedServer]) {
        self.fleet.list(whole, entries, ListedServer::turn, allowance);
        self.plain.list(whole, entries);
        let changed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        self.draw_circle(Some(&changed).filter(|_| !whole).map(Vec::as_slice));
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Whole(entries) => self.list(true, entries),
            Step::Changes(entries) => self.list(false, entries),
            Step::Sent(id) => self.change(*id, |server| server.out += 1),
            Step::Ended(id, good, slow) => {
                self.change(*id, |server| {
                    server.out -= server.out.min(1);
                    server.record.add(*good);
                    if *good {
                        server.answer(*slow);
                    }
                });
                let gone = |server: &Server| server.out == 0 && server.listing.status == ServerStatus::Gone;
                if self.fleet.get(ServerId(*id)).is_some_and(gone) {
                    self.fleet.remove(ServerId(*id));
                    self.plain.servers.remove(&ServerId(*id));
                }
            }
            Step::Trusted(id, trust) => {
                let trust = [Trust::Fit, Trust::Aside, Trust::Trial][usize::from(*trust)];
                self.change(*id, |server| server.trust = trust);
                self.draw_circle(Some(&[ServerId(*id)]));
            }
            Step::Rests(id, rest) => {
                let rest = self.plain.now + Micros(*rest);
                self.change(*id, |server| server.rest = rest);
            }
            Step::Passes(time) => {
                self.plain.now = self.plain.now + Micros(*time);
                while self.fleet.rouse(self.plain.now).is_some() {}
            }
            Step::Beat => self.draw_circle(None),
        }
        self.plain.check(&self.fleet);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(14), ..ProptestConfig::default() })]

    #[test]
    fn as_the_plain_one(
        steps in prop::collection::vec(step(60), 1..80), instances in 1..12_u32, number in 0..12_u32, near in 0..3_u32,
        wanted in 0..30_u32,
    ) {
        let (part, number) = (1.0 / f64::from(instances), f64::from(number % instances));
        let near = (near < 2).then_some(ZoneId(near));
        let plain = Plain { near, ..Plain::default() };
        let mut both = Both { fleet: Fleet::new(near), plain, part, number, wanted: f64::from(wanted) };
        for step in &steps {
            both.play(step);
        }
    }
}

/// What is drawn blindly first and looked through then is drawn evenly all the same, however many don't fit.
#[test]
fn draws_are_even() {
    for (servers, every) in [(8, 2), (40, 2), (400, 40), (400, 3)] {
        let entry = |id: u32| ListedServer {
            server: ServerId(id),
            zone: ZoneId(0),
            cell: CellId(id),
            status: ServerStatus::Ready,
            weight: 1.0,
            name_hash: 0,
            started: Micros(0),
        };
        let mut fleet = Fleet::new(None);
        fleet.list(true, &(0..servers).map(entry).collect::<Vec<_>>(), ListedServer::turn, allowance);
        fleet.redraw(0, 1e9, room);
        let (mut lots, mut counts) = (SeededRng::new(5), BTreeMap::new());
        let fits = |server: &Server| server.listing.server.0.is_multiple_of(every);
        let fitting = f64::from(servers.div_ceil(every));
        let draws = (400.0 * fitting) as u32;
        for _ in 0..draws {
            let drawn =
                fleet.draw(&[Class::IdleNear, Class::NewNear], None, &mut lots, &fits).expect("some fit");
            *counts.entry(drawn.listing.server).or_insert(0.0) += 1.0;
        }
        assert_eq!(counts.len() as f64, fitting);
        // Chi-square with `fitting - 1` degrees of freedom, five standard deviations out.
        let spread: f64 = counts.values().map(|count| (count - 400.0_f64).powi(2) / 400.0).sum();
        assert!(spread < fitting + 5.0 * (2.0 * fitting).sqrt(), "{servers}, {every}: {spread}");
    }
}
