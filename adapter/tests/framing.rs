//! The adapter writes all replies of each complete batch, and ends with an error that names the fault on
//! malformed input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const INIT: &str = concat!(
    r#"{"what":"INIT","who":0,"init_seed":5,"env":{"me":0,"balancers":1,"bounds":{"most_hops":3,"cancel":true},"#,
    r#""discovery":"on_request","later":[1],"rules":{"ask_within_s":4,"cold_from":0.5,"fall_s":1,"warm_within_s":5},"#,
    r#""workloads":[{"quoted_time_s":1,"abandon_time_s":2,"payoff":1,"semantics":"read_like"}]}}"#
);

fn serve(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_oakhollow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that ended with an error no longer reads its input.
    let _ = adapter.stdin.take().expect("its input").write_all(input.as_bytes());
    adapter.wait_with_output().expect("the adapter ends")
}

fn assert_rejected(input: &str, fragments: &[&str]) {
    let output = serve(input);
    let error = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(!output.status.success(), "{input}");
    assert!(output.stdout.is_empty(), "an incomplete reply to {input}");
    assert!(fragments.iter().all(|fragment| error.contains(fragment)), "{error}");
}

#[test]
fn batches_get_all_their_replies() {
    let input = [
        r#"{"what":"CLOCK","t_s":8.5,"round":1}"#,
        INIT,
        r#"{"what":"INVENTORY","sheet":0,"items":[{"endpoint":"endpoint_a","hall":0,"availability":1,"odd":2}]}"#,
        r#"{"what":"TARGETS","who":0,"sheet":0,"stamp":1,"kind":2}"#,
        r#"{"what":"ORDER","who":0,"xid":9,"category":0,"expires_in_s":1.5}"#,
        r#"{"what":"COMMIT"}"#,
        r#"{"what":"CLOCK","t_s":8.6,"round":2}"#,
        r#"{"what":"FINISHED","who":0,"xid":9,"try":0,"wait_time_s":0.1,"complete":true,"outcome":"S"}"#,
        r#"{"what":"DESTROY","who":0}"#,
        INIT,
        r#"{"what":"COMMIT"}"#,
    ];
    let output = serve(&(input.join("\n") + "\n"));
    assert!(output.status.success());
    let replies = String::from_utf8(output.stdout).expect("text");
    assert!(
        replies.contains(r#"{"what":"TRY","who":0,"xid":9,"endpoint":"endpoint_a","give_up_after_s":1.5}"#)
    );
    assert_eq!(replies.matches(r#""SUBSCRIBE""#).count(), 2);
    assert_eq!(replies.matches(r#"{"what":"YIELD","#).count(), 2);
}

#[test]
fn malformed_input_is_rejected() {
    let clock = r#"{"what":"CLOCK","t_s":1,"round":1}"#;
    assert_rejected("not json\n", &["line 1"]);
    assert_rejected(&format!("{clock}\n{{\"what\":\"SPLASH\",\"who\":0}}\n"), &["line 2", "SPLASH"]);
    assert_rejected(&format!("{clock}\n{{\"what\":\"WAKE\",\"who\":0}}\n"), &["line 2", "cookie"]);
    assert_rejected(&format!("{clock}\n"), &["batch 1", "COMMIT"]);
    assert_rejected("{\"what\":\"COMMIT\"}\n", &["line 1", "CLOCK"]);
    assert_rejected(
        &format!("{clock}\n{{\"what\":\"WAKE\",\"who\":4,\"cookie\":3}}\n"),
        &["line 2", "who", "4"],
    );
    let targets = r#"{"what":"TARGETS","who":0,"sheet":3,"stamp":1,"kind":1}"#;
    assert_rejected(&format!("{clock}\n{INIT}\n{targets}\n"), &["line 3", "sheet", "3"]);
    let order = r#"{"what":"ORDER","who":0,"xid":9,"category":7,"expires_in_s":1}"#;
    assert_rejected(&format!("{clock}\n{INIT}\n{order}\n"), &["line 3", "category", "7"]);
    let init = INIT.replace(r#""most_hops":3"#, r#""most_hops":0"#);
    assert_rejected(&format!("{clock}\n{init}\n"), &["line 2: bounds.most_hops"]);
}
