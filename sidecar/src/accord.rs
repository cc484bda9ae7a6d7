//! The instances that agree on settings, on sockets: each dials the keepers, a line of JSON for each word, and keeps
//! asking for leases. What is agreed is carried out before it is said to be known. The rules are those of the package
//! `oakhollow_accord`; without `[accord]` in the operator's file nothing here runs.
use crate::endpoint_list::Elsewhere;
use crate::endpoint_registry::{lock, Mark, SharedRegistry};
use crate::handover::HandoverLinks;
use crate::lease::Lease;
use crate::lines::{line, say, within};
use crate::maintenance_store::MaintenanceStore;
use crate::start_time::ListArrival;
use crate::timers::Clock;
use crate::uninterrupted::Uninterrupted;
use crate::workers::{CommandBroadcaster, WorkerCommand};
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{self, AsyncReadExt, BufReader};
use oakhollow::types::{ListKind, Micros};
use oakhollow_accord::{
    Action, Document, Fact, HolderId, InstanceId, LeaseHolder, LeaseServer, ListUpdate, Message, Validator,
    Version, MAX_PENDING_VERSIONS,
};
use oakhollow_terms::{
    read_json, AccordConfig as Operated, DiscoveryList, EndpointEntry, Greeting, ListSharing, LocalSettings,
    NoLeasePolicy, Scope, SidecarConfig,
};
use slog::{info, warn, Logger};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The longest line that is taken: as many documents as may wait, or what is said of two whole lists.
const MOST_LINE: u64 = 8 * 1024 * 1024;
/// The longest document: guards against lines that nobody takes.
const MOST_DOCUMENT: usize = MOST_LINE as usize / (4 * MAX_PENDING_VERSIONS);
/// Words that may wait for one that does not read; what comes beyond them is lost, and asked for again.
const MOST_WORDS: usize = 64;
/// Words of all others that may wait for us.
const MOST_INPUTS: usize = 1024;
/// Words that one link may bring in a second: far beyond what an instance has to say.
const MOST_A_SECOND: usize = 1_000;
/// After a link that could not be made, or broke.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a foreign connection may take to say who it is.
const GREETS: Duration = Duration::from_secs(1);

/// Links that a keeper takes in: one for each instance, or two while a process replaces another, and some that have not said
/// yet whose they are.
fn most_links(instances: usize) -> usize {
    2 * instances + 8
}

/// Descriptors that one instance needs for this: a link to each keeper, and as a keeper its listener and those it takes in.
pub fn sockets(operated: &Operated, name: &str) -> usize {
    let keeps = operated.keepers.iter().any(|keeper| keeper == name);
    operated.keepers.len() + if keeps { 1 + most_links(operated.instances.len()) } else { 0 }
}

enum Input {
    /// This instance's file was read; whoever read it waits to hear why it is not taken, if it isn't.
    Written(Box<SidecarConfig>, Sender<String>),
    /// The own list has told something, or can't be had. Whoever waits hears that it is carried out.
    Listed(Arc<DiscoveryList>, Option<Sender<()>>),
    ListFails,
    /// A mark was set by hand here.
    Marked(Mark),
    /// The console asks how it stands.
    Asked(Sender<String>),
    /// A member's link to our keeper stands, by this way, or is gone.
    Linked(HolderId, Sender<Message>),
    Gone(HolderId),
    ToKeeper(HolderId, Message),
    ToMember(InstanceId, Message),
}

/// The way for the console, and for a file that was read.
#[derive(Clone)]
pub struct AccordHandle {
    inputs: Sender<Input>,
    scope: Scope,
}

impl AccordHandle {
    /// Takes a file that was read; if it can't be one that instances agree on, all stays as it was.
    pub async fn written(&self, start: SidecarConfig) -> Result<(), String> {
        numbered(&start)?;
        let (to, refused) = bounded(1);
        let _ = self.inputs.send(Input::Written(Box::new(start), to)).await;
        refused.recv().await.map_or(Ok(()), Err)
    }

    pub async fn apply_list(&self, list: Arc<DiscoveryList>) {
        let _ = self.inputs.send(Input::Listed(list, None)).await;
    }

    /// To be waited for before workers hear of that list: what it names and nobody tells of yet is held back by then. True if
    /// that was needed; otherwise they come first.
    pub async fn apply_list_before_workers(&self, list: &Arc<DiscoveryList>) -> bool {
        if self.scope == Scope::All {
            return false;
        }
        let (to, done) = bounded(1);
        let _ = self.inputs.send(Input::Listed(list.clone(), Some(to))).await;
        let _ = done.recv().await;
        true
    }

    pub async fn list_unavailable(&self) {
        let _ = self.inputs.send(Input::ListFails).await;
    }

    pub async fn marked(&self, mark: Mark) {
        let _ = self.inputs.send(Input::Marked(mark)).await;
    }

    /// Version by version and instance by instance, a line each.
    pub async fn status(&self) -> String {
        let (to, status) = bounded(1);
        let _ = self.inputs.send(Input::Asked(to)).await;
        status.recv().await.unwrap_or_default()
    }
}

/// The common part of a file's settings as a document, and what is this instance's own.
fn numbered(start: &SidecarConfig) -> Result<(LocalSettings, Document), String> {
    let number = start.settings_version.ok_or("version: missing, and instances agree on settings")?;
    let (own, common) =
        LocalSettings::split(&start.settings_text).map_err(|fault| format!("settings.{fault}"))?;
    if common.text.len() > MOST_DOCUMENT {
        return Err(format!("settings: over {MOST_DOCUMENT} bytes, the most that is passed on"));
    }
    let version = Version { epoch: number.epoch, number: number.number, hash: common.hash };
    Ok((own, Document { version, text: common.text.into() }))
}

/// What it works on.
pub struct Parts {
    pub operated: Operated,
    pub lease: Lease,
    pub orders: CommandBroadcaster,
    pub registry: SharedRegistry,
    /// Where marks are kept, and the other process of this sidecar, which is told of them.
    pub store: Option<Arc<MaintenanceStore>>,
    pub peers: HandoverLinks,
    pub clock: Clock,
    pub log: Logger,
}

struct Running {
    parts: Parts,
    names: Arc<[String]>,
    me: InstanceId,
    member: LeaseHolder,
    own: Arc<Mutex<LocalSettings>>,
    keeper: Option<LeaseServer>,
    /// The ways to the keepers, and to those that our keeper has heard of.
    to_keepers: HashMap<InstanceId, Sender<Message>>,
    to_members: HashMap<HolderId, Sender<Message>>,
    /// What was last said of acting or not.
    acted: bool,
    /// What is agreed can't be kept to.
    unreadable: bool,
    /// The own list can't be had.
    cut_off: bool,
    /// Whom others' lists let drain, as the workers were last told.
    out: Elsewhere,
}

/// Begins to agree; the future that is given runs for as long as the program.
pub fn begin(
    start: &SidecarConfig, known: Arc<DiscoveryList>, parts: Parts,
) -> Result<(AccordHandle, impl Future<Output = ()>), String> {
    let (own, document) = numbered(start)?;
    // Shared by all links to our keeper: one copy for each would grow by the square.
    let names: Arc<[String]> = parts.operated.instances.keys().cloned().collect();
    let id = |name: &String| names.iter().position(|other| other == name).map(|at| InstanceId(at as u32));
    let me = id(&start.name).ok_or_else(|| format!("name: {:?} is not in accord.instances", start.name))?;
    let keepers: Vec<InstanceId> = parts.operated.keepers.iter().filter_map(id).collect();
    let within = oakhollow_accord::lease_duration(oakhollow_terms::micros_from_seconds(
        parts.operated.max_divergence_s,
    ));
    let own = Arc::new(Mutex::new(own));
    let judge: Validator = {
        let own = own.clone();
        Arc::new(move |texts: &[Arc<str>]| place(&own, texts).map(|_| ()))
    };
    let (inputs, incoming) = bounded(MOST_INPUTS);
    let running = Running {
        keeper: keepers.contains(&me).then(|| LeaseServer::new(parts.clock.now(), within)),
        member: match (parts.operated.list_sharing, parts.operated.scope) {
            (ListSharing::Whole, _) => LeaseHolder::new(keepers.clone(), within, judge).with_full_lists(),
            (ListSharing::Drains, Scope::All) => LeaseHolder::new(keepers.clone(), within, judge),
            (ListSharing::Drains, Scope::Listed) => {
                LeaseHolder::new(keepers.clone(), within, judge).with_subscription()
            }
        },
        names,
        me,
        own,
        to_keepers: HashMap::new(),
        to_members: HashMap::new(),
        acted: false,
        unreadable: false,
        cut_off: false,
        out: Elsewhere::new(),
        parts,
    };
    let accord = AccordHandle { inputs: inputs.clone(), scope: running.parts.operated.scope };
    Ok((accord, running.run((document, known), keepers, (inputs, incoming))))
}

/// What a list tells, in the words of the agreement; with how it words each entry only where that is passed on.
fn told(list: &DiscoveryList, lists: ListSharing) -> ListUpdate {
    let fact = |entry: &EndpointEntry| {
        let worded = (lists == ListSharing::Whole).then(|| Arc::from(oakhollow_terms::to_json(entry)));
        Fact { since: entry.since_ms(), excluded: !entry.is_active(), first_hand: true, entry: worded }
    };
    let entries = list.endpoints.iter().map(|entry| {
        let fact = (!entry.has_left()).then(|| fact(entry));
        (Arc::from(entry.name.as_str()), fact)
    });
    ListUpdate { index: list.index.0, snapshot: list.snapshot, entries: entries.collect() }
}

fn place(own: &Mutex<LocalSettings>, texts: &[Arc<str>]) -> Result<oakhollow_terms::Settings, String> {
    let texts: Vec<&str> = texts.iter().map(|text| &**text).collect();
    own.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .merge(&texts)
        .map_err(|fault| format!("settings.{fault}"))
}

impl Running {
    async fn run(
        mut self, first: (Document, Arc<DiscoveryList>), keepers: Vec<InstanceId>,
        inputs: (Sender<Input>, Receiver<Input>),
    ) {
        let (inputs, incoming) = inputs;
        let greeting = Greeting::new(&self.names[self.me.0 as usize], self.parts.clock.now().0).to_json();
        let silence = Duration::from_secs_f64(self.parts.operated.max_divergence_s.max(1.0));
        let mut links = Vec::new();
        for keeper in keepers {
            let (to, words) = bounded(MOST_WORDS);
            self.to_keepers.insert(keeper, to);
            let address = self.parts.operated.instances[&self.names[keeper.0 as usize]];
            links.push(dial(keeper, address, greeting.clone(), words, inputs.clone(), silence));
        }
        let executor = async_executor::LocalExecutor::new();
        links.into_iter().for_each(|link| executor.spawn(link).detach());
        if self.keeper.is_some() {
            let at = self.parts.operated.instances[&self.names[self.me.0 as usize]];
            let listening =
                listen(at, self.names.clone(), inputs, self.parts.log.clone(), silence * 4, &executor);
            future::or(listening, executor.run(self.agree(first, incoming))).await;
        } else {
            executor.run(self.agree(first, incoming)).await;
        }
    }

    async fn agree(&mut self, (first, known): (Document, Arc<DiscoveryList>), incoming: Receiver<Input>) {
        let (mut actions, now) = (Vec::new(), self.parts.clock.now());
        self.member.propose(now, first, &mut actions);
        if !known.endpoints.is_empty() {
            self.member.handle_list_update(now, told(&known, self.parts.operated.list_sharing), &mut actions);
        }
        self.carry_out(actions).await;
        loop {
            let now = self.parts.clock.now();
            let keeper = self.keeper.as_ref().and_then(|keeper| keeper.next_wakeup(now));
            let lapses = Some(self.member.lease_valid_until()).filter(|until| *until > now);
            let due =
                [Some(self.member.next_wakeup()), keeper, lapses].into_iter().flatten().min().unwrap_or(now);
            let woke = async {
                Timer::at(self.parts.clock.instant_at(due)).await;
                None
            };
            let heard = async { Some(incoming.recv().await) };
            match future::or(heard, woke).await {
                Some(Err(_)) => return,
                Some(Ok(input)) => self.take(Some(input)).await,
                None => self.take(None).await,
            }
        }
    }

    /// Takes what has come, or that it is time for something.
    async fn take(&mut self, input: Option<Input>) {
        let (now, mut actions, mut out) = (self.parts.clock.now(), Vec::new(), Vec::new());
        let mut waits = None;
        match input {
            None => {
                self.member.handle_timer(now, &mut actions);
                if let Some(keeper) = &mut self.keeper {
                    keeper.handle_timer(now, &mut out);
                }
            }
            Some(Input::Listed(list, done)) => {
                (self.cut_off, waits) = (false, done);
                self.member.handle_list_update(
                    now,
                    told(&list, self.parts.operated.list_sharing),
                    &mut actions,
                );
            }
            Some(Input::ListFails) => {
                self.cut_off = true;
                actions.push(Action::ApplyLists);
            }
            Some(Input::Marked(mark)) if self.parts.operated.share_maintenance => {
                self.member.handle_maintenance_change(now, (&mark.name, mark.out, mark.at.0), &mut actions);
            }
            Some(Input::Marked(_)) => {}
            Some(Input::Asked(to)) => _ = to.try_send(self.status()),
            // It was read by the same check before.
            Some(Input::Written(start, refused)) => {
                if let Ok((own, document)) = numbered(&start) {
                    let lock = || self.own.lock().unwrap_or_else(PoisonError::into_inner);
                    let before = std::mem::replace(&mut *lock(), own);
                    if self.member.propose(now, document, &mut actions) {
                        // Its own part may have changed alone.
                        if !actions.contains(&Action::ApplyDocuments) {
                            actions.push(Action::ApplyDocuments);
                        }
                    } else {
                        *lock() = before;
                        // Said once by the member; whoever reads the file again is told all the same.
                        let why = actions.iter().position(|action| matches!(action, Action::Log(_)));
                        let _ = refused.try_send(match why.map(|at| actions.remove(at)) {
                            Some(Action::Log(why)) => why,
                            _ => "version: refused before, see the log".into(),
                        });
                    }
                }
            }
            Some(Input::Linked(holder, to)) => _ = self.to_members.insert(holder, to),
            Some(Input::Gone(holder)) => {
                // Unless it has come again by another way meanwhile.
                if self.to_members.get(&holder).is_some_and(Sender::is_closed) {
                    self.to_members.remove(&holder);
                }
            }
            Some(Input::ToKeeper(holder, word)) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.handle_message(now, holder, word, &mut out);
                }
            }
            Some(Input::ToMember(keeper, word)) => {
                self.member.handle_message(now, keeper, word, &mut actions)
            }
        }
        self.pass_on(out);
        self.carry_out(actions).await;
        waits.map(|done| done.try_send(()));
    }

    fn pass_on(&self, out: Vec<(HolderId, Message)>) {
        for (holder, word) in out {
            self.to_members.get(&holder).map(|to| to.try_send(word));
        }
    }

    /// In order: what is kept to from now on holds at every worker before anybody is told that it is known.
    async fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(keeper, word) => {
                    self.to_keepers.get(&keeper).map(|to| to.try_send(word));
                }
                Action::ApplyDocuments => {
                    let texts: Vec<Arc<str>> =
                        self.member.active_documents().map(|(_, text)| text.clone()).collect();
                    match place(&self.own, &texts) {
                        Ok(place) => {
                            self.unreadable = false;
                            let place = Arc::new(place);
                            self.parts
                                .orders
                                .send_and_wait(|done| WorkerCommand::ApplySettings(place, done))
                                .await;
                            info!(self.parts.log, "keeps to {}", self.kept());
                        }
                        // Each was judged with the others and alone before it was taken; what can't be kept to is not acted on.
                        Err(fault) => {
                            self.unreadable = true;
                            warn!(self.parts.log, "agreed settings can't be read: {}", fault);
                        }
                    }
                }
                Action::ApplyLists => self.hear_lists().await,
                Action::ApplyMaintenance { name, in_maintenance: out, set_at: at } => {
                    self.mark(&name, out, at).await
                }
                Action::Log(text) => info!(self.parts.log, "{}", text),
            }
        }
        let until = match self.parts.operated.no_lease_policy {
            // Once it has heard what holds, it goes on by that.
            _ if self.unreadable => Micros(0),
            NoLeasePolicy::Hold if self.member.committed().is_some() => Micros::NEVER,
            _ => self.member.lease_valid_until(),
        };
        self.parts.lease.set(until);
        // Also said by one that acts all the same.
        let acts = until.min(self.member.lease_valid_until()) > self.parts.clock.now();
        if acts != self.acted {
            self.acted = acts;
            lock(&self.parts.registry).sure =
                acts || self.parts.operated.no_lease_policy != NoLeasePolicy::Refuse;
            match acts {
                true => info!(self.parts.log, "sure: a majority's leases live, keeps to {}", self.kept()),
                false => {
                    warn!(
                        self.parts.log,
                        "unsure: no majority's leases, {:?}", self.parts.operated.no_lease_policy
                    )
                }
            }
            self.parts.orders.send(WorkerCommand::RecheckDeadlines).await;
        }
    }

    /// Whom others' lists let drain; and whom they name that this one does not, while it can't be had.
    async fn hear_lists(&mut self) {
        let mut elsewhere = Elsewhere::new();
        for (name, since) in self.member.unconfirmed_servers().chain(self.member.excluded_servers()) {
            let known = elsewhere.entry(name.to_string()).or_insert(since);
            *known = since.max(*known);
        }
        if self.out != elsewhere {
            let (out, untold) =
                (self.member.excluded_servers().len(), self.member.unconfirmed_servers().count());
            info!(
                self.parts.log,
                "by others' lists {} servers drain or have left, of {} none tells yet", out, untold
            );
            self.out = elsewhere.clone();
            let elsewhere = Arc::new(elsewhere);
            self.parts.orders.send_and_wait(|done| WorkerCommand::ApplyPeerDrains(elsewhere, done)).await;
        }
        if self.cut_off {
            let entries = self
                .member
                .foreign_entries()
                .filter_map(|entry| read_json::<EndpointEntry>(entry.as_bytes()).ok());
            let entries: Vec<EndpointEntry> = entries.collect();
            if !entries.is_empty() {
                let list = lock(&self.parts.registry).add(entries);
                info!(self.parts.log, "discovery fails: {} servers by others' lists", list.endpoints.len());
                self.member.handle_list_update(
                    self.parts.clock.now(),
                    told(&list, self.parts.operated.list_sharing),
                    &mut Vec::new(),
                );
                self.parts
                    .orders
                    .send(WorkerCommand::ApplyList(ListKind::Cached, Arc::new(list), ListArrival::now()))
                    .await;
            }
        }
    }

    /// A mark that was set by hand at another instance.
    async fn mark(&self, name: &str, out: bool, at: u64) {
        // By another host's clock: it has been by now.
        let mark = Mark { name: name.into(), out, at: Micros(at).min(self.parts.clock.now()) };
        {
            let mut registry = lock(&self.parts.registry);
            registry.set(&mark);
            if let Some(store) = &self.parts.store {
                store.submit(registry.marks().clone(), &self.parts.log);
            }
        }
        info!(self.parts.log, "{} {} by hand, at another instance", name, if out { "out" } else { "back" });
        self.parts.peers.tell(&mark, None);
        self.parts.orders.send_and_wait(|done| WorkerCommand::ApplyMaintenance(mark, done)).await;
    }

    fn kept(&self) -> String {
        self.member.active_documents().map(|(version, _)| version.to_string()).collect::<Vec<_>>().join(" ")
    }

    fn status(&self) -> String {
        let (now, name) = (self.parts.clock.now(), |id: InstanceId| &self.names[id.0 as usize]);
        let left = |until: Micros| format!("{:.2} s", (until - now).secs());
        let holds = self.member.committed().map_or("nothing yet".to_string(), |base| base.to_string());
        let mut text = format!(
            "{} holds {holds}, keeps to {}, lease for {}\n",
            name(self.me),
            self.kept(),
            left(self.member.lease_valid_until())
        );
        for (server, _) in self.member.excluded_servers() {
            text += &format!("out by others' lists: {server}\n");
        }
        for (server, _) in self.member.unconfirmed_servers() {
            text += &format!("held back until a majority of keepers tells of it: {server}\n");
        }
        if let Some(keeper) = &self.keeper {
            let cleared = keeper.committed().map_or("nothing yet".to_string(), |cleared| cleared.to_string());
            text += &format!("keeper: {cleared} holds here\n");
            for (holder, until, knows) in keeper.leases() {
                let knows: Vec<String> = knows.map(|version| version.to_string()).collect();
                text += &format!(
                    "lease: {} for {}, knows {}\n",
                    name(holder.instance),
                    left(until),
                    knows.join(" ")
                );
            }
            for waiting in keeper.pending_version(now).iter().flat_map(|(version, waiting)| {
                waiting.iter().map(move |one| {
                    let how = if one.rejects { "which refuses it" } else { "or its lease" };
                    format!(
                        "pending: {version} waits for {}, {how}, {}\n",
                        name(one.holder.instance),
                        left(one.expires_at)
                    )
                })
            }) {
                text += &waiting;
            }
        }
        text
    }
}

/// Carries words both ways until the link breaks, falls silent or says what makes no sense.
async fn carry(
    stream: Async<TcpStream>, words: &Receiver<Message>, silence: Duration, inputs: &Sender<Input>,
    heard: impl Fn(Message) -> Input,
) -> Option<String> {
    let (reads, mut writes) = io::split(Uninterrupted(stream));
    let mut reads = BufReader::new(reads);
    let hears = async {
        let (mut since, mut count) = (Instant::now(), 0);
        loop {
            let line = within(silence, line(&mut reads, MOST_LINE)).await?;
            if since.elapsed() > Duration::from_secs(1) {
                (since, count) = (Instant::now(), 0);
            }
            count += 1;
            // Guards against one that floods us: the others' words wait no longer for it than that.
            if count > MOST_A_SECOND {
                Timer::at(since + Duration::from_secs(1)).await;
            }
            match read_json::<Message>(line.trim().as_bytes()) {
                Ok(word) => _ = inputs.send(heard(word)).await,
                Err(fault) => return Some(fault),
            }
        }
    };
    let says = async {
        while let Ok(word) = words.recv().await {
            if !say(&mut writes, &oakhollow_terms::to_json(&word)).await {
                break;
            }
        }
        None
    };
    future::or(hears, says).await
}

/// A link to a keeper, made again for as long as the program lives.
async fn dial(
    keeper: InstanceId, at: SocketAddr, greeting: String, words: Receiver<Message>, inputs: Sender<Input>,
    silence: Duration,
) {
    loop {
        let linked = async {
            let mut stream = Async::<TcpStream>::connect(at).await.ok()?;
            let _ = stream.get_ref().set_nodelay(true);
            // What waited for a link that broke is old.
            while words.try_recv().is_ok() {}
            say(&mut stream, &greeting).await.then_some(stream)
        };
        if let Some(stream) = within(silence, linked).await {
            carry(stream, &words, silence, &inputs, |word| Input::ToMember(keeper, word)).await;
        }
        Timer::after(PAUSE).await;
    }
}

/// Takes in the links of members to our keeper.
async fn listen(
    at: SocketAddr, names: Arc<[String]>, inputs: Sender<Input>, log: Logger, silence: Duration,
    executor: &async_executor::LocalExecutor<'_>,
) {
    let mut said = false;
    let listener = loop {
        // The process before this one may have it still: its keeper serves us too.
        match Async::<TcpListener>::bind(at) {
            Ok(listener) => break listener,
            Err(fault) if !std::mem::replace(&mut said, true) => {
                warn!(log, "accord: {}: {}, trying on", at, fault);
            }
            Err(_) => {}
        }
        Timer::after(PAUSE).await;
    };
    let mut foreign = BTreeSet::new();
    let open = Arc::new(());
    let (strangers, tell) = bounded::<String>(MOST_WORDS);
    loop {
        // Guards against links that take what callers and servers need.
        if Arc::strong_count(&open) > most_links(names.len()) {
            Timer::after(PAUSE).await;
            continue;
        }
        while let Ok(stranger) = tell.try_recv() {
            // Once for each, and not for ever more of them.
            if foreign.len() < MOST_WORDS && foreign.insert(stranger.clone()) {
                warn!(log, "accord: a link not taken: {}", stranger);
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(PAUSE).await;
            continue;
        };
        let (names, inputs, strangers, open) =
            (names.clone(), inputs.clone(), strangers.clone(), open.clone());
        executor
            .spawn(async move {
                let _open = open;
                let _ = stream.get_ref().set_nodelay(true);
                match welcome(stream, &names, &inputs, silence).await {
                    Ok(()) => {}
                    Err(why) => _ = strangers.try_send(why),
                }
            })
            .detach();
    }
}

async fn welcome(
    stream: Async<TcpStream>, names: &[String], inputs: &Sender<Input>, silence: Duration,
) -> Result<(), String> {
    let mut greeting = Vec::new();
    let greets = async {
        // Byte by byte: what comes behind the greeting is for others to read.
        while greeting.last() != Some(&b'\n') && greeting.len() < 1024 {
            let mut byte = [0];
            if Uninterrupted(&stream).read(&mut byte).await.ok()? == 0 {
                return None;
            }
            greeting.push(byte[0]);
        }
        Some(())
    };
    // Gone, or silent: nobody's.
    if within(GREETS, greets).await.is_none() {
        return Ok(());
    }
    let greeting = Greeting::read(greeting.trim_ascii())?;
    let at = names.iter().position(|name| *name == greeting.name);
    let at = at.ok_or_else(|| format!("name: {:?} is not in accord.instances", greeting.name))?;
    let holder = HolderId { instance: InstanceId(at as u32), incarnation: greeting.incarnation };
    let (to, words) = bounded(MOST_WORDS);
    let _ = inputs.send(Input::Linked(holder, to)).await;
    let odd = carry(stream, &words, silence, inputs, |word| Input::ToKeeper(holder, word)).await;
    words.close();
    let _ = inputs.send(Input::Gone(holder)).await;
    odd.map_or(Ok(()), |fault| Err(format!("{}: {fault}", greeting.name)))
}
