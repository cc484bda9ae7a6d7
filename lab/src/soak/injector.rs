//! Carries a timetable out.
use super::clients::{flood, Habit, Running};
use super::discovery::{Mode, Standing};
use super::fleet::{Fleet, Group, Hold, Process, Setup};
use super::records::Event;
use super::servers::Manner;
use super::timetable::{Entry, Timetable};
use super::trouble::Trouble;
use crate::harness::lock;
use oakhollow_faults::{FaultKind, ALWAYS};
use rustix::process::Signal;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a process that was started may take to be ready, at the longest.
const READY_WITHIN: Duration = Duration::from_secs(12);
/// How long two processes live side by side before the first is asked to end.
const SIDE_BY_SIDE: Duration = Duration::from_millis(500);
/// How long the first of two may take to end.
const FIRST_ENDS: Duration = Duration::from_secs(5);
/// Clients that misbehave at a time.
const ODD_CLIENTS: u64 = 4;
/// Connections of a flood.
const FLOOD: usize = 120;
const HOUR_S: i64 = 3_600;
/// How often system calls fail: in one of so many cases.
const ONE_IN: u64 = 20;

/// Plays all entries, each at its time, and waits until the last is over.
pub fn carry_out(fleet: &mut Fleet, timetable: &Timetable, begun: Instant) {
    let fleet = &*fleet;
    thread::scope(|scope| {
        for entry in &timetable.entries {
            thread::sleep((begun + entry.at).saturating_duration_since(Instant::now()));
            scope.spawn(move || play(fleet, entry));
        }
    });
}

fn play(fleet: &Fleet, entry: &Entry) {
    let group = &fleet.groups[entry.target.group];
    let process = &group.processes[entry.target.process];
    match entry.trouble {
        Trouble::Terminate | Trouble::Kill | Trouble::SignalSeries => restart(process, entry),
        Trouble::StopShort => stop(process, Duration::from_millis(20 + entry.chance % 130)),
        Trouble::StopLong => stop(process, Duration::from_millis(200 + entry.chance % 800)),
        Trouble::HangupTwice | Trouble::HangupBroken | Trouble::HangupMoved => hang_up(group, process, entry),
        Trouble::TakeOver | Trouble::TakeOverKilled => take_over(process, entry),
        Trouble::DiscoveryDown => discovery(group, Mode::Down, entry.length),
        Trouble::DiscoverySilent => discovery(group, Mode::Silent, entry.length),
        Trouble::DiscoverySlow => discovery(group, Mode::Slow, entry.length),
        Trouble::DiscoveryCrowded => discovery(group, Mode::Crowded, entry.length),
        Trouble::DiscoveryCut => group.discovery.cut(),
        Trouble::DiscoveryLower => group.discovery.begin_anew(),
        Trouble::ServerDrains => drain(group, entry),
        Trouble::ServerRestarts => {
            group.servers[entry.target.server].restart();
            group.discovery.tell(entry.target.server, Standing::Active, true);
        }
        Trouble::ServerHangs => misbehave(group, entry, Manner::Hangs),
        Trouble::ServerResets => misbehave(group, entry, Manner::Resets),
        Trouble::ServerFull => misbehave(group, entry, Manner::Full),
        Trouble::ServerAnswersTwice => misbehave(group, entry, Manner::Twice),
        Trouble::ServerClosesIdle => misbehave(group, entry, Manner::ClosesIdle),
        Trouble::ClientsLeave => odd_clients(fleet, process, entry, Habit::Leaves),
        Trouble::ClientsStopHalfWay => odd_clients(fleet, process, entry, Habit::StopsHalfWay),
        Trouble::ClientsPipeline => odd_clients(fleet, process, entry, Habit::Pipelines),
        Trouble::ClientsDrip => odd_clients(fleet, process, entry, Habit::Drips),
        Trouble::ClientsRetry => odd_clients(fleet, process, entry, Habit::Retries),
        Trouble::ClientsFlood => flood(process.listen, FLOOD, entry.length),
        Trouble::Maintenance => maintain(process, entry),
        Trouble::ClockStep => step_clock(process, entry),
        Trouble::ShortTransfers => {
            let kinds = [FaultKind::ShortReceive, FaultKind::ShortSend, FaultKind::Interrupted];
            faults(process, &kinds, ALWAYS / ONE_IN, entry.length);
        }
        Trouble::BrokenTransfers => {
            process.note(Event::Breaks(true));
            faults(process, &[FaultKind::BrokenConnection], ALWAYS / ONE_IN, entry.length);
            process.note(Event::Breaks(false));
        }
        Trouble::FailedAccepts => faults(process, &[FaultKind::FailedAccept], ALWAYS / 3, entry.length),
        Trouble::FolderFull => faults(process, &[FaultKind::FullDisk], ALWAYS, entry.length),
        Trouble::FolderFails => {
            let kinds = [FaultKind::FailedSync, FaultKind::FailedRename];
            faults(process, &kinds, ALWAYS / 2, entry.length);
        }
    }
}

/// Ends a process one way or the other, and starts it again.
fn restart(process: &Arc<Process>, entry: &Entry) {
    let Some(_hold) = Hold::take(process) else { return };
    match entry.trouble {
        Trouble::Terminate => process.terminate(),
        Trouble::SignalSeries => signal_series(process, entry),
        _ => process.kill(),
    }
    thread::sleep(Duration::from_millis(entry.chance % 200));
    if process.start().is_ok() {
        process.wait_ready(READY_WITHIN);
    }
}

/// Reloads in a row, and then its end, asked for twice.
fn signal_series(process: &Process, entry: &Entry) {
    process.wait_for_handlers();
    let gap = Duration::from_millis(entry.chance % 40);
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

fn stop(process: &Process, length: Duration) {
    let Some(id) = lock(&process.sidecar).pid() else { return };
    process.note(Event::Stopped);
    lock(&process.sidecar).signal_child(id, Signal::STOP);
    thread::sleep(length);
    lock(&process.sidecar).signal_child(id, Signal::CONT);
    process.note(Event::Continued);
}

fn hang_up(group: &Group, process: &Process, entry: &Entry) {
    process.wait_for_handlers();
    if entry.trouble == Trouble::HangupBroken {
        let _ = process.truncate_config();
        process.signal(Signal::HUP);
        thread::sleep(Duration::from_millis(30));
    }
    let Ok(discovery) = group.discovery.address(process.id) else { return };
    if process.write_config(discovery).is_err() {
        return;
    }
    process.signal(Signal::HUP);
    if entry.trouble == Trouble::HangupTwice {
        thread::sleep(Duration::from_millis(entry.chance % 20));
        process.signal(Signal::HUP);
    }
}

/// A second process comes, and the first goes; or the second is killed before that.
fn take_over(process: &Arc<Process>, entry: &Entry) {
    let passed = process.setup == Setup::Passed;
    let Some(_hold) = Hold::take(process).filter(|_| passed) else { return };
    process.note(Event::TakesOver(true));
    if process.start_second().is_ok() {
        if entry.trouble == Trouble::TakeOverKilled {
            thread::sleep(Duration::from_millis(entry.chance % 300));
            lock(&process.sidecar).kill_second();
        } else {
            thread::sleep(SIDE_BY_SIDE);
            lock(&process.sidecar).terminate_first();
            let begun = Instant::now();
            while begun.elapsed() < FIRST_ENDS && !lock(&process.sidecar).first_has_exited() {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }
    process.note(Event::TakesOver(false));
}

fn discovery(group: &Group, mode: Mode, length: Duration) {
    group.discovery.set_mode(mode);
    thread::sleep(length);
    group.discovery.set_mode(Mode::Up);
}

/// It drains, is gone, and comes back as another life.
fn drain(group: &Group, entry: &Entry) {
    let server = entry.target.server;
    group.discovery.tell(server, Standing::Leaving, false);
    thread::sleep(entry.length / 2);
    group.discovery.tell(server, Standing::Absent, false);
    thread::sleep(entry.length / 2);
    group.servers[server].restart();
    group.discovery.tell(server, Standing::Active, true);
}

fn misbehave(group: &Group, entry: &Entry, manner: Manner) {
    let server = &group.servers[entry.target.server];
    server.set(manner);
    thread::sleep(entry.length);
    server.set(Manner::Answers);
}

fn odd_clients(fleet: &Fleet, process: &Process, entry: &Entry, habit: Habit) {
    let mut running = Running::default();
    for at in 0..ODD_CLIENTS {
        running.add(fleet.client(process), habit, entry.chance.wrapping_add(at));
    }
    thread::sleep(entry.length);
    running.stop();
}

/// Takes a server out, and puts it back once that was acknowledged for a while.
fn maintain(process: &Process, entry: &Entry) {
    let server = entry.target.server;
    if process.mark(server, true) == Some(200) {
        process.note(Event::TakenOut(server));
    }
    thread::sleep(entry.length);
    let begun = Instant::now();
    process.note(Event::PuttingBack(server));
    while process.mark(server, false) != Some(200) && begun.elapsed() < READY_WITHIN {
        thread::sleep(Duration::from_millis(100));
        process.note(Event::PuttingBack(server));
    }
}

/// The clock is wrong from the next start on, and stepped under the process that runs.
fn step_clock(process: &Process, entry: &Entry) {
    process.step_clock(if entry.chance & 1 == 0 { HOUR_S } else { -HOUR_S });
    thread::sleep(entry.length);
    process.step_clock(0);
}

fn faults(process: &Process, kinds: &[FaultKind], rate: u64, length: Duration) {
    kinds.iter().for_each(|kind| process.set_fault(*kind, rate));
    thread::sleep(length);
    kinds.iter().for_each(|kind| process.set_fault(*kind, 0));
}
