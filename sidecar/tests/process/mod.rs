//! A process of the program with a folder of its own, for the tests of several test programs.
use rustix::process::{set_parent_process_death_signal, Signal};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;

/// The descriptor as which a process inherits its listening socket.
const PASSED_SOCKET: i32 = 5;

/// A folder for the files of one process, or of several that replace each other. Dropping it removes it.
pub struct Folder(PathBuf);

impl Folder {
    /// A new empty folder.
    pub fn create() -> Folder {
        static CREATED: AtomicU32 = AtomicU32::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("oakhollow-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running process. Dropping it ends it.
pub struct Process {
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// The process itself.
    pub child: Child,
    /// Removed with the last process that uses it.
    _folder: Arc<Folder>,
}

impl Process {
    /// Starts the program with this configuration, and waits until it listens.
    pub fn start(config: &str) -> Process {
        Process::start_in(&Arc::new(Folder::create()), config, None)
    }

    /// The same in this folder, with a listening socket that it inherits.
    pub fn start_in(folder: &Arc<Folder>, config: &str, listener: Option<&TcpListener>) -> Process {
        let file = folder.0.join("sidecar.json");
        std::fs::write(&file, config).expect("the configuration file is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_oakhollow"));
        command.arg(&file).env("TMPDIR", &folder.0).stderr(Stdio::piped());
        let passed = listener.map(AsRawFd::as_raw_fd);
        if passed.is_some() {
            command.env("RELAY_PASSED_SOCKET", PASSED_SOCKET.to_string());
        }
        // SAFETY: it makes system calls alone and allocates nothing. The first ends the process with the test: if the test
        // is killed, no stopped process is left behind.
        unsafe {
            command.pre_exec(move || {
                set_parent_process_death_signal(Some(Signal::KILL))?;
                passed.map_or(Ok(()), pass_socket)
            });
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
        Process { address, child, _folder: folder.clone() }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

/// Leaves a socket open in the program, as the descriptor that it expects. Called between fork and exec.
fn pass_socket(descriptor: i32) -> std::io::Result<()> {
    // SAFETY: both calls take numbers alone. The second matters where the socket has that number already.
    let result =
        unsafe { libc::dup2(descriptor, PASSED_SOCKET).min(libc::fcntl(PASSED_SOCKET, libc::F_SETFD, 0)) };
    match result {
        -1 => Err(std::io::Error::last_os_error()),
        _ => Ok(()),
    }
}
