//! Checks the settings of a node and reports all problems together.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use gateway::BudgetLimits;
use gateway::GatewaySettings;
use model::Diagnostics;
use model::SourceLocation;
use model::key::hash_key;
use node::Peering;
use node::Settings;

use super::peers;
use crate::args::ServeArgs;
use crate::args::SettingValue;

/// Minimum length of the operator's key, in bytes.
const OPERATOR_KEY_MIN_BYTES: usize = 16;
/// Largest value of a time setting, in milliseconds: one day.
const TIME_MAX_MS: u64 = 86_400_000;

/// Smallest memory for callers, in bytes: a few buffered bodies of the largest size.
const CALLER_MEMORY_MIN_BYTES: usize = 4 << 20;
/// Operators' calls get this part of the memory for callers, in addition.
const ADMIN_MEMORY_DIVISOR: usize = 2;
/// Smallest limit on the size of a reply of the platform, in bytes.
const PLATFORM_REPLY_MIN_BYTES: usize = 1 << 20;

/// Checked settings of `serve`.
pub struct ServeSettings {
    /// Settings of the node.
    pub node: Settings,
    /// Address of the platform's services; `None` keeps all state in memory.
    pub platform: Option<SocketAddr>,
    /// Timeout of a call to the platform.
    pub platform_timeout: Duration,
    /// Maximum size of a reply of the platform, in bytes.
    pub platform_reply_max_bytes: usize,
    /// Time at a stop between failing readiness and closing the listener.
    pub stop_notice: Duration,
    /// Longest time at a stop that running requests get to finish.
    pub stop_grace: Duration,
}

/// Reads settings and collects diagnostics about invalid ones.
pub struct SettingsReader {
    /// Diagnostics so far.
    pub diagnostics: Diagnostics,
}

/// Returns the settings of `serve`, or the diagnostics of all invalid ones.
pub fn check_settings(args: &ServeArgs) -> Result<ServeSettings, Diagnostics> {
    let mut reader = SettingsReader { diagnostics: Diagnostics::default() };
    reader.check_name("--node-id", &args.node_id);
    reader.check_name("--zone", &args.zone);
    if args.operator_key.as_ref().is_some_and(|key| key.len() < OPERATOR_KEY_MIN_BYTES) {
        let hint = format!("use at least {OPERATOR_KEY_MIN_BYTES} random characters");
        reader.add_diagnostic("--operator-key", "the key is too short", hint);
    }
    let peering = peers::check_peering(args, &mut reader);
    let settings = ServeSettings {
        platform: reader.read_optional_address("--platform", args.platform.as_ref()),
        platform_timeout: reader.read_duration(
            "--platform-timeout-ms",
            &args.platform_timeout_ms,
            1,
        ),
        platform_reply_max_bytes: reader.read_count(
            "--platform-reply-max-bytes",
            &args.platform_reply_max_bytes,
            PLATFORM_REPLY_MIN_BYTES,
        ),
        stop_notice: reader.read_duration("--stop-notice-ms", &args.stop_notice_ms, 0),
        stop_grace: reader.read_duration("--stop-grace-ms", &args.stop_grace_ms, 0),
        node: node_settings(args, peering, &mut reader),
    };
    reader.diagnostics.into_result(settings)
}

fn node_settings(
    args: &ServeArgs,
    peering: Option<Peering>,
    reader: &mut SettingsReader,
) -> Settings {
    let flag = "--caller-memory-max-bytes";
    let memory_max_bytes =
        reader.read_count(flag, &args.caller_memory_max_bytes, CALLER_MEMORY_MIN_BYTES);
    let callers_max = &args.caller_connections_max;
    let operators_max = &args.admin_connections_max;
    let gateway = GatewaySettings {
        caller_limits: BudgetLimits {
            connections_max: reader.read_count("--caller-connections-max", callers_max, 1),
            memory_max_bytes,
        },
        admin_limits: BudgetLimits {
            connections_max: reader.read_count("--admin-connections-max", operators_max, 1),
            memory_max_bytes: memory_max_bytes / ADMIN_MEMORY_DIVISOR,
        },
        connect_timeout: reader.read_duration("--connect-timeout-ms", &args.connect_timeout_ms, 1),
        request_timeout: reader.read_duration("--request-timeout-ms", &args.request_timeout_ms, 1),
        body_max_bytes: reader.read_count("--body-max-bytes", &args.body_max_bytes, 1),
        cluster_secret: peering.as_ref().map(Peering::forward_key),
        ..GatewaySettings::default()
    };
    Settings {
        node: args.node_id.as_str().into(),
        zone: args.zone.as_str().into(),
        caller_address: reader.read_address("--listen", &args.listen),
        admin_address: reader.read_address("--admin-listen", &args.admin_listen),
        operator_key_hash: args.operator_key.as_deref().map(hash_key),
        peering,
        node_count: reader.read_count("--node-count", &args.node_count, 1),
        poll_interval: reader.read_duration("--poll-interval-ms", &args.poll_interval_ms, 1),
        metrics_address: reader.read_optional_address("--metrics", args.metrics.as_ref()),
        gateway,
    }
}

impl SettingsReader {
    /// Adds a diagnostic about the setting `flag`, which is named with its environment variable.
    pub fn add_diagnostic(
        &mut self,
        flag: &str,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let variable = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
        self.diagnostics.push(
            SourceLocation::setting(&format!("{flag} (SAVORYPITCH_{variable})")),
            message,
            hint,
        );
    }

    /// Reads an address with a port.
    pub fn read_address(&mut self, flag: &str, value: &SettingValue<SocketAddr>) -> SocketAddr {
        let hint = "write an IP address and a port, as in 10.0.0.7:7800";
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.valid_value(flag, value, hint).unwrap_or(unspecified)
    }

    /// Reads an address with a port, if one is set.
    pub fn read_optional_address(
        &mut self,
        flag: &str,
        value: Option<&SettingValue<SocketAddr>>,
    ) -> Option<SocketAddr> {
        value.map(|value| self.read_address(flag, value))
    }

    /// Reads a time of at least `min_ms` milliseconds and at most one day.
    pub fn read_duration(
        &mut self,
        flag: &str,
        value: &SettingValue<u64>,
        min_ms: u64,
    ) -> Duration {
        let hint = format!("write a number of milliseconds from {min_ms} to {TIME_MAX_MS}");
        let time_ms = self.valid_value(flag, value, &hint).unwrap_or(min_ms);
        if !(min_ms..=TIME_MAX_MS).contains(&time_ms) {
            self.add_diagnostic(flag, format!("{time_ms} ms is out of range"), hint);
        }
        Duration::from_millis(time_ms)
    }

    /// Reads a whole number of at least `min`.
    pub fn read_count<T>(&mut self, flag: &str, value: &SettingValue<T>, min: T) -> T
    where
        T: Copy + FromStr + PartialOrd + std::fmt::Display,
    {
        let hint = format!("write a whole number of at least {min}");
        let count = self.valid_value(flag, value, &hint).unwrap_or(min);
        if count < min {
            self.add_diagnostic(flag, format!("{count} is too small"), hint);
        }
        count
    }

    fn valid_value<T: Clone>(
        &mut self,
        flag: &str,
        value: &SettingValue<T>,
        hint: &str,
    ) -> Option<T> {
        match value {
            SettingValue::Valid(value) => Some(value.clone()),
            SettingValue::Malformed(text) => {
                self.add_diagnostic(flag, format!("`{text}` is malformed"), hint);
                None
            }
        }
    }

    fn check_name(&mut self, flag: &str, name: &str) {
        let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(is_valid) {
            let message = format!("`{name}` is not a valid name");
            self.add_diagnostic(flag, message, "use only letters, digits, `-`, `_` and `.`");
        }
    }
}
