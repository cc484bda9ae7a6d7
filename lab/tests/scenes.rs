//! Runs every scene in `lab/scenes` on processes of the program, as many concurrently as the machine has capacity for.
mod built_program;

use built_program::program;
use oakhollow_lab::admission::{available_capacity, busy_millicores, estimated_demand, Admission};
use oakhollow_lab::reruns::run_admitted;
use oakhollow_lab::scene::Scene;
use oakhollow_lab::scene_runner::{run_scene, Report, RunOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::thread;

/// The lab program, which contains the fake sidecar.
const LAB_PROGRAM: &str = env!("CARGO_BIN_EXE_oakhollow-lab");

/// Shared by both tests, which run concurrently.
static ADMISSION: LazyLock<Admission> = LazyLock::new(|| {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let used_by_others = busy_millicores(cores);
    let capacity = available_capacity(cores, used_by_others);
    let _ = writeln!(
        std::io::stderr(),
        "{cores} cores, {used_by_others} thousandths busy: scenes have {capacity}"
    );
    Admission::new(capacity)
});

/// Runs the scene as soon as there is capacity for it.
fn run_admitted_scene(scene: &Scene, program: &Path, name: &str) -> Report {
    let options = RunOptions { program, lab_program: Path::new(LAB_PROGRAM), with_accord: true, seed: 0 };
    let result = run_admitted(&ADMISSION, estimated_demand(scene), name, || run_scene(scene, &options));
    result.unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn files(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenes").join(folder);
    let mut files: Vec<PathBuf> =
        folder.read_dir().expect("scenes").map(|entry| entry.expect("one").path()).collect();
    files.sort();
    files
}

#[test]
fn lease_protocol_scenes_meet_their_expectations() {
    let program = program();
    let files = files("leases");
    assert!(files.len() >= 3);
    thread::scope(|scope| {
        for file in &files {
            let program = &program;
            scope.spawn(move || check_scene(program, file));
        }
    });
}

fn check_scene(program: &Path, file: &Path) {
    let scene = Scene::parse(&std::fs::read_to_string(file).expect("text")).expect("a scene");
    let report = run_admitted_scene(&scene, program, &file.display().to_string());
    for (name, log) in report.logs.iter().filter(|_| !report.failures.is_empty()) {
        eprintln!("--- {name}\n{log}");
    }
    assert!(report.failures.is_empty(), "{}: {:#?}", file.display(), report.failures);
    assert!(report.attempts > 100, "{}: {} attempts", file.display(), report.attempts);
}

/// Runs each scene with its faulty sidecar and with a correct fake sidecar, so that only the fault can cause the
/// finding.
#[test]
fn faulty_sidecars_are_found_and_named() {
    let (program, files) = (program(), files("faulty"));
    assert_eq!(files.len(), 5);
    thread::scope(|scope| {
        for file in &files {
            let (program, text) = (&program, std::fs::read_to_string(file).expect("text"));
            let faulty = Scene::parse(&text).expect("a scene");
            let (instance, behaviour) = faulty.fake_sidecar.clone().expect("a fake sidecar");
            let honest = Scene { fake_sidecar: Some((instance, "honest".into())), ..faulty.clone() };
            let name = file.display().to_string();
            let honest_name = format!("honest, {name}");
            scope.spawn(move || {
                let report = run_admitted_scene(&faulty, program, &name);
                let named =
                    report.failures.iter().filter(|failure| failure.contains(&format!("n{instance} sen")));
                assert!(named.count() > 0, "{behaviour} is not found: {:#?}", report.failures);
            });
            scope.spawn(move || {
                let report = run_admitted_scene(&honest, program, &honest_name);
                assert!(report.failures.is_empty(), "{honest_name}: {:#?}", report.failures);
            });
        }
    });
}
