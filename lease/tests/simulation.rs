//! Seeded random simulations of many instances. Messages are lost, delayed, duplicated and reordered,
//! versions change in quick succession, lease servers and instances restart, and clocks differ by up to 1 %.
//! At no time may two instances that act contradict each other.
mod common;
mod state_space;
mod world;

use common::LEASE_DURATION;
use oakhollow_lease::Message;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{Envelope, InjectedBug, World};

/// A small random number generator, so that the seed alone determines a simulation.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = (self.0 ^ (self.0 >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        mixed ^ (mixed >> 32)
    }
    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }
    fn fraction(&mut self) -> f64 {
        (self.next() % 10_000) as f64 / 10_000.0
    }
}

/// The outcome of a simulation.
struct Outcome {
    violation: Option<String>,
    /// How many instances act on the last version alone, and send to no draining server, at the end of a
    /// period without faults.
    converged: usize,
    message_count: usize,
}

const SERVERS: u64 = 3;

/// The servers that instances receive facts about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    /// The servers on the instance's own list; each list names some of them.
    Listed,
}

fn simulate(seed: u64, lease_servers: usize, instances: usize, bug: InjectedBug, scope: Scope) -> Outcome {
    let listed = scope == Scope::Listed;
    let (mut random, mut world) =
        (Random(seed), World::with_subscription(lease_servers, instances, bug, listed));
    for instance in 0..instances {
        std::sync::Arc::make_mut(&mut world.instances[instance]).clock_drift =
            0.01 * (2.0 * random.fraction() - 1.0);
        world.propose(instance, 1);
        for server in 0..SERVERS {
            if !listed || random.below(2) == 0 {
                world.update_list(instance, (server, 1, false), false);
            }
        }
    }
    let mut incarnations = vec![1; SERVERS as usize];
    for lease_server in 0..lease_servers {
        world.server_clock_drift[lease_server] = 0.01 * (2.0 * random.fraction() - 1.0);
    }
    // The messages of some instances are lost more often.
    let loss_rates: Vec<f64> =
        (0..instances).map(|_| if random.below(4) == 0 { 0.7 } else { 0.05 }).collect();
    // One instance may receive no facts about servers, while all other messages reach it.
    let without_facts = (random.below(3) == 0).then(|| random.below(instances));
    let (mut in_flight, mut delivered, mut latest_version, mut message_count): (
        Vec<(f64, Envelope)>,
        Vec<Envelope>,
        u64,
        usize,
    ) = (Vec::new(), Vec::new(), 1, 0);
    let (faults_end, duration) = (8.0 * LEASE_DURATION.0 as f64, 14.0 * LEASE_DURATION.0 as f64);
    while world.now < duration {
        world.now += 10.0;
        let faulty = world.now < faults_end;
        if faulty && random.below(40) == 0 && latest_version < 9 {
            latest_version += 1;
            world.propose(random.below(instances), latest_version);
        }
        if faulty && random.below(60) == 0 {
            world.restart_lease_server(random.below(lease_servers));
        }
        if faulty && random.below(60) == 0 {
            let file_version = 1 + random.below(latest_version as usize) as u64;
            world.restart_instance(random.below(instances), file_version);
        }
        if faulty && random.below(12) == 0 {
            let (server, instance) = (random.below(SERVERS as usize), random.below(instances));
            // A list says that a server drains, is back in use or has restarted. The lists of other instances
            // may be behind for any length of time.
            match random.below(4) {
                0 => incarnations[server] += 1,
                1 => {
                    let incarnation = listed_incarnation(&world, instance, server);
                    world.update_list(instance, (server as u64, incarnation, false), random.below(2) == 0);
                }
                2 if listed && random.below(2) == 0 => world.remove_from_list(instance, server as u64),
                2 => world.update_list(instance, (server as u64, incarnations[server], false), false),
                _ => {
                    let incarnation = listed_incarnation(&world, instance, server);
                    world.update_list(instance, (server as u64, incarnation, true), false);
                }
            }
        }
        if faulty && random.below(10) == 0 && !delivered.is_empty() {
            let duplicate = delivered[random.below(delivered.len())].clone();
            world.deliver(duplicate);
        }
        world.run_timers();
        let due: Vec<(f64, Envelope)>;
        (due, in_flight) = in_flight.into_iter().partition(|(deliver_at, _)| *deliver_at <= world.now);
        for (_, message) in due {
            delivered.push(message.clone());
            let receiver = match &message {
                Envelope::ToLeaseServer(..) => None,
                Envelope::ToLeaseHolder(instance, ..) => Some(*instance),
            };
            world.deliver(message);
            if let Some(pair) = receiver.and_then(|instance| Some((instance, world.contradiction(instance)?)))
            {
                let active_versions = |instance: usize| &world.instances[instance].active_versions;
                let description =
                    format!("{pair:?}: {:?} and {:?}", active_versions(pair.0), active_versions(pair.1));
                return Outcome { violation: Some(description), converged: 0, message_count };
            }
            let drain_violation =
                receiver.and_then(|instance| Some((instance, world.drain_violation(instance)?)));
            if let Some((instance, (other, server, duration))) = drain_violation {
                let description = format!(
                    "instance {instance} may send to s{server}, but instance {other} has known for {duration} us that it drains"
                );
                return Outcome { violation: Some(description), converged: 0, message_count };
            }
        }
        // Fails if the protocol keeps producing messages without end.
        assert!(in_flight.len() < 1_000_000, "seed {seed}: {} messages are in flight", in_flight.len());
        for message in std::mem::take(&mut world.sent) {
            message_count += 1;
            let instance = match &message {
                Envelope::ToLeaseServer(_, (instance, _), _) => *instance as usize,
                Envelope::ToLeaseHolder(instance, ..) => *instance,
            };
            let facts_dropped = matches!(&message, Envelope::ToLeaseHolder(instance, .., Message::FactUpdate { .. }) if Some(*instance) == without_facts);
            let lost = faulty && (facts_dropped || random.fraction() < loss_rates[instance]);
            let delay = if faulty { 5.0 + 200.0 * random.fraction().powi(4) } else { 5.0 };
            if !lost {
                in_flight.push((world.now + delay, message));
            }
        }
    }
    // An instance has converged if it acts on the last version alone, and sends to no server of which any
    // instance's list says that this incarnation, or a later one, drains.
    let has_converged = |instance: &usize| {
        let own = &world.instances[*instance];
        let sends = |server: &u64| {
            let Some((incarnation, draining, _)) = own.list.get(server).copied() else { return false };
            let drains = |other: &std::sync::Arc<world::Instance>| {
                other.list.get(server).is_some_and(|entry| entry.1 && entry.0 >= incarnation)
            };
            !draining
                && own.excluded.get(server).is_none_or(|excluded| *excluded < incarnation)
                && world.instances.iter().any(drains)
        };
        world.is_acting(*instance)
            && own.active_versions.len() == 1
            && !(0..SERVERS).any(|server| sends(&server))
    };
    let converged = (0..instances).filter(has_converged).count();
    Outcome { violation: None, converged, message_count }
}

/// The incarnation of a server on the instance's list, or the first one.
fn listed_incarnation(world: &World, instance: usize, server: usize) -> u64 {
    world.instances[instance].list.get(&(server as u64)).map_or(1, |entry| entry.0)
}

/// Runs that many simulations on four threads.
fn run_simulations(cases: u32, lease_servers: usize, instances: usize, scope: Scope) {
    let run_share = |seed: u8| {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let config = Config { cases: cases / 4, failure_persistence: None, ..Config::default() };
        let result = TestRunner::new_with_rng(config, rng).run(&any::<u64>(), |seed| {
            let outcome = simulate(seed, lease_servers, instances, InjectedBug::Correct, scope);
            prop_assert_eq!(outcome.violation, None);
            // Once there are no more faults, all instances agree again within a few lease lengths.
            prop_assert_eq!(outcome.converged, instances);
            prop_assert!(outcome.message_count > instances);
            Ok(())
        });
        result.unwrap_or_else(|error| panic!("{error}"));
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (1..=4).map(|seed| scope.spawn(move || run_share(seed))).collect();
        threads.into_iter().for_each(|thread| thread.join().expect("all simulations pass"));
    });
}

#[test]
fn five_instances_never_contradict_each_other() {
    run_simulations(9_800, 3, 5, Scope::All);
}

#[test]
fn fifty_instances_never_contradict_each_other() {
    run_simulations(196, 5, 50, Scope::All);
}

#[test]
fn three_hundred_instances_never_contradict_each_other() {
    run_simulations(4, 5, 300, Scope::All);
}

#[test]
fn five_instances_with_lists_of_their_own_never_contradict_each_other() {
    run_simulations(6_000, 3, 5, Scope::Listed);
}

#[test]
fn fifty_instances_with_lists_of_their_own_never_contradict_each_other() {
    run_simulations(80, 5, 50, Scope::Listed);
}

#[test]
fn each_injected_bug_is_found() {
    for (bug, scope) in [
        (InjectedBug::CountsLeaseFromGrant, Scope::All),
        (InjectedBug::ActiveAtOnce, Scope::All),
        (InjectedBug::IgnoresPendingVersions, Scope::All),
        (InjectedBug::IgnoresLag, Scope::All),
        (InjectedBug::IgnoresExclusions, Scope::All),
        (InjectedBug::IgnoresLag, Scope::Listed),
        (InjectedBug::IgnoresExclusions, Scope::Listed),
        (InjectedBug::SendsUnconfirmed, Scope::Listed),
        (InjectedBug::GrantsUnknownNames, Scope::Listed),
    ] {
        let found = (0..2_000).find(|seed| simulate(*seed, 3, 5, bug, scope).violation.is_some());
        assert!(found.is_some(), "{bug:?} is not found");
        println!("{bug:?} found with seed {found:?}");
    }
}
