//! Checks the settings of a node and reports all findings together.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use gateway::GatewaySettings;
use model::Diagnostics;
use model::SourceLocation;
use model::key::hash_key;
use node::Peering;
use node::Settings;

use super::peers;
use crate::args::Given;
use crate::args::ServeArgs;

/// Shortest operator's key, in bytes.
const OPERATOR_KEY_MIN_BYTES: usize = 16;
/// Longest time that a setting may name, in milliseconds: one day.
const TIME_MAX_MS: u64 = 86_400_000;

/// Settings of the process.
pub struct Checked {
    /// Settings of the node.
    pub node: Settings,
    /// Address of the platform, if one is set.
    pub platform: Option<SocketAddr>,
    /// Longest time of a call to the platform.
    pub platform_timeout: Duration,
    /// Time between failing readiness and closing the listener.
    pub stop_notice: Duration,
    /// Longest time that running requests may take at a stop.
    pub stop_grace: Duration,
}

/// Reads settings and collects findings.
pub struct Reader {
    /// What was found so far.
    pub diagnostics: Diagnostics,
}

/// Settings of `serve`, or all findings.
pub fn check(args: &ServeArgs) -> Result<Checked, Diagnostics> {
    let mut reader = Reader { diagnostics: Diagnostics::default() };
    reader.name("--node-id", &args.node_id);
    reader.name("--zone", &args.zone);
    if args.operator_key.as_ref().is_some_and(|key| key.len() < OPERATOR_KEY_MIN_BYTES) {
        let hint = format!("use at least {OPERATOR_KEY_MIN_BYTES} random characters");
        reader.find("--operator-key", "the key is too short", hint);
    }
    let peering = peers::check(args, &mut reader);
    let checked = Checked {
        platform: reader.optional_address("--platform", args.platform.as_ref()),
        platform_timeout: reader.time("--platform-timeout-ms", &args.platform_timeout_ms, 1),
        stop_notice: reader.time("--stop-notice-ms", &args.stop_notice_ms, 0),
        stop_grace: reader.time("--stop-grace-ms", &args.stop_grace_ms, 0),
        node: node_settings(args, peering, &mut reader),
    };
    reader.diagnostics.into_result(checked)
}

fn node_settings(args: &ServeArgs, peering: Option<Peering>, reader: &mut Reader) -> Settings {
    let gateway = GatewaySettings {
        connect_timeout: reader.time("--connect-timeout-ms", &args.connect_timeout_ms, 1),
        request_timeout: reader.time("--request-timeout-ms", &args.request_timeout_ms, 1),
        body_max_bytes: reader.count("--body-max-bytes", &args.body_max_bytes, 1),
        cluster_secret: peering.as_ref().map(Peering::forward_key),
        ..GatewaySettings::default()
    };
    Settings {
        node: args.node_id.as_str().into(),
        zone: args.zone.as_str().into(),
        caller_address: reader.address("--listen", &args.listen),
        admin_address: reader.address("--admin-listen", &args.admin_listen),
        operator_key_hash: args.operator_key.as_deref().map(hash_key),
        peering,
        node_count: reader.count("--node-count", &args.node_count, 1),
        poll_interval: reader.time("--poll-interval-ms", &args.poll_interval_ms, 1),
        metrics_address: reader.optional_address("--metrics", args.metrics.as_ref()),
        gateway,
    }
}

impl Reader {
    /// Reports what is wrong with the setting `flag`.
    pub fn find(&mut self, flag: &str, message: impl Into<String>, hint: impl Into<String>) {
        let variable = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
        self.diagnostics.push(
            SourceLocation::setting(&format!("{flag} (SAVORYPITCH_{variable})")),
            message,
            hint,
        );
    }

    /// An address with a port.
    pub fn address(&mut self, flag: &str, given: &Given<SocketAddr>) -> SocketAddr {
        let hint = "write an IP number and a port, as in 10.0.0.7:7800";
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.value(flag, given, hint).unwrap_or(unspecified)
    }

    /// An address with a port, if one is set.
    pub fn optional_address(
        &mut self,
        flag: &str,
        given: Option<&Given<SocketAddr>>,
    ) -> Option<SocketAddr> {
        given.map(|given| self.address(flag, given))
    }

    /// A time in milliseconds.
    pub fn time(&mut self, flag: &str, given: &Given<u64>, min_ms: u64) -> Duration {
        let hint = format!("write a number of milliseconds from {min_ms} to {TIME_MAX_MS}");
        let time_ms = self.value(flag, given, &hint).unwrap_or(min_ms);
        if !(min_ms..=TIME_MAX_MS).contains(&time_ms) {
            self.find(flag, format!("{time_ms} ms is out of range"), hint);
        }
        Duration::from_millis(time_ms)
    }

    /// A count of at least `min`.
    pub fn count<T>(&mut self, flag: &str, given: &Given<T>, min: T) -> T
    where
        T: Copy + FromStr + PartialOrd + std::fmt::Display,
    {
        let hint = format!("write a whole number of at least {min}");
        let count = self.value(flag, given, &hint).unwrap_or(min);
        if count < min {
            self.find(flag, format!("{count} is too small"), hint);
        }
        count
    }

    fn value<T: Clone>(&mut self, flag: &str, given: &Given<T>, hint: &str) -> Option<T> {
        match given {
            Given::Valid(value) => Some(value.clone()),
            Given::Malformed(text) => {
                self.find(flag, format!("`{text}` cannot be read"), hint);
                None
            }
        }
    }

    fn name(&mut self, flag: &str, name: &str) {
        let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(valid) {
            let message = format!("`{name}` is not a valid name");
            self.find(flag, message, "use letters, digits, `-`, `_` or `.`");
        }
    }
}
