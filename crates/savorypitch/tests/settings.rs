//! Invalid settings and failed calls are reported with a hint and the documented exit code.

use std::process::Command;
use std::process::Output;

fn run_savorypitch(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_savorypitch"))
        .args(args)
        .env_remove("SAVORYPITCH_KEY")
        .env_remove("SAVORYPITCH_NODE")
        .output()
        .unwrap()
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let output = run_savorypitch(&[
        "serve",
        "--node-id=a b",
        "--listen=here",
        "--platform=10.0.0.1",
        "--poll-interval-ms=0",
        "--stop-grace-ms=soon",
        "--caller-connections-max=0",
        "--caller-memory-max-bytes=1000",
        "--admin-connections-max=many",
        "--platform-reply-max-bytes=1",
        "--operator-key=short",
        "--peer-listen=127.0.0.1:7802",
        "--cluster-secret=short",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for expected in [
        "--node-id (SAVORYPITCH_NODE_ID)",
        "--listen (SAVORYPITCH_LISTEN)",
        "--platform (SAVORYPITCH_PLATFORM)",
        "--poll-interval-ms (SAVORYPITCH_POLL_INTERVAL_MS)",
        "--stop-grace-ms (SAVORYPITCH_STOP_GRACE_MS)",
        "--caller-connections-max (SAVORYPITCH_CALLER_CONNECTIONS_MAX)",
        "--caller-memory-max-bytes (SAVORYPITCH_CALLER_MEMORY_MAX_BYTES)",
        "--admin-connections-max (SAVORYPITCH_ADMIN_CONNECTIONS_MAX)",
        "--platform-reply-max-bytes (SAVORYPITCH_PLATFORM_REPLY_MAX_BYTES)",
        "--operator-key (SAVORYPITCH_OPERATOR_KEY)",
        "--peers (SAVORYPITCH_PEERS)",
        "--cluster-secret (SAVORYPITCH_CLUSTER_SECRET)",
        "12 finding(s)",
    ] {
        assert!(text.contains(expected), "{expected} is missing in:\n{text}");
    }
    assert_eq!(text.matches("hint: ").count(), 12);
}

#[test]
fn unreachable_node_has_its_own_exit_code_and_a_hint() {
    // Port 1 on loopback refuses connections.
    let output = run_savorypitch(&["--node=127.0.0.1:1", "status"]);
    assert_eq!(output.status.code(), Some(4));
    assert!(String::from_utf8(output.stderr).unwrap().contains("hint: is it running?"));
}

#[test]
fn missing_contract_file_exits_with_code_two() {
    let output = run_savorypitch(&["contract", "check", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("no-such-file.toml"));
}

#[test]
fn completions_are_printed_for_a_shell() {
    let output = run_savorypitch(&["completions", "bash"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8(output.stdout).unwrap().contains("_savorypitch"));
}
