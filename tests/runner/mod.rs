//! The one runner: plays every text file of a folder, line by line. `;` parts commands of one line, `#` starts a
//! comment. What the commands mean is up to whoever calls it.
use std::any::Any;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

pub fn parse_duration_us(text: &str) -> u64 {
    let (digits, unit) = text.split_at(text.find(|c: char| c.is_alphabetic()).expect("a unit"));
    let number: f64 = digits.parse().expect("a number");
    (number * if unit == "ms" { 1e3 } else { 1e6 }) as u64
}

/// Plays the files of the folder, so many at once; a fault ends its own file alone, and all are named in the end.
pub fn run_scenarios<P>(
    folder: &Path, at_once: usize, begin: impl Fn() -> P + Sync, play: impl Fn(&mut P, &str) + Sync,
) {
    let files = std::fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file").path());
    let mut files: Vec<_> = files.collect();
    files.sort();
    assert!(!files.is_empty());
    let (begun, next) = (Instant::now(), AtomicUsize::new(0));
    let work = || {
        let mut faults = Vec::new();
        while let Some(file) = files.get(next.fetch_add(1, Ordering::Relaxed)) {
            let begun = Instant::now();
            let played = catch_unwind(AssertUnwindSafe(|| play_file(file, begin(), &play)));
            let verdict = if played.is_ok() { "held" } else { "FAILED" };
            println!("{} {verdict} in {:.1} s", file.display(), begun.elapsed().as_secs_f64());
            faults.extend(played.err().map(said));
        }
        faults
    };
    let faults: Vec<String> = thread::scope(|scope| {
        let parts: Vec<_> = (0..at_once).map(|_| scope.spawn(work)).collect();
        parts.into_iter().flat_map(|part| part.join().expect("played")).collect()
    });
    let (played, time) = (next.into_inner() - at_once, begun.elapsed().as_secs_f64());
    println!(
        "{played} files in {time:.1} s, {at_once} at once, {:.1} s of processor time",
        processor_time_s()
    );
    assert_eq!(played, files.len());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

fn play_file<P>(file: &Path, mut stage: P, play: impl Fn(&mut P, &str)) {
    for (number, line) in std::fs::read_to_string(file).expect("text").lines().enumerate() {
        let line = line.split('#').next().expect("a part");
        for line in line.split(';').map(str::trim).filter(|line| !line.is_empty()) {
            let played = catch_unwind(AssertUnwindSafe(|| play(&mut stage, line)));
            assert!(played.is_ok(), "{}:{}: {line}", file.display(), number + 1);
        }
    }
}

/// What a panic says.
fn said(fault: Box<dyn Any + Send>) -> String {
    let text = fault.downcast::<String>().map(|text| *text);
    text.or_else(|other| other.downcast::<&str>().map(|text| text.to_string()))
        .unwrap_or_else(|_| "no words".into())
}

/// Of this process and of those that it started and waited for; zero where the machine does not tell.
fn processor_time_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // After the name: the state is the third field; user's and system's time the 14th to the 17th, in hundredths.
    let times = stat.rsplit(") ").next().unwrap_or_default().split(' ').skip(11).take(4);
    times.filter_map(|time| time.parse::<f64>().ok()).sum::<f64>() / 100.0
}
