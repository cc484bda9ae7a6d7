//! A planned restart while a crowd of clients stops half way: the memory that the sidecar takes.
#[path = "../common.rs"]
mod common;
use common::*;
use std::process::exit;
use std::thread::sleep;
use std::time::Instant;

const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 512;
const CROWD: usize = 2_000;
const BODY: usize = 140_000;
const SIGTERM: i32 = 15;

fn main() {
    play_crowd_if_told();
    let record = Record::open("review/1/record.txt");
    let endpoints: Vec<Endpoint> =
        (0..4).map(|number| start_endpoint(&format!("s-{number}"), ms(20), record.clone())).collect();
    let entries: Vec<Entry> = endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect();
    let discovery = start_discovery(entries.clone());
    let config =
        Config { listen: free_address(), discovery, entries, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let mut sidecar = Sidecar::start(&config, "review/1/sidecar.log");
    let (before, _) = sidecar.usage().unwrap_or_default();
    record.line(format!("ready with {before} kB, limits {MEMORY_MB} MB and {SOCKETS} descriptors"));

    let crowd = with_trouble().then(|| {
        record.line(format!("{CROWD} clients send half of a request with a body of {BODY} bytes, and stay"));
        Crowd::start(config.listen, CROWD, BODY)
    });
    sleep(ms(700));
    record.line("SIGTERM");
    sidecar.signal(SIGTERM);
    let signalled = Instant::now();
    let (mut most_memory, mut most_descriptors, mut over_at) = (0, 0, None);
    // The longest deadline is over 3 s, so SIGKILL comes 3.7 s after SIGTERM at the earliest.
    while signalled.elapsed() < ms(3_700) && !sidecar.has_exited() {
        if let Some((memory, descriptors)) = sidecar.usage() {
            if memory > most_memory + 4_096 {
                record.line(format!("the sidecar has {memory} kB, {descriptors} descriptors"));
            }
            if memory > u64::from(MEMORY_MB) * 1_024 && over_at.is_none() {
                over_at = Some(signalled.elapsed().as_secs_f64());
            }
            (most_memory, most_descriptors) = (most_memory.max(memory), most_descriptors.max(descriptors));
        }
        sleep(ms(5));
    }
    if let Some(crowd) = crowd {
        record.line(format!("ends of the crowd so far: {}", crowd.end()));
    }
    drop(sidecar);
    let verdict = format!(
        "most memory {most_memory} kB of {} kB, most descriptors {most_descriptors} of {SOCKETS}",
        MEMORY_MB * 1_024
    );
    match over_at {
        Some(at) => record.verdict(&format!("BROKEN: over the memory limit {at:.2} s after SIGTERM; {verdict}")),
        None => record.verdict(&format!("held: {verdict}")),
    }
    exit(if over_at.is_some() { BROKEN } else { HELD });
}
