//! Signals that arrive while the program still reads its configuration file. In these tests the file is a named pipe:
//! the program blocks in opening it until the test writes to it.
use std::io::Write;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const HUP: i32 = 1;
const TERM: i32 = 15;

/// A program that waits until its configuration file is written, and the folder of the file.
struct StartingProgram {
    child: Child,
    folder: PathBuf,
}

impl StartingProgram {
    fn start(name: &str) -> StartingProgram {
        let folder = std::env::temp_dir().join(format!("oakhollow-early-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let file = folder.join("sidecar.json");
        assert!(Command::new("mkfifo").arg(&file).status().expect("mkfifo").success());
        let mut command = Command::new(env!("CARGO_BIN_EXE_oakhollow"));
        command.arg(&file).stdout(Stdio::null()).stderr(Stdio::null()).env_remove("TMPDIR");
        let child = command.spawn().expect("the program starts");
        let program = StartingProgram { child, folder };
        program.wait_until_blocked();
        program
    }

    /// Waits until the program is blocked in opening the pipe: the kernel reports it asleep 20 times in a row.
    fn wait_until_blocked(&self) {
        let path = format!("/proc/{}/task/{}/stat", self.child.id(), self.child.id());
        let start = Instant::now();
        let is_sleeping = |path: &Path| {
            let stat = std::fs::read_to_string(path).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('S'))
        };
        let mut consecutive = 0;
        while consecutive < 20 {
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "the program is never blocked in opening its file"
            );
            consecutive = if is_sleeping(Path::new(&path)) { consecutive + 1 } else { 0 };
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").arg(format!("-{signal}")).arg(id).status().expect("kill").success());
    }

    /// Writes the configuration to the pipe. A regular file replaces the pipe, so that a later reload finds the text too.
    fn write_config(&self) {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/sidecar.json");
        let text = std::fs::read_to_string(example).expect("the example file");
        let text = text.replace("127.0.0.1:7070", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:9");
        let (config_file, regular_file) = (self.folder.join("sidecar.json"), self.folder.join("plain.json"));
        // Opened for reading as well, so that opening does not block until there is a reader.
        let mut pipe =
            std::fs::File::options().read(true).write(true).open(&config_file).expect("the pipe is opened");
        std::fs::write(&regular_file, &text).expect("the file is written");
        std::fs::rename(&regular_file, &config_file).expect("the pipe is replaced");
        pipe.write_all(text.as_bytes()).expect("written");
    }

    /// Waits 10 s for the program to exit. Returns its exit code (`Ok`) or the signal that ended it (`Err`).
    fn wait_for_exit(&mut self) -> Option<Result<i32, i32>> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return Some(status.code().ok_or(status.signal().unwrap_or_default()));
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for StartingProgram {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn sighup_while_the_file_is_read_does_not_end_the_program() {
    let mut program = StartingProgram::start("hangup");
    program.signal(HUP);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(program.child.try_wait().expect("its status").map(|status| status.signal()), None);
    program.write_config();
    program.signal(TERM);
    assert_eq!(program.wait_for_exit(), Some(Ok(0)));
}

#[test]
fn sigterm_while_the_file_is_read_takes_effect_once_the_program_serves() {
    let mut program = StartingProgram::start("stop");
    program.signal(TERM);
    thread::sleep(Duration::from_millis(200));
    program.write_config();
    assert_eq!(program.wait_for_exit(), Some(Ok(0)));
}
