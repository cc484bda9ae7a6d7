//! Runs a timetable: injects each disruption at its time and ends it again.
use super::clients::{hold_idle_connections, ClientBehaviour, ClientPool};
use super::discovery::{DiscoveryMode, ServerStatus};
use super::disruption::Disruption;
use super::fleet::{Fleet, Group, GroupSetup, Process, RestartGuard};
use super::records::Event;
use super::servers::ServerBehaviour;
use super::timetable::{Entry, Timetable};
use crate::harness::lock;
use oakhollow_faults::{FaultKind, ALWAYS};
use rustix::process::Signal;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long to wait for a started process to become ready, and for maintenance to be cleared.
const READY_TIMEOUT: Duration = Duration::from_secs(12);
/// How long two processes run side by side before the first gets SIGTERM.
const TAKE_OVER_OVERLAP: Duration = Duration::from_millis(500);
/// Clients per disruption that makes clients misbehave.
const MISBEHAVING_CLIENTS: u64 = 4;
/// Idle connections of the disruption `clients-flood`.
const FLOOD_CONNECTIONS: usize = 120;
/// Clients of the disruption `terminate-crowded`, each of which has a request open nearly all the time.
const CROWD_CLIENTS: u64 = 80;
const HOUR_S: i64 = 3_600;
/// One in this many system calls on a socket is short or fails.
const FAULT_ONE_IN: u64 = 20;

/// Injects all entries, each at its time, and waits until the last one is over.
pub fn run_timetable(fleet: &mut Fleet, timetable: &Timetable, start: Instant) {
    let fleet = &*fleet;
    thread::scope(|scope| {
        for entry in &timetable.entries {
            thread::sleep((start + entry.start).saturating_duration_since(Instant::now()));
            scope.spawn(move || inject(fleet, entry));
        }
    });
}

fn inject(fleet: &Fleet, entry: &Entry) {
    let group = &fleet.groups[entry.target.group];
    let process = &group.processes[entry.target.process];
    match entry.disruption {
        Disruption::Terminate | Disruption::Kill | Disruption::SignalSeries => restart(process, entry),
        Disruption::StopShort => pause(process, Duration::from_millis(20 + entry.random % 130)),
        Disruption::StopLong => pause(process, Duration::from_millis(200 + entry.random % 800)),
        Disruption::HangupTwice | Disruption::HangupBroken | Disruption::HangupMoved => {
            reload(group, process, entry)
        }
        Disruption::TakeOver | Disruption::TakeOverKilled => take_over(process, entry),
        Disruption::DiscoveryDown => set_discovery_mode(group, DiscoveryMode::Down, entry.duration),
        Disruption::DiscoverySilent => set_discovery_mode(group, DiscoveryMode::Silent, entry.duration),
        Disruption::DiscoverySlow => set_discovery_mode(group, DiscoveryMode::Slow, entry.duration),
        Disruption::DiscoveryOverloaded => {
            set_discovery_mode(group, DiscoveryMode::Overloaded, entry.duration)
        }
        Disruption::DiscoveryCut => group.discovery.cut_watches(),
        Disruption::DiscoveryRestarts => group.discovery.restart(),
        Disruption::ServerDrains => drain_server(group, entry),
        Disruption::ServerRestarts => {
            group.servers[entry.target.server].restart();
            group.discovery.set_status(entry.target.server, ServerStatus::Active, true);
        }
        Disruption::ServerHangs => misbehave_server(group, entry, ServerBehaviour::Hangs),
        Disruption::ServerResets => misbehave_server(group, entry, ServerBehaviour::Resets),
        Disruption::ServerFull => misbehave_server(group, entry, ServerBehaviour::Full),
        Disruption::ServerAnswersTwice => misbehave_server(group, entry, ServerBehaviour::AnswersTwice),
        Disruption::ServerClosesIdle => misbehave_server(group, entry, ServerBehaviour::ClosesIdle),
        Disruption::ClientsLeave => run_misbehaving_clients(fleet, process, entry, ClientBehaviour::Leaves),
        Disruption::ClientsStopHalfWay => {
            run_misbehaving_clients(fleet, process, entry, ClientBehaviour::StopsHalfWay)
        }
        Disruption::ClientsPipeline => {
            run_misbehaving_clients(fleet, process, entry, ClientBehaviour::Pipelines)
        }
        Disruption::ClientsDrip => run_misbehaving_clients(fleet, process, entry, ClientBehaviour::Drips),
        Disruption::ClientsRetry => run_misbehaving_clients(fleet, process, entry, ClientBehaviour::Retries),
        Disruption::ClientsFlood => hold_idle_connections(process.listen, FLOOD_CONNECTIONS, entry.duration),
        Disruption::Maintenance => set_and_clear_maintenance(process, entry),
        Disruption::ClockStep => step_clock(process, entry),
        Disruption::ShortTransfers => {
            let kinds = [FaultKind::ShortReceive, FaultKind::ShortSend, FaultKind::Interrupted];
            inject_system_faults(process, &kinds, ALWAYS / FAULT_ONE_IN, entry.duration);
        }
        Disruption::BrokenTransfers => {
            process.record_event(Event::ConnectionFaults(true));
            inject_system_faults(
                process,
                &[FaultKind::BrokenConnection],
                ALWAYS / FAULT_ONE_IN,
                entry.duration,
            );
            process.record_event(Event::ConnectionFaults(false));
        }
        Disruption::FailedAccepts => {
            process.set_fault(FaultKind::FailedAccept, ALWAYS / 3);
            // Clients that connect anew for each request, so that there are accepts to fail.
            run_misbehaving_clients(fleet, process, entry, ClientBehaviour::Leaves);
            process.set_fault(FaultKind::FailedAccept, 0);
        }
        Disruption::DiskFull => fail_disk(process, &[FaultKind::FullDisk], ALWAYS, entry),
        Disruption::DiskFails => {
            fail_disk(process, &[FaultKind::FailedSync, FaultKind::FailedRename], ALWAYS / 2, entry);
        }
        Disruption::KilledInWrite => kill_in_write(process, entry),
        Disruption::ReadsFail => {
            // A start that cannot read its configuration ends at once.
            let Some(_guard) = RestartGuard::try_acquire(process) else { return };
            process.wait_for_handlers();
            process.set_fault(FaultKind::FailedRead, ALWAYS);
            process.signal(Signal::HUP);
            thread::sleep(entry.duration);
            process.set_fault(FaultKind::FailedRead, 0);
        }
        Disruption::TerminateStopped | Disruption::TerminateHangup => restart(process, entry),
        Disruption::TerminateCrowded => {
            let mut crowd = ClientPool::default();
            for number in 0..CROWD_CLIENTS {
                let seed = entry.random.wrapping_add(number);
                crowd.add(fleet.client(process), ClientBehaviour::Retries, seed);
            }
            thread::sleep(entry.duration);
            restart(process, entry);
            crowd.stop();
        }
        Disruption::TerminateEarlyTakeOver => take_over(process, entry),
    }
}

/// Terminates or kills a process, and starts it again.
fn restart(process: &Arc<Process>, entry: &Entry) {
    let Some(_guard) = RestartGuard::try_acquire(process) else { return };
    match entry.disruption {
        Disruption::Terminate => process.terminate(),
        Disruption::TerminateCrowded => process.terminate(),
        Disruption::SignalSeries => signal_series(process, entry),
        Disruption::TerminateHangup => terminate_and_hang_up(process, entry),
        Disruption::TerminateStopped => terminate_stopped(process, entry),
        _ => process.kill(),
    }
    thread::sleep(Duration::from_millis(entry.random % 200));
    if process.start().is_ok() {
        process.wait_ready(READY_TIMEOUT);
    }
}

/// Sends SIGHUP three times, then SIGTERM twice.
fn signal_series(process: &Process, entry: &Entry) {
    process.wait_for_handlers();
    let gap = Duration::from_millis(entry.random % 40);
    for _ in 0..3 {
        process.signal(Signal::HUP);
        thread::sleep(gap);
    }
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(gap + Duration::from_millis(100));
            process.signal(Signal::TERM);
        });
        process.terminate();
    });
}

/// Sends SIGTERM, and then SIGHUP and SIGTERM in turn.
fn terminate_and_hang_up(process: &Process, entry: &Entry) {
    process.wait_for_handlers();
    let gap = Duration::from_millis(10 + entry.random % 200);
    thread::scope(|scope| {
        scope.spawn(|| {
            for signal in [Signal::HUP, Signal::TERM, Signal::HUP] {
                thread::sleep(gap);
                process.signal(signal);
            }
        });
        process.terminate();
    });
}

/// Stops a process for up to a second and sends SIGTERM meanwhile.
fn terminate_stopped(process: &Process, entry: &Entry) {
    process.wait_for_handlers();
    let stop = Duration::from_millis(200 + entry.random % 800);
    let signal_after = stop.mul_f64((entry.random >> 32 & 0xFF) as f64 / 256.0);
    thread::scope(|scope| {
        scope.spawn(|| pause(process, stop));
        thread::sleep(signal_after);
        process.terminate();
    });
}

fn pause(process: &Process, duration: Duration) {
    let Some(id) = lock(&process.sidecar).pid() else { return };
    process.record_event(Event::Paused);
    lock(&process.sidecar).signal_child(id, Signal::STOP);
    thread::sleep(duration);
    lock(&process.sidecar).signal_child(id, Signal::CONT);
    process.record_event(Event::Resumed);
}

fn reload(group: &Group, process: &Process, entry: &Entry) {
    process.wait_for_handlers();
    if entry.disruption == Disruption::HangupBroken {
        let _ = process.truncate_config();
        process.signal(Signal::HUP);
        thread::sleep(Duration::from_millis(30));
    }
    let Ok(discovery) = group.discovery.listen_for(process.id) else { return };
    if process.write_config(discovery).is_err() {
        return;
    }
    process.signal(Signal::HUP);
    if entry.disruption == Disruption::HangupTwice {
        thread::sleep(Duration::from_millis(entry.random % 20));
        process.signal(Signal::HUP);
    }
}

/// Starts a second process and terminates the first, or kills the second before that.
fn take_over(process: &Arc<Process>, entry: &Entry) {
    let can_take_over = process.setup == GroupSetup::PassedListener;
    let Some(_guard) = RestartGuard::try_acquire(process).filter(|_| can_take_over) else { return };
    process.record_event(Event::TakeOverActive(true));
    if process.start_second().is_ok() {
        if entry.disruption == Disruption::TakeOverKilled {
            thread::sleep(Duration::from_millis(entry.random % 300));
            lock(&process.sidecar).kill_second();
        } else {
            if entry.disruption != Disruption::TerminateEarlyTakeOver {
                thread::sleep(TAKE_OVER_OVERLAP);
            }
            process.terminate_first();
        }
    }
    process.record_event(Event::TakeOverActive(false));
}

fn set_discovery_mode(group: &Group, mode: DiscoveryMode, duration: Duration) {
    group.discovery.set_mode(mode);
    thread::sleep(duration);
    group.discovery.set_mode(DiscoveryMode::Up);
}

/// Marks a server as leaving, removes it from the list, and lists it again as restarted.
fn drain_server(group: &Group, entry: &Entry) {
    let server = entry.target.server;
    group.discovery.set_status(server, ServerStatus::Leaving, false);
    thread::sleep(entry.duration / 2);
    group.discovery.set_status(server, ServerStatus::Absent, false);
    thread::sleep(entry.duration / 2);
    group.servers[server].restart();
    group.discovery.set_status(server, ServerStatus::Active, true);
}

fn misbehave_server(group: &Group, entry: &Entry, behaviour: ServerBehaviour) {
    let server = &group.servers[entry.target.server];
    server.set_behaviour(behaviour);
    thread::sleep(entry.duration);
    server.set_behaviour(ServerBehaviour::Answers);
}

fn run_misbehaving_clients(fleet: &Fleet, process: &Process, entry: &Entry, behaviour: ClientBehaviour) {
    let mut clients = ClientPool::default();
    for number in 0..MISBEHAVING_CLIENTS {
        clients.add(fleet.client(process), behaviour, entry.random.wrapping_add(number));
    }
    thread::sleep(entry.duration);
    clients.stop();
}

/// Makes writes to files fail while a server is set to maintenance, which writes a file.
fn fail_disk(process: &Process, kinds: &[FaultKind], rate: u64, entry: &Entry) {
    kinds.iter().for_each(|kind| process.set_fault(*kind, rate));
    let server = entry.target.server;
    if process.set_maintenance(server, true) == Some(200) {
        process.record_event(Event::MaintenanceConfirmed(server));
    }
    thread::sleep(entry.duration);
    kinds.iter().for_each(|kind| process.set_fault(*kind, 0));
    clear_maintenance(process, server);
}

/// Has a process killed in the middle of the write that a maintenance mark causes, and starts it again.
fn kill_in_write(process: &Arc<Process>, entry: &Entry) {
    let Some(_guard) = RestartGuard::try_acquire(process) else { return };
    process.set_fault(FaultKind::KilledWrite, ALWAYS);
    process.record_event(Event::Killed);
    process.set_maintenance(entry.target.server, true);
    process.set_fault(FaultKind::KilledWrite, 0);
    lock(&process.sidecar).kill();
    thread::sleep(Duration::from_millis(entry.random % 200));
    if process.start().is_ok() {
        process.wait_ready(READY_TIMEOUT);
    }
    clear_maintenance(process, entry.target.server);
}

/// Sets a server to maintenance, and clears it after the entry's duration.
fn set_and_clear_maintenance(process: &Process, entry: &Entry) {
    let server = entry.target.server;
    if process.set_maintenance(server, true) == Some(200) {
        process.record_event(Event::MaintenanceConfirmed(server));
    }
    thread::sleep(entry.duration);
    clear_maintenance(process, server);
}

/// Clears the maintenance of a server; repeats that until the console confirms it or [`READY_TIMEOUT`] is over.
fn clear_maintenance(process: &Process, server: usize) {
    let start = Instant::now();
    process.record_event(Event::MaintenanceEnding(server));
    while process.set_maintenance(server, false) != Some(200) && start.elapsed() < READY_TIMEOUT {
        thread::sleep(Duration::from_millis(100));
        process.record_event(Event::MaintenanceEnding(server));
    }
}

/// Steps the wall clock of a running process by an hour. In half of the cases the process is killed and started again
/// meanwhile, and reads the stepped clock from its beginning.
fn step_clock(process: &Arc<Process>, entry: &Entry) {
    process.step_clock(if entry.random & 1 == 0 { HOUR_S } else { -HOUR_S });
    if entry.random & 2 != 0 {
        restart(process, entry);
    }
    thread::sleep(entry.duration);
    process.step_clock(0);
}

fn inject_system_faults(process: &Process, kinds: &[FaultKind], rate: u64, duration: Duration) {
    kinds.iter().for_each(|kind| process.set_fault(*kind, rate));
    thread::sleep(duration);
    kinds.iter().for_each(|kind| process.set_fault(*kind, 0));
}
