//! A sidecar of the rig's own, which agrees as all others do and forwards calls in the plainest way, honestly or with one fault
//! of choice: whoever judges scenes must catch each of those.
use crate::fakes::{header, read_head, serve_connections};
use oakhollow::types::{Idempotency, Micros};
use oakhollow_accord::{
    lease_duration, Action, Document, Fact, InstanceId, LeaseHolder, ListUpdate, Message, Validator, Version,
};
use oakhollow_terms::{
    micros_from_seconds, read_json, to_json, DiscoveryList, EndpointEntry, Greeting, LocalSettings,
    OperatorConfig, SidecarConfig,
};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What it does wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Behaviour {
    Honest,
    /// It goes on by the old settings for three seconds after it has said that it knows the new ones.
    Late,
    /// It acts without a lease.
    NoLease,
    /// It counts a lease from the answer.
    FromAnswer,
    /// It forgets what others say of servers that drain.
    NoDrains,
    /// It takes a lower number.
    Lower,
    /// No fault: it hears of no change, and asks for leases by what it knew.
    Deaf,
    /// No fault: it can't take any version but the first.
    Refuses,
}

const LATE: Duration = Duration::from_secs(3);
/// How often it looks at its file, which nobody tells it of.
const LOOK: Duration = Duration::from_millis(20);

/// Workloads that are offered, and whether they may be repeated.
type Offered = BTreeMap<String, bool>;

struct Inside {
    how: Behaviour,
    begun: Instant,
    within: Micros,
    member: LeaseHolder,
    own: LocalSettings,
    path: PathBuf,
    /// The file as it was last read.
    file: String,
    offered: Offered,
    /// What is to be offered from then on.
    later: Vec<(Instant, Offered)>,
    out: BTreeMap<String, u64>,
    servers: BTreeMap<String, EndpointEntry>,
    until: Micros,
    ways: HashMap<InstanceId, Sender<Option<Message>>>,
    turns: usize,
}

/// What is inside, and the word that somebody has changed when it is due.
type Shared = Arc<(Mutex<Inside>, Condvar)>;

fn lock(inside: &Shared) -> MutexGuard<'_, Inside> {
    inside.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn offered(own: &LocalSettings, texts: &[&str]) -> Result<Offered, String> {
    let place = own.merge(texts)?;
    let kinds =
        place.balancer.workloads.iter().map(|workload| workload.idempotency == Idempotency::Idempotent);
    Ok(place.workloads.into_iter().map(|named| named.name).zip(kinds).collect())
}

/// What a sidecar's file says, its own part of the settings, and the part that is the same for all.
pub(crate) fn read_instance_file(path: &Path) -> Result<(SidecarConfig, LocalSettings, Document), String> {
    let start = SidecarConfig::from_file(path)?;
    let (own, common) = LocalSettings::split(&start.settings_text)?;
    let number = start.settings_version.ok_or("version: missing")?;
    let version = Version { epoch: number.epoch, number: number.number, hash: common.hash };
    Ok((start, own, Document { version, text: common.text.into() }))
}

impl Inside {
    fn now(&self) -> Micros {
        Micros(1 + self.begun.elapsed().as_micros() as u64)
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, word) => _ = self.ways.get(&to).map(|way| way.send(Some(word))),
                Action::ApplyDocuments => {
                    let texts: Vec<Arc<str>> =
                        self.member.active_documents().map(|(_, text)| text.clone()).collect();
                    let texts: Vec<&str> = texts.iter().map(|text| &**text).collect();
                    let Ok(fresh) = offered(&self.own, &texts) else { continue };
                    match self.how {
                        Behaviour::Late if !self.offered.is_empty() => {
                            self.later.push((Instant::now() + LATE, fresh));
                        }
                        _ => self.offered = fresh,
                    }
                }
                Action::ApplyLists if self.how == Behaviour::NoDrains => {}
                Action::ApplyLists => {
                    self.out = self
                        .member
                        .excluded_servers()
                        .into_iter()
                        .map(|(name, since)| (name.to_string(), since))
                        .collect();
                }
                Action::ApplyMaintenance { .. } | Action::Log(_) => {}
            }
        }
    }

    fn hear(&mut self, from: InstanceId, word: Message) {
        if self.how == Behaviour::Deaf && matches!(word, Message::Documents(_)) && self.until > Micros(0) {
            return;
        }
        let (before, mut actions) = (self.member.lease_valid_until(), Vec::new());
        self.member.handle_message(self.now(), from, word, &mut actions);
        self.carry_out(actions);
        let until = self.member.lease_valid_until();
        match self.how {
            Behaviour::FromAnswer if until > before => self.until = self.now() + self.within,
            Behaviour::FromAnswer => {}
            Behaviour::NoLease if until > Micros(0) => self.until = Micros::NEVER,
            _ => self.until = until,
        }
    }

    fn tick(&mut self) {
        let (now, mut actions) = (self.now(), Vec::new());
        if now >= self.member.next_wakeup() {
            self.member.handle_timer(now, &mut actions);
        }
        let file = std::fs::read_to_string(&self.path).unwrap_or_default();
        if file != self.file {
            self.file = file;
            if let Ok((_, own, document)) = read_instance_file(&self.path) {
                self.own = own;
                let text = document.text.clone();
                if !self.member.propose(now, document, &mut actions) && self.how == Behaviour::Lower {
                    self.offered = offered(&self.own, &[&text]).unwrap_or_default();
                }
            }
        }
        self.carry_out(actions);
        let due = self.later.iter().filter(|(at, _)| *at <= Instant::now()).count();
        if let Some((_, fresh)) = self.later.drain(..due).next_back() {
            self.offered = fresh;
        }
    }

    /// How long until something is due.
    fn rests(&self) -> Duration {
        let due = Duration::from_micros((self.member.next_wakeup() - self.now()).0);
        let later = self.later.iter().map(|(at, _)| at.saturating_duration_since(Instant::now())).min();
        due.min(later.unwrap_or(LOOK)).min(LOOK)
    }

    fn listed(&mut self, list: &DiscoveryList) {
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
        let listed = ListUpdate { index: list.index.0, snapshot: list.snapshot, entries: entries.collect() };
        let mut actions = Vec::new();
        self.member.handle_list_update(self.now(), listed, &mut actions);
        self.carry_out(actions);
    }

    fn acts(&self) -> bool {
        self.until > self.now()
    }

    /// Where a hop of that workload may go, the next in turn, and whether it may be repeated.
    fn choose(&mut self, workload: &str) -> Result<(SocketAddr, bool), u16> {
        let repeat = *self.offered.get(workload).ok_or(404_u16)?;
        if !self.acts() {
            return Err(503);
        }
        let drains =
            |entry: &EndpointEntry| self.out.get(&entry.name).is_some_and(|since| entry.since_ms() <= *since);
        let usable = self.servers.values().filter(|entry| entry.is_active() && !drains(entry));
        let usable: Vec<SocketAddr> = usable.map(|entry| entry.address).collect();
        self.turns += 1;
        usable.get(self.turns % usable.len().max(1)).map(|to| (*to, repeat)).ok_or(503)
    }
}

/// Runs for as long as the process.
pub fn run(path: &Path, operator: &Path, how: Behaviour) -> Result<(), String> {
    let (start, own, first) = read_instance_file(path)?;
    let agreed = OperatorConfig::from_file(operator, 8)?.accord.ok_or("accord: missing")?;
    let names: Vec<&String> = agreed.instances.keys().collect();
    let id = |name: &String| names.iter().position(|other| *other == name).map(|at| InstanceId(at as u32));
    let keepers: Vec<InstanceId> = agreed.keepers.iter().filter_map(id).collect();
    let within = lease_duration(micros_from_seconds(agreed.max_divergence_s));
    let judge: Validator = {
        let (own, only) = (own.clone(), first.text.clone());
        Arc::new(move |texts: &[Arc<str>]| {
            if how == Behaviour::Refuses && texts.iter().any(|text| *text != only) {
                return Err("settings: not known to this build".into());
            }
            let texts: Vec<&str> = texts.iter().map(|text| &**text).collect();
            offered(&own, &texts).map(|_| ())
        })
    };
    let inside = Inside {
        how,
        begun: Instant::now(),
        within,
        member: LeaseHolder::new(keepers.clone(), within, judge),
        own,
        path: path.into(),
        file: std::fs::read_to_string(path).map_err(|fault| fault.to_string())?,
        offered: Offered::new(),
        later: Vec::new(),
        out: BTreeMap::new(),
        servers: BTreeMap::new(),
        until: Micros(0),
        ways: HashMap::new(),
        turns: 0,
    };
    let inside: Shared = Arc::new((Mutex::new(inside), Condvar::new()));
    for (name, keeper) in agreed.keepers.iter().zip(&keepers) {
        dial(&inside, *keeper, agreed.instances[name], &start.name);
    }
    let mut actions = Vec::new();
    let now = lock(&inside).now();
    lock(&inside).member.propose(now, first, &mut actions);
    lock(&inside).carry_out(actions);
    watch(&inside, start.discovery);
    let listener = |at: SocketAddr| TcpListener::bind(at).map_err(|fault| fault.to_string());
    let door = inside.clone();
    serve_connections(listener(start.listen)?, move |stream| _ = serve(&door, BufReader::new(stream)));
    if let Some(at) = start.console {
        let door = inside.clone();
        serve_connections(listener(at)?, move |stream| {
            let status = if lock(&door).acts() && !lock(&door).servers.is_empty() { 200 } else { 503 };
            let mut stream = BufReader::new(stream);
            if read_head(&mut stream).is_some() {
                let _ = stream.get_mut().write_all(answer(status).as_bytes());
            }
        });
    }
    let mut own = lock(&inside);
    loop {
        own.tick();
        let rests = own.rests();
        own = inside.1.wait_timeout(own, rests).unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn answer(status: u16) -> String {
    format!("HTTP/1.1 {status} As told\r\nContent-Length: 0\r\n\r\n")
}

fn dial(inside: &Shared, keeper: InstanceId, at: SocketAddr, name: &str) {
    // A link that has broken says so by none.
    let (way, words) = channel::<Option<Message>>();
    lock(inside).ways.insert(keeper, way.clone());
    let (inside, greeting) = (inside.clone(), Greeting::new(name, u64::from(std::process::id())).to_json());
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(50));
        let Ok(mut stream) = TcpStream::connect(at) else { continue };
        while words.try_recv().is_ok() {}
        let (Ok(reads), Ok(())) = (stream.try_clone(), stream.write_all(format!("{greeting}\n").as_bytes()))
        else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (inside, way) = (inside.clone(), way.clone());
        let reader = thread::spawn(move || {
            for line in BufReader::new(reads).lines().map_while(Result::ok) {
                let Ok(word) = read_json::<Message>(line.as_bytes()) else { break };
                lock(&inside).hear(keeper, word);
                inside.1.notify_all();
            }
            let _ = way.send(None);
        });
        while let Ok(Some(word)) = words.recv() {
            if stream.write_all(format!("{}\n", to_json(&word)).as_bytes()).is_err() {
                break;
            }
        }
        let _ = (stream.shutdown(std::net::Shutdown::Both), reader.join());
    });
}

fn watch(inside: &Shared, discovery: SocketAddr) {
    let inside = inside.clone();
    thread::spawn(move || loop {
        if let Ok(mut stream) = TcpStream::connect(discovery) {
            let _ = stream.write_all(b"GET /v1/endpoints?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                if let Ok(list) = read_json::<DiscoveryList>(line.as_bytes()) {
                    lock(&inside).listed(&list);
                    inside.1.notify_all();
                }
            }
        }
        thread::sleep(Duration::from_millis(300));
    });
}

fn serve(inside: &Shared, mut stream: BufReader<TcpStream>) -> Option<()> {
    let _ = stream.get_ref().set_nodelay(true);
    let mut kept = Kept::new();
    loop {
        let head = read_head(&mut stream)?;
        let workload = head.split(' ').nth(1)?.trim_start_matches('/').to_string();
        let id = header(&head, "Request-Id")?.to_string();
        let mut status = 503;
        for repeat in [false, true] {
            let chosen = lock(inside).choose(&workload);
            let (to, may_repeat) = match chosen {
                Ok(chosen) => chosen,
                Err(_) if repeat => break,
                Err(refused) => {
                    status = refused;
                    break;
                }
            };
            if repeat && !may_repeat {
                break;
            }
            status = hop(&mut kept, to, &workload, &id).unwrap_or(502);
            if status == 200 {
                break;
            }
        }
        stream.get_mut().write_all(answer(status).as_bytes()).ok()?;
    }
}

/// Connections to servers that are kept: a new one costs a server two threads' turns before it notes the hop, and on a busy
/// machine a hop that was allowed when it went out would be noted after its lease.
type Kept = HashMap<SocketAddr, BufReader<TcpStream>>;

fn hop(kept: &mut Kept, to: SocketAddr, workload: &str, id: &str) -> Option<u16> {
    let mut stream = match kept.remove(&to) {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_nodelay(true).ok()?;
            BufReader::new(stream)
        }
    };
    let ask = format!("GET /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n");
    stream.get_mut().write_all(ask.as_bytes()).ok()?;
    let status = read_head(&mut stream)?.split(' ').nth(1)?.parse().ok()?;
    kept.insert(to, stream);
    Some(status)
}
