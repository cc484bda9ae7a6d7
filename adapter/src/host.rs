//! Batches in, replies out: which instance each event belongs to, and what each server is called there.
use crate::wire::{In, Item, Out};
use oakhollow::rules::Balancer;
use oakhollow::types::*;
use oakhollow_terms::{mark, micros};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// One instance with its own numbering of servers, so that nothing of it depends on its neighbours.
struct Instance {
    sidecar: Balancer,
    workloads: usize,
    numbers: HashMap<String, ServerId>,
    names: Vec<String>,
    /// What other sidecars call a server: the lower half of its mark.
    marks: HashMap<u32, ServerId>,
}

impl Instance {
    fn listings(&mut self, items: &[Item]) -> Result<Vec<ListedServer>, String> {
        items.iter().map(|item| self.listing(item)).collect()
    }

    fn listing(&mut self, item: &Item) -> Result<ListedServer, String> {
        let server = match self.numbers.get(&item.endpoint) {
            Some(&known) => known,
            None => {
                let fresh = ServerId(self.names.len() as u32);
                self.names.push(item.endpoint.clone());
                self.numbers.insert(item.endpoint.clone(), fresh);
                self.marks.insert(mark(&item.endpoint) as u32, fresh);
                fresh
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
            name_hash: mark(&item.endpoint),
            started: micros(item.launched_s),
        })
    }
}

#[derive(Default)]
struct Host {
    now: Micros,
    round: Option<u64>,
    instances: HashMap<u32, Instance>,
    sheets: HashMap<u8, Vec<Item>>,
    actions: Vec<Action>,
    reply: Vec<u8>,
}

/// Answers batches until the input ends. A malformed line ends the service before any of its batch is answered.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|trouble| format!("cannot read line {}: {trouble}", number + 1))?;
        if line.trim().is_empty() {
            continue;
        }
        let heard = serde_json::from_str(&line).map_err(|trouble| {
            // A check of the settings begins with the key below the settings.
            format!("line {}: {}", number + 1, trouble.to_string().trim_start_matches('.'))
        })?;
        let done = host.hear(heard).map_err(|trouble| format!("line {}: {trouble}", number + 1))?;
        if done {
            output
                .write_all(&host.reply)
                .and_then(|()| output.flush())
                .map_err(|trouble| trouble.to_string())?;
            host.reply.clear();
        }
    }
    match host.round {
        Some(round) => Err(format!("the input ends inside batch {round}: COMMIT is missing")),
        None => Ok(()),
    }
}

impl Host {
    /// Takes one line; true when it closed a batch and the reply is whole.
    fn hear(&mut self, heard: In) -> Result<bool, String> {
        match (&heard, self.round) {
            (In::Clock { .. }, Some(round)) => return Err(format!("CLOCK inside batch {round}")),
            (In::Clock { .. }, None) | (_, Some(_)) => {}
            (_, None) => return Err("an event or COMMIT outside a batch: CLOCK is missing".into()),
        }
        match heard {
            In::Clock { t_s, round } => {
                self.now = micros(t_s);
                self.round = Some(round);
            }
            In::Commit => {
                let round = self.round.take().unwrap_or_default();
                self.write(&Out::Yield { round })?;
                return Ok(true);
            }
            In::Inventory { sheet, items } => {
                self.sheets.insert(sheet, items);
            }
            In::Init { who, init_seed, env } => {
                let terms = env.terms;
                let mut actions = std::mem::take(&mut self.actions);
                let sidecar = Balancer::new(&terms, init_seed, self.now, &mut actions);
                let (workloads, numbers, names) = (terms.workloads.len(), HashMap::new(), Vec::new());
                let marks = HashMap::new();
                self.instances.insert(who, Instance { sidecar, workloads, numbers, names, marks });
                self.carry_out(who, actions)?;
            }
            In::Destroy { who } => {
                self.instances.remove(&who);
            }
            In::Targets { who, sheet, kind } => {
                let kind = match kind {
                    0 => ListKind::Changes,
                    1 => ListKind::Whole,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(format!("field kind: unknown list kind {other}")),
                };
                let items: &[Item] = match (kind, sheet) {
                    (ListKind::Failed, _) => &[],
                    (_, None) => return Err("missing field `sheet`".into()),
                    (_, Some(sheet)) => {
                        let known = self.sheets.get(&sheet);
                        known.ok_or(format!("field sheet: list {sheet} was never declared"))?
                    }
                };
                let Some(instance) = self.instances.get_mut(&who) else { return Err(unknown(who)) };
                let entries = instance.listings(items)?;
                self.tell(who, Event::ListReceived { kind, entries: &entries })?;
            }
            In::Order { who, xid, category, expires_in_s, tenant, options, key } => {
                if self.instances.get(&who).is_some_and(|instance| category >= instance.workloads) {
                    return Err(format!("field category: there is no workload {category}"));
                }
                let (workload, tenant) = (WorkloadId(category), TenantId(tenant));
                let (time_left, client_retry) = (micros(expires_in_s), options & 2 != 0);
                self.tell(
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
            In::Headers { who, xid, r#try } => {
                self.tell(who, Event::AnswerStarted { call: CallId(xid), hop: HopNo(r#try) })?
            }
            In::Finished { who, xid, r#try, wait_time_s, complete, outcome, telemetry } => {
                let (call, hop, elapsed) = (CallId(xid), HopNo(r#try), micros(wait_time_s));
                let (call_over, load) = (complete, telemetry.map(ServerLoad::from));
                let ending = HopResult { call, hop, outcome: outcome.into(), elapsed, call_over, load };
                self.tell(who, Event::HopEnded(ending))?;
            }
            In::Withdrawn { who, xid } => self.tell(who, Event::CallWithdrawn { call: CallId(xid) })?,
            In::Wake { who, cookie } => self.tell(who, Event::TimerFired(TimerToken(cookie)))?,
            In::HealthResult { who } => self.instances.get(&who).map(|_| ()).ok_or_else(|| unknown(who))?,
            In::Inbox { who, raw } => {
                let instance = self.instances.get(&who).ok_or_else(|| unknown(who))?;
                // A message that says nothing, or of a server not listed here, is no fault of anybody's.
                let known =
                    unpack(&raw).and_then(|(mark, slowdown)| Some((*instance.marks.get(&mark)?, slowdown)));
                if let Some((server, slowdown)) = known {
                    self.tell(who, Event::PeerReported { server, slowdown })?;
                }
            }
        }
        Ok(false)
    }

    fn tell(&mut self, who: u32, event: Event) -> Result<(), String> {
        let now = self.now;
        let mut actions = std::mem::take(&mut self.actions);
        let Some(instance) = self.instances.get_mut(&who) else { return Err(unknown(who)) };
        let told = catch_unwind(AssertUnwindSafe(|| instance.sidecar.on(now, event, &mut actions)));
        if let Err(panic) = told {
            let said = panic.downcast_ref::<String>().map(String::as_str);
            let said = said.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            let text = format!("instance {who}: {said}");
            return self.write(&Out::Fatal { who, text });
        }
        self.carry_out(who, actions)
    }

    fn carry_out(&mut self, who: u32, mut actions: Vec<Action>) -> Result<(), String> {
        for action in actions.drain(..) {
            let reply = &mut self.reply;
            let names = &self.instances[&who].names;
            let name = |server: ServerId| names[server.0 as usize].as_str();
            let said = match action {
                Action::Send { call, server, timeout } => {
                    Out::Try { who, xid: call.0, endpoint: name(server), give_up_after_s: timeout.secs() }
                }
                Action::Cancel { call, hop } => Out::Revoke { who, xid: call.0, r#try: hop.0 },
                Action::Refuse { call, retry_after } => {
                    Out::Bounce { who, xid: call.0, cool_down_s: retry_after.secs() }
                }
                Action::Fail { call } => Out::EndFailed { who, xid: call.0 },
                Action::SetTimer { after, token } => {
                    Out::Remind { who, after_s: after.secs(), cookie: token.0 }
                }
                Action::Subscribe => Out::Subscribe { who, want: true },
                Action::TellPeers { server, slowdown } => {
                    Out::Say { who, to: -1, raw: pack(mark(name(server)) as u32, slowdown) }
                }
                Action::Log { text, server: None } => Out::Emit { who, text },
                Action::Log { text, server: Some(server) } => {
                    Out::Emit { who, text: format!("{} {text}", name(server)) }
                }
            };
            append(reply, &said)?;
        }
        self.actions = actions;
        Ok(())
    }

    fn write(&mut self, said: &Out) -> Result<(), String> {
        append(&mut self.reply, said)
    }
}

fn append(reply: &mut Vec<u8>, said: &Out) -> Result<(), String> {
    serde_json::to_writer(&mut *reply, said).map_err(|trouble| trouble.to_string())?;
    reply.push(b'\n');
    Ok(())
}

/// What sidecars tell each other of a server: its mark, and its strain in tenths.
fn pack(mark: u32, slowdown: f64) -> String {
    format!("{mark:x}:{}", (slowdown * 10.0).round().clamp(0.0, 9_999.0))
}

fn unpack(raw: &str) -> Option<(u32, f64)> {
    let (mark, tenths) = raw.split_once(':')?;
    Some((u32::from_str_radix(mark, 16).ok()?, f64::from(tenths.parse::<u16>().ok()?) / 10.0))
}

fn unknown(who: u32) -> String {
    format!("field who: instance {who} was not started")
}
