//! The text of `GET /metrics`: every rule and reason has a line from the start, and counts and gauges appear in it.
use oakhollow::types::{Micros, Outcome};
use oakhollow_guard::{CloseReason, Denial, Rule};
use oakhollow_sidecar::metrics::{
    AttemptKind, EndpointCounts, GaugeValues, ListRequestOutcome, Metrics, RefusalReason, SystemCall,
};

#[test]
fn every_rule_and_reason_has_a_line_from_the_start_and_is_counted() {
    let metrics = Metrics::new();
    let text = metrics.render(GaugeValues::default());
    for rule in Rule::ALL {
        assert!(
            text.contains(&format!("oakhollow_violations_total{{rule=\"{}\"}} 0\n", rule.name())),
            "{text}"
        );
    }
    for reason in CloseReason::ALL {
        let line = format!("oakhollow_connections_closed_total{{reason=\"{}\"}} 0\n", reason.name());
        assert!(text.contains(&line), "{text}");
    }
    assert!(text.contains("oakhollow_list_age_milliseconds -1\n"), "{text}");

    metrics.count_violation(Rule::RetryBudget);
    metrics.count_closed_connection(CloseReason::Evicted);
    metrics.count_refusal(RefusalReason::NoLease);
    metrics.count_refusal(RefusalReason::ListStale);
    metrics.count_denial(Denial::OutOfTime);
    metrics.count_denial(Denial::ListStale);
    metrics.count_list_request(ListRequestOutcome::Rejected);
    metrics.count_stale_list();
    metrics.count_attempt(AttemptKind::Hedge, Outcome::Broken);
    metrics.count_system_error(SystemCall::Accept, &std::io::Error::from_raw_os_error(24));
    metrics.requests("view", "served").inc();
    metrics.observe_latency(Micros::millis(30));
    metrics.set_retry_budget_used(3);
    let text = metrics.render(GaugeValues {
        requests: 2,
        connections: 5,
        endpoints: EndpointCounts { ready: 7, draining: 1, maintenance: 1 },
        list_age: Some(Micros::millis(1_200)),
        watch_open: true,
    });
    let lines = [
        "oakhollow_violations_total{rule=\"retry_budget\"} 1",
        "oakhollow_connections_closed_total{reason=\"evicted\"} 1",
        "oakhollow_refusals_total{reason=\"no_lease\"} 1",
        "oakhollow_refusals_total{reason=\"list_stale\"} 1",
        "oakhollow_attempt_denials_total{reason=\"out_of_time\"} 1",
        "oakhollow_attempt_denials_total{reason=\"list_stale\"} 1",
        "oakhollow_list_calls_total{outcome=\"rejected\"} 1",
        "oakhollow_list_calls_total{outcome=\"told\"} 0",
        "oakhollow_list_stale_total 1",
        "oakhollow_attempts_total{kind=\"hedge\",outcome=\"reset\"} 1",
        "oakhollow_system_errors_total{call=\"accept\",errno=\"24\"} 1",
        "oakhollow_requests_total{class=\"view\",outcome=\"served\"} 1",
        "oakhollow_request_seconds_bucket{le=\"0.05\"} 1",
        "oakhollow_retry_budget_used 3",
        "oakhollow_open_requests 2",
        "oakhollow_client_connections 5",
        "oakhollow_servers{state=\"ready\"} 7",
        "oakhollow_list_age_milliseconds 1200",
        "oakhollow_watch_open 1",
    ];
    for line in lines {
        assert!(text.lines().any(|rendered| rendered == line), "no {line} in {text}");
    }
}
