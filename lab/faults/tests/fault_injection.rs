//! Each kind of fault takes effect in a process that the library is loaded into, and is counted.
use oakhollow_faults::{library_path, FaultKind, Faults, ALWAYS, CONTROL_VARIABLE};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// The environment variable that tells the child process which call to make.
const CHILD_VARIABLE: &str = "OAKHOLLOW_FAULTS_CHILD";
const SIGKILL: i32 = 9;

fn preload_library() -> PathBuf {
    let own = std::env::current_exe().expect("this test's path");
    library_path(own.parent().expect("deps")).expect("cargo test builds the examples")
}

struct Control {
    folder: PathBuf,
    faults: Faults,
}

impl Control {
    fn new(name: &str) -> Control {
        let folder =
            std::env::temp_dir().join(format!("oakhollow-fault-injection-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder is created");
        let faults = Faults::new(&folder).expect("the control block is created");
        Control { folder, faults }
    }

    fn set(&self, kind: FaultKind) {
        self.faults.set_rate(kind, ALWAYS).expect("the rate is set");
    }

    /// Runs a child process that makes one call. Returns its report, or the signal that killed it.
    fn run_child(&self, call: &str) -> Result<String, i32> {
        let mut child = Command::new(std::env::current_exe().expect("this test"));
        child
            .args(["--exact", "child_process", "--nocapture"])
            .env(CHILD_VARIABLE, call)
            .env("TMPDIR", &self.folder);
        child.env("LD_PRELOAD", preload_library()).env(CONTROL_VARIABLE, self.faults.path());
        let output = child.output().expect("started");
        let text = String::from_utf8(output.stdout).expect("text");
        let child_output = text.lines().find_map(|line| Some(line.split_once("result: ")?.1.to_string()));
        child_output.ok_or(output.status.signal().unwrap_or_default())
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    (client, listener.accept().expect("accepted").0)
}

fn error_code<T>(result: std::io::Result<T>) -> String {
    result.err().and_then(|error| error.raw_os_error()).map_or("none".into(), |code| code.to_string())
}

fn make_call(call: &str, folder: &Path) -> String {
    let file = folder.join("data");
    match call {
        "receive" => {
            let (mut client, mut accepted) = connected_pair();
            client.write_all(&[1; 64]).expect("sent");
            drop(client);
            let mut lengths = Vec::new();
            loop {
                match accepted.read(&mut [0; 64]) {
                    Ok(0) => break,
                    Ok(length) => lengths.push(length),
                    Err(_) => return "an error".into(),
                }
            }
            format!("{} of {}", lengths.iter().filter(|length| **length <= 7).count(), lengths.len())
        }
        "send" => connected_pair()
            .0
            .write(&[1; 64])
            .map_or_else(|error| error.to_string(), |length| (length <= 7).to_string()),
        "error" => error_code(connected_pair().0.write(&[1; 64])),
        "accept" => {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let _client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
            error_code(listener.accept())
        }
        "write" => error_code(fs::write(&file, b"twelve bytes")),
        "sync" => error_code(File::create(&file).and_then(|file| file.sync_all())),
        "rename" => {
            fs::write(&file, b"").expect("written");
            error_code(fs::rename(&file, folder.join("other")))
        }
        "read" => {
            fs::write(&file, b"12").expect("written");
            error_code(File::open(&file).and_then(|mut file| file.read(&mut [0; 2])))
        }
        "clock" => SystemTime::now().duration_since(UNIX_EPOCH).expect("later").as_secs().to_string(),
        other => panic!("no call {other}"),
    }
}

#[test]
fn child_process() {
    if let Ok(call) = std::env::var(CHILD_VARIABLE) {
        println!("result: {}", make_call(&call, &std::env::temp_dir()));
    }
}

#[test]
fn each_fault_takes_effect_and_is_counted() {
    let cases = [
        (FaultKind::ShortSend, "send", "true"),
        (FaultKind::Interrupted, "error", "4"),
        (FaultKind::FailedAccept, "accept", "103"),
        (FaultKind::FullDisk, "write", "28"),
        (FaultKind::FailedSync, "sync", "5"),
        (FaultKind::FailedRename, "rename", "5"),
        (FaultKind::FailedRead, "read", "5"),
    ];
    for (kind, call, expected) in cases {
        let control = Control::new(call);
        assert_eq!(
            control.run_child(call).as_deref(),
            Ok(if call == "send" { "false" } else { "none" }),
            "{kind:?}"
        );
        assert_eq!(control.faults.injected_count(kind), 0, "{kind:?}");
        control.set(kind);
        assert_eq!(control.run_child(call).as_deref(), Ok(expected), "{kind:?}");
        assert!(control.faults.injected_count(kind) >= 1, "{kind:?}");
    }
}

#[test]
fn short_reads_and_broken_connections_take_effect() {
    let control = Control::new("receive");
    control.set(FaultKind::ShortReceive);
    let child_output = control.run_child("receive").expect("an answer");
    let (short, all) = child_output.split_once(" of ").expect("two counts");
    assert!(short == all && all.parse::<u64>().is_ok_and(|all| all > 9), "{child_output}");
    assert!(control.faults.injected_count(FaultKind::ShortReceive) > 9);
    let control = Control::new("broken");
    control.set(FaultKind::BrokenConnection);
    let child_output = control.run_child("error").expect("an answer");
    assert!(child_output == "110" || child_output == "113", "{child_output}");
}

#[test]
fn a_killed_write_leaves_half_of_the_bytes() {
    let control = Control::new("killed");
    control.set(FaultKind::KilledWrite);
    assert_eq!(control.run_child("write"), Err(SIGKILL));
    assert_eq!(fs::read(control.folder.join("data")).expect("half"), b"twelve");
}

#[test]
fn the_wall_clock_is_stepped_forwards_and_backwards() {
    for hours in [1_i64, -1] {
        let control = Control::new(&format!("clock{hours}"));
        control.faults.step_clock(hours * 3_600).expect("stepped");
        let child_time: i64 = control.run_child("clock").expect("a time").parse().expect("seconds");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("later").as_secs() as i64;
        assert!((child_time - now - hours * 3_600).abs() < 60, "{child_time} at {now}");
        assert!(control.faults.clock_readings() > 0);
    }
}
