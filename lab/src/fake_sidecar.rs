//! A minimal sidecar for scenes. It takes part in the lease protocol as the program does and forwards requests in the
//! simplest way, correctly or with one chosen fault. The faults test the scene checker, which must find each of them.
use crate::fakes::{header, read_head, serve_connections};
use oakhollow::types::{Idempotency, Micros};
use oakhollow_config::{
    micros_from_seconds, read_json, to_json, DiscoveryList, EndpointEntry, Greeting, LocalSettings,
    OperatorConfig, SidecarConfig,
};
use oakhollow_lease::{
    lease_duration, Action, Document, Fact, InstanceId, LeaseHolder, ListUpdate, Message, Validator, Version,
};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How the fake sidecar behaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Behaviour {
    /// Without a fault.
    Honest,
    /// It applies new settings three seconds after it has confirmed that it knows them.
    #[value(name = "late")]
    AppliesLate,
    /// It goes on sending without a lease once it has had one.
    NoLease,
    /// It counts a lease's duration from the answer instead of the request.
    #[value(name = "from-answer")]
    LeaseFromAnswer,
    /// It ignores servers that other instances report as draining.
    #[value(name = "no-drains")]
    IgnoresDrains,
    /// It applies a version of the settings with a lower number.
    #[value(name = "lower")]
    AppliesLowerVersion,
    /// No fault: it receives no new settings, and asks for leases with those that it knew.
    #[value(name = "deaf")]
    ReceivesNoSettings,
    /// No fault: it cannot apply any version of the settings but its first.
    #[value(name = "refuses")]
    RejectsNewSettings,
}

/// How long [`Behaviour::AppliesLate`] waits.
const APPLY_DELAY: Duration = Duration::from_secs(3);
/// How often it checks its file for changes, of which it gets no signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The workloads of the settings in force, and whether they may be repeated.
type Workloads = BTreeMap<String, bool>;

struct State {
    behaviour: Behaviour,
    start_time: Instant,
    lease: Micros,
    lease_holder: LeaseHolder,
    local_settings: LocalSettings,
    path: PathBuf,
    /// The file as it was last read.
    file: String,
    workloads: Workloads,
    /// Workloads of settings that are applied later, with when.
    delayed_workloads: Vec<(Instant, Workloads)>,
    /// Servers that other instances report as draining, with their start times.
    draining_servers: BTreeMap<String, u64>,
    /// The last list of its discovery.
    servers: BTreeMap<String, EndpointEntry>,
    /// When its lease expires.
    lease_expires_at: Micros,
    /// The links to the lease servers.
    links: HashMap<InstanceId, Sender<Option<Message>>>,
    /// How many servers it has chosen for attempts, for the round robin.
    attempts_chosen: usize,
}

/// The state, and a condition variable that signals that its next deadline may have changed.
type SharedState = Arc<(Mutex<State>, Condvar)>;

fn lock(state: &SharedState) -> MutexGuard<'_, State> {
    state.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn load_workloads(local_settings: &LocalSettings, texts: &[&str]) -> Result<Workloads, String> {
    let settings = local_settings.merge(texts)?;
    let repeatable =
        settings.balancer.workloads.iter().map(|workload| workload.idempotency == Idempotency::Idempotent);
    Ok(settings.workloads.into_iter().map(|workload| workload.name).zip(repeatable).collect())
}

/// Reads an instance's settings file: all of it, the part that is the instance's own, and the document that all
/// instances share.
pub(crate) fn read_instance_file(path: &Path) -> Result<(SidecarConfig, LocalSettings, Document), String> {
    let config = SidecarConfig::from_file(path)?;
    let (local_settings, shared) = LocalSettings::split(&config.settings_text)?;
    let number = config.settings_version.ok_or("version: missing")?;
    let version = Version { epoch: number.epoch, number: number.number, hash: shared.hash };
    Ok((config, local_settings, Document { version, text: shared.text.into() }))
}

impl State {
    fn now(&self) -> Micros {
        Micros(1 + self.start_time.elapsed().as_micros() as u64)
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(lease_server, message) => {
                    _ = self.links.get(&lease_server).map(|link| link.send(Some(message)))
                }
                Action::ApplyDocuments => {
                    let texts: Vec<Arc<str>> =
                        self.lease_holder.active_documents().map(|(_, text)| text.clone()).collect();
                    let texts: Vec<&str> = texts.iter().map(|text| &**text).collect();
                    let Ok(new_workloads) = load_workloads(&self.local_settings, &texts) else { continue };
                    match self.behaviour {
                        Behaviour::AppliesLate if !self.workloads.is_empty() => {
                            self.delayed_workloads.push((Instant::now() + APPLY_DELAY, new_workloads));
                        }
                        _ => self.workloads = new_workloads,
                    }
                }
                Action::ApplyLists if self.behaviour == Behaviour::IgnoresDrains => {}
                Action::ApplyLists => {
                    self.draining_servers = self
                        .lease_holder
                        .excluded_servers()
                        .into_iter()
                        .map(|(name, since)| (name.to_string(), since))
                        .collect();
                }
                Action::ApplyMaintenance { .. } | Action::Log(_) => {}
            }
        }
    }

    fn receive(&mut self, lease_server: InstanceId, message: Message) {
        if self.behaviour == Behaviour::ReceivesNoSettings
            && matches!(message, Message::Documents(_))
            && self.lease_expires_at > Micros(0)
        {
            return;
        }
        let (previous_expiry, mut actions) = (self.lease_holder.lease_valid_until(), Vec::new());
        self.lease_holder.handle_message(self.now(), lease_server, message, &mut actions);
        self.execute(actions);
        let lease_expires_at = self.lease_holder.lease_valid_until();
        match self.behaviour {
            Behaviour::LeaseFromAnswer if lease_expires_at > previous_expiry => {
                self.lease_expires_at = self.now() + self.lease
            }
            Behaviour::LeaseFromAnswer => {}
            Behaviour::NoLease if lease_expires_at > Micros(0) => self.lease_expires_at = Micros::NEVER,
            _ => self.lease_expires_at = lease_expires_at,
        }
    }

    fn run_due_work(&mut self) {
        let (now, mut actions) = (self.now(), Vec::new());
        if now >= self.lease_holder.next_wakeup() {
            self.lease_holder.handle_timer(now, &mut actions);
        }
        let file = std::fs::read_to_string(&self.path).unwrap_or_default();
        if file != self.file {
            self.file = file;
            if let Ok((_, local_settings, document)) = read_instance_file(&self.path) {
                self.local_settings = local_settings;
                let text = document.text.clone();
                if !self.lease_holder.propose(now, document, &mut actions)
                    && self.behaviour == Behaviour::AppliesLowerVersion
                {
                    self.workloads = load_workloads(&self.local_settings, &[&text]).unwrap_or_default();
                }
            }
        }
        self.execute(actions);
        let due_count =
            self.delayed_workloads.iter().filter(|(apply_at, _)| *apply_at <= Instant::now()).count();
        if let Some((_, new_workloads)) = self.delayed_workloads.drain(..due_count).next_back() {
            self.workloads = new_workloads;
        }
    }

    /// How long it may wait until the next deadline.
    fn time_to_next_deadline(&self) -> Duration {
        let until_wakeup = Duration::from_micros((self.lease_holder.next_wakeup() - self.now()).0);
        let until_workloads = self
            .delayed_workloads
            .iter()
            .map(|(apply_at, _)| apply_at.saturating_duration_since(Instant::now()))
            .min();
        until_wakeup.min(until_workloads.unwrap_or(FILE_CHECK_INTERVAL)).min(FILE_CHECK_INTERVAL)
    }

    fn apply_list(&mut self, list: &DiscoveryList) {
        if list.snapshot {
            self.servers.clear();
        }
        for entry in &list.endpoints {
            self.servers.insert(entry.name.clone(), entry.clone());
        }
        let fact = |entry: &EndpointEntry| Fact {
            since: entry.since_ms(),
            excluded: !entry.is_active(),
            first_hand: true,
            entry: None,
        };
        let entries = list.endpoints.iter();
        let entries =
            entries.map(|entry| (entry.name.as_str().into(), (!entry.has_left()).then(|| fact(entry))));
        let update = ListUpdate { index: list.index.0, snapshot: list.snapshot, entries: entries.collect() };
        let mut actions = Vec::new();
        self.lease_holder.handle_list_update(self.now(), update, &mut actions);
        self.execute(actions);
    }

    fn has_lease(&self) -> bool {
        self.lease_expires_at > self.now()
    }

    /// Chooses a server for an attempt of this workload, round robin. Returns its address and whether the request may
    /// be repeated, or the status with which the request is refused.
    fn choose(&mut self, workload: &str) -> Result<(SocketAddr, bool), u16> {
        let repeat = *self.workloads.get(workload).ok_or(404_u16)?;
        if !self.has_lease() {
            return Err(503);
        }
        let drains = |entry: &EndpointEntry| {
            self.draining_servers.get(&entry.name).is_some_and(|since| entry.since_ms() <= *since)
        };
        let usable = self.servers.values().filter(|entry| entry.is_active() && !drains(entry));
        let usable: Vec<SocketAddr> = usable.map(|entry| entry.address).collect();
        self.attempts_chosen += 1;
        usable.get(self.attempts_chosen % usable.len().max(1)).map(|address| (*address, repeat)).ok_or(503)
    }
}

/// Runs the fake sidecar until the process is killed.
pub fn run(path: &Path, operator: &Path, behaviour: Behaviour) -> Result<(), String> {
    let (config, local_settings, first) = read_instance_file(path)?;
    let accord = OperatorConfig::from_file(operator, 8)?.accord.ok_or("accord: missing")?;
    let names: Vec<&String> = accord.instances.keys().collect();
    let id =
        |name: &String| names.iter().position(|other| *other == name).map(|index| InstanceId(index as u32));
    let lease_servers: Vec<InstanceId> = accord.keepers.iter().filter_map(id).collect();
    let lease = lease_duration(micros_from_seconds(accord.max_divergence_s));
    let validator: Validator = {
        let (local_settings, first_text) = (local_settings.clone(), first.text.clone());
        Arc::new(move |texts: &[Arc<str>]| {
            if behaviour == Behaviour::RejectsNewSettings && texts.iter().any(|text| *text != first_text) {
                return Err("settings: not known to this build".into());
            }
            let texts: Vec<&str> = texts.iter().map(|text| &**text).collect();
            load_workloads(&local_settings, &texts).map(|_| ())
        })
    };
    let state = State {
        behaviour,
        start_time: Instant::now(),
        lease,
        lease_holder: LeaseHolder::new(lease_servers.clone(), lease, validator),
        local_settings,
        path: path.into(),
        file: std::fs::read_to_string(path).map_err(|error| error.to_string())?,
        workloads: Workloads::new(),
        delayed_workloads: Vec::new(),
        draining_servers: BTreeMap::new(),
        servers: BTreeMap::new(),
        lease_expires_at: Micros(0),
        links: HashMap::new(),
        attempts_chosen: 0,
    };
    let state: SharedState = Arc::new((Mutex::new(state), Condvar::new()));
    for (name, lease_server) in accord.keepers.iter().zip(&lease_servers) {
        connect_to_lease_server(&state, *lease_server, accord.instances[name], &config.name);
    }
    let mut actions = Vec::new();
    let now = lock(&state).now();
    lock(&state).lease_holder.propose(now, first, &mut actions);
    lock(&state).execute(actions);
    watch(&state, config.discovery);
    let listener = |address: SocketAddr| TcpListener::bind(address).map_err(|error| error.to_string());
    let shared = state.clone();
    serve_connections(listener(config.listen)?, move |stream| _ = serve(&shared, BufReader::new(stream)));
    if let Some(address) = config.console {
        let shared = state.clone();
        serve_connections(listener(address)?, move |stream| {
            let status =
                if lock(&shared).has_lease() && !lock(&shared).servers.is_empty() { 200 } else { 503 };
            let mut stream = BufReader::new(stream);
            if read_head(&mut stream).is_some() {
                let _ = stream.get_mut().write_all(answer(status).as_bytes());
            }
        });
    }
    let mut locked = lock(&state);
    loop {
        locked.run_due_work();
        let timeout = locked.time_to_next_deadline();
        locked = state.1.wait_timeout(locked, timeout).unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn answer(status: u16) -> String {
    format!("HTTP/1.1 {status} As told\r\nContent-Length: 0\r\n\r\n")
}

fn connect_to_lease_server(state: &SharedState, lease_server: InstanceId, address: SocketAddr, name: &str) {
    // A None wakes the writer when the link has broken.
    let (link, messages) = channel::<Option<Message>>();
    lock(state).links.insert(lease_server, link.clone());
    let (state, greeting) = (state.clone(), Greeting::new(name, u64::from(std::process::id())).to_json());
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(50));
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        while messages.try_recv().is_ok() {}
        let (Ok(read_half), Ok(())) =
            (stream.try_clone(), stream.write_all(format!("{greeting}\n").as_bytes()))
        else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (state, link) = (state.clone(), link.clone());
        let reader = thread::spawn(move || {
            for line in BufReader::new(read_half).lines().map_while(Result::ok) {
                let Ok(message) = read_json::<Message>(line.as_bytes()) else { break };
                lock(&state).receive(lease_server, message);
                state.1.notify_all();
            }
            let _ = link.send(None);
        });
        while let Ok(Some(message)) = messages.recv() {
            if stream.write_all(format!("{}\n", to_json(&message)).as_bytes()).is_err() {
                break;
            }
        }
        let _ = (stream.shutdown(std::net::Shutdown::Both), reader.join());
    });
}

fn watch(state: &SharedState, discovery: SocketAddr) {
    let state = state.clone();
    thread::spawn(move || loop {
        if let Ok(mut stream) = TcpStream::connect(discovery) {
            let _ = stream.write_all(b"GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                if let Ok(list) = read_json::<DiscoveryList>(line.as_bytes()) {
                    lock(&state).apply_list(&list);
                    state.1.notify_all();
                }
            }
        }
        thread::sleep(Duration::from_millis(300));
    });
}

fn serve(state: &SharedState, mut stream: BufReader<TcpStream>) -> Option<()> {
    let _ = stream.get_ref().set_nodelay(true);
    let mut idle = IdleConnections::new();
    loop {
        let head = read_head(&mut stream)?;
        let workload = head.split(' ').nth(1)?.trim_start_matches('/').to_string();
        let id = header(&head, "Request-Id")?.to_string();
        let mut status = 503;
        for is_repeat in [false, true] {
            let choice = lock(state).choose(&workload);
            let (address, may_repeat) = match choice {
                Ok(choice) => choice,
                Err(_) if is_repeat => break,
                Err(refusal_status) => {
                    status = refusal_status;
                    break;
                }
            };
            if is_repeat && !may_repeat {
                break;
            }
            status = send_attempt(&mut idle, address, &workload, &id).unwrap_or(502);
            if status == 200 {
                break;
            }
        }
        stream.get_mut().write_all(answer(status).as_bytes()).ok()?;
    }
}

/// Idle connections to servers. They are reused because a server needs two thread switches to record an attempt on a
/// new connection: on a busy machine it would record an attempt that was allowed when it was sent after the lease has
/// expired.
type IdleConnections = HashMap<SocketAddr, BufReader<TcpStream>>;

fn send_attempt(idle: &mut IdleConnections, address: SocketAddr, workload: &str, id: &str) -> Option<u16> {
    let mut stream = match idle.remove(&address) {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nodelay(true).ok()?;
            BufReader::new(stream)
        }
    };
    let request = format!("GET /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n");
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    let status = read_head(&mut stream)?.split(' ').nth(1)?.parse().ok()?;
    idle.insert(address, stream);
    Some(status)
}
