//! However `oakhollow-lab` ends, none of the processes that it started outlives it.
use rustix::process::{kill_process, Pid, Signal};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The child processes of `parent`, without zombies.
fn children(parent: u32) -> Vec<u32> {
    let read_process = |folder: PathBuf| -> Option<(u32, u32)> {
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let mut rest = stat.rsplit(") ").next()?.split(' ');
        let (state, parent) = (rest.next()?, rest.next()?.parse().ok()?);
        let pid = folder.file_name()?.to_str()?.parse().ok()?;
        (state != "Z").then_some((pid, parent))
    };
    let processes = std::fs::read_dir("/proc").expect("processes").filter_map(Result::ok);
    let processes = processes.filter_map(|entry| read_process(entry.path()));
    processes.filter(|(_, its_parent)| *its_parent == parent).map(|(pid, _)| pid).collect()
}

fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let start_time = Instant::now();
    while !holds() {
        assert!(start_time.elapsed() < Duration::from_secs(10), "{condition}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn start_scene() -> Child {
    let lab_program = Path::new(env!("CARGO_BIN_EXE_oakhollow-lab"));
    let scene = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenes/leases/process-replaced.txt");
    let mut command = Command::new(lab_program);
    command.arg("play").arg(scene).stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().expect("the lab program")
}

#[test]
fn no_process_outlives_the_lab_program() {
    for signal in [Signal::INT, Signal::KILL] {
        let mut lab = start_scene();
        wait_until("four processes", || children(lab.id()).len() >= 4);
        let started = children(lab.id());
        kill_process(Pid::from_raw(lab.id() as i32).expect("an id"), signal).expect("signalled");
        lab.wait().expect("ended");
        let has_ended = |id: &u32| !Path::new(&format!("/proc/{id}")).exists();
        wait_until("all have ended", || started.iter().all(has_ended));
    }
}
