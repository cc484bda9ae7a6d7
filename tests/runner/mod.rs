//! The one runner: plays every text file of a folder, line by line. `;` parts commands of one line, `#` starts a
//! comment. What the commands mean is up to whoever calls it.
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

pub fn length_us(text: &str) -> u64 {
    let (digits, unit) = text.split_at(text.find(|c: char| c.is_alphabetic()).expect("a unit"));
    let number: f64 = digits.parse().expect("a number");
    (number * if unit == "ms" { 1e3 } else { 1e6 }) as u64
}

pub fn play_all<P>(folder: &Path, begin: impl Fn() -> P, play: impl Fn(&mut P, &str)) {
    let files = std::fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file").path());
    let mut files: Vec<_> = files.collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        let mut stage = begin();
        for (number, line) in std::fs::read_to_string(&file).expect("text").lines().enumerate() {
            let line = line.split('#').next().expect("a part");
            for line in line.split(';').map(str::trim).filter(|line| !line.is_empty()) {
                let played = catch_unwind(AssertUnwindSafe(|| play(&mut stage, line)));
                assert!(played.is_ok(), "{}:{}: {line}", file.display(), number + 1);
            }
        }
    }
}
