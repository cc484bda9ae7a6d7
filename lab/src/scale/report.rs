//! The report of a scale run: text lines for people, JSON lines for programs, and slopes over the steps.
//!
//! Printed words and JSON keys that differ from the code: a keeper is a lease server, a member a lease holder, a word a
//! message, a hollow instance a simulated one, the rig the harness; instances that act hold the leases of a majority.
use super::fit::{Fit, Prediction};
use super::run::{PhaseReport, RoleUsage, StepReport, MAX_LATE_SHARE};
use serde_json::{json, Value};

/// A figure of a phase through which slopes are fitted. The names are keys of the JSON output.
struct Figure {
    name: &'static str,
    value: fn(&PhaseReport) -> f64,
}

const FIGURES: [Figure; 11] = [
    Figure { name: "keeper, core", value: |phase| phase.lease_server.cpu },
    Figure { name: "keeper, microseconds of work a word", value: cpu_us_per_message },
    Figure { name: "keeper, resident MB", value: |phase| phase.lease_server.resident as f64 / 1e6 },
    Figure { name: "keeper, descriptors", value: |phase| phase.lease_server.descriptors as f64 },
    Figure {
        name: "keeper, bytes a second",
        value: |phase| lease_server_rate(phase, |traffic| traffic.bytes() as f64),
    },
    Figure {
        name: "keeper, bytes in its worst second",
        value: |phase| phase.max_lease_server_bytes() as f64,
    },
    Figure { name: "instance, core for the member alone", value: lease_holder_cpu },
    Figure {
        name: "instance, words a second",
        value: |phase| instance_rate(phase, |traffic| traffic.messages() as f64),
    },
    Figure {
        name: "instance, bytes a second",
        value: |phase| instance_rate(phase, |traffic| traffic.bytes() as f64),
    },
    Figure { name: "instance, bytes in its worst second", value: |phase| phase.max_instance_bytes() as f64 },
    Figure { name: "answer, ms at p99", value: |phase| grant_latency_ms(phase, 0.99) },
];

fn lease_server_rate(phase: &PhaseReport, value: fn(&super::count::TrafficCounts) -> f64) -> f64 {
    let lease_servers = phase.counts.seconds.first().map_or(1, |second| second.lease_servers.len());
    value(&phase.total_traffic()) / phase.length_s / lease_servers.max(1) as f64
}

fn instance_rate(phase: &PhaseReport, value: fn(&super::count::TrafficCounts) -> f64) -> f64 {
    value(&phase.total_traffic()) / phase.length_s / phase.alive.max(1) as f64
}

/// Processor time per message exchanged with simulated instances. Messages of the few real processes are not counted,
/// though their cost is.
fn cpu_us_per_message(phase: &PhaseReport) -> f64 {
    let messages = lease_server_rate(phase, |traffic| traffic.messages() as f64);
    phase.lease_server.cpu * 1e6 / messages.max(0.001)
}

/// Mean share of a core that the lease holder of one live instance uses, as counted by the harness threads.
fn lease_holder_cpu(phase: &PhaseReport) -> f64 {
    phase.counts.lease_holder_cpu_us as f64 / 1e6 / phase.length_s / phase.alive.max(1) as f64
}

fn grant_latency_ms(phase: &PhaseReport, quantile: f64) -> f64 {
    phase.counts.grant_latency.value_at_quantile(quantile) as f64 / 1e3
}

/// Formats a figure with about three significant digits.
fn format_figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.3}"),
    }
}

/// Describes a step in text lines.
pub fn step_text(step: &StepReport) -> Vec<String> {
    let mut lines = vec![format!(
        "{} instances: the operator's file has {} bytes; a real process answers after {:.2} s and serves after {:.2} s; \
         all hollow ones act after {:.2} s",
        step.instances, step.operator_bytes, step.time_to_answer_s, step.time_to_serve_s, step.time_to_leases_s
    )];
    step.phases.iter().for_each(|phase| lines.extend(phase_text(step.instances, phase)));
    lines
}

fn phase_text(instances: usize, phase: &PhaseReport) -> Vec<String> {
    let head = format!("  {instances} {} {:.0} s", phase.name, phase.length_s);
    if !phase.is_valid() {
        let late = phase.late_timers as f64 / phase.timers_handled.max(1) as f64;
        let reason = phase.aborted.clone().unwrap_or_else(|| {
            format!("{:.1} % of the rig's turns came late, {:.3} s at most", 100.0 * late, phase.max_delay_s)
        });
        let (lease_servers, harness) =
            (phase.lease_server.peak_resident as f64 / 1e6, phase.harness.resident as f64 / 1e6);
        let limit = MAX_LATE_SHARE * 100.0;
        return vec![format!(
            "{head}: no figure: {reason} (over {limit} % late is too much); real processes had {lease_servers:.0} MB at most, \
             the rig {harness:.0} MB; {} of {} act; the rig's threads had {:.1} core-seconds, of which the members took {:.1}",
            phase.with_lease,
            phase.alive,
            phase.harness.cpu * phase.length_s,
            phase.counts.lease_holder_cpu_us as f64 / 1e6
        )];
    }
    let role = |name: &str, role: &RoleUsage| {
        format!(
            "{head}: {name} {:.2} % of a core (busiest {:.2} %), {:.1} MB, {} descriptors",
            100.0 * role.cpu,
            100.0 * role.cpu_max,
            role.resident as f64 / 1e6,
            role.descriptors
        )
    };
    let (counts, requests) = (&phase.counts, &phase.requests);
    let mut lines = vec![
        format!(
            "{}; {} words and {} bytes a second, {} bytes in its worst; {} us of work a word; all real ones {:.0} MB at most",
            role("keeper", &phase.lease_server),
            format_figure(lease_server_rate(phase, |traffic| traffic.messages() as f64)),
            format_figure(lease_server_rate(phase, |traffic| traffic.bytes() as f64)),
            phase.max_lease_server_bytes(),
            format_figure(cpu_us_per_message(phase)),
            phase.lease_server.peak_resident as f64 / 1e6
        ),
        format!(
            "{head}: instance {} words, {} bytes a second (in {}, out {}), worst second {} bytes; its member {:.3} % of a core; {} of {} act, {} lapses, unsure {:.2} s in all",
            format_figure(instance_rate(phase, |traffic| traffic.messages() as f64)),
            format_figure(instance_rate(phase, |traffic| traffic.bytes() as f64)),
            format_figure(instance_rate(phase, |traffic| traffic.bytes_in as f64)),
            format_figure(instance_rate(phase, |traffic| traffic.bytes_out as f64)),
            phase.max_instance_bytes(),
            100.0 * lease_holder_cpu(phase),
            phase.with_lease,
            phase.alive,
            counts.lease_expiries,
            counts.without_lease_us as f64 / 1e6
        ),
        format!(
            "{head}: answer {} ms at p50, {} at p99, {} at most; queue {} at most, {} words lost, {} links broken",
            format_figure(grant_latency_ms(phase, 0.5)),
            format_figure(grant_latency_ms(phase, 0.99)),
            format_figure(counts.grant_latency.max() as f64 / 1e3),
            counts.max_queue_len,
            counts.dropped_messages,
            counts.broken_links
        ),
        format!(
            "{}; {} of {} calls answered 200, {:.1} s of dismissals",
            role("sidecar", &phase.sidecar),
            requests.succeeded,
            requests.requests,
            requests.refused_s
        ),
        format!(
            "{}; {} of {} turns late, {:.3} s at most",
            role("rig", &phase.harness),
            phase.late_timers,
            phase.timers_handled,
            phase.max_delay_s
        ),
    ];
    if let Some(propagation) = &phase.propagation {
        let (changes, completed) = (propagation.changes, propagation.completed());
        let delay_text = |part: usize| {
            propagation.delays_s.get(part).map_or("never".into(), |delay| format!("{delay:.3} s"))
        };
        let propagation_text = format!(
            "told {changes} times, came {completed} times to all who are to hear it while that could be seen: in {} at the middle, {} at most; \
             at last {} of {} had not heard it",
            delay_text(completed / 2),
            delay_text(completed.saturating_sub(1)),
            propagation.missing,
            propagation.recipients
        );
        lines.push(format!("{head}: {propagation_text}"));
    }
    lines
}

fn role_json(role: &RoleUsage) -> Value {
    json!({
        "core": role.cpu, "core_busiest": role.cpu_max, "resident_bytes": role.resident,
        "resident_peak_all": role.peak_resident, "descriptors": role.descriptors,
    })
}

/// Describes a step as JSON, with an object for each phase.
pub fn step_json(step: &StepReport) -> Vec<Value> {
    let object = |phase: &PhaseReport| {
        let (counts, valid) = (&phase.counts, phase.is_valid());
        let mut object = json!({
            "instances": step.instances, "phase": phase.name, "length_s": phase.length_s, "sound": valid,
            "operator_bytes": step.operator_bytes, "answers_s": step.time_to_answer_s, "serves_s": step.time_to_serve_s,
            "acting_s": step.time_to_leases_s, "broken_off": phase.aborted, "turns": phase.timers_handled, "late": phase.late_timers,
            "latest_s": phase.max_delay_s, "alive": phase.alive, "acted": phase.had_lease, "acting": phase.with_lease,
            "resident_peak_real": phase.lease_server.peak_resident,
        });
        if valid {
            let figures: serde_json::Map<String, Value> =
                FIGURES.iter().map(|figure| (figure.name.into(), json!((figure.value)(phase)))).collect();
            let traffic = phase.total_traffic();
            object["figures"] = figures.into();
            object["said"] = json!({
                "words_in": traffic.messages_in, "words_out": traffic.messages_out,
                "bytes_in": traffic.bytes_in, "bytes_out": traffic.bytes_out,
            });
            object["keeper"] = role_json(&phase.lease_server);
            object["sidecar"] = role_json(&phase.sidecar);
            object["rig"] = role_json(&phase.harness);
            object["lapses"] = json!(counts.lease_expiries);
            object["unsure_s"] = json!(counts.without_lease_us as f64 / 1e6);
            object["queue_longest"] = json!(counts.max_queue_len);
            object["words_lost"] = json!(counts.dropped_messages);
            object["links_broken"] = json!(counts.broken_links);
            object["answer_ms_most"] = json!(counts.grant_latency.max() as f64 / 1e3);
            object["calls"] = json!(phase.requests.requests);
            object["calls_200"] = json!(phase.requests.succeeded);
            object["dismissed_s"] = json!(phase.requests.refused_s);
            if let Some(propagation) = &phase.propagation {
                object["told"] = json!(propagation.changes);
                object["listeners"] = json!(propagation.recipients);
                object["not_heard"] = json!(propagation.missing);
                object["heard_s"] = json!(propagation.delays_s);
            }
        }
        object
    };
    step.phases.iter().map(object).collect()
}

/// How one figure of one phase grows with the number of instances.
pub struct Slope {
    pub phase: &'static str,
    pub figure: &'static str,
    /// A fit through the logarithms, and one through the figures themselves: a constant part and a part per instance.
    pub power: Fit,
    pub linear: Fit,
    /// The requested size, whether it exceeds that of the largest step, and what each fit predicts for it.
    pub size: usize,
    pub is_extrapolated: bool,
    pub by_power: Prediction,
    pub by_line: Prediction,
}

/// Fits slopes for phases that gave figures at three steps or more.
pub fn slopes(steps: &[StepReport], size: usize) -> Vec<Slope> {
    let mut names: Vec<&'static str> = Vec::new();
    for phase in steps.iter().flat_map(|step| &step.phases) {
        if !names.contains(&phase.name) {
            names.push(phase.name);
        }
    }
    let valid_phases: Vec<(f64, &PhaseReport)> = steps
        .iter()
        .flat_map(|step| step.phases.iter().map(|phase| (step.instances as f64, phase)))
        .filter(|(_, phase)| phase.is_valid())
        .collect();
    let mut slopes = Vec::new();
    for name in names {
        for figure in &FIGURES {
            let phase_figures = valid_phases.iter().filter(|(_, phase)| phase.name == name);
            let points: Vec<(f64, f64)> =
                phase_figures.map(|(size, phase)| (*size, (figure.value)(phase))).collect();
            let largest_size = points.iter().map(|(size, _)| *size).fold(0.0, f64::max);
            if let Some((power, linear)) = Fit::power(&points).zip(Fit::linear(&points)) {
                slopes.push(Slope {
                    phase: name,
                    figure: figure.name,
                    power,
                    linear,
                    size,
                    is_extrapolated: size as f64 > largest_size,
                    by_power: power.predict_power(size as f64),
                    by_line: linear.predict(size as f64),
                });
            }
        }
    }
    slopes
}

impl Slope {
    pub fn text(&self) -> String {
        let Slope { power, linear, .. } = self;
        let prediction = |prediction: &Prediction| {
            format!(
                "{} ({} to {})",
                format_figure(prediction.value),
                format_figure(prediction.low),
                format_figure(prediction.high)
            )
        };
        format!(
            "{}: {}: power {:.2} +- {:.2}, line {} and {:.3e} +- {:.1e} an instance, over {} steps; {} at {}: {} by the power, {} by the line",
            self.phase,
            self.figure,
            power.slope,
            power.slope_error,
            format_figure(linear.intercept),
            linear.slope,
            linear.slope_error,
            power.points,
            if self.is_extrapolated { "reckoned" } else { "fitted" },
            self.size,
            prediction(&self.by_power),
            prediction(&self.by_line)
        )
    }

    pub fn object(&self) -> Value {
        let prediction = |prediction: &Prediction| json!([prediction.value, prediction.low, prediction.high]);
        json!({
            "phase": self.phase, "figure": self.figure, "steps": self.power.points,
            "power": self.power.slope, "power_error": self.power.slope_error,
            "line_at_0": self.linear.intercept, "line": self.linear.slope, "line_error": self.linear.slope_error,
            "size": self.size, "reckoned": self.is_extrapolated,
            "by_power": prediction(&self.by_power), "by_line": prediction(&self.by_line),
        })
    }
}
