//! Long requests while one of four endpoints hangs: the answers that their clients are owed.
#[path = "../common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Instant;

const TIMEOUT_MS: u64 = 3_000;
/// An answer up to half a second after the request's time earns nothing; later, it is lost.
const LOST_AFTER_MS: u64 = TIMEOUT_MS + 500;
const REQUESTS: usize = 48;
const HANG_MS: u64 = 15_000;

fn main() {
    let record = Record::open("review/3/record.txt");
    let endpoints: Vec<Endpoint> =
        (0..4).map(|number| start_endpoint(&format!("s-{number}"), ms(150), record.clone())).collect();
    let entries: Vec<Entry> = endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect();
    let discovery = start_discovery(entries.clone());
    let config = Config { listen: free_address(), discovery, entries, memory_mb: 192, sockets: 1_024 };
    let sidecar = Sidecar::start(&config, "review/3/sidecar.log");
    let began = Instant::now();
    if with_trouble() {
        record.line("s-0 hangs: it takes connections and neither reads nor answers");
        endpoints[0].hangs.store(true, Ordering::SeqCst);
    }
    // Answered in time, lost, and not written whole by their clients.
    let counts: Arc<Mutex<[usize; 3]>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            sleep(ms(40));
            let (counts, record, address) = (counts.clone(), record.clone(), config.listen);
            // Several lengths: how much the kernel holds for an endpoint that does not read differs between machines.
            let body = [4_100, 5_000, 4_050, 6_000, 4_150, 3_500, 7_000, 4_200][number % 8] * 1_000;
            spawn(move || {
                let index = upload(&format!("b2{number:08x}"), body, address, &record);
                counts.lock().unwrap()[index] += 1;
            })
        })
        .collect();
    let waker = endpoints[0].hangs.clone();
    spawn(move || {
        sleep(ms(HANG_MS).saturating_sub(began.elapsed()));
        waker.store(false, Ordering::SeqCst);
    });
    clients.into_iter().for_each(|client| _ = client.join());
    drop(sidecar);
    let [answered, lost, unfinished] = *counts.lock().unwrap();
    let word = if lost > 0 { "BROKEN" } else { "held" };
    record.verdict(&format!(
        "{word}: of {REQUESTS} requests {answered} answered in time, {lost} lost, {unfinished} not written whole"
    ));
    exit(if lost > 0 { BROKEN } else { HELD });
}

/// Sends one request with a long body. Returns 0 if it was answered in time, 1 if it is lost, 2 if its body was not
/// taken whole or its answer came before that.
fn upload(id: &str, body: usize, address: std::net::SocketAddr, record: &Record) -> usize {
    let Ok(mut stream) = TcpStream::connect(address) else { return 2 };
    let _ = stream.set_write_timeout(Some(ms(20_000)));
    let mut bytes = request_head("tax-filing", id, TIMEOUT_MS, Some(body)).into_bytes();
    bytes.resize(bytes.len() + body, b'x');
    if stream.write_all(&bytes).is_err() {
        record.line(format!("client: request {id} of {body} bytes not written whole"));
        return 2;
    }
    let written = Instant::now();
    record.line(format!("client: request {id} of {body} bytes written, time {TIMEOUT_MS} ms"));
    let _ = stream.set_read_timeout(Some(ms(20_000)));
    let watched = stream.try_clone().ok();
    let mut rest = Vec::new();
    let acknowledged = watched.map(|stream| {
        let mut at = None;
        while at.is_none() && written.elapsed() < ms(LOST_AFTER_MS) {
            at = (unacknowledged(&stream) == 0).then(|| written.elapsed().as_secs_f64());
            sleep(ms(2));
        }
        at
    });
    let head = read_head(&mut stream, &mut rest);
    let took = written.elapsed();
    let status = head.map_or("none, closed".to_string(), |head| head.status().to_string());
    let in_machine = match acknowledged.flatten() {
        Some(at) => format!("the sidecar's machine had all of it after {at:.3} s"),
        None => "the sidecar's machine did not take all of it in that time".into(),
    };
    record.line(format!(
        "client: request {id} of {body} bytes answered {status}, {:.3} s after its last byte; {in_machine}",
        took.as_secs_f64()
    ));
    usize::from(took > ms(LOST_AFTER_MS))
}
