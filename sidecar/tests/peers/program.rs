//! How the tests configure the program: a list of servers, and limits.
use crate::process::{Folder, Process};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

/// The limits of a process, as its configuration file states them.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// Starts a process that serves requests by these servers.
pub fn start(servers: &[SocketAddr], limits: Limits) -> Process {
    Process::start(&config("127.0.0.1:0", servers, limits))
}

/// Processes that replace each other, with the same servers and on one listening socket.
pub struct Upgrades {
    folder: Arc<Folder>,
    listener: TcpListener,
    config: String,
}

impl Upgrades {
    /// No process yet.
    pub fn new(servers: &[SocketAddr], limits: Limits) -> Upgrades {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket").to_string();
        Upgrades { folder: Arc::new(Folder::create()), config: config(&address, servers, limits), listener }
    }

    /// Starts the next process.
    pub fn start_process(&self) -> Process {
        Process::start_in(&self.folder, &self.config, Some(&self.listener))
    }
}

fn config(listen: &str, servers: &[SocketAddr], limits: Limits) -> String {
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
    let workloads = [("view", "read_like"), ("pay", "non_idempotent")];
    let Limits { memory_mb, sockets } = limits;
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
        "limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{{"index":7,"snapshot":true,"endpoints":[{}]}},
        "settings":{{"me":0,"balancers":1,"zones":["a"],
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"connect_timeout_s":1}},
        "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},"workloads":[{}]}}}}"#,
        entries.join(","),
        workloads.map(workload).join(",")
    )
}
