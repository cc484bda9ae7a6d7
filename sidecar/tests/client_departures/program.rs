//! A process of the program, started for one run of a case with a whole core or a fifth of one.
use crate::process::Process;
use crate::stalls::Stalls;
use rustix::process::{kill_process, Pid, Signal};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// With a fifth of a core: how long the process runs before it is stopped.
const RUN_TIME: Duration = Duration::from_millis(5);
/// How long it is stopped each time.
const STOP_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CpuShare {
    Whole,
    Fifth,
}

pub struct Program {
    pub address: SocketAddr,
    process: Process,
    stop: Arc<AtomicBool>,
    /// Microseconds for which it ran, and for which it was stopped.
    running_and_stopped_us: Arc<[AtomicU64; 2]>,
    throttler: Option<JoinHandle<()>>,
}

impl Program {
    pub fn start(servers: &[SocketAddr]) -> Program {
        let process = Process::start(&config(servers));
        Program {
            address: process.address,
            process,
            stop: Arc::default(),
            running_and_stopped_us: Arc::default(),
            throttler: None,
        }
    }

    pub fn id(&self) -> u32 {
        self.process.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process.child), signal).expect("the signal is sent");
    }

    /// Limits it to a fifth of a core from now on, by stopping it periodically. A stop that lasts longer than intended
    /// counts as a stall.
    pub fn throttle(&mut self, stalls: &Arc<Stalls>) {
        let (stop, running_and_stopped_us, stalls) =
            (self.stop.clone(), self.running_and_stopped_us.clone(), stalls.clone());
        let add = |time: &AtomicU64, length: Duration| {
            time.fetch_add(length.as_micros() as u64, Ordering::Relaxed);
        };
        let pid = Pid::from_child(&self.process.child);
        self.throttler = Some(thread::spawn(move || {
            let mut resumed_at = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(RUN_TIME);
                let stopped_at = Instant::now();
                kill_process(pid, Signal::STOP).expect("SIGSTOP is sent");
                add(&running_and_stopped_us[0], stopped_at - resumed_at);
                thread::sleep(STOP_TIME);
                kill_process(pid, Signal::CONT).expect("SIGCONT is sent");
                resumed_at = Instant::now();
                add(&running_and_stopped_us[1], resumed_at - stopped_at);
                stalls.record(stopped_at + STOP_TIME, resumed_at);
            }
        }));
    }

    /// The share of the time for which it was not stopped.
    pub fn running_share(&self) -> f64 {
        let [running, stopped] =
            [0, 1].map(|index| self.running_and_stopped_us[index].load(Ordering::Relaxed) as f64);
        if stopped > 0.0 {
            running / (running + stopped)
        } else {
            1.0
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The throttler is joined first: its signals must not go to another process with the same id.
        self.stop.store(true, Ordering::Relaxed);
        if let Some(throttler) = self.throttler.take() {
            let _ = throttler.join();
        }
    }
}

fn config(servers: &[SocketAddr]) -> String {
    let entry = |(index, address): (usize, &SocketAddr)| {
        format!(
            r#"{{"name":"s{index}","address":"{address}","zone":"a","group":0,"status":"active","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<String> = servers.iter().enumerate().map(entry).collect();
    let workload = |(name, semantics)| {
        format!(
            r#"{{"name":"{name}","semantics":"{semantics}","group":"cell","memory_span_s":9,"quoted_time_s":8,"abandon_time_s":10,"payoff":1}}"#
        )
    };
    let workloads = [("view", "read_like"), ("save", "idempotency_key"), ("pay", "non_idempotent")];
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
        "limits":{{"memory_mb":192,"sockets":1024}},"known":{{"index":7,"snapshot":true,"endpoints":[{}]}},
        "settings":{{"me":0,"balancers":1,"zones":["a"],
        "bounds":{{"most_hops":4,"cancel":true,"parallel_tries":true,"retry_after":true,"connect_timeout_s":5}},
        "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},"workloads":[{}]}}}}"#,
        entries.join(","),
        workloads.map(workload).join(",")
    )
}
