//! A client that closes its connection, ends its sending or resets it has gone: no attempt of its call, first or further,
//! begins more than 0.1 s later. Measured on sockets, from the instant before the close to the first byte that a server sees.
//! When this was written the code kept it but where the process had stood for longer than that (`STOOD`), and where the machine
//! holds an end back behind a longer body than it takes (`docs/endings.md`): of those only resets are played.
//!
//! Each case forces one moment in which a call waits, has some clients leave in it and others stay: these show that attempts
//! went out long after the close, so that the leavers would have had theirs. Each is played on a process that has its core,
//! and on one at a fifth of a core: it is stopped for 20 ms of each 25 ms, which the bound of 0.1 s takes in (the close counts
//! from its own instant, also while the process stands).
//!
//! What the machine adds is told apart and never taken off the bound: an attempt that came too late by more than the time in
//! which the rig or the program's thread was kept from a processor is a break; one within that time has the case played again,
//! five times at most, each said in the output. Still late is a break too.
mod ledger;
mod machine;
mod program;
mod server;
mod stage;

use ledger::BOUND;
use program::Share;
use server::How;
use stage::{Played, Stage, Way};
use std::io::{stderr, Write};
use std::thread;
use std::time::Duration;

const PLAYS: usize = 5;

const fn ms(length: u64) -> Duration {
    Duration::from_millis(length)
}

/// One moment, and what shows that it was forced.
struct Case {
    name: &'static str,
    play: fn(Share) -> Played,
    /// Leavers that had no attempt yet when they left, that had one, and attempts for those who stayed: as many at least.
    least: (usize, usize, usize),
}

const CASES: [Case; 8] = [
    Case { name: "queued", play: queued, least: (20, 0, 20) },
    Case { name: "connecting", play: connecting, least: (10, 0, 10) },
    Case { name: "turned away late", play: turned_away, least: (0, 7, 3) },
    Case { name: "waiting between attempts", play: between, least: (0, 2, 3) },
    Case { name: "at its copy", play: copies, least: (0, 30, 3) },
    Case { name: "behind a long body", play: long_body, least: (10, 0, 5) },
    Case { name: "a burst of 200, queued", play: burst, least: (190, 0, 10) },
    Case { name: "a burst of 200, just come", play: burst_unread, least: (190, 0, 10) },
];

/// The process stands for longer than the bound, and then hears at once of ends and of what the calls waited for.
const STOOD: [Case; 4] = [
    Case { name: "stood, queued", play: queued_stood, least: (25, 0, 10) },
    Case { name: "stood, connecting", play: connecting_stood, least: (10, 0, 10) },
    Case { name: "stood, turned away", play: turned_away_stood, least: (0, 3, 2) },
    Case { name: "stood, at its copy", play: copies_stood, least: (0, 4, 1) },
];

/// Two servers hold eight of our calls between them.
const TWO_SILENT: [How; 2] = [How::Silent; 2];

/// As many as two servers may hold are out; all else waits.
fn held(share: Share) -> Stage {
    let mut stage = Stage::set(share, &TWO_SILENT);
    stage.calls(8);
    stage.begun(8);
    stage
}

fn every_other<T: Copy>(all: &[T]) -> Vec<T> {
    all.iter().copied().step_by(2).collect()
}

/// The queue drains while they leave, some of them just as their turn comes.
fn queued(share: Share) -> Played {
    let mut stage = held(share);
    let calls = stage.calls(100);
    thread::sleep(ms(200));
    stage.servers(How::Answers(ms(60)));
    stage.leave_within(every_other(&calls), ms(400));
    stage.end(ms(400))
}

/// Connections come up a second after they were asked for, when the machine tries again; doors open meanwhile.
fn connecting(share: Share) -> Played {
    let mut stage = Stage::set(share, &[How::Shut; 6]);
    let calls = stage.views(24);
    let (first, last) = calls.split_at(12);
    stage.leave_within(every_other(first), ms(400));
    stage.servers(How::Answers(ms(20)));
    stage.leave_within(every_other(last), ms(400));
    stage.end(ms(800))
}

/// Enough is answered that some may be tried again, and too little to copy by.
fn budget(stage: &mut Stage) {
    stage.servers(How::Answers(ms(50)));
    for _ in 0..3 {
        let calls = stage.views(6);
        calls.into_iter().for_each(|call| stage.answered(call));
    }
}

/// Each attempt is turned away late, so that clients leave before, at and after the moment of the next.
fn turned_away(share: Share) -> Played {
    let mut stage = Stage::set(share, &TWO_SILENT);
    budget(&mut stage);
    stage.servers(How::TurnsAway(ms(250)));
    for round in 0..3 {
        let calls = stage.views(8);
        thread::sleep(ms(60 + 10 * round));
        stage.leave_within(every_other(&calls), ms(240));
        thread::sleep(ms(300));
        stage.all_leave();
    }
    stage.end(ms(200))
}

/// Turned away at once by the one, they wait for room at the other.
fn between(share: Share) -> Played {
    let mut stage = Stage::set(share, &TWO_SILENT);
    budget(&mut stage);
    stage.server(0, How::TurnsAway(ms(5)));
    stage.server(1, How::Silent);
    let mut calls = Vec::new();
    for _ in 0..40 {
        calls.extend(stage.views(1));
        thread::sleep(ms(5));
    }
    thread::sleep(ms(100));
    stage.server(1, How::Answers(ms(80)));
    stage.leave_within(every_other(&calls), ms(400));
    stage.end(ms(400))
}

/// Copies go out after a quarter of a second; clients leave before, at and after that.
fn copies(share: Share) -> Played {
    let mut stage = Stage::set(share, &[How::Answers(ms(250)); 6]);
    let usual = stage.views(24);
    usual.into_iter().for_each(|call| stage.answered(call));
    stage.servers(How::Silent);
    for round in 0..5 {
        let mut leavers = stage.views(14);
        // The last two stay, and are copied.
        leavers.truncate(12);
        let around = leavers.split_off(6);
        thread::sleep(ms(10 + 7 * round));
        stage.leave_within(leavers, ms(190));
        stage.leave_within(around, ms(100));
        thread::sleep(ms(100));
        stage.all_leave();
    }
    stage.end(ms(200))
}

/// Their ends come behind what nobody reads: whole bodies, halves and beginnings, as long as the machine takes them from their
/// clients; it tells of a reset behind any.
fn long_body(share: Share) -> Played {
    const BODIES: [(&str, usize, f64); 4] =
        [("save", 120_000, 1.0), ("pay", 120_000, 0.5), ("pay", 1_000_000, 0.1), ("view", 1_000_000, 1.0)];
    let mut stage = held(share);
    let mut leavers = Vec::new();
    for at in 0..48 {
        let (workload, body, part) = BODIES[at / 2 % 4];
        let (stays, whole) = (at % 2 == 1, part == 1.0);
        let way = if body > 200_000 && whole { Way::Resets } else { stage.way() };
        let call = stage.call_with(workload, (body, if stays { 1.0 } else { part }), way);
        leavers.extend((!stays).then_some(call));
    }
    thread::sleep(ms(200));
    stage.servers(How::Answers(ms(80)));
    stage.leave_within(leavers, ms(250));
    stage.end(ms(400))
}

fn burst(share: Share) -> Played {
    let mut stage = held(share);
    let calls = stage.calls(240);
    thread::sleep(ms(400));
    stage.servers(How::Answers(ms(50)));
    let leavers = calls.iter().zip(0..).filter(|(_, at)| at % 6 != 0).map(|(call, _)| *call);
    leavers.for_each(|call| stage.leaves(call));
    stage.end(ms(500))
}

/// They leave with their requests hardly written, while others are served.
fn burst_unread(share: Share) -> Played {
    let mut stage = Stage::set(share, &[How::Answers(ms(50)); 2]);
    for at in 0..240 {
        let call = stage.call();
        if at % 6 != 0 {
            stage.leaves(call);
        }
    }
    stage.end(ms(500))
}

/// Their ends and their connections come up while the process stands, and are heard of at once.
fn connecting_stood(share: Share) -> Played {
    let mut stage = Stage::set(share, &[How::Shut; 6]);
    let calls = stage.views(24);
    thread::sleep(ms(500));
    stage.servers(How::Answers(ms(20)));
    stage.stands(ms(900), |stage| every_other(&calls).into_iter().for_each(|call| stage.leaves(call)));
    stage.end(ms(400))
}

/// The same with the room that the calls wait for.
fn queued_stood(share: Share) -> Played {
    let mut stage = held(share);
    let calls = stage.calls(60);
    thread::sleep(ms(200));
    stage.stands(ms(250), |stage| {
        stage.servers(How::Answers(ms(60)));
        every_other(&calls).into_iter().for_each(|call| stage.leaves(call));
    });
    stage.end(ms(400))
}

/// The same with the verdict after which the call is tried again.
fn turned_away_stood(share: Share) -> Played {
    let mut stage = Stage::set(share, &TWO_SILENT);
    budget(&mut stage);
    stage.servers(How::TurnsAway(ms(150)));
    let calls = stage.views(8);
    thread::sleep(ms(100));
    stage.stands(ms(300), |stage| every_other(&calls).into_iter().for_each(|call| stage.leaves(call)));
    stage.end(ms(400))
}

/// The same with the moment of the copy.
fn copies_stood(share: Share) -> Played {
    let mut stage = Stage::set(share, &[How::Answers(ms(250)); 6]);
    let usual = stage.views(24);
    usual.into_iter().for_each(|call| stage.answered(call));
    stage.servers(How::Silent);
    let calls = stage.views(8);
    thread::sleep(ms(100));
    stage.stands(ms(300), |stage| calls[2..].iter().for_each(|call| stage.leaves(*call)));
    stage.end(ms(400))
}

fn run_scenarios(share: Share, cases: &[Case]) {
    let mut red = Vec::new();
    for Case { name, play, least } in cases {
        for number in 1..=PLAYS {
            let (judged, ran) = play(share);
            println!("{share:?} core ({ran:.2} of the time), {name}, play {number}: {judged:?}");
            let forced =
                judged.left_at[0] >= least.0 && judged.left_at[1] >= least.1 && judged.stayed >= least.2;
            if judged.broken.is_none() && judged.machines.is_none() && forced {
                break;
            }
            if judged.broken.is_some() || number == PLAYS {
                red.push(format!("{name}: {judged:?}, bound {BOUND:?}, forced {forced}"));
                break;
            }
            // Past the harness, which shows nothing of a test that passes.
            let why = if forced { "the machine took that time" } else { "the moment was not forced" };
            let _ =
                writeln!(stderr(), "{share:?} core, {name}, play {number}: played again, {why}: {judged:?}");
        }
    }
    assert!(red.is_empty(), "{share:?} core: {}", red.join("\n"));
}

#[test]
fn no_attempt_begins_for_a_leaver() {
    run_scenarios(Share::Whole, &CASES);
}

#[test]
fn no_attempt_begins_for_a_leaver_at_a_fifth_of_a_core() {
    run_scenarios(Share::Fifth, &CASES);
}

#[test]
fn no_attempt_begins_for_a_leaver_after_the_process_stood() {
    run_scenarios(Share::Whole, &STOOD);
}
