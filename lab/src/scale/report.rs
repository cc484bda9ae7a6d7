//! Reports of a scale run: text lines, JSON objects, and how the figures grow with the number of instances.
use super::fit::{Estimate, Fit};
use super::run::{PhaseReport, RoleUsage, StepReport, MAX_LATE_SHARE};
use serde_json::{json, Value};

/// A figure of a phase for which the growth is calculated. The names are keys of the JSON report.
struct Figure {
    name: &'static str,
    value: fn(&PhaseReport) -> f64,
}

const FIGURES: [Figure; 11] = [
    Figure { name: "keeper, core", value: |phase| phase.lease_server.cpu },
    Figure { name: "keeper, microseconds of work a word", value: work_per_message },
    Figure { name: "keeper, resident MB", value: |phase| phase.lease_server.resident as f64 / 1e6 },
    Figure { name: "keeper, descriptors", value: |phase| phase.lease_server.descriptors as f64 },
    Figure {
        name: "keeper, bytes a second",
        value: |phase| lease_server_rate(phase, |counts| counts.bytes() as f64),
    },
    Figure {
        name: "keeper, bytes in its worst second",
        value: |phase| phase.busiest_lease_server_second() as f64,
    },
    Figure { name: "instance, core for the member alone", value: lease_holder_core },
    Figure {
        name: "instance, words a second",
        value: |phase| instance_rate(phase, |counts| counts.messages() as f64),
    },
    Figure {
        name: "instance, bytes a second",
        value: |phase| instance_rate(phase, |counts| counts.bytes() as f64),
    },
    Figure {
        name: "instance, bytes in its worst second",
        value: |phase| phase.busiest_instance_second() as f64,
    },
    Figure { name: "answer, ms at p99", value: |phase| lease_latency_ms(phase, 0.99) },
];

fn lease_server_rate(phase: &PhaseReport, value: fn(&super::count::MessageCounts) -> f64) -> f64 {
    let lease_servers = phase.counts.seconds.first().map_or(1, |second| second.lease_servers.len());
    value(&phase.total_messages()) / phase.length_s / lease_servers.max(1) as f64
}

fn instance_rate(phase: &PhaseReport, value: fn(&super::count::MessageCounts) -> f64) -> f64 {
    value(&phase.total_messages()) / phase.length_s / phase.alive.max(1) as f64
}

/// Counts only messages of simulated instances. The processor time includes those of the few real ones.
fn work_per_message(phase: &PhaseReport) -> f64 {
    let messages = lease_server_rate(phase, |counts| counts.messages() as f64);
    phase.lease_server.cpu * 1e6 / messages.max(0.001)
}

/// The mean share of a core that a simulated instance's lease holder takes.
fn lease_holder_core(phase: &PhaseReport) -> f64 {
    phase.counts.work_us as f64 / 1e6 / phase.length_s / phase.alive.max(1) as f64
}

fn lease_latency_ms(phase: &PhaseReport, quantile: f64) -> f64 {
    phase.counts.lease_latency.value_at_quantile(quantile) as f64 / 1e3
}

/// Formats a number with about three significant digits.
fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

/// The text lines of a step.
pub fn text(step: &StepReport) -> Vec<String> {
    let mut lines = vec![format!(
        "{} instances: the operator's file has {} bytes; a real process answers after {:.2} s and serves after {:.2} s; \
         all simulated instances hold leases after {:.2} s",
        step.instances, step.operator_bytes, step.answering_after_s, step.serving_after_s, step.all_leases_s
    )];
    step.phases.iter().for_each(|phase| lines.extend(phase_text(step.instances, phase)));
    lines
}

fn phase_text(instances: usize, phase: &PhaseReport) -> Vec<String> {
    let head = format!("  {instances} {} {:.0} s", phase.name, phase.length_s);
    if !phase.is_conclusive() {
        let late_timers = phase.late_timers as f64 / phase.timers_fired.max(1) as f64;
        let why = phase.aborted.clone().unwrap_or_else(|| {
            format!(
                "{:.1} % of the harness's timers were late, {:.3} s at most",
                100.0 * late_timers,
                phase.max_timer_delay_s
            )
        });
        let (lease_servers, harness) =
            (phase.lease_server.resident_peak as f64 / 1e6, phase.harness.resident as f64 / 1e6);
        let limit = MAX_LATE_SHARE * 100.0;
        return vec![format!(
            "{head}: no figure: {why} (over {limit} % late is too much); real processes had {lease_servers:.0} MB at most, \
             the harness {harness:.0} MB; {} of {} hold leases; the harness's threads took {:.1} core-seconds, the lease holders {:.1} of these",
            phase.holding_leases,
            phase.alive,
            phase.harness.cpu * phase.length_s,
            phase.counts.work_us as f64 / 1e6
        )];
    }
    let role = |name: &str, role: &RoleUsage| {
        format!(
            "{head}: {name} {:.2} % of a core (busiest {:.2} %), {:.1} MB, {} descriptors",
            100.0 * role.cpu,
            100.0 * role.cpu_most,
            role.resident as f64 / 1e6,
            role.descriptors
        )
    };
    let (counts, served_requests) = (&phase.counts, &phase.served_requests);
    let mut lines = vec![
        format!(
            "{}; {} messages and {} bytes a second, {} bytes in its busiest; {} us of work a message; all real processes {:.0} MB at most",
            role("lease server", &phase.lease_server),
            short(lease_server_rate(phase, |counts| counts.messages() as f64)),
            short(lease_server_rate(phase, |counts| counts.bytes() as f64)),
            phase.busiest_lease_server_second(),
            short(work_per_message(phase)),
            phase.lease_server.resident_peak as f64 / 1e6
        ),
        format!(
            "{head}: instance {} messages, {} bytes a second (in {}, out {}), busiest second {} bytes; its lease holder {:.3} % of a core; {} of {} hold leases, {} lost them, for {:.2} s in all",
            short(instance_rate(phase, |counts| counts.messages() as f64)),
            short(instance_rate(phase, |counts| counts.bytes() as f64)),
            short(instance_rate(phase, |counts| counts.bytes_in as f64)),
            short(instance_rate(phase, |counts| counts.bytes_out as f64)),
            phase.busiest_instance_second(),
            100.0 * lease_holder_core(phase),
            phase.holding_leases,
            phase.alive,
            counts.lease_expiries,
            counts.without_lease_us as f64 / 1e6
        ),
        format!(
            "{head}: lease grant {} ms at p50, {} at p99, {} at most; queue {} at most, {} messages dropped, {} links broken",
            short(lease_latency_ms(phase, 0.5)),
            short(lease_latency_ms(phase, 0.99)),
            short(counts.lease_latency.max() as f64 / 1e3),
            counts.max_queue,
            counts.dropped_messages,
            counts.broken
        ),
        format!(
            "{}; {} of {} requests answered 200, {:.1} s with requests that were not",
            role("sidecar", &phase.sidecar),
            served_requests.succeeded,
            served_requests.requests,
            served_requests.unserved_s
        ),
        format!(
            "{}; {} of {} timers late, {:.3} s at most",
            role("harness", &phase.harness),
            phase.late_timers,
            phase.timers_fired,
            phase.max_timer_delay_s
        ),
    ];
    if let Some(propagation) = &phase.propagation {
        let (told, completed) = (propagation.announcements, propagation.completed());
        let at = |part: usize| {
            propagation.after_s.get(part).map_or("never".into(), |after| format!("{after:.3} s"))
        };
        let how = format!(
            "{told} announcements, {completed} of them reached all instances before the next one: in {} at the median, {} at most; \
             {} of {} instances had not learned the last one",
            at(completed / 2),
            at(completed.saturating_sub(1)),
            propagation.missing,
            propagation.listeners
        );
        lines.push(format!("{head}: {how}"));
    }
    lines
}

fn role_json(role: &RoleUsage) -> Value {
    json!({
        "core": role.cpu, "core_busiest": role.cpu_most, "resident_bytes": role.resident,
        "resident_peak_all": role.resident_peak, "descriptors": role.descriptors,
    })
}

/// The JSON objects of a step, one for each phase.
pub fn objects(step: &StepReport) -> Vec<Value> {
    let object = |phase: &PhaseReport| {
        let (counts, is_conclusive) = (&phase.counts, phase.is_conclusive());
        let mut object = json!({
            "instances": step.instances, "phase": phase.name, "length_s": phase.length_s, "sound": is_conclusive,
            "operator_bytes": step.operator_bytes, "answers_s": step.answering_after_s, "serves_s": step.serving_after_s,
            "acting_s": step.all_leases_s, "broken_off": phase.aborted, "turns": phase.timers_fired, "late": phase.late_timers,
            "latest_s": phase.max_timer_delay_s, "alive": phase.alive, "acted": phase.held_leases, "acting": phase.holding_leases,
            "resident_peak_real": phase.lease_server.resident_peak,
        });
        if is_conclusive {
            let figures: serde_json::Map<String, Value> =
                FIGURES.iter().map(|figure| (figure.name.into(), json!((figure.value)(phase)))).collect();
            let messages = phase.total_messages();
            object["figures"] = figures.into();
            object["said"] = json!({
                "words_in": messages.messages_in, "words_out": messages.messages_out,
                "bytes_in": messages.bytes_in, "bytes_out": messages.bytes_out,
            });
            object["keeper"] = role_json(&phase.lease_server);
            object["sidecar"] = role_json(&phase.sidecar);
            object["rig"] = role_json(&phase.harness);
            object["lapses"] = json!(counts.lease_expiries);
            object["unsure_s"] = json!(counts.without_lease_us as f64 / 1e6);
            object["queue_longest"] = json!(counts.max_queue);
            object["words_lost"] = json!(counts.dropped_messages);
            object["links_broken"] = json!(counts.broken);
            object["answer_ms_most"] = json!(counts.lease_latency.max() as f64 / 1e3);
            object["calls"] = json!(phase.served_requests.requests);
            object["calls_200"] = json!(phase.served_requests.succeeded);
            object["dismissed_s"] = json!(phase.served_requests.unserved_s);
            if let Some(propagation) = &phase.propagation {
                object["told"] = json!(propagation.announcements);
                object["listeners"] = json!(propagation.listeners);
                object["not_heard"] = json!(propagation.missing);
                object["heard_s"] = json!(propagation.after_s);
            }
        }
        object
    };
    step.phases.iter().map(object).collect()
}

/// How one figure of one phase grows with the number of instances.
pub struct Slope {
    /// The phase.
    pub phase: &'static str,
    /// The figure.
    pub figure: &'static str,
    /// The fit of a power law.
    pub power: Fit,
    /// The fit of a line: a constant part, and a part for each instance.
    pub linear: Fit,
    /// The number of instances for which the figure is predicted.
    pub size: usize,
    /// Whether that is beyond the largest step.
    pub beyond: bool,
    /// The prediction by the power law.
    pub by_power: Estimate,
    /// The prediction by the line.
    pub by_line: Estimate,
}

/// The growth of all figures of phases that have figures in at least three steps.
pub fn slopes(steps: &[StepReport], size: usize) -> Vec<Slope> {
    let mut names: Vec<&'static str> = Vec::new();
    for phase in steps.iter().flat_map(|step| &step.phases) {
        if !names.contains(&phase.name) {
            names.push(phase.name);
        }
    }
    let is_conclusive: Vec<(f64, &PhaseReport)> = steps
        .iter()
        .flat_map(|step| step.phases.iter().map(|phase| (step.instances as f64, phase)))
        .filter(|(_, phase)| phase.is_conclusive())
        .collect();
    let mut slopes = Vec::new();
    for name in names {
        for figure in &FIGURES {
            let own = is_conclusive.iter().filter(|(_, phase)| phase.name == name);
            let points: Vec<(f64, f64)> = own.map(|(size, phase)| (*size, (figure.value)(phase))).collect();
            let last = points.iter().map(|(size, _)| *size).fold(0.0, f64::max);
            if let Some((power, linear)) = Fit::power(&points).zip(Fit::linear(&points)) {
                slopes.push(Slope {
                    phase: name,
                    figure: figure.name,
                    power,
                    linear,
                    size,
                    beyond: size as f64 > last,
                    by_power: power.power_at(size as f64),
                    by_line: linear.at(size as f64),
                });
            }
        }
    }
    slopes
}

impl Slope {
    /// As a text line.
    pub fn text(&self) -> String {
        let Slope { power, linear, .. } = self;
        let reckoned = |reckoned: &Estimate| {
            format!("{} ({} to {})", short(reckoned.value), short(reckoned.low), short(reckoned.high))
        };
        format!(
            "{}: {}: power {:.2} +- {:.2}, line {} and {:.3e} +- {:.1e} an instance, over {} steps; {} at {}: {} by the power, {} by the line",
            self.phase,
            self.figure,
            power.slope,
            power.slope_error,
            short(linear.intercept),
            linear.slope,
            linear.slope_error,
            power.points,
            if self.beyond { "reckoned" } else { "fitted" },
            self.size,
            reckoned(&self.by_power),
            reckoned(&self.by_line)
        )
    }

    /// As a JSON object.
    pub fn object(&self) -> Value {
        let reckoned = |reckoned: &Estimate| json!([reckoned.value, reckoned.low, reckoned.high]);
        json!({
            "phase": self.phase, "figure": self.figure, "steps": self.power.points,
            "power": self.power.slope, "power_error": self.power.slope_error,
            "line_at_0": self.linear.intercept, "line": self.linear.slope, "line_error": self.linear.slope_error,
            "size": self.size, "reckoned": self.beyond,
            "by_power": reckoned(&self.by_power), "by_line": reckoned(&self.by_line),
        })
    }
}
