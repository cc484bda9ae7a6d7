//! Processes of the program: started, signalled and ended by their own ids alone, and never left behind: each dies with
//! the thread that started it, whatever ends that.
use oakhollow_faults::{library_path, Faults, CONTROL_VARIABLE};
use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// What builds the library of faults, for a release build.
const BUILDS_LIBRARY: &str = "cargo build --release -p oakhollow-faults --examples";

/// One process of the program, with a folder of its own.
pub struct Sidecar {
    pub name: String,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    program: PathBuf,
    folder: PathBuf,
    operator: bool,
    /// Words that come first, where the program is the rig's own; it reads its file by itself.
    stands_in: Vec<String>,
    /// Passed on to each process, where one replaces another.
    listener: Option<TcpListener>,
    child: Option<Child>,
    /// The one that is being replaced.
    first: Option<Child>,
    /// What fails in its processes, and the library that makes it fail.
    faults: Option<(Faults, PathBuf)>,
}

/// An address that stays the process's when it is started again. Of the loopback range each has a host of its own: guards
/// against a port that somebody's outgoing connection takes meanwhile.
pub fn reserve_address() -> std::io::Result<SocketAddr> {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let (given, own) = (GIVEN.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = [127, 64 + (own >> 8) as u8 % 64, own as u8, 1 + (given % 250) as u8];
    TcpListener::bind(SocketAddr::from((host, 0)))?.local_addr()
}

impl Sidecar {
    pub fn new(program: &Path, name: &str, folder: &Path) -> std::io::Result<Sidecar> {
        let folder = folder.join(name);
        fs::create_dir_all(&folder)?;
        Ok(Sidecar {
            name: name.into(),
            listen: reserve_address()?,
            console: reserve_address()?,
            program: program.into(),
            folder,
            operator: false,
            stands_in: Vec::new(),
            listener: None,
            child: None,
            first: None,
            faults: None,
        })
    }

    /// Has a stand-in take the program's place.
    pub fn use_stand_in(&mut self, program: &Path, how: &str) {
        self.program = program.into();
        self.stands_in = vec!["stand-in".into(), how.into()];
    }

    /// From now on its processes are passed the listening socket, as by one that watches over them.
    pub fn pass_listener(&mut self) -> std::io::Result<()> {
        self.listener = Some(TcpListener::bind(self.listen)?);
        Ok(())
    }

    /// From now on the library of faults is loaded into its processes.
    pub fn enable_faults(&mut self) -> std::io::Result<()> {
        let library = library_path(&self.program).ok_or_else(|| {
            let beside = self.program.display();
            let text = format!("no library of faults beside {beside}: {BUILDS_LIBRARY} builds it");
            std::io::Error::new(std::io::ErrorKind::NotFound, text)
        })?;
        self.faults = Some((Faults::new(&self.folder)?, library));
        Ok(())
    }

    /// What fails in its processes, if they were bent.
    pub fn faults(&self) -> Option<&Faults> {
        self.faults.as_ref().map(|(faults, _)| faults)
    }

    /// Where its processes keep what outlives them.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts a second process beside the first.
    pub fn start_second(&mut self) -> std::io::Result<()> {
        self.first = self.child.take();
        self.start()
    }

    /// Asks the first process to end.
    pub fn terminate_first(&self) {
        if let Some(id) = self.first.as_ref().and_then(|first| Pid::from_raw(first.id() as i32)) {
            let _ = kill_process(id, Signal::TERM);
        }
    }

    /// Has it read its file again.
    pub fn reload(&self) {
        if self.stands_in.is_empty() {
            self.signal(Signal::HUP);
        }
    }

    /// Writes its file whole, or not at all.
    pub fn write_config(&self, text: &str) -> std::io::Result<()> {
        fs::write(self.folder.join("new.json"), text)?;
        fs::rename(self.folder.join("new.json"), self.folder.join("sidecar.json"))
    }

    /// Leaves half of its file.
    pub fn truncate_config(&self) -> std::io::Result<()> {
        let text = fs::read_to_string(self.folder.join("sidecar.json"))?;
        fs::write(self.folder.join("sidecar.json"), &text[..text.len() / 2])
    }

    pub fn write_operator_config(&mut self, text: &str) -> std::io::Result<()> {
        self.operator = true;
        fs::write(self.folder.join("operator.toml"), text)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = match &self.listener {
            None => Command::new(&self.program),
            Some(_) => {
                let mut shell = Command::new("/bin/sh");
                shell.args(["-c", "exec 5<&0 0</dev/null; exec \"$0\" \"$@\""]).arg(&self.program);
                shell
            }
        };
        command.args(&self.stands_in).arg(self.folder.join("sidecar.json"));
        if self.operator {
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
        // SAFETY: one system call, which allocates nothing.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) {
            let _ = kill_process(id, signal);
        }
    }

    /// Sends a signal to one of its processes by id, if that has not been waited for yet.
    pub fn signal_child(&self, id: u32, signal: Signal) {
        let ours = [&self.child, &self.first].into_iter().flatten().any(|child| child.id() == id);
        if let Some(id) = Pid::from_raw(id as i32).filter(|_| ours) {
            let _ = kill_process(id, signal);
        }
    }

    /// Of the process that runs; none where none does.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Where its file stands.
    pub fn config_path(&self) -> PathBuf {
        self.folder.join("sidecar.json")
    }

    /// Killed outright; none is left.
    pub fn kill(&mut self) {
        for mut child in self.child.take().into_iter().chain(self.first.take()) {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Kills the second of two processes; the first goes on.
    pub fn kill_second(&mut self) {
        if let Some(first) = self.first.take() {
            let second = self.child.replace(first);
            second.into_iter().for_each(|mut second| _ = (second.kill(), second.wait()));
        }
    }

    /// The first of two processes has ended; also where there are not two.
    pub fn first_has_exited(&mut self) -> bool {
        let ended = self.first.as_mut().is_none_or(|first| !matches!(first.try_wait(), Ok(None)));
        if ended {
            self.first = None;
        }
        ended
    }

    /// The code with which it ended, if it had one. None while it runs.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.code())
    }

    /// Has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}
