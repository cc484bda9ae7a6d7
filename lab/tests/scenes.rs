//! Plays every scene in `lab/scenes/accord` on processes of the program, as many at once as the machine has room for.
mod beside;

use beside::program;
use oakhollow_lab::admission::{available_capacity, busy_millicores, estimated_demand, Admission};
use oakhollow_lab::reruns::run_admitted;
use oakhollow_lab::scene::Scene;
use oakhollow_lab::scene_runner::{run_scene, Report, RunOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::thread;

/// The rig's own program.
const STAND_IN: &str = env!("CARGO_BIN_EXE_oakhollow-lab");

/// One for both tests, which run at once.
static ADMISSION: LazyLock<Admission> = LazyLock::new(|| {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let others = busy_millicores(cores);
    let room = available_capacity(cores, others);
    let _ = writeln!(std::io::stderr(), "{cores} cores, {others} thousandths busy: scenes have {room}");
    Admission::new(room)
});

/// As soon as there is room for it.
fn report(scene: &Scene, program: &Path, name: &str) -> Report {
    let options = RunOptions { program, lab_program: Path::new(STAND_IN), with_accord: true, seed: 0 };
    let played = run_admitted(&ADMISSION, estimated_demand(scene), name, || run_scene(scene, &options));
    played.unwrap_or_else(|why| panic!("{name}: {why}"))
}

fn files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenes").join(folder);
    let mut files: Vec<PathBuf> =
        folder.read_dir().expect("scenes").map(|entry| entry.expect("one").path()).collect();
    files.sort();
    files
}

#[test]
fn scenes_of_agreement_hold() {
    let program = program();
    let files = files("accord");
    assert!(files.len() >= 3);
    thread::scope(|scope| {
        for file in &files {
            let program = &program;
            scope.spawn(move || hold(program, file));
        }
    });
}

fn hold(program: &Path, file: &Path) {
    let scene = Scene::parse(&std::fs::read_to_string(file).expect("text")).expect("a scene");
    let report = report(&scene, program, &file.display().to_string());
    for (name, log) in report.logs.iter().filter(|_| !report.failures.is_empty()) {
        eprintln!("--- {name}\n{log}");
    }
    assert!(report.failures.is_empty(), "{}: {:#?}", file.display(), report.failures);
    assert!(report.attempts > 100, "{}: {} hops", file.display(), report.attempts);
}

/// Each with its fault and honest, so that the fault alone is what is caught.
#[test]
fn crooked_sidecars_are_caught_by_name() {
    let (program, files) = (program(), files("faulty"));
    assert_eq!(files.len(), 5);
    thread::scope(|scope| {
        for file in &files {
            let (program, text) = (&program, std::fs::read_to_string(file).expect("text"));
            let crooked = Scene::parse(&text).expect("a scene");
            let (who, how) = crooked.stand_in.clone().expect("one is crooked");
            let honest = Scene { stand_in: Some((who, "honest".into())), ..crooked.clone() };
            let name = file.display().to_string();
            let other = format!("honest, {name}");
            scope.spawn(move || {
                let report = report(&crooked, program, &name);
                let named = report.failures.iter().filter(|fault| fault.contains(&format!("n{who} sen")));
                assert!(named.count() > 0, "{how} is not caught: {:#?}", report.failures);
            });
            scope.spawn(move || {
                let report = report(&honest, program, &other);
                assert!(report.failures.is_empty(), "{other}: {:#?}", report.failures);
            });
        }
    });
}
