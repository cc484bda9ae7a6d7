//! Behaviour of a process while its system calls fail, its disk is full or its wall clock is wrong. Each test runs one
//! process of the program with the fault injection library preloaded.
mod built_program;
mod fault_setup;
#[path = "../../tests/scheduling_waits/mod.rs"]
mod scheduling_waits;

use fault_setup::{check_concurrently, Setup, WARM_UP};
use oakhollow_faults::{FaultKind, ALWAYS};
use oakhollow_lab::fakes::{connect, send_request};
use oakhollow_lab::harness::view_request;
use oakhollow_lab::processes::Sidecar;
use scheduling_waits::scheduling_waits;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// The durations of requests sent by concurrent clients, `per_client` by each; `None` for no answer within 1.7 s.
fn request_durations(address: SocketAddr, clients: usize, per_client: usize) -> Vec<Option<Duration>> {
    let send = move |client: usize, number: usize, stream: &mut Option<BufReader<std::net::TcpStream>>| {
        let start_time = Instant::now();
        let id = format!("a{client}-{number}-{}", address.port());
        let answered = stream.as_mut().and_then(|stream| send_request(stream, &view_request(&id)));
        if !answered.is_some_and(|(_, keep_alive)| keep_alive) {
            *stream = connect(address);
        }
        answered.map(|_| start_time.elapsed())
    };
    let clients: Vec<_> = (0..clients)
        .map(|client| {
            thread::spawn(move || {
                let mut stream = connect(address);
                if let Some(stream) = &stream {
                    let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(1_700)));
                }
                (0..per_client).map(|number| send(client, number, &mut stream)).collect::<Vec<_>>()
            })
        })
        .collect();
    clients.into_iter().flat_map(|client| client.join().expect("ended")).collect()
}

/// The scheduling waits of the sidecar and of this process at the beginning of a request.
struct SchedulingWaits {
    sidecar_pid: u32,
    sidecar: BTreeMap<PathBuf, Duration>,
    test: BTreeMap<PathBuf, Duration>,
}

impl SchedulingWaits {
    fn start(sidecar: &Sidecar) -> SchedulingWaits {
        let sidecar_pid = sidecar.pid().expect("a running sidecar");
        SchedulingWaits {
            sidecar_pid,
            sidecar: scheduling_waits(sidecar_pid),
            test: scheduling_waits(std::process::id()),
        }
    }

    /// For how long a request may have waited for a processor since then. Three threads of this process handle it:
    /// the client's, the one that accepts the sidecar's connection, and the one that answers.
    fn since(&self) -> Duration {
        let increases = |now: BTreeMap<PathBuf, Duration>, before: &BTreeMap<PathBuf, Duration>| {
            let increase = |(thread, waited): (&PathBuf, &Duration)| {
                waited.saturating_sub(before.get(thread).copied().unwrap_or_default())
            };
            now.iter().map(increase).collect::<Vec<_>>()
        };
        let sidecar: Duration = increases(scheduling_waits(self.sidecar_pid), &self.sidecar).iter().sum();
        let longest = increases(scheduling_waits(std::process::id()), &self.test).into_iter().max();
        sidecar + 3 * longest.unwrap_or_default()
    }
}

#[test]
fn requests_are_answered_despite_short_reads_and_writes() {
    let setup = Setup::start(0);
    for kind in [FaultKind::ShortReceive, FaultKind::ShortSend, FaultKind::Interrupted] {
        setup.faults().set_rate(kind, ALWAYS / 20).expect("set");
    }
    let durations = request_durations(setup.sidecar.listen, 6, 150);
    let lost = durations.iter().filter(|duration| duration.is_none()).count();
    let slow = durations.iter().flatten().filter(|duration| **duration > Duration::from_millis(500)).count();
    let short = setup.faults().injected_count(FaultKind::ShortReceive);
    assert!(short > 20, "{short} reads were short");
    assert_eq!(
        (lost, slow),
        (0, 0),
        "of {} requests: without an answer, and after more than 0.5 s",
        durations.len()
    );
}

#[test]
fn transient_accept_failures_delay_no_client() {
    let setup = Setup::start(0);
    // An idle connection, which must stay open.
    let mut idle = connect(setup.sidecar.listen).expect("connected");
    assert_eq!(send_request(&mut idle, &view_request("first")).map(|(status, _)| status), Some(200));
    setup.faults().set_rate(FaultKind::FailedAccept, ALWAYS / 3).expect("set");
    let mut slowest = Duration::ZERO;
    for number in 0..60 {
        let waits = SchedulingWaits::start(&setup.sidecar);
        let start_time = Instant::now();
        let mut stream = connect(setup.sidecar.listen).expect("connected");
        let answered = send_request(&mut stream, &view_request(&format!("accept{number}")));
        assert_eq!(answered.map(|(status, _)| status), Some(200));
        let duration = start_time.elapsed();
        slowest = slowest.max(duration.saturating_sub(waits.since()));
    }
    let injected = setup.faults().injected_count(FaultKind::FailedAccept);
    assert!(injected > 10, "{injected} accepts failed");
    assert_eq!(
        send_request(&mut idle, &view_request("last")).map(|(status, _)| status),
        Some(200),
        "the idle connection was closed"
    );
    assert!(
        slowest < Duration::from_millis(45),
        "a request took {slowest:?} besides its waits for a processor"
    );
}

#[test]
fn a_server_in_maintenance_stays_so_after_a_kill_although_the_disk_was_full_or_failing() {
    check_concurrently([FaultKind::FullDisk, FaultKind::FailedSync, FaultKind::FailedRename], |kind| {
        let mut setup = Setup::start(0);
        setup.faults().set_rate(kind, ALWAYS).expect("set");
        let status = setup.console_put("/endpoints/s0/maint");
        assert_ne!(status, 200, "{kind:?}: success was reported but not stored");
        assert!(setup.faults().injected_count(kind) > 0, "{kind:?} was never injected");
        // Maintenance takes effect immediately all the same, and is stored as soon as the disk works.
        assert_eq!(setup.traffic_share(0, Duration::from_secs(1)), 0.0, "{kind:?}");
        setup.faults().set_rate(kind, 0).expect("set");
        thread::sleep(Duration::from_millis(2_500));
        setup.restart();
        assert_eq!(setup.traffic_share(0, Duration::from_secs(1)), 0.0, "{kind:?}: in use after a restart");
        assert_eq!(setup.console_put("/endpoints/s0/ready"), 200);
    });
}

#[test]
fn a_folder_that_cannot_be_read_for_a_moment_is_not_taken_for_empty() {
    let mut setup = Setup::start(0);
    assert_eq!(setup.console_put("/endpoints/s0/maint"), 200);
    // Starts that fail to read the configuration file exit immediately and don't count here.
    let (mut starts, mut served) = (0, 0);
    while served < 5 {
        starts += 1;
        assert!(starts < 200, "only {served} of {starts} starts with failing reads served");
        setup.sidecar.kill();
        setup.faults().set_rate(FaultKind::FailedRead, ALWAYS / 3).expect("set");
        setup.sidecar.start().expect("started");
        thread::sleep(Duration::from_millis(100));
        if setup.sidecar.has_exited() {
            continue;
        }
        setup.wait_until_ready();
        setup.faults().set_rate(FaultKind::FailedRead, 0).expect("set");
        served += 1;
        assert_eq!(
            setup.traffic_share(0, Duration::from_secs(1)),
            0.0,
            "at start {starts}, {}",
            setup.sidecar.log_text()
        );
    }
    assert!(setup.faults().injected_count(FaultKind::FailedRead) > 0);
}

#[test]
fn a_restarted_server_gets_a_slow_start_whatever_the_wall_clock_says() {
    check_concurrently([0, -3_600, 3_600], |clock_s| {
        let mut setup = Setup::start(clock_s);
        setup.traffic_share(1, Duration::from_secs(1));
        setup.announce_restart(0);
        let cold = setup.traffic_share(0, Duration::from_millis(700));
        thread::sleep(WARM_UP);
        let warm = setup.traffic_share(0, Duration::from_secs(2));
        assert!(clock_s == 0 || setup.faults().clock_readings() > 0, "the clock was never read");
        assert!(cold < 0.2, "{clock_s} s: {cold:.2} of the requests in its first 0.7 s");
        assert!(warm > 0.15, "{clock_s} s: {warm:.2} of the requests after its slow start");
    });
}

#[test]
fn a_server_back_from_maintenance_receives_requests_whatever_the_wall_clock_says() {
    check_concurrently([0, -3_600, 3_600], |clock_s| {
        let mut setup = Setup::start(0);
        assert_eq!(setup.console_put("/endpoints/s0/maint"), 200);
        setup.faults().step_clock(clock_s).expect("stepped");
        setup.restart();
        assert_eq!(setup.traffic_share(0, Duration::from_secs(1)), 0.0, "{clock_s} s: in maintenance");
        assert_eq!(setup.console_put("/endpoints/s0/ready"), 200);
        let traffic_share = setup.traffic_share(0, Duration::from_secs(3));
        assert!(traffic_share > 0.05, "{clock_s} s: {traffic_share:.2} of the requests since it is back");
    });
}

#[test]
fn a_server_back_from_maintenance_before_a_restart_gets_a_slow_start_whatever_the_wall_clock_says() {
    check_concurrently([0, -3_600, 3_600], |clock_s| {
        let mut setup = Setup::start(0);
        assert_eq!(setup.console_put("/endpoints/s0/maint"), 200);
        assert_eq!(setup.console_put("/endpoints/s0/ready"), 200);
        setup.faults().step_clock(clock_s).expect("stepped");
        setup.restart();
        thread::sleep(WARM_UP);
        let traffic_share = setup.traffic_share(0, Duration::from_secs(2));
        assert!(traffic_share > 0.15, "{clock_s} s: {traffic_share:.2} of the requests after its slow start");
    });
}
