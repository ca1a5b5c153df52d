//! Size of the target fleet, to which `capacity` extrapolates the fitted series.

/// Number of nodes that callers connect to.
pub const NODES: f64 = 64.0;
/// Number of nodes of one cell, whose members send heartbeats to each other.
pub const CELL_NODES: f64 = 8.0;
/// Number of hosts, with one worker each.
pub const HOSTS: f64 = 1_600.0;
/// Number of teams.
pub const TEAMS: f64 = 520.0;

/// A row of the table of the target fleet.
pub struct Target {
    /// Name of the series, as the benchmarks print it.
    pub series: &'static str,
    /// What the value grows with.
    pub grows_with: &'static str,
    /// Size of the target fleet for this series.
    pub size: f64,
    /// Part of a node or of the fleet that has this cost.
    pub role: &'static str,
    /// Mechanism that limits the cost.
    pub mechanism: &'static str,
}

/// Rows of the table, in the order of docs/CAPACITY.md.
pub const TARGETS: &[Target] = &[
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
        mechanism: "change rows; a snapshot shares its strings with the last, and its digest is checked",
    },
    Target {
        series: "config-rows-bytes",
        grows_with: "hosts",
        size: HOSTS,
        role: "configuration follower",
        mechanism: "read whole only by a cold node; else the changed rows",
    },
    Target {
        series: "config-held-bytes",
        grows_with: "hosts",
        size: HOSTS,
        role: "configuration follower",
        mechanism: "one snapshot a node, replaced as a whole",
    },
    Target {
        series: "config-duties-us",
        grows_with: "hosts",
        size: HOSTS,
        role: "duty keeper",
        mechanism: "one hash a duty and live node, every two seconds",
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
    Target {
        series: "membership-sent-bytes",
        grows_with: "nodes, without cells",
        size: NODES,
        role: "membership",
        mechanism: "none: what one mesh of all nodes would cost",
    },
    Target {
        series: "ledger-writes-per-s-by-nodes",
        grows_with: "nodes",
        size: NODES,
        role: "ledger, whole fleet",
        mechanism: "looks at a fixed rate over all nodes; 64 rows a transaction",
    },
    Target {
        series: "ledger-reads-per-s-by-nodes",
        grows_with: "nodes",
        size: NODES,
        role: "ledger, whole fleet",
        mechanism: "a log that each node follows",
    },
    Target {
        series: "ledger-writes-per-s-by-hosts",
        grows_with: "hosts, 8 nodes",
        size: HOSTS,
        role: "ledger, whole fleet",
        mechanism: "hysteresis; small limits on few nodes",
    },
    Target {
        series: "ledger-node-bytes-per-s-by-hosts",
        grows_with: "hosts, 8 nodes",
        size: HOSTS,
        role: "ledger, a node",
        mechanism: "log rows with changed holdings only",
    },
    Target {
        series: "ledger-node-cpu-us-per-s-by-hosts",
        grows_with: "hosts, 8 nodes",
        size: HOSTS,
        role: "ledger, a node",
        mechanism: "sorted rows; only what changed is looked at",
    },
    Target {
        series: "ledger-node-cpu-us-per-s-by-teams",
        grows_with: "teams, 8 nodes",
        size: TEAMS,
        role: "ledger, a node",
        mechanism: "sorted rows; only what changed is looked at",
    },
    Target {
        series: "reclaim-ms",
        grows_with: "hosts",
        size: HOSTS,
        role: "ledger, after a take-over",
        mechanism: "64 rows a transaction, one node for each gone run",
    },
    Target {
        series: "shares.request_us",
        grows_with: "teams",
        size: TEAMS,
        role: "queue of a service",
        mechanism: "virtual times; cost of one request through the queue",
    },
    Target {
        series: "placement.decision_p99_us",
        grows_with: "hosts",
        size: HOSTS,
        role: "placement of a pool",
        mechanism: "workers sorted by free capacity",
    },
    Target {
        series: "maintenance.step.start_us",
        grows_with: "hosts",
        size: HOSTS,
        role: "maintenance, all pools",
        mechanism: "hosts of a service are looked up once a step",
    },
    Target {
        series: "maintenance.step.blocked_us",
        grows_with: "hosts",
        size: HOSTS,
        role: "maintenance, all pools",
        mechanism: "the same, with every budget used up",
    },
];
