//! Compares the fleet's totals, ring, subset and classes with a simple reference that computes each of them
//! from all servers, over random sequences of changes.
use oakhollow::fleet::{Fleet, ServerClass};
use oakhollow::records::{Health, Server};
use oakhollow::types::*;
use oakhollow::{OutcomeCounts, SeededRng, TokenBucket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const ALL_CLASSES: [ServerClass; 5] = [
    ServerClass::IdleLocal,
    ServerClass::IdleRemote,
    ServerClass::NewLocal,
    ServerClass::NewRemote,
    ServerClass::Busy,
];

fn cold_bucket() -> TokenBucket {
    TokenBucket { tokens: 0.5, updated: Micros(0) }
}

/// The capacity that a server adds to the subset; half for a cold one.
fn capacity(server: &Server) -> f64 {
    match server.health {
        Health::Healthy if server.listing.started.0 > 0 => 0.5,
        Health::Healthy => 1.0,
        _ => 0.0,
    }
}

/// The reference: it keeps only the servers, each with its capacity, and the subset in ring order.
#[derive(Default)]
struct Reference {
    now: Micros,
    local_zone: Option<ZoneId>,
    servers: BTreeMap<ServerId, (Server, f64)>,
    subset: Vec<ServerId>,
}

impl Reference {
    fn list(&mut self, whole: bool, entries: &[ListedServer]) {
        if whole {
            self.servers.values_mut().for_each(|(server, _)| server.listing.status = ServerStatus::Gone);
        }
        for entry in entries {
            let fresh = || (Server::new(entry, 0, cold_bucket()), 0.0);
            let (known, _) = self.servers.entry(entry.server).or_insert_with(fresh);
            if entry.started > known.listing.started {
                *known = Server::new(entry, known.in_flight, cold_bucket());
            }
            known.listing = entry.clone();
        }
        self.servers
            .retain(|_, (server, _)| server.listing.status != ServerStatus::Gone || server.in_flight > 0);
    }

    fn ring(&self) -> Vec<ServerId> {
        let ready = self.servers.values().filter(|(server, _)| server.listing.status == ServerStatus::Ready);
        let mut ring: Vec<_> =
            ready.map(|(server, _)| (server.listing.ring_position(), server.listing.server)).collect();
        ring.sort_unstable();
        ring.into_iter().map(|(_, id)| id).collect()
    }

    fn update_subset(&mut self, start: usize, wanted: f64, changed: Option<&[ServerId]>) {
        for (id, (server, known)) in &mut self.servers {
            if changed.is_none_or(|changed| changed.contains(id)) {
                *known = capacity(server);
            }
        }
        let (ring, mut sum) = (self.ring(), 0.0);
        self.subset.clear();
        for id in ring.iter().cycle().skip(start).take(ring.len()) {
            if sum >= wanted {
                break;
            }
            sum += self.servers[id].1;
            self.subset.push(*id);
        }
    }

    fn subset(&self) -> impl Iterator<Item = &Server> {
        self.subset.iter().map(|id| &self.servers[id].0)
    }

    fn class(&self, server: &Server) -> Option<ServerClass> {
        let may_be_sent_to = server.health == Health::Healthy || server.in_flight == 0;
        let local = self.local_zone.is_none_or(|local| local == server.listing.zone);
        let eligible = may_be_sent_to
            && server.blocked_until <= self.now
            && self.subset.contains(&server.listing.server);
        eligible.then_some(match (server.in_flight > 0, server.has_answered, local) {
            (true, ..) => ServerClass::Busy,
            (_, true, true) => ServerClass::IdleLocal,
            (_, true, false) => ServerClass::IdleRemote,
            (_, false, true) => ServerClass::NewLocal,
            (_, false, false) => ServerClass::NewRemote,
        })
    }

    fn check(&self, fleet: &Fleet) {
        let ids =
            |servers: Vec<&Server>| servers.iter().map(|server| server.listing.server).collect::<Vec<_>>();
        assert_eq!(ids(fleet.subset().collect()), self.subset);
        let all = || self.servers.values().map(|(server, _)| server);
        let weight =
            |servers: Vec<&Server>| 0.01 + servers.iter().map(|server| server.listing.weight).sum::<f64>();
        let close = |one: f64, other: f64| assert!((one - other).abs() < 1e-6, "{one} against {other}");
        let usable: Vec<&Server> = all().filter(|server| server.is_usable()).collect();
        assert_eq!((fleet.usable_count(), fleet.ready_count()), (usable.len() as f64, self.ring().len()));
        close(fleet.usable_weight(), weight(usable));
        close(fleet.subset_weight(), weight(self.subset().filter(|server| server.is_usable()).collect()));
        let max_weight_factor = self
            .subset()
            .filter(|server| server.is_usable())
            .fold(0.3, |most, one| one.weight_factor.max(most));
        close(fleet.max_weight_factor(), max_weight_factor);
        let unhealthy =
            self.subset().filter(|server| server.health != Health::Healthy).map(|server| server.in_flight);
        assert_eq!(fleet.unhealthy_in_flight(), unhealthy.sum::<u32>());
        let answered: Vec<f64> =
            self.subset().filter(|one| one.has_answered).map(|one| f64::from(one.in_flight)).collect();
        close(fleet.mean_in_flight(), answered.iter().sum::<f64>() / answered.len().max(1) as f64);
        let mut rng = SeededRng::new(1);
        for server in all() {
            let id = server.listing.server;
            let others: OutcomeCounts =
                self.subset().filter(|one| one.listing.server != id).map(|one| one.outcomes).sum();
            close(fleet.outcomes_of_others(id).good, others.good);
            close(fleet.outcomes_of_others(id).bad, others.bad);
            let only = |one: &Server| one.listing.server == id;
            let found = ALL_CLASSES
                .into_iter()
                .filter(|class| fleet.pick_random(&[*class], None, &mut rng, &only).is_some());
            assert_eq!(found.collect::<Vec<_>>(), Vec::from_iter(self.class(server)), "{id:?}");
            let cell = server.listing.cell;
            let mut in_cell: Vec<_> = self.subset().filter(|one| one.listing.cell == cell).collect();
            in_cell.sort_by_key(|one| one.listing.ring_position());
            assert_eq!(ids(fleet.in_cell(cell).collect()), ids(in_cell));
        }
        assert_eq!(fleet.all().count(), self.servers.len());
    }
}

#[derive(Clone, Debug)]
enum Change {
    WholeList(Vec<ListedServer>),
    ListChanges(Vec<ListedServer>),
    HopSent(u32),
    /// A server, whether the hop was good, and whether it was slow.
    HopEnded(u32, bool, bool),
    HealthChanged(u32, u8),
    Blocked(u32, u64),
    TimePassed(u64),
    Tick,
}

fn listing(servers: u32) -> impl Strategy<Value = ListedServer> {
    (0..servers, 0..3_u8, 0..4_u8, 0..3_u64).prop_map(|(server, status, weight, started)| ListedServer {
        server: ServerId(server),
        zone: ZoneId(server % 2),
        cell: CellId(server % 7),
        status: [ServerStatus::Ready, ServerStatus::Draining, ServerStatus::Gone][usize::from(status)],
        weight: [0.0, 0.5, 1.0, 8.0][usize::from(weight)],
        name_hash: u64::from(server) * 7919 % 101,
        started: Micros(started * 1000),
    })
}

fn change(servers: u32) -> impl Strategy<Value = Change> {
    prop_oneof![
        1 => prop::collection::vec(listing(servers), 0..80).prop_map(Change::WholeList),
        8 => prop::collection::vec(listing(servers), 1..4).prop_map(Change::ListChanges),
        8 => (0..servers).prop_map(Change::HopSent),
        8 => (0..servers, any::<bool>(), any::<bool>()).prop_map(|(id, good, slow)| Change::HopEnded(id, good, slow)),
        4 => (0..servers, 0..3_u8).prop_map(|(id, health)| Change::HealthChanged(id, health)),
        4 => (0..servers, 0..5_000_u64).prop_map(|(id, time)| Change::Blocked(id, time)),
        4 => (0..3_000_u64).prop_map(Change::TimePassed),
        2 => Just(Change::Tick),
    ]
}

struct Comparison {
    fleet: Fleet,
    reference: Reference,
    /// The share of the ring that a balancer's subset covers, and the balancer's index.
    share: f64,
    instance_index: f64,
    /// The least capacity of the subset.
    min_capacity: f64,
}

impl Comparison {
    fn update(&mut self, id: u32, change: impl Fn(&mut Server)) {
        let id = ServerId(id);
        self.fleet.update(id, &change);
        if let Some((server, _)) = self.reference.servers.get_mut(&id) {
            change(server);
        }
    }

    fn update_subset(&mut self, changed: Option<&[ServerId]>) {
        let all = self.fleet.ready_count() as f64;
        let (start, wanted) =
            ((all * self.share * self.instance_index) as usize, (all * self.share).max(self.min_capacity));
        match changed {
            Some(changed) => self.fleet.adjust_subset(start, wanted, changed, capacity),
            None => self.fleet.rebuild_subset(start, wanted, capacity),
        }
        self.reference.update_subset(start, wanted, changed);
    }

    fn list(&mut self, whole: bool, entries: &[ListedServer]) {
        self.fleet.apply_list(whole, entries, ListedServer::ring_position, cold_bucket);
        self.reference.list(whole, entries);
        let changed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        self.update_subset(Some(&changed).filter(|_| !whole).map(Vec::as_slice));
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::WholeList(entries) => self.list(true, entries),
            Change::ListChanges(entries) => self.list(false, entries),
            Change::HopSent(id) => self.update(*id, |server| server.in_flight += 1),
            Change::HopEnded(id, good, slow) => {
                self.update(*id, |server| {
                    server.in_flight -= server.in_flight.min(1);
                    server.outcomes.add(*good);
                    if *good {
                        server.record_answer(*slow);
                    }
                });
                let gone =
                    |server: &Server| server.in_flight == 0 && server.listing.status == ServerStatus::Gone;
                if self.fleet.get(ServerId(*id)).is_some_and(gone) {
                    self.fleet.remove(ServerId(*id));
                    self.reference.servers.remove(&ServerId(*id));
                }
            }
            Change::HealthChanged(id, health) => {
                let health = [Health::Healthy, Health::Ejected, Health::Probation][usize::from(*health)];
                self.update(*id, |server| server.health = health);
                self.update_subset(Some(&[ServerId(*id)]));
            }
            Change::Blocked(id, time) => {
                let until = self.reference.now + Micros(*time);
                self.update(*id, |server| server.blocked_until = until);
            }
            Change::TimePassed(time) => {
                self.reference.now = self.reference.now + Micros(*time);
                while self.fleet.next_unblocked(self.reference.now).is_some() {}
            }
            Change::Tick => self.update_subset(None),
        }
        self.reference.check(&self.fleet);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(14), ..ProptestConfig::default() })]

    #[test]
    fn fleet_matches_the_reference(
        changes in prop::collection::vec(change(60), 1..80), instances in 1..12_u32, instance_index in 0..12_u32,
        local_zone in 0..3_u32, min_capacity in 0..30_u32,
    ) {
        let (share, instance_index) = (1.0 / f64::from(instances), f64::from(instance_index % instances));
        let local_zone = (local_zone < 2).then_some(ZoneId(local_zone));
        let reference = Reference { local_zone, ..Reference::default() };
        let mut comparison = Comparison { fleet: Fleet::new(local_zone), reference, share, instance_index, min_capacity: f64::from(min_capacity) };
        for change in &changes {
            comparison.apply(change);
        }
    }
}

/// A pick is uniform, whether random probes find a suitable server or all servers are searched after them.
#[test]
fn random_picks_are_uniform() {
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
        fleet.apply_list(
            true,
            &(0..servers).map(entry).collect::<Vec<_>>(),
            ListedServer::ring_position,
            cold_bucket,
        );
        fleet.rebuild_subset(0, 1e9, capacity);
        let (mut rng, mut counts) = (SeededRng::new(5), BTreeMap::new());
        let suitable = |server: &Server| server.listing.server.0.is_multiple_of(every);
        let expected = f64::from(servers.div_ceil(every));
        let picks = (400.0 * expected) as u32;
        for _ in 0..picks {
            let picked = fleet
                .pick_random(&[ServerClass::IdleLocal, ServerClass::NewLocal], None, &mut rng, &suitable)
                .expect("some are suitable");
            *counts.entry(picked.listing.server).or_insert(0.0) += 1.0;
        }
        assert_eq!(counts.len() as f64, expected);
        // Chi-square with `expected - 1` degrees of freedom, bounded five standard deviations above its mean.
        let chi_square: f64 = counts.values().map(|count| (count - 400.0_f64).powi(2) / 400.0).sum();
        assert!(chi_square < expected + 5.0 * (2.0 * expected).sqrt(), "{servers}, {every}: {chi_square}");
    }
}
