//! Sizes of the target, and what each fitted series is extrapolated to.

/// Entry nodes that the target is worked out for.
pub const NODES: f64 = 64.0;
/// Nodes of one cell, whose members send heartbeats to each other.
pub const CELL_NODES: f64 = 8.0;
/// Hosts: 1,600 workers.
pub const HOSTS: f64 = 1_600.0;
/// Pools.
pub const POOLS: f64 = 187.0;
/// Teams.
pub const TEAMS: f64 = 520.0;

/// A series and the size that it reaches at the target.
pub struct Target {
    /// Series, as the benches print it.
    pub series: &'static str,
    /// What the series grows with.
    pub grows_with: &'static str,
    /// Size at the target.
    pub size: f64,
    /// Role that spends it.
    pub role: &'static str,
    /// Mechanism that keeps it small.
    pub mechanism: &'static str,
}

/// All series of the page.
pub const TARGETS: [Target; 8] = [
    Target {
        series: "config-admit-us",
        grows_with: "hosts",
        size: HOSTS,
        role: "gateway",
        mechanism: "binary search in sorted vectors",
    },
    Target {
        series: "config-change-us",
        grows_with: "hosts",
        size: HOSTS,
        role: "configuration follower",
        mechanism: "change rows; a snapshot shares its strings with the last",
    },
    Target {
        series: "config-duties-us",
        grows_with: "hosts",
        size: HOSTS,
        role: "duty keeper",
        mechanism: "one hash a duty and live node, every two seconds",
    },
    Target {
        series: "config-rows-bytes",
        grows_with: "hosts",
        size: HOSTS,
        role: "table",
        mechanism: "a row a host, team list and key; read whole only by a cold node",
    },
    Target {
        series: "config-held-bytes",
        grows_with: "hosts",
        size: HOSTS,
        role: "configuration follower",
        mechanism: "one snapshot a node, replaced as a whole",
    },
    Target {
        series: "membership-sent-bytes",
        grows_with: "nodes of a cell",
        size: CELL_NODES,
        role: "membership",
        mechanism: "changed counts only; a full mesh within a cell",
    },
    Target {
        series: "membership-cpu-us",
        grows_with: "nodes of a cell",
        size: CELL_NODES,
        role: "membership",
        mechanism: "one heartbeat and one answer a peer and round",
    },
    Target {
        series: "membership-held-bytes",
        grows_with: "nodes of a cell",
        size: CELL_NODES,
        role: "membership",
        mechanism: "one entry and one connection each way a peer",
    },
];
