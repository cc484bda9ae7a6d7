//! Server processes that die and are replaced by new ones at the same address, with requests at every stage.
use crate::client::{connect, head, new_id, read_answer, Workload};
use crate::program::{self, Limits};
use crate::{ms, server};
use rustix::net::sockopt;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = ms(2_000);
const SERVERS: usize = 2;
const REPLACEMENTS: usize = 12;
const CLIENTS: usize = 6;
/// How long a server works on a request, so that some are in their middle whenever it dies.
const WORK: Duration = ms(15);

/// How often each request has run, by its id.
type Ledger = Arc<Mutex<HashMap<String, usize>>>;

/// A stand-in for a server process: dropping it ends its connections at once, as the end of a process does.
struct ServerProcess {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl ServerProcess {
    /// Starts a process at this address. Its answers name it and the request that they are made for.
    fn start(address: SocketAddr, name: String, ledger: Ledger) -> ServerProcess {
        let listener = listen_again(address);
        let address = listener.local_addr().expect("a bound socket");
        let process = ServerProcess { address, ended: Arc::default(), streams: Arc::default() };
        let (ended, streams) = (process.ended.clone(), process.streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut streams = streams.lock().expect("streams");
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                streams.push(stream.try_clone().expect("the socket is duplicated"));
                let (name, ledger, ended) = (name.clone(), ledger.clone(), ended.clone());
                thread::spawn(move || serve(stream, &name, &ledger, &ended));
            }
        });
        process
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        // Ends the wait of the listener's thread.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().expect("streams").drain(..) {
            let _ = sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Listens at an address that another listener may have had a moment ago.
fn listen_again(address: SocketAddr) -> TcpListener {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) => assert!(start.elapsed() < TIMEOUT, "{address}: {error}"),
        }
        thread::sleep(ms(1));
    }
}

fn serve(mut stream: TcpStream, name: &str, ledger: &Ledger, ended: &AtomicBool) {
    while let Some(id) = server::read_request(&mut stream) {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        *ledger.lock().expect("the ledger").entry(id.clone()).or_default() += 1;
        thread::sleep(WORK);
        let body = format!("{name} {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if ended.load(Ordering::SeqCst) || stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends requests one after the other on a kept connection until the time is over. Returns how many were served, and what
/// was wrong with the others.
fn send_requests(address: SocketAddr, workload: Workload, over: &AtomicBool) -> (usize, Vec<String>) {
    let (mut served, mut findings) = (0, Vec::new());
    let mut stream = connect(address);
    while !over.load(Ordering::SeqCst) {
        let kind = if workload == Workload::Pay { "pay" } else { "view" };
        let (id, started) = (format!("{kind}{}", new_id()), Instant::now());
        let request = head(workload, &id, TIMEOUT, "Content-Length: 0\r\n");
        let answer = stream.write_all(request.as_bytes()).map_err(|error| error.to_string());
        let answer = answer.and_then(|()| read_answer(&mut stream));
        if started.elapsed() > TIMEOUT + ms(500) {
            findings.push(format!("{id} took {:?}", started.elapsed()));
        }
        match answer {
            Ok(answer) if answer.status == 200 => {
                served += 1;
                let body = String::from_utf8_lossy(&answer.body).to_string();
                if !body.ends_with(&id) {
                    findings.push(format!("{id} got {body:?}"));
                }
            }
            Ok(answer) if matches!(answer.status, 502 | 503) => {}
            Ok(answer) => findings.push(format!("{id} got {}", answer.status)),
            Err(error) => {
                findings.push(format!("{id} got no answer: {error}"));
                stream = connect(address);
            }
        }
    }
    (served, findings)
}

/// Guards against work that runs twice, or an answer from nowhere, because a new process at an address is taken for the one
/// that had it before.
#[test]
fn a_new_process_at_the_address_of_one_that_has_gone_is_not_taken_for_it() {
    let ledger = Ledger::default();
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let mut processes: Vec<ServerProcess> = (0..SERVERS)
        .map(|number| ServerProcess::start(any_port, format!("s{number}.0"), ledger.clone()))
        .collect();
    let addresses: Vec<SocketAddr> = processes.iter().map(|process| process.address).collect();
    let program = program::start(&addresses, Limits::default());
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (over, address) = (over.clone(), program.address);
            let workload = if number % 2 == 0 { Workload::Pay } else { Workload::View };
            thread::spawn(move || send_requests(address, workload, &over))
        })
        .collect();
    for replacement in 0..REPLACEMENTS {
        thread::sleep(ms(150));
        let number = replacement % SERVERS;
        let (address, name) = (processes[number].address, format!("s{number}.{}", replacement + 1));
        // The old process has gone before the new one comes.
        drop(processes.remove(number));
        processes.insert(number, ServerProcess::start(address, name, ledger.clone()));
    }
    thread::sleep(ms(300));
    over.store(true, Ordering::SeqCst);
    let results: Vec<(usize, Vec<String>)> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let findings: Vec<&String> = results.iter().flat_map(|(_, findings)| findings).collect();
    assert!(findings.is_empty(), "{findings:?}");
    assert!(results.iter().all(|(served, _)| *served > 0), "{results:?}");
    let ledger = ledger.lock().expect("the ledger");
    let twice: Vec<&String> =
        ledger.iter().filter(|(id, runs)| id.starts_with("pay") && **runs > 1).map(|(id, _)| id).collect();
    assert!(twice.is_empty(), "ran twice: {twice:?}");
}
