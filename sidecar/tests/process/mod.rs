//! A process of the program with a folder of its own, for the tests of several test programs.
use rustix::process::{set_parent_process_death_signal, Signal};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

/// A running process. Dropping it ends it and removes its folder.
pub struct Process {
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// The process itself.
    pub child: Child,
    folder: PathBuf,
}

impl Process {
    /// Starts the program with this configuration, and waits until it listens.
    pub fn start(config: &str) -> Process {
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("oakhollow-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let file = folder.join("sidecar.json");
        std::fs::write(&file, config).expect("the configuration file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_oakhollow"));
        command.arg(&file).env("TMPDIR", &folder).stderr(Stdio::piped());
        // SAFETY: it makes one system call and allocates nothing. The call ends the process with the test: if the test
        // is killed, no stopped process is left behind.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let mut child = command.spawn().expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("a piped standard error"));
        let (mut line, mut address) = (String::new(), None);
        while address.is_none() && log.read_line(&mut line).is_ok_and(|count| count > 0) {
            let rest = line.split_once("listening on ").map(|(_, rest)| rest);
            address = rest.and_then(|rest| rest.split([',', ' ', '\n']).next()?.parse().ok());
        }
        // Read to the end: the program does not wait for a reader of its log, but drops lines while the pipe is full.
        thread::spawn(move || log.read_to_end(&mut Vec::new()));
        let address = address.unwrap_or_else(|| panic!("the program doesn't listen: {line}"));
        Process { address, child, folder }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
