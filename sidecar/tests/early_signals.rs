//! Signals that come while the program still reads its configuration file. The file is a named pipe that has not been
//! written to yet.
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const HUP: i32 = 1;
const TERM: i32 = 15;

/// A program that waits for its file to be written, and the folder of the file.
struct Waiting {
    child: Child,
    folder: PathBuf,
}

impl Waiting {
    fn start(name: &str) -> Waiting {
        let folder = std::env::temp_dir().join(format!("oakhollow-early-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("sidecar.json");
        assert!(Command::new("mkfifo").arg(&file).status().expect("mkfifo").success());
        let mut program = Command::new(env!("CARGO_BIN_EXE_oakhollow"));
        program.arg(&file).stdout(Stdio::null()).stderr(Stdio::null()).env_remove("TMPDIR");
        let child = program.spawn().expect("started");
        let waiting = Waiting { child, folder };
        waiting.wait_until_it_sleeps();
        waiting
    }

    /// Waits until the program sleeps in opening the pipe, as the kernel reports its state.
    fn wait_until_it_sleeps(&self) {
        let path = format!("/proc/{}/task/{}/stat", self.child.id(), self.child.id());
        let begun = Instant::now();
        let sleeps = |path: &Path| {
            let stat = std::fs::read_to_string(path).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('S'))
        };
        let mut asleep = 0;
        while asleep < 20 {
            assert!(begun.elapsed() < Duration::from_secs(20), "it never waits for its file");
            asleep = if sleeps(Path::new(&path)) { asleep + 1 } else { 0 };
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").arg(format!("-{signal}")).arg(id).status().expect("kill").success());
    }

    /// Writes the file. A regular file replaces the pipe, for when the program reads it again.
    fn write(&self) {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/sidecar.json");
        let text = std::fs::read_to_string(example).expect("the example's file");
        let text = text.replace("127.0.0.1:7070", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:9");
        let (file, plain) = (self.folder.join("sidecar.json"), self.folder.join("plain.json"));
        // Opened for reading too, so that opening does not wait for a reader.
        let mut pipe = std::fs::File::options().read(true).write(true).open(&file).expect("a pipe");
        std::fs::write(&plain, &text).expect("written");
        std::fs::rename(&plain, &file).expect("replaced");
        pipe.write_all(text.as_bytes()).expect("written");
    }

    /// Waits some seconds for the program to end, and returns its exit code or the signal that ended it.
    fn wait_for_end(&mut self) -> Option<Result<i32, i32>> {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(10) {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status.code().ok_or(status.signal().unwrap_or_default()));
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn sighup_while_the_file_is_read_does_not_end_the_program() {
    let mut waiting = Waiting::start("hangup");
    waiting.signal(HUP);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(waiting.child.try_wait().expect("a child").map(|status| status.signal()), None);
    waiting.write();
    waiting.signal(TERM);
    assert_eq!(waiting.wait_for_end(), Some(Ok(0)));
}

#[test]
fn sigterm_while_the_file_is_read_takes_effect_once_it_serves() {
    let mut waiting = Waiting::start("stop");
    waiting.signal(TERM);
    thread::sleep(Duration::from_millis(200));
    waiting.write();
    assert_eq!(waiting.wait_for_end(), Some(Ok(0)));
}
