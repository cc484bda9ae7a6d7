//! Plays every scene in `lab/scenes/accord` on processes of the program, as many at once as the machine has room for.
mod beside;

use beside::program;
use oakhollow_lab::admission::{busy, demand, room, Admission};
use oakhollow_lab::play::{play, Arm, Report};
use oakhollow_lab::replays::play_admitted;
use oakhollow_lab::scene::Scene;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::thread;

/// The rig's own program.
const STAND_IN: &str = env!("CARGO_BIN_EXE_oakhollow-lab");

/// One for both tests, which run at once.
static ADMISSION: LazyLock<Admission> = LazyLock::new(|| {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let others = busy(cores);
    let room = room(cores, others);
    let _ = writeln!(std::io::stderr(), "{cores} cores, {others} thousandths busy: scenes have {room}");
    Admission::new(room)
});

/// As soon as there is room for it.
fn report(scene: &Scene, program: &Path, name: &str) -> Report {
    let arm = Arm { program, stand_in: Path::new(STAND_IN), agreed: true, seed: 0 };
    let played = play_admitted(&ADMISSION, demand(scene), name, || play(scene, &arm));
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
    let scene = Scene::read(&std::fs::read_to_string(file).expect("text")).expect("a scene");
    let report = report(&scene, program, &file.display().to_string());
    for (name, log) in report.logs.iter().filter(|_| !report.faults.is_empty()) {
        eprintln!("--- {name}\n{log}");
    }
    assert!(report.faults.is_empty(), "{}: {:#?}", file.display(), report.faults);
    assert!(report.hops > 100, "{}: {} hops", file.display(), report.hops);
}

/// Each with its fault and honest, so that the fault alone is what is caught.
#[test]
fn crooked_sidecars_are_caught_by_name() {
    let (program, files) = (program(), files("crooked"));
    assert_eq!(files.len(), 5);
    thread::scope(|scope| {
        for file in &files {
            let (program, text) = (&program, std::fs::read_to_string(file).expect("text"));
            let crooked = Scene::read(&text).expect("a scene");
            let (who, how) = crooked.stand_in.clone().expect("one is crooked");
            let honest = Scene { stand_in: Some((who, "honest".into())), ..crooked.clone() };
            let name = file.display().to_string();
            let other = format!("honest, {name}");
            scope.spawn(move || {
                let report = report(&crooked, program, &name);
                let named = report.faults.iter().filter(|fault| fault.contains(&format!("n{who} sen")));
                assert!(named.count() > 0, "{how} is not caught: {:#?}", report.faults);
            });
            scope.spawn(move || {
                let report = report(&honest, program, &other);
                assert!(report.faults.is_empty(), "{other}: {:#?}", report.faults);
            });
        }
    });
}
