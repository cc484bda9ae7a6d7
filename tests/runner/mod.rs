//! Runs every scenario file of a folder, line by line: `;` separates the commands of a line and `#` starts a
//! comment. The caller defines what the commands do.
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

/// The environment variable that selects scenarios, to reproduce a failure: only files whose name contains its value
/// are run.
const ONLY_VARIABLE: &str = "OAKHOLLOW_SCENARIO";

/// Runs the files of the folder, `at_once` of them in parallel. `begin` makes the state of a scenario and
/// `execute` runs a command. A failure ends only its own file; all failures are reported at the end.
pub fn run_scenarios<P>(
    folder: &Path, at_once: usize, begin: impl Fn() -> P + Sync, execute: impl Fn(&mut P, &str) + Sync,
) {
    let files = std::fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file").path());
    let mut files: Vec<_> = files.collect();
    if let Ok(only) = std::env::var(ONLY_VARIABLE) {
        files.retain(|file| file.to_string_lossy().contains(&only));
    }
    files.sort();
    assert!(!files.is_empty());
    let (start, next) = (Instant::now(), AtomicUsize::new(0));
    let work = || {
        let mut failures = Vec::new();
        while let Some(file) = files.get(next.fetch_add(1, Ordering::Relaxed)) {
            let start = Instant::now();
            let result = catch_unwind(AssertUnwindSafe(|| run_file(file, begin(), &execute)));
            let verdict = if result.is_ok() { "passed" } else { "FAILED" };
            println!("{} {verdict} in {:.1} s", file.display(), start.elapsed().as_secs_f64());
            failures.extend(result.err().map(panic_message));
        }
        failures
    };
    let failures: Vec<String> = thread::scope(|scope| {
        let threads: Vec<_> = (0..at_once).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic outside a scenario")).collect()
    });
    let (count, time) = (next.into_inner() - at_once, start.elapsed().as_secs_f64());
    println!(
        "{count} files in {time:.1} s, {at_once} at once, {:.1} s of processor time",
        processor_time_s()
    );
    assert_eq!(count, files.len());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn run_file<P>(file: &Path, mut state: P, execute: impl Fn(&mut P, &str)) {
    for (number, line) in std::fs::read_to_string(file).expect("text").lines().enumerate() {
        let line = line.split('#').next().expect("a part");
        for line in line.split(';').map(str::trim).filter(|line| !line.is_empty()) {
            let result = catch_unwind(AssertUnwindSafe(|| execute(&mut state, line)));
            assert!(result.is_ok(), "{}:{}: {line}", file.display(), number + 1);
        }
    }
}

/// The message of a panic.
fn panic_message(panic: Box<dyn Any + Send>) -> String {
    let text = panic.downcast::<String>().map(|text| *text);
    text.or_else(|other| other.downcast::<&str>().map(|text| text.to_string()))
        .unwrap_or_else(|_| "no message".into())
}

/// The processor time of this process and of its finished child processes; 0 if it is not available.
fn processor_time_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // After the program name, which ends with a parenthesis, comes the state, the third field. Fields 14 to
    // 17 are user and system time, own and of children, in hundredths of a second.
    let times = stat.rsplit(") ").next().unwrap_or_default().split(' ').skip(11).take(4);
    times.filter_map(|time| time.parse::<f64>().ok()).sum::<f64>() / 100.0
}
