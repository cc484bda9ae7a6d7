//! Case 10: a sidecar that is killed and started again sends to a server that began to drain meanwhile, for as long as
//! discovery takes to answer, where lists are pushed.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// `rules.stop_sending_within_s`, and what the protocol page adds on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// What this case allows beyond that for busy machines.
const MARGIN: Duration = Duration::from_millis(200);
/// How long the call of the new process waits in discovery's queue.
const QUEUE: Duration = Duration::from_millis(3_000);
const SERVERS: usize = 4;
const CLIENTS: usize = 4;

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    // When requests came to each server.
    let arrivals: Arc<Mutex<Vec<(usize, Instant, String)>>> = Arc::default();
    let servers: Vec<SocketAddr> = (0..SERVERS)
        .map(|server| {
            let (record, arrivals) = (record.clone(), arrivals.clone());
            start_server(move |mut stream| {
                let mut rest = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut rest) {
                    record.line(&format!("server s-{server}: runs {}", request.id));
                    arrivals.lock().unwrap().push((server, Instant::now(), request.id.clone()));
                    sleep(ms(20));
                    if stream.write_all(&sized_answer(&format!("made for {}\n", request.id))).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    let entry = |index: usize, status: &'static str| Entry {
        name: format!("s-{index}"),
        address: servers[index],
        group: 0,
        status,
        since_ms: 0,
    };
    let entries: Vec<Entry> = (0..SERVERS).map(|index| entry(index, "active")).collect();
    // The second call is that of the new process.
    let crowded = trouble();
    let policy = move |call: u64| {
        if call == 1 && crowded {
            sleep(QUEUE);
        }
        true
    };
    let discovery = Discovery::start(&record, &entries, Box::new(policy));
    let listen = free_address();
    let config = |seed: &str| {
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"{seed}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},
        "settings":{{"me":0,"balancers":1,
        "bounds":{{"cancel":true,"parallel_tries":true,"most_hops":5,"connect_timeout_s":0.15,"idle_close_s":60.0,"retry_after":true,"max_retry_after_s":2.0}},
        "discovery":"pushed","rules":{{"answer_slack_s":0.02,"cold_from":0.16,"fall_multiple":3.0,"fall_s":3.0,"stop_sending_within_s":0.5,"warm_within_s":23.0}},
        "stages":["pickup"],"tier":0,"zone":0,"zones":["a"],
        "workloads":[{{"name":"view","semantics":"read_like","quoted_time_s":0.4,"abandon_time_s":1.2,"payoff":1.0}}]}}}}"#,
            discovery.address,
            list_json(100, true, &entries)
        )
    };
    let mut sidecar = Sidecar::start(&folder, "n0", listen, discovery.address, &config("8c1f30d27a5be964"));
    sidecar.wait_ready(ms(10_000));
    let over = flag(false);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, over) = (record.clone(), over.clone());
            spawn(move || {
                for call in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    sleep(ms(25));
                    let id = format!("{client:08x}{call:08x}");
                    let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                    let _ = stream.set_read_timeout(Some(ms(2_000)));
                    let request = format!(
                        "GET /view HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: view\r\nRequest-Timeout-Ms: 1200\r\nConnection: close\r\n\r\n"
                    );
                    let _ = stream.write_all(request.as_bytes());
                    let answer = read_answer(&mut stream, &mut Vec::new());
                    let text = match answer {
                        Answer::Whole(status, ..) => status.to_string(),
                        Answer::Missing(how) => how,
                    };
                    record.line(&format!("client: {id} got {text}"));
                }
            })
        })
        .collect();
    sleep(ms(2_000));
    record.line("the sidecar is killed: SIGKILL");
    drop(sidecar);
    sleep(ms(500));
    discovery.change(entry(SERVERS - 1, "leaving"));
    record.line(&format!("discovery: s-{} begins to drain, version {}", SERVERS - 1, discovery.index()));
    sleep(ms(500));
    record.line("the sidecar is started again with the list that it had last");
    let mut sidecar = Sidecar::start(&folder, "n0", listen, discovery.address, &config("1d27a5be9648c1f3"));
    sidecar.wait_ready(ms(10_000));
    let ready_at = Instant::now();
    record.line("the new process is ready");
    sleep(QUEUE + ms(1_500));
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap_or(()));
    drop(sidecar);
    drop(folder);
    let arrivals = arrivals.lock().unwrap();
    let after = arrivals.iter().filter(|(_, at, _)| *at > ready_at).count();
    if after < 20 {
        could_not_run("the new process sent next to nothing");
    }
    let late: Vec<_> = arrivals
        .iter()
        .filter(|(server, at, _)| *server == SERVERS - 1 && *at > ready_at + GRACE + MARGIN)
        .collect();
    for (server, at, id) in &late {
        let after = (*at - ready_at).as_secs_f64();
        record.line(&format!("BROKEN {id} came to s-{server}, which drains, {after:.2} s after the new process was ready"));
    }
    let last = late.last().map_or(0.0, |(_, at, _)| (*at - ready_at).as_secs_f64());
    record.say(&format!(
        "of {after} requests after the start, {} came to the draining server after the grace, the last {last:.2} s after the new process was ready",
        late.len()
    ));
    std::process::exit(i32::from(!late.is_empty()));
}
