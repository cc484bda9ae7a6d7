//! Processes of the program, started, signalled and killed by their own process ids alone. None is left behind: the
//! kernel kills each when the thread that started it ends, however that ends.
use oakhollow_faults::{library_path, Faults, CONTROL_VARIABLE};
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// The command that builds the fault injection library, for a release build.
const LIBRARY_BUILD_COMMAND: &str = "cargo build --release -p oakhollow-faults --examples";

/// One instance of the program, with a folder of its own. While a second process takes over from the first, the
/// instance consists of both.
pub struct Sidecar {
    /// The instance's name.
    pub name: String,
    /// Where it listens for requests.
    pub listen: SocketAddr,
    /// Where its console listens.
    pub console: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    has_operator_config: bool,
    /// The first arguments, if the program is the fake sidecar. It rereads its settings file without a signal.
    fake_sidecar_arguments: Vec<String>,
    /// The listening socket that is passed to each process, if one process may take over from another.
    listener: Option<TcpListener>,
    child: Option<Child>,
    /// The process from which the latest one takes over.
    first: Option<Child>,
    /// The control of the faults in its processes, and the library that injects them.
    faults: Option<(Faults, PathBuf)>,
}

/// Picks an address that a process can bind again when it is restarted. Each has a loopback host of its own, so that
/// no outgoing connection takes the port meanwhile.
///
/// The socket that finds the port never listens: a child process that was forked meanwhile holds it until its exec,
/// and only a listening socket would keep others from binding the address.
pub fn reserve_address() -> std::io::Result<SocketAddr> {
    static RESERVED: AtomicU32 = AtomicU32::new(0);
    let (number, own_pid) = (RESERVED.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = [127, 64 + (own_pid >> 8) as u8 % 64, own_pid as u8, 1 + (number % 250) as u8];
    let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, &SocketAddr::from((host, 0)))?;
    // The type of the standard library only serves to read the address.
    TcpListener::from(socket).local_addr()
}

impl Sidecar {
    /// Creates the instance's folder and picks its addresses; starts nothing.
    pub fn new(program: &Path, name: &str, folder: &Path) -> std::io::Result<Sidecar> {
        let folder = folder.join(name);
        fs::create_dir_all(&folder)?;
        Ok(Sidecar {
            name: name.into(),
            listen: reserve_address()?,
            console: reserve_address()?,
            program: program.into(),
            folder,
            has_operator_config: false,
            fake_sidecar_arguments: Vec::new(),
            listener: None,
            child: None,
            first: None,
            faults: None,
        })
    }

    /// Runs the fake sidecar of `oakhollow-lab`, with this behaviour, instead of the program.
    pub fn use_fake_sidecar(&mut self, lab_program: &Path, behaviour: &str) {
        self.program = lab_program.into();
        self.fake_sidecar_arguments = vec!["stand-in".into(), behaviour.into()];
    }

    /// Passes the listening socket to processes started from now on, as a process supervisor does.
    pub fn pass_listener(&mut self) -> std::io::Result<()> {
        self.listener = Some(TcpListener::bind(self.listen)?);
        Ok(())
    }

    /// Loads the fault injection library into processes started from now on.
    pub fn enable_faults(&mut self) -> std::io::Result<()> {
        let library = library_path(&self.program).ok_or_else(|| {
            let program = self.program.display();
            let message =
                format!("no fault injection library beside {program}: {LIBRARY_BUILD_COMMAND} builds it");
            std::io::Error::new(std::io::ErrorKind::NotFound, message)
        })?;
        self.faults = Some((Faults::new(&self.folder)?, library));
        Ok(())
    }

    /// The control of the faults in its processes, if the library is loaded.
    pub fn faults(&self) -> Option<&Faults> {
        self.faults.as_ref().map(|(faults, _)| faults)
    }

    /// The folder with its files, which its processes also use as their temporary folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts a second process beside the first.
    pub fn start_second(&mut self) -> std::io::Result<()> {
        self.first = self.child.take();
        self.start()
    }

    /// Sends SIGTERM to the first process.
    pub fn terminate_first(&self) {
        if let Some(id) = self.first.as_ref().and_then(|first| Pid::from_raw(first.id() as i32)) {
            let _ = kill_process(id, Signal::TERM);
        }
    }

    /// Sends SIGHUP, by which it rereads its settings file.
    pub fn reload(&self) {
        if self.fake_sidecar_arguments.is_empty() {
            self.signal(Signal::HUP);
        }
    }

    /// Replaces its settings file atomically.
    pub fn write_config(&self, text: &str) -> std::io::Result<()> {
        fs::write(self.folder.join("new.json"), text)?;
        fs::rename(self.folder.join("new.json"), self.folder.join("sidecar.json"))
    }

    /// Cuts its settings file to half of its length.
    pub fn truncate_config(&self) -> std::io::Result<()> {
        let text = fs::read_to_string(self.folder.join("sidecar.json"))?;
        fs::write(self.folder.join("sidecar.json"), &text[..text.len() / 2])
    }

    /// Writes the operator's file, which processes started from now on read.
    pub fn write_operator_config(&mut self, text: &str) -> std::io::Result<()> {
        self.has_operator_config = true;
        fs::write(self.folder.join("operator.toml"), text)
    }

    /// Starts a process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = match &self.listener {
            None => Command::new(&self.program),
            Some(_) => {
                // The socket is passed as standard input; the shell moves it to descriptor 5.
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "exec 5<&0 0</dev/null; exec \"$0\" \"$@\""]).arg(&self.program);
                shell
            }
        };
        command.args(&self.fake_sidecar_arguments).arg(self.folder.join("sidecar.json"));
        if self.has_operator_config {
            command.arg("--operator").arg(self.folder.join("operator.toml"));
        }
        command.env("TMPDIR", &self.folder).env_remove("RELAY_PASSED_SOCKET");
        if let Some((faults, library)) = &self.faults {
            command.env("LD_PRELOAD", library).env(CONTROL_VARIABLE, faults.path());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        if let Some(listener) = &self.listener {
            command.stdin(Stdio::from(OwnedFd::from(listener.try_clone()?))).env("RELAY_PASSED_SOCKET", "5");
        }
        // SAFETY: between fork and exec, this makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Sends a signal to the process that was started last.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(id, signal);
        }
    }

    /// Sends a signal to one of its processes by id, unless it has been waited for: the id may belong to another by
    /// then.
    pub fn signal_child(&self, id: u32, signal: Signal) {
        let is_child = [&self.child, &self.first].into_iter().flatten().any(|child| child.id() == id);
        if let Some(id) = Pid::from_raw(id as i32).filter(|_| is_child) {
            let _ = kill_process(id, signal);
        }
    }

    /// The id of the process that was started last; none after a kill.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Where its settings file is.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join("sidecar.json")
    }

    /// Kills all its processes and waits for them.
    pub fn kill(&mut self) {
        for mut child in self.child.take().into_iter().chain(self.first.take()) {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Kills the second of two processes; the first goes on running.
    pub fn kill_second(&mut self) {
        if let Some(first) = self.first.take() {
            let second = self.child.replace(first);
            second.into_iter().for_each(|mut second| _ = (second.kill(), second.wait()));
        }
    }

    /// Kills the first of two processes; the second goes on running.
    pub fn kill_first(&mut self) {
        if let Some(mut first) = self.first.take() {
            let _ = (first.kill(), first.wait());
        }
    }

    /// Whether the first of two processes has exited; also true if there is only one process.
    pub fn first_has_exited(&mut self) -> bool {
        let ended = self.first.as_mut().is_none_or(|first| !matches!(first.try_wait(), Ok(None)));
        if ended {
            self.first = None;
        }
        ended
    }

    /// None while it runs; then its exit code, which a process killed by a signal does not have.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.code())
    }

    /// Whether it has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// What its processes have written to standard error.
    pub fn log_text(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}
