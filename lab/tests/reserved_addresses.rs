//! An address that the test bench reserved can be bound at once, also while other threads start processes: between its
//! fork and its exec, each child still holds every socket that was open at the fork, whatever the parent closes.
use oakhollow_lab::processes::reserve_address;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Enough for some hundred failures where a child can hold the reserved port.
const RESERVATIONS: usize = 20_000;
const SPAWNING_THREADS: usize = 2;

fn spawn_until(stopped: &AtomicBool) {
    while !stopped.load(Ordering::Relaxed) {
        let status = Command::new("true").status().expect("a process");
        assert!(status.success(), "{status}");
    }
}

#[test]
fn a_reserved_address_can_be_bound_while_processes_are_started() {
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| spawn_until(&stopped));
        }
        let bind_reserved = |_: &usize| {
            let address = reserve_address().expect("an address");
            TcpListener::bind(address).is_err()
        };
        let failed = (0..RESERVATIONS).filter(bind_reserved).count();
        stopped.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "of {RESERVATIONS} reserved addresses could not be bound");
    });
}
