//! Plays every scene in `lab/scenes/accord` on processes of the program, all at once.
use oakhollow_lab::play::{play, Arm};
use oakhollow_lab::scene::Scene;
use std::path::{Path, PathBuf};
use std::thread;

/// The program, which the workspace's tests build beside ours.
fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this test's path");
    let program = own.ancestors().nth(2).expect("the build's folder").join("oakhollow");
    assert!(program.exists(), "no {}: cargo test --workspace builds it", program.display());
    program
}

#[test]
fn scenes_of_agreement_hold() {
    let program = program();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenes/accord");
    let mut files: Vec<PathBuf> =
        folder.read_dir().expect("scenes").map(|entry| entry.expect("one").path()).collect();
    files.sort();
    assert!(files.len() >= 3);
    thread::scope(|scope| {
        for file in &files {
            let program = &program;
            scope.spawn(move || hold(program, file));
        }
    });
}

fn hold(program: &Path, file: &Path) {
    let scene = Scene::read(&std::fs::read_to_string(file).expect("text")).expect("a scene");
    let report = play(&scene, &Arm { program, agreed: true, seed: 0 }).expect("played");
    for (name, log) in report.logs.iter().filter(|_| !report.faults.is_empty()) {
        eprintln!("--- {name}\n{log}");
    }
    assert!(report.faults.is_empty(), "{}: {:#?}", file.display(), report.faults);
    assert!(report.hops > 100, "{}: {} hops", file.display(), report.hops);
}
