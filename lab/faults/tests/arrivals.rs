//! Each kind of failure really arrives in a process that the library is loaded into, and is counted as often as it did.
use oakhollow_faults::{library, FaultKind, Faults, ALWAYS, CONTROL_VARIABLE};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// Tells the child which call it makes.
const CHILD: &str = "OAKHOLLOW_FAULTS_CHILD";
const SIGKILL: i32 = 9;

fn preloaded() -> PathBuf {
    let own = std::env::current_exe().expect("this test's path");
    library(own.parent().expect("deps")).expect("cargo test builds the examples")
}

struct Control {
    folder: PathBuf,
    faults: Faults,
}

impl Control {
    fn new(name: &str) -> Control {
        let folder = std::env::temp_dir().join(format!("oakhollow-arrivals-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let faults = Faults::new(&folder).expect("a control block");
        Control { folder, faults }
    }

    fn set(&self, kind: FaultKind) {
        self.faults.set(kind, ALWAYS).expect("set");
    }

    /// What the child says of the call, or the signal that ended it.
    fn child(&self, call: &str) -> Result<String, i32> {
        let mut child = Command::new(std::env::current_exe().expect("this test"));
        child.args(["--exact", "child", "--nocapture"]).env(CHILD, call).env("TMPDIR", &self.folder);
        child.env("LD_PRELOAD", preloaded()).env(CONTROL_VARIABLE, self.faults.path());
        let output = child.output().expect("started");
        let text = String::from_utf8(output.stdout).expect("text");
        let said = text.lines().find_map(|line| Some(line.split_once("said: ")?.1.to_string()));
        said.ok_or(output.status.signal().unwrap_or_default())
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let near = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    (near, listener.accept().expect("accepted").0)
}

fn error<T>(done: std::io::Result<T>) -> String {
    done.err().and_then(|fault| fault.raw_os_error()).map_or("none".into(), |error| error.to_string())
}

fn make(call: &str, folder: &Path) -> String {
    let file = folder.join("data");
    match call {
        "receive" => {
            let (mut near, mut far) = pair();
            near.write_all(&[1; 64]).expect("sent");
            drop(near);
            let mut sizes = Vec::new();
            loop {
                match far.read(&mut [0; 64]) {
                    Ok(0) => break,
                    Ok(size) => sizes.push(size),
                    Err(_) => return "an error".into(),
                }
            }
            format!("{} of {}", sizes.iter().filter(|size| **size <= 7).count(), sizes.len())
        }
        "send" => {
            pair().0.write(&[1; 64]).map_or_else(|fault| fault.to_string(), |size| (size <= 7).to_string())
        }
        "error" => error(pair().0.write(&[1; 64])),
        "accept" => {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let _near = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
            error(listener.accept())
        }
        "write" => error(fs::write(&file, b"twelve bytes")),
        "sync" => error(File::create(&file).and_then(|file| file.sync_all())),
        "rename" => {
            fs::write(&file, b"").expect("written");
            error(fs::rename(&file, folder.join("other")))
        }
        "read" => {
            fs::write(&file, b"12").expect("written");
            error(File::open(&file).and_then(|mut file| file.read(&mut [0; 2])))
        }
        "clock" => SystemTime::now().duration_since(UNIX_EPOCH).expect("later").as_secs().to_string(),
        other => panic!("no call {other}"),
    }
}

#[test]
fn child() {
    if let Ok(call) = std::env::var(CHILD) {
        println!("said: {}", make(&call, &std::env::temp_dir()));
    }
}

#[test]
fn each_failure_arrives_and_is_counted() {
    let cases = [
        (FaultKind::ShortSend, "send", "true"),
        (FaultKind::Interrupted, "error", "4"),
        (FaultKind::FailedAccept, "accept", "103"),
        (FaultKind::FullDisk, "write", "28"),
        (FaultKind::FailedSync, "sync", "5"),
        (FaultKind::FailedRename, "rename", "5"),
        (FaultKind::FailedRead, "read", "5"),
    ];
    for (kind, call, said) in cases {
        let control = Control::new(call);
        assert_eq!(
            control.child(call).as_deref(),
            Ok(if call == "send" { "false" } else { "none" }),
            "{kind:?}"
        );
        assert_eq!(control.faults.arrived(kind), 0, "{kind:?}");
        control.set(kind);
        assert_eq!(control.child(call).as_deref(), Ok(said), "{kind:?}");
        assert!(control.faults.arrived(kind) >= 1, "{kind:?}");
    }
}

#[test]
fn short_reads_and_broken_connections_arrive() {
    let control = Control::new("receive");
    control.set(FaultKind::ShortReceive);
    let said = control.child("receive").expect("an answer");
    let (short, all) = said.split_once(" of ").expect("two counts");
    assert!(short == all && all.parse::<u64>().is_ok_and(|all| all > 9), "{said}");
    assert!(control.faults.arrived(FaultKind::ShortReceive) > 9);
    let control = Control::new("broken");
    control.set(FaultKind::BrokenConnection);
    let said = control.child("error").expect("an answer");
    assert!(said == "110" || said == "113", "{said}");
}

#[test]
fn a_write_is_cut_in_half_by_a_kill() {
    let control = Control::new("killed");
    control.set(FaultKind::KilledWrite);
    assert_eq!(control.child("write"), Err(SIGKILL));
    assert_eq!(fs::read(control.folder.join("data")).expect("half"), b"twelve");
}

#[test]
fn the_wall_clock_is_stepped_either_way() {
    for hours in [1_i64, -1] {
        let control = Control::new(&format!("clock{hours}"));
        control.faults.step_clock(hours * 3_600).expect("stepped");
        let said: i64 = control.child("clock").expect("a time").parse().expect("seconds");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("later").as_secs() as i64;
        assert!((said - now - hours * 3_600).abs() < 60, "{said} at {now}");
        assert!(control.faults.clock_readings() > 0);
    }
}
