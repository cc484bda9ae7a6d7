//! The agreement of instances on settings: runs the lease protocol of the package `oakhollow_lease` on sockets. Each
//! instance is a lease holder: it connects to all lease servers, exchanges one line of JSON per message, and keeps
//! renewing its leases. The instances that `accord.keepers` names are lease servers as well. Agreed settings are
//! applied before the instance reports that it knows them. Without `[accord]` in the operator's file nothing here runs.
use crate::endpoint_list::PeerDrains;
use crate::endpoint_registry::{lock, MaintenanceMark, SharedRegistry};
use crate::handover::HandoverLinks;
use crate::lease::Lease;
use crate::line_io::{read_line, with_timeout, write_line};
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
use oakhollow_config::{
    read_json, AccordConfig, DiscoveryList, EndpointEntry, Greeting, ListSharing, LocalSettings,
    NoLeasePolicy, Scope, SidecarConfig,
};
use oakhollow_lease::{
    Action, Document, Fact, HolderId, InstanceId, LeaseHolder, LeaseServer, ListUpdate, Message, Validator,
    Version, MAX_PENDING_VERSIONS,
};
use slog::{info, warn, Logger};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The longest line accepted: it holds as many documents as may be pending, or the facts of two whole lists.
const MAX_LINE_BYTES: u64 = 8 * 1024 * 1024;
/// The longest document. A longer one could make a line that other instances reject.
const MAX_DOCUMENT_BYTES: usize = MAX_LINE_BYTES as usize / (4 * MAX_PENDING_VERSIONS);
/// Messages that may wait for a peer that does not read. Further ones are dropped; the protocol asks for them again.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Inputs that may wait for this task.
const MAX_QUEUED_INPUTS: usize = 1024;
/// Messages that one link may deliver in a second: far more than an instance sends.
const MAX_MESSAGES_PER_SECOND: usize = 1_000;
/// The delay before a failed or broken link is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a new connection may take to send its greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of links that a lease server accepts: one for each instance, two while one process replaces another, and
/// some that have not sent their greeting yet.
fn max_links(instances: usize) -> usize {
    2 * instances + 8
}

/// The descriptors that an instance needs for the agreement: a link to each lease server and, if it is one itself, its
/// listener and the links that it accepts.
pub fn descriptors_needed(config: &AccordConfig, name: &str) -> usize {
    let is_lease_server = config.keepers.iter().any(|server| server == name);
    config.keepers.len() + if is_lease_server { 1 + max_links(config.instances.len()) } else { 0 }
}

/// What the agreement's task handles.
enum Input {
    /// This instance's configuration file was read. The sender reports why it is rejected, if it is.
    ConfigRead(Box<SidecarConfig>, Sender<String>),
    /// Discovery has sent a list, or said that nothing has changed. The sender, if any, is notified once that is
    /// applied.
    ListReceived(Arc<DiscoveryList>, Option<Sender<()>>),
    /// The list can't be obtained from discovery.
    ListUnavailable,
    /// A maintenance mark was set at this instance.
    MaintenanceChanged(MaintenanceMark),
    /// The console asks for the status.
    StatusRequested(Sender<String>),
    /// A lease holder has connected to this instance's lease server; messages to it go to the sender.
    HolderConnected(HolderId, Sender<Message>),
    /// The link from a lease holder is closed.
    HolderDisconnected(HolderId),
    /// A message from a lease holder to this instance's lease server.
    ToLeaseServer(HolderId, Message),
    /// A message from a lease server to this instance's lease holder.
    ToLeaseHolder(InstanceId, Message),
}

/// How the console, the watch of the list and the reload of the configuration reach the agreement.
#[derive(Clone)]
pub struct AgreementHandle {
    inputs: Sender<Input>,
    scope: Scope,
}

impl AgreementHandle {
    /// Proposes the settings of a configuration file. On an error the previous settings stay.
    pub async fn propose(&self, config: SidecarConfig) -> Result<(), String> {
        split_settings(&config)?;
        let (rejection_sender, rejection) = bounded(1);
        let _ = self.inputs.send(Input::ConfigRead(Box::new(config), rejection_sender)).await;
        rejection.recv().await.map_or(Ok(()), Err)
    }

    /// Reports what discovery has sent.
    pub async fn apply_list(&self, list: Arc<DiscoveryList>) {
        let _ = self.inputs.send(Input::ListReceived(list, None)).await;
    }

    /// Reports a list before the workers get it, and waits until the workers would send nothing to the entries that a
    /// majority of lease servers has not confirmed yet. Returns false where that is not needed; the workers then get
    /// the list first.
    pub async fn apply_list_before_workers(&self, list: &Arc<DiscoveryList>) -> bool {
        if self.scope == Scope::All {
            return false;
        }
        let (done, applied) = bounded(1);
        let _ = self.inputs.send(Input::ListReceived(list.clone(), Some(done))).await;
        let _ = applied.recv().await;
        true
    }

    /// Reports that discovery does not deliver the list.
    pub async fn list_unavailable(&self) {
        let _ = self.inputs.send(Input::ListUnavailable).await;
    }

    /// Reports a maintenance mark that was set at this instance.
    pub async fn apply_maintenance(&self, mark: MaintenanceMark) {
        let _ = self.inputs.send(Input::MaintenanceChanged(mark)).await;
    }

    /// The status as text, a line for each version and each instance.
    pub async fn status(&self) -> String {
        let (reply_to, status) = bounded(1);
        let _ = self.inputs.send(Input::StatusRequested(reply_to)).await;
        status.recv().await.unwrap_or_default()
    }
}

/// Splits the settings of a configuration file into this instance's own part and the common part, as a document.
fn split_settings(config: &SidecarConfig) -> Result<(LocalSettings, Document), String> {
    let stated = config.settings_version.ok_or("version: missing, and instances agree on settings")?;
    let (local_settings, common) =
        LocalSettings::split(&config.settings_text).map_err(|error| format!("settings.{error}"))?;
    if common.text.len() > MAX_DOCUMENT_BYTES {
        return Err(format!("settings: over {MAX_DOCUMENT_BYTES} bytes, the most that is passed on"));
    }
    let version = Version { epoch: stated.epoch, number: stated.number, hash: common.hash };
    Ok((local_settings, Document { version, text: common.text.into() }))
}

/// The parts of the rest of the process that the agreement uses.
pub struct Parts {
    pub config: AccordConfig,
    pub lease: Lease,
    pub commands: CommandBroadcaster,
    pub registry: SharedRegistry,
    /// Where maintenance marks are saved.
    pub store: Option<Arc<MaintenanceStore>>,
    pub handover_links: HandoverLinks,
    pub clock: Clock,
    pub log: Logger,
}

/// The task of the agreement.
struct Agreement {
    parts: Parts,
    instance_names: Arc<[String]>,
    own_id: InstanceId,
    lease_holder: LeaseHolder,
    local_settings: Arc<Mutex<LocalSettings>>,
    lease_server: Option<LeaseServer>,
    /// The queues to the lease servers, and to the lease holders connected to this instance's lease server.
    to_lease_servers: HashMap<InstanceId, Sender<Message>>,
    to_holders: HashMap<HolderId, Sender<Message>>,
    /// Whether this instance could act on the agreed settings when that was last logged.
    could_act: bool,
    /// The agreed settings can't be read.
    settings_unreadable: bool,
    /// Discovery does not deliver the list.
    list_unavailable: bool,
    /// The endpoints that drain by other instances' lists, as last sent to the workers.
    peer_drains: PeerDrains,
}

/// Starts the agreement. The future returned runs for as long as the process.
pub fn start(
    config: &SidecarConfig, known_list: Arc<DiscoveryList>, parts: Parts,
) -> Result<(AgreementHandle, impl Future<Output = ()>), String> {
    let (local_settings, document) = split_settings(config)?;
    // Shared by all links to this lease server: a copy for each would grow with the square of the number of
    // instances.
    let instance_names: Arc<[String]> = parts.config.instances.keys().cloned().collect();
    let id = |name: &String| {
        instance_names.iter().position(|other| other == name).map(|index| InstanceId(index as u32))
    };
    let own_id =
        id(&config.name).ok_or_else(|| format!("name: {:?} is not in accord.instances", config.name))?;
    let server_ids: Vec<InstanceId> = parts.config.keepers.iter().filter_map(id).collect();
    let lease_duration =
        oakhollow_lease::lease_duration(oakhollow_config::micros_from_seconds(parts.config.max_divergence_s));
    let local_settings = Arc::new(Mutex::new(local_settings));
    let validator: Validator = {
        let local_settings = local_settings.clone();
        Arc::new(move |texts: &[Arc<str>]| merge_settings(&local_settings, texts).map(|_| ()))
    };
    let (inputs, incoming) = bounded(MAX_QUEUED_INPUTS);
    let agreement = Agreement {
        lease_server: server_ids
            .contains(&own_id)
            .then(|| LeaseServer::new(parts.clock.now(), lease_duration)),
        lease_holder: match (parts.config.list_sharing, parts.config.scope) {
            (ListSharing::Whole, _) => {
                LeaseHolder::new(server_ids.clone(), lease_duration, validator).with_full_lists()
            }
            (ListSharing::Drains, Scope::All) => {
                LeaseHolder::new(server_ids.clone(), lease_duration, validator)
            }
            (ListSharing::Drains, Scope::Listed) => {
                LeaseHolder::new(server_ids.clone(), lease_duration, validator).with_subscription()
            }
        },
        instance_names,
        own_id,
        local_settings,
        to_lease_servers: HashMap::new(),
        to_holders: HashMap::new(),
        could_act: false,
        settings_unreadable: false,
        list_unavailable: false,
        peer_drains: PeerDrains::new(),
        parts,
    };
    let handle = AgreementHandle { inputs: inputs.clone(), scope: agreement.parts.config.scope };
    Ok((handle, agreement.run((document, known_list), server_ids, (inputs, incoming))))
}

/// A list as facts for the agreement. The entries' own JSON is included only where whole lists are shared.
fn list_update(list: &DiscoveryList, sharing: ListSharing) -> ListUpdate {
    let fact = |entry: &EndpointEntry| {
        let json = (sharing == ListSharing::Whole).then(|| Arc::from(oakhollow_config::to_json(entry)));
        Fact { since: entry.since_ms(), excluded: !entry.is_active(), first_hand: true, entry: json }
    };
    let entries = list.endpoints.iter().map(|entry| {
        let fact = (!entry.has_left()).then(|| fact(entry));
        (Arc::from(entry.name.as_str()), fact)
    });
    ListUpdate { index: list.index.0, snapshot: list.snapshot, entries: entries.collect() }
}

/// Merges the common part of the settings, as documents, with this instance's own part.
fn merge_settings(
    local_settings: &Mutex<LocalSettings>, texts: &[Arc<str>],
) -> Result<oakhollow_config::Settings, String> {
    let texts: Vec<&str> = texts.iter().map(|text| &**text).collect();
    local_settings
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .merge(&texts)
        .map_err(|error| format!("settings.{error}"))
}

impl Agreement {
    async fn run(
        mut self, initial: (Document, Arc<DiscoveryList>), server_ids: Vec<InstanceId>,
        inputs: (Sender<Input>, Receiver<Input>),
    ) {
        let (inputs, incoming) = inputs;
        let greeting =
            Greeting::new(&self.instance_names[self.own_id.0 as usize], self.parts.clock.now().0).to_json();
        let silence_limit = Duration::from_secs_f64(self.parts.config.max_divergence_s.max(1.0));
        let mut links = Vec::new();
        for server in server_ids {
            let (sender, messages) = bounded(MAX_QUEUED_MESSAGES);
            self.to_lease_servers.insert(server, sender);
            let address = self.parts.config.instances[&self.instance_names[server.0 as usize]];
            links.push(keep_connected(
                server,
                address,
                greeting.clone(),
                messages,
                inputs.clone(),
                silence_limit,
            ));
        }
        let executor = async_executor::LocalExecutor::new();
        links.into_iter().for_each(|link| executor.spawn(link).detach());
        if self.lease_server.is_some() {
            let address = self.parts.config.instances[&self.instance_names[self.own_id.0 as usize]];
            let listening = accept_links(
                address,
                self.instance_names.clone(),
                inputs,
                self.parts.log.clone(),
                silence_limit * 4,
                &executor,
            );
            future::or(listening, executor.run(self.run_events(initial, incoming))).await;
        } else {
            executor.run(self.run_events(initial, incoming)).await;
        }
    }

    /// Handles inputs and timers for as long as the process lives.
    async fn run_events(
        &mut self, (document, known_list): (Document, Arc<DiscoveryList>), incoming: Receiver<Input>,
    ) {
        let (mut actions, now) = (Vec::new(), self.parts.clock.now());
        self.lease_holder.propose(now, document, &mut actions);
        if !known_list.endpoints.is_empty() {
            self.lease_holder.handle_list_update(
                now,
                list_update(&known_list, self.parts.config.list_sharing),
                &mut actions,
            );
        }
        self.execute_actions(actions).await;
        loop {
            let now = self.parts.clock.now();
            let server_wakeup = self.lease_server.as_ref().and_then(|server| server.next_wakeup(now));
            let lease_expiry = Some(self.lease_holder.lease_valid_until()).filter(|until| *until > now);
            let due = [Some(self.lease_holder.next_wakeup()), server_wakeup, lease_expiry]
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(now);
            let timer = async {
                Timer::at(self.parts.clock.instant_at(due)).await;
                None
            };
            let received = async { Some(incoming.recv().await) };
            match future::or(received, timer).await {
                Some(Err(_)) => return,
                Some(Ok(input)) => self.handle(Some(input)).await,
                None => self.handle(None).await,
            }
        }
    }

    /// Handles an input, or a timer if there is none.
    async fn handle(&mut self, input: Option<Input>) {
        let (now, mut actions, mut outgoing) = (self.parts.clock.now(), Vec::new(), Vec::new());
        let mut list_applied = None;
        match input {
            None => {
                self.lease_holder.handle_timer(now, &mut actions);
                if let Some(server) = &mut self.lease_server {
                    server.handle_timer(now, &mut outgoing);
                }
            }
            Some(Input::ListReceived(list, done)) => {
                (self.list_unavailable, list_applied) = (false, done);
                self.lease_holder.handle_list_update(
                    now,
                    list_update(&list, self.parts.config.list_sharing),
                    &mut actions,
                );
            }
            Some(Input::ListUnavailable) => {
                self.list_unavailable = true;
                actions.push(Action::ApplyLists);
            }
            Some(Input::MaintenanceChanged(mark)) if self.parts.config.share_maintenance => {
                self.lease_holder.handle_maintenance_change(
                    now,
                    (&mark.name, mark.in_maintenance, mark.set_at.0),
                    &mut actions,
                );
            }
            Some(Input::MaintenanceChanged(_)) => {}
            Some(Input::StatusRequested(reply_to)) => _ = reply_to.try_send(self.status()),
            // Always succeeds: the sender has made the same check.
            Some(Input::ConfigRead(config, rejection)) => {
                if let Ok((local_settings, document)) = split_settings(&config) {
                    let lock = || self.local_settings.lock().unwrap_or_else(PoisonError::into_inner);
                    let previous = std::mem::replace(&mut *lock(), local_settings);
                    if self.lease_holder.propose(now, document, &mut actions) {
                        // The file may have changed only in this instance's own part.
                        if !actions.contains(&Action::ApplyDocuments) {
                            actions.push(Action::ApplyDocuments);
                        }
                    } else {
                        *lock() = previous;
                        // The lease holder logs a rejection only once, but every reload reports the reason.
                        let logged = actions.iter().position(|action| matches!(action, Action::Log(_)));
                        let _ = rejection.try_send(match logged.map(|index| actions.remove(index)) {
                            Some(Action::Log(reason)) => reason,
                            _ => "version: refused before, see the log".into(),
                        });
                    }
                }
            }
            Some(Input::HolderConnected(holder, sender)) => _ = self.to_holders.insert(holder, sender),
            Some(Input::HolderDisconnected(holder)) => {
                // Unless it has connected again in the meantime.
                if self.to_holders.get(&holder).is_some_and(Sender::is_closed) {
                    self.to_holders.remove(&holder);
                }
            }
            Some(Input::ToLeaseServer(holder, message)) => {
                if let Some(server) = &mut self.lease_server {
                    server.handle_message(now, holder, message, &mut outgoing);
                }
            }
            Some(Input::ToLeaseHolder(server, message)) => {
                self.lease_holder.handle_message(now, server, message, &mut actions)
            }
        }
        self.send_to_holders(outgoing);
        self.execute_actions(actions).await;
        list_applied.map(|done| done.try_send(()));
    }

    /// Sends the lease server's messages.
    fn send_to_holders(&self, outgoing: Vec<(HolderId, Message)>) {
        for (holder, message) in outgoing {
            self.to_holders.get(&holder).map(|sender| sender.try_send(message));
        }
    }

    /// Executes actions in order, so that settings are in use at every worker before this instance reports that it
    /// knows them.
    async fn execute_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(server, message) => {
                    self.to_lease_servers.get(&server).map(|sender| sender.try_send(message));
                }
                Action::ApplyDocuments => {
                    let texts: Vec<Arc<str>> =
                        self.lease_holder.active_documents().map(|(_, text)| text.clone()).collect();
                    match merge_settings(&self.local_settings, &texts) {
                        Ok(settings) => {
                            self.settings_unreadable = false;
                            let settings = Arc::new(settings);
                            self.parts
                                .commands
                                .send_and_wait(|done| WorkerCommand::ApplySettings(settings, done))
                                .await;
                            info!(self.parts.log, "keeps to {}", self.versions_in_use());
                        }
                        // Not expected, since documents are checked before they are accepted. Settings that can't
                        // be read are not acted on.
                        Err(error) => {
                            self.settings_unreadable = true;
                            warn!(self.parts.log, "agreed settings can't be read: {}", error);
                        }
                    }
                }
                Action::ApplyLists => self.apply_peer_lists().await,
                Action::ApplyMaintenance { name, in_maintenance, set_at } => {
                    self.apply_peer_maintenance(&name, in_maintenance, set_at).await
                }
                Action::Log(text) => info!(self.parts.log, "{}", text),
            }
        }
        let until = match self.parts.config.no_lease_policy {
            // With `Hold`, an instance that knows the agreed settings continues with them without a lease.
            _ if self.settings_unreadable => Micros(0),
            NoLeasePolicy::Hold if self.lease_holder.committed().is_some() => Micros::NEVER,
            _ => self.lease_holder.lease_valid_until(),
        };
        self.parts.lease.set(until);
        // Logged also by an instance that goes on without a lease.
        let may_act = until.min(self.lease_holder.lease_valid_until()) > self.parts.clock.now();
        if may_act != self.could_act {
            self.could_act = may_act;
            lock(&self.parts.registry).lease_ok =
                may_act || self.parts.config.no_lease_policy != NoLeasePolicy::Refuse;
            match may_act {
                true => info!(
                    self.parts.log,
                    "sure: a majority's leases live, keeps to {}",
                    self.versions_in_use()
                ),
                false => {
                    warn!(
                        self.parts.log,
                        "unsure: no majority's leases, {:?}", self.parts.config.no_lease_policy
                    )
                }
            }
            self.parts.commands.send(WorkerCommand::RecheckDeadlines).await;
        }
    }

    /// Applies other instances' lists: which endpoints drain and, while discovery does not deliver the list to this
    /// instance, which endpoints it does not know.
    async fn apply_peer_lists(&mut self) {
        let mut drains = PeerDrains::new();
        for (name, since) in
            self.lease_holder.unconfirmed_servers().chain(self.lease_holder.excluded_servers())
        {
            let latest = drains.entry(name.to_string()).or_insert(since);
            *latest = since.max(*latest);
        }
        if self.peer_drains != drains {
            let (excluded, unconfirmed) =
                (self.lease_holder.excluded_servers().len(), self.lease_holder.unconfirmed_servers().count());
            info!(
                self.parts.log,
                "by others' lists {} servers drain or have left, of {} none tells yet", excluded, unconfirmed
            );
            self.peer_drains = drains.clone();
            let drains = Arc::new(drains);
            self.parts.commands.send_and_wait(|done| WorkerCommand::ApplyPeerDrains(drains, done)).await;
        }
        if self.list_unavailable {
            let entries = self
                .lease_holder
                .foreign_entries()
                .filter_map(|entry| read_json::<EndpointEntry>(entry.as_bytes()).ok());
            let entries: Vec<EndpointEntry> = entries.collect();
            if !entries.is_empty() {
                let list = lock(&self.parts.registry).add_from_peers(entries);
                info!(self.parts.log, "discovery fails: {} servers by others' lists", list.endpoints.len());
                self.lease_holder.handle_list_update(
                    self.parts.clock.now(),
                    list_update(&list, self.parts.config.list_sharing),
                    &mut Vec::new(),
                );
                self.parts
                    .commands
                    .send(WorkerCommand::ApplyList(ListKind::Cached, Arc::new(list), ListArrival::now()))
                    .await;
            }
        }
    }

    /// Applies a maintenance mark that was set at another instance.
    async fn apply_peer_maintenance(&self, name: &str, in_maintenance: bool, set_at: u64) {
        // The time is by another host's clock: a mark can't have been set in the future.
        let mark = MaintenanceMark {
            name: name.into(),
            in_maintenance,
            set_at: Micros(set_at).min(self.parts.clock.now()),
        };
        {
            let mut registry = lock(&self.parts.registry);
            registry.apply_maintenance(&mark);
            if let Some(store) = &self.parts.store {
                store.submit(registry.marks().clone(), &self.parts.log);
            }
        }
        info!(
            self.parts.log,
            "{} {} by hand, at another instance",
            name,
            if in_maintenance { "out" } else { "back" }
        );
        self.parts.handover_links.send_maintenance(&mark, None);
        self.parts.commands.send_and_wait(|done| WorkerCommand::ApplyMaintenance(mark, done)).await;
    }

    /// The versions of the settings in use.
    fn versions_in_use(&self) -> String {
        self.lease_holder
            .active_documents()
            .map(|(version, _)| version.to_string())
            .collect::<Vec<_>>()
            .join(" ")
    }

    /// The status for the console.
    fn status(&self) -> String {
        let (now, name) = (self.parts.clock.now(), |id: InstanceId| &self.instance_names[id.0 as usize]);
        let left = |until: Micros| format!("{:.2} s", (until - now).secs());
        let committed =
            self.lease_holder.committed().map_or("nothing yet".to_string(), |base| base.to_string());
        let mut text = format!(
            "{} holds {committed}, keeps to {}, lease for {}\n",
            name(self.own_id),
            self.versions_in_use(),
            left(self.lease_holder.lease_valid_until())
        );
        for (server, _) in self.lease_holder.excluded_servers() {
            text += &format!("out by others' lists: {server}\n");
        }
        for (server, _) in self.lease_holder.unconfirmed_servers() {
            text += &format!("held back until a majority of keepers tells of it: {server}\n");
        }
        if let Some(server) = &self.lease_server {
            let committed =
                server.committed().map_or("nothing yet".to_string(), |committed| committed.to_string());
            text += &format!("keeper: {committed} holds here\n");
            for (holder, until, known_versions) in server.leases() {
                let known_versions: Vec<String> = known_versions.map(|version| version.to_string()).collect();
                text += &format!(
                    "lease: {} for {}, knows {}\n",
                    name(holder.instance),
                    left(until),
                    known_versions.join(" ")
                );
            }
            for line in server.pending_version(now).iter().flat_map(|(version, waiting_for)| {
                waiting_for.iter().map(move |blocking| {
                    let how = if blocking.rejects { "which refuses it" } else { "or its lease" };
                    format!(
                        "pending: {version} waits for {}, {how}, {}\n",
                        name(blocking.holder.instance),
                        left(blocking.expires_at)
                    )
                })
            }) {
                text += &line;
            }
        }
        text
    }
}

/// Exchanges messages until the link breaks, is silent for `silence_limit` or delivers a malformed message. Returns the
/// error of a malformed message.
async fn exchange_messages(
    stream: Async<TcpStream>, messages: &Receiver<Message>, silence_limit: Duration, inputs: &Sender<Input>,
    to_input: impl Fn(Message) -> Input,
) -> Option<String> {
    let (reader, mut writer) = io::split(Uninterrupted(stream));
    let mut reader = BufReader::new(reader);
    let receiving = async {
        let (mut second_began, mut count) = (Instant::now(), 0);
        loop {
            let line = with_timeout(silence_limit, read_line(&mut reader, MAX_LINE_BYTES)).await?;
            if second_began.elapsed() > Duration::from_secs(1) {
                (second_began, count) = (Instant::now(), 0);
            }
            count += 1;
            // Limits a link that floods this instance, so that the messages of the others are not delayed.
            if count > MAX_MESSAGES_PER_SECOND {
                Timer::at(second_began + Duration::from_secs(1)).await;
            }
            match read_json::<Message>(line.trim().as_bytes()) {
                Ok(message) => _ = inputs.send(to_input(message)).await,
                Err(error) => return Some(error),
            }
        }
    };
    let sending = async {
        while let Ok(message) = messages.recv().await {
            if !write_line(&mut writer, &oakhollow_config::to_json(&message)).await {
                break;
            }
        }
        None
    };
    future::or(receiving, sending).await
}

/// Keeps a link to a lease server, and connects again whenever it breaks.
async fn keep_connected(
    server: InstanceId, address: SocketAddr, greeting: String, messages: Receiver<Message>,
    inputs: Sender<Input>, silence_limit: Duration,
) {
    loop {
        let connected = async {
            let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
            let _ = stream.get_ref().set_nodelay(true);
            // Messages queued for a link that broke are outdated.
            while messages.try_recv().is_ok() {}
            write_line(&mut stream, &greeting).await.then_some(stream)
        };
        if let Some(stream) = with_timeout(silence_limit, connected).await {
            exchange_messages(stream, &messages, silence_limit, &inputs, |message| {
                Input::ToLeaseHolder(server, message)
            })
            .await;
        }
        Timer::after(RETRY_DELAY).await;
    }
}

/// Accepts the links of lease holders to this instance's lease server.
async fn accept_links(
    address: SocketAddr, instance_names: Arc<[String]>, inputs: Sender<Input>, log: Logger,
    silence_limit: Duration, executor: &async_executor::LocalExecutor<'_>,
) {
    let mut logged = false;
    let listener = loop {
        // The predecessor may still have the address; until it ends, its lease server serves this instance too.
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => break listener,
            Err(error) if !std::mem::replace(&mut logged, true) => {
                warn!(log, "accord: {}: {}, retrying", address, error);
            }
            Err(_) => {}
        }
        Timer::after(RETRY_DELAY).await;
    };
    let mut logged_causes = BTreeSet::new();
    // Each open link holds a clone, so the strong count is one more than the number of open links.
    let open_links = Arc::new(());
    let (rejections, rejected) = bounded::<String>(MAX_QUEUED_MESSAGES);
    loop {
        // Links must not use up the descriptors that clients and endpoints need.
        if Arc::strong_count(&open_links) > max_links(instance_names.len()) {
            Timer::after(RETRY_DELAY).await;
            continue;
        }
        while let Ok(cause) = rejected.try_recv() {
            // Logged once for each cause, and for a limited number of causes.
            if logged_causes.len() < MAX_QUEUED_MESSAGES && logged_causes.insert(cause.clone()) {
                warn!(log, "accord: a link not taken: {}", cause);
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(RETRY_DELAY).await;
            continue;
        };
        let (instance_names, inputs, rejections, open_link) =
            (instance_names.clone(), inputs.clone(), rejections.clone(), open_links.clone());
        executor
            .spawn(async move {
                let _open_link = open_link;
                let _ = stream.get_ref().set_nodelay(true);
                match serve_link(stream, &instance_names, &inputs, silence_limit).await {
                    Ok(()) => {}
                    Err(cause) => _ = rejections.try_send(cause),
                }
            })
            .detach();
    }
}

/// Reads the greeting of a new link and exchanges messages on it until it ends; returns an error of either.
async fn serve_link(
    stream: Async<TcpStream>, instance_names: &[String], inputs: &Sender<Input>, silence_limit: Duration,
) -> Result<(), String> {
    let mut greeting = Vec::new();
    let read_greeting = async {
        // Byte by byte: what follows the greeting is read elsewhere.
        while greeting.last() != Some(&b'\n') && greeting.len() < 1024 {
            let mut byte = [0];
            if Uninterrupted(&stream).read(&mut byte).await.ok()? == 0 {
                return None;
            }
            greeting.push(byte[0]);
        }
        Some(())
    };
    // A link that is closed or silent before its greeting is not an error.
    if with_timeout(GREETING_TIMEOUT, read_greeting).await.is_none() {
        return Ok(());
    }
    let greeting = Greeting::read(greeting.trim_ascii())?;
    let index = instance_names.iter().position(|name| *name == greeting.name);
    let index = index.ok_or_else(|| format!("name: {:?} is not in accord.instances", greeting.name))?;
    let holder = HolderId { instance: InstanceId(index as u32), incarnation: greeting.incarnation };
    let (sender, messages) = bounded(MAX_QUEUED_MESSAGES);
    let _ = inputs.send(Input::HolderConnected(holder, sender)).await;
    let malformed = exchange_messages(stream, &messages, silence_limit, inputs, |message| {
        Input::ToLeaseServer(holder, message)
    })
    .await;
    messages.close();
    let _ = inputs.send(Input::HolderDisconnected(holder)).await;
    malformed.map_or(Ok(()), |error| Err(format!("{}: {error}", greeting.name)))
}
