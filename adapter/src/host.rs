//! Executes batches of messages: passes each event to its balancer instance and writes the actions as
//! replies. Translates between the endpoint names of the wire and the server ids of each instance.
use crate::wire::{ListItem, Message, Reply};
use oakhollow::rules::Balancer;
use oakhollow::types::*;
use oakhollow_config::{micros_from_seconds, stable_hash};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A balancer with server ids of its own, so that it does not depend on other instances.
struct Instance {
    balancer: Balancer,
    /// The number of workloads.
    workloads: usize,
    ids: HashMap<String, ServerId>,
    /// The endpoint name of each server id.
    names: Vec<String>,
    /// Server ids by the lower half of the name's hash, which identifies a server in messages between
    /// balancers.
    ids_by_hash: HashMap<u32, ServerId>,
}

impl Instance {
    fn listings(&mut self, items: &[ListItem]) -> Result<Vec<ListedServer>, String> {
        items.iter().map(|item| self.listing(item)).collect()
    }

    fn listing(&mut self, item: &ListItem) -> Result<ListedServer, String> {
        let server = match self.ids.get(&item.endpoint) {
            Some(&id) => id,
            None => {
                let id = ServerId(self.names.len() as u32);
                self.names.push(item.endpoint.clone());
                self.ids.insert(item.endpoint.clone(), id);
                self.ids_by_hash.insert(stable_hash(&item.endpoint) as u32, id);
                id
            }
        };
        let status = match item.availability {
            0 => ServerStatus::Gone,
            1 => ServerStatus::Ready,
            2 => ServerStatus::Draining,
            other => return Err(format!("field availability: unknown state {other}")),
        };
        Ok(ListedServer {
            server,
            zone: ZoneId(item.hall),
            cell: CellId(item.block),
            status,
            weight: item.nominal,
            name_hash: stable_hash(&item.endpoint),
            started: micros_from_seconds(item.launched_s),
        })
    }
}

/// All instances, and the batch that is being read.
#[derive(Default)]
struct Host {
    now: Micros,
    /// The number of the open batch.
    open_batch: Option<u64>,
    instances: HashMap<u32, Instance>,
    /// Server lists by their number, for later `TARGETS` messages.
    lists: HashMap<u8, Vec<ListItem>>,
    actions: Vec<Action>,
    /// The replies of the open batch.
    output: Vec<u8>,
}

/// Answers batches until the input ends. A malformed line ends the service, and its batch gets no reply at
/// all.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|error| format!("cannot read line {}: {error}", number + 1))?;
        if line.trim().is_empty() {
            continue;
        }
        let message = serde_json::from_str(&line).map_err(|error| {
            // An error in the settings starts with a dot and the key.
            format!("line {}: {}", number + 1, error.to_string().trim_start_matches('.'))
        })?;
        let batch_complete = host.handle(message).map_err(|error| format!("line {}: {error}", number + 1))?;
        if batch_complete {
            output
                .write_all(&host.output)
                .and_then(|()| output.flush())
                .map_err(|error| error.to_string())?;
            host.output.clear();
        }
    }
    match host.open_batch {
        Some(batch) => Err(format!("the input ends inside batch {batch}: COMMIT is missing")),
        None => Ok(()),
    }
}

impl Host {
    /// Executes one message; true if it closed a batch, whose replies are then complete.
    fn handle(&mut self, message: Message) -> Result<bool, String> {
        match (&message, self.open_batch) {
            (Message::Clock { .. }, Some(batch)) => return Err(format!("CLOCK inside batch {batch}")),
            (Message::Clock { .. }, None) | (_, Some(_)) => {}
            (_, None) => return Err("an event or COMMIT outside a batch: CLOCK is missing".into()),
        }
        match message {
            Message::Clock { t_s, round } => {
                self.now = micros_from_seconds(t_s);
                self.open_batch = Some(round);
            }
            Message::Commit => {
                let round = self.open_batch.take().unwrap_or_default();
                self.write(&Reply::Yield { round })?;
                return Ok(true);
            }
            Message::Inventory { sheet, items } => {
                self.lists.insert(sheet, items);
            }
            Message::Init { who, init_seed, env } => {
                let config = env.balancer;
                let mut actions = std::mem::take(&mut self.actions);
                let balancer = Balancer::new(&config, init_seed, self.now, &mut actions);
                let (workloads, ids, names) = (config.workloads.len(), HashMap::new(), Vec::new());
                let ids_by_hash = HashMap::new();
                self.instances.insert(who, Instance { balancer, workloads, ids, names, ids_by_hash });
                self.write_actions(who, actions)?;
            }
            Message::Destroy { who } => {
                self.instances.remove(&who);
            }
            Message::Targets { who, sheet, kind } => {
                let kind = match kind {
                    0 => ListKind::Changes,
                    1 => ListKind::Whole,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(format!("field kind: unknown list kind {other}")),
                };
                let items: &[ListItem] = match (kind, sheet) {
                    (ListKind::Failed, _) => &[],
                    (_, None) => return Err("missing field `sheet`".into()),
                    (_, Some(sheet)) => {
                        let known = self.lists.get(&sheet);
                        known.ok_or(format!("field sheet: list {sheet} was never declared"))?
                    }
                };
                let Some(instance) = self.instances.get_mut(&who) else { return Err(unknown_instance(who)) };
                let entries = instance.listings(items)?;
                self.deliver(who, Event::ListReceived { kind, entries: &entries })?;
            }
            Message::Order { who, xid, category, expires_in_s, tenant, options, key } => {
                if self.instances.get(&who).is_some_and(|instance| category >= instance.workloads) {
                    return Err(format!("field category: there is no workload {category}"));
                }
                let (workload, tenant) = (WorkloadId(category), TenantId(tenant));
                let (time_left, client_retry) = (micros_from_seconds(expires_in_s), options & 2 != 0);
                self.deliver(
                    who,
                    Event::CallArrived(Arrival {
                        call: CallId(xid),
                        workload,
                        time_left,
                        tenant,
                        client_retry,
                        affinity_key: key,
                    }),
                )?;
            }
            Message::Headers { who, xid, r#try } => {
                self.deliver(who, Event::AnswerStarted { call: CallId(xid), hop: HopNo(r#try) })?
            }
            Message::Finished { who, xid, r#try, wait_time_s, complete, outcome, telemetry } => {
                let (call, hop, elapsed) = (CallId(xid), HopNo(r#try), micros_from_seconds(wait_time_s));
                let (call_over, load) = (complete, telemetry.map(ServerLoad::from));
                let result = HopResult { call, hop, outcome: outcome.into(), elapsed, call_over, load };
                self.deliver(who, Event::HopEnded(result))?;
            }
            Message::Withdrawn { who, xid } => {
                self.deliver(who, Event::CallWithdrawn { call: CallId(xid) })?
            }
            Message::Wake { who, cookie } => self.deliver(who, Event::TimerFired(TimerToken(cookie)))?,
            Message::HealthResult { who } => {
                self.instances.get(&who).map(|_| ()).ok_or_else(|| unknown_instance(who))?
            }
            Message::Inbox { who, raw } => {
                let instance = self.instances.get(&who).ok_or_else(|| unknown_instance(who))?;
                // A message that is malformed, or about a server that is not listed here, is ignored.
                let known = decode_peer_report(&raw)
                    .and_then(|(hash, slowdown)| Some((*instance.ids_by_hash.get(&hash)?, slowdown)));
                if let Some((server, slowdown)) = known {
                    self.deliver(who, Event::PeerReported { server, slowdown })?;
                }
            }
        }
        Ok(false)
    }

    /// Passes an event to an instance. A panic there is reported as `FATAL`.
    fn deliver(&mut self, who: u32, event: Event) -> Result<(), String> {
        let now = self.now;
        let mut actions = std::mem::take(&mut self.actions);
        let Some(instance) = self.instances.get_mut(&who) else { return Err(unknown_instance(who)) };
        let result = catch_unwind(AssertUnwindSafe(|| instance.balancer.on(now, event, &mut actions)));
        if let Err(panic) = result {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message = message.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            let text = format!("instance {who}: {message}");
            return self.write(&Reply::Fatal { who, text });
        }
        self.write_actions(who, actions)
    }

    fn write_actions(&mut self, who: u32, mut actions: Vec<Action>) -> Result<(), String> {
        for action in actions.drain(..) {
            let output = &mut self.output;
            let names = &self.instances[&who].names;
            let name = |server: ServerId| names[server.0 as usize].as_str();
            let reply = match action {
                Action::Send { call, server, timeout } => {
                    Reply::Try { who, xid: call.0, endpoint: name(server), give_up_after_s: timeout.secs() }
                }
                Action::Cancel { call, hop } => Reply::Revoke { who, xid: call.0, r#try: hop.0 },
                Action::Refuse { call, retry_after } => {
                    Reply::Bounce { who, xid: call.0, cool_down_s: retry_after.secs() }
                }
                Action::Fail { call } => Reply::EndFailed { who, xid: call.0 },
                Action::SetTimer { after, token } => {
                    Reply::Remind { who, after_s: after.secs(), cookie: token.0 }
                }
                Action::Subscribe => Reply::Subscribe { who, want: true },
                Action::TellPeers { server, slowdown } => Reply::Say {
                    who,
                    to: -1,
                    raw: encode_peer_report(stable_hash(name(server)) as u32, slowdown),
                },
                Action::Log { text, server: None } => Reply::Emit { who, text },
                Action::Log { text, server: Some(server) } => {
                    Reply::Emit { who, text: format!("{} {text}", name(server)) }
                }
            };
            append(output, &reply)?;
        }
        self.actions = actions;
        Ok(())
    }

    fn write(&mut self, reply: &Reply) -> Result<(), String> {
        append(&mut self.output, reply)
    }
}

fn append(output: &mut Vec<u8>, reply: &Reply) -> Result<(), String> {
    serde_json::to_writer(&mut *output, reply).map_err(|error| error.to_string())?;
    output.push(b'\n');
    Ok(())
}

/// A message between balancers: the hash of a server's name, and its slowdown in tenths.
fn encode_peer_report(hash: u32, slowdown: f64) -> String {
    format!("{hash:x}:{}", (slowdown * 10.0).round().clamp(0.0, 9_999.0))
}

fn decode_peer_report(raw: &str) -> Option<(u32, f64)> {
    let (hash, tenths) = raw.split_once(':')?;
    Some((u32::from_str_radix(hash, 16).ok()?, f64::from(tenths.parse::<u16>().ok()?) / 10.0))
}

fn unknown_instance(who: u32) -> String {
    format!("field who: instance {who} was not started")
}
