//! A wall clock that is stepped while the process runs, or before its start, decides nothing about which servers get
//! requests.
mod built_program;
mod fault_setup;

use fault_setup::{check_concurrently, Setup, SERVERS, WARM_UP};
use std::thread;
use std::time::Duration;

const HOUR_S: i64 = 3_600;
/// The least share of the requests that a warm server gets: half of its even share.
const LEAST_WARM_SHARE: f64 = 0.5 / SERVERS as f64;

/// Guards against a server that stays cold for the length of the step.
#[test]
fn a_server_that_restarts_while_the_wall_clock_is_stepped_is_warm_in_time() {
    check_concurrently([0, -HOUR_S, HOUR_S], |step_s| {
        let mut setup = Setup::start(0);
        setup.traffic_share(0, Duration::from_secs(1));
        setup.faults().step_clock(step_s).expect("stepped");
        setup.announce_restart(0);
        let cold = setup.traffic_share(0, Duration::from_millis(700));
        setup.traffic_share(0, WARM_UP);
        let warm = setup.traffic_share(0, Duration::from_secs(5));
        assert!(cold < 0.2, "{step_s} s: {cold:.2} of the requests in its first 0.7 s");
        assert!(
            warm > LEAST_WARM_SHARE,
            "{step_s} s: {warm:.2} after its slow start\n{}",
            setup.sidecar.log_text()
        );
    });
}

/// Guards against a server that an operator put back and that gets nothing, since its mark, its age or its start is
/// taken from a wall clock that was stepped.
#[test]
fn a_server_put_back_after_a_kill_and_a_step_of_the_clock_gets_requests_at_once() {
    check_concurrently([0, -HOUR_S, HOUR_S], |step_s| {
        let mut setup = Setup::start(0);
        setup.traffic_share(0, Duration::from_secs(1));
        assert_eq!(setup.console_put("/endpoints/s0/maint"), 200);
        thread::sleep(Duration::from_millis(300));
        setup.faults().step_clock(step_s).expect("stepped");
        setup.restart();
        assert_eq!(setup.traffic_share(0, Duration::from_secs(1)), 0.0, "{step_s} s: in maintenance");
        assert_eq!(setup.console_put("/endpoints/s0/ready"), 200);
        let share = setup.traffic_share(0, Duration::from_secs(3));
        assert!(share > 0.05, "{step_s} s: {share:.2} since it is back\n{}", setup.sidecar.log_text());
    });
}
