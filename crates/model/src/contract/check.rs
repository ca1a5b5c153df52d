//! Checks that the names in a contract are unique and refer to something, and that limits are
//! valid.

use std::ops::Range;

use super::Access;
use super::Contract;

/// Byte ranges of the sections of a contract in its source text. Each list is parallel to the list
/// of the same name in [`Contract`].
#[derive(Default)]
pub struct Spans {
    /// Sections `[[services]]`.
    pub services: Vec<Range<usize>>,
    /// Sections `[[queues]]`.
    pub queues: Vec<Range<usize>>,
    /// Sections `[[teams]]`.
    pub teams: Vec<Range<usize>>,
    /// Sections `[[pools]]`.
    pub pools: Vec<Range<usize>>,
    /// Sections `[[hosts]]`.
    pub hosts: Vec<Range<usize>>,
}

/// Callback that receives the span, message and hint of a diagnostic.
pub type ReportDiagnostic<'a> = dyn FnMut(&Range<usize>, String, String) + 'a;

/// Reports each duplicate name, each reference to an undefined name, and each limit that would stop
/// all work.
pub fn check_contract(contract: &Contract, spans: &Spans, report: &mut ReportDiagnostic<'_>) {
    let services = contract.services.iter().map(|service| &*service.name);
    check_unique("service", services, &spans.services, report);
    let queues = contract.queues.iter().map(|queue| &*queue.name);
    check_unique("queue", queues, &spans.queues, report);
    let teams = contract.teams.iter().map(|team| &*team.name);
    check_unique("team", teams, &spans.teams, report);
    let pools = contract.pools.iter().map(|pool| &*pool.name);
    check_unique("pool", pools, &spans.pools, report);
    let hosts = contract.hosts.iter().map(|host| &*host.id);
    check_unique("host", hosts, &spans.hosts, report);
    check_queues(contract, spans, report);
    check_pools(contract, spans, report);
    check_hosts(contract, spans, report);
    check_teams(contract, spans, report);
}

fn check_unique<'a>(
    kind: &str,
    names: impl Iterator<Item = &'a str>,
    spans: &[Range<usize>],
    report: &mut ReportDiagnostic<'_>,
) {
    let mut previous = None;
    for (name, span) in names.zip(spans) {
        if previous == Some(name) && !name.is_empty() {
            report(span, format!("{kind} `{name}` stands twice"), "rename or remove one".into());
        }
        previous = Some(name);
    }
}

fn check_queues(contract: &Contract, spans: &Spans, report: &mut ReportDiagnostic<'_>) {
    for (queue, span) in contract.queues.iter().zip(&spans.queues) {
        if contract.service(&queue.service).is_none() {
            report(
                span,
                format!("queue `{}` names the unknown service `{}`", queue.name, queue.service),
                "add the service, or correct the name".into(),
            );
        }
        let referenced_teams = match &queue.access {
            Access::Open => queue.open_team.as_slice(),
            Access::Teams(teams) => teams.as_slice(),
        };
        for team in referenced_teams.iter().filter(|team| contract.team(team).is_none()) {
            report(
                span,
                format!("queue `{}` names the unknown team `{team}`", queue.name),
                "add the team, or correct the name".into(),
            );
        }
        if queue.access == Access::Open && queue.open_team.is_none() {
            report(
                span,
                format!("open queue `{}` has no `open_team`", queue.name),
                "name the team that work without a key counts for".into(),
            );
        }
    }
}

fn check_pools(contract: &Contract, spans: &Spans, report: &mut ReportDiagnostic<'_>) {
    for (pool, span) in contract.pools.iter().zip(&spans.pools) {
        let Some(service) = &pool.service else {
            continue;
        };
        if contract.service(service).is_none() {
            report(
                span,
                format!("pool `{}` names the unknown service `{service}`", pool.name),
                "add the service, or correct the name".into(),
            );
        }
    }
}

fn check_hosts(contract: &Contract, spans: &Spans, report: &mut ReportDiagnostic<'_>) {
    for (host, span) in contract.hosts.iter().zip(&spans.hosts) {
        if contract.pool(&host.pool).is_none() {
            report(
                span,
                format!("host `{}` is in the unknown pool `{}`", host.id, host.pool),
                "add the pool, or correct the name".into(),
            );
        }
        if host.slots == 0 || host.connections_max == 0 {
            report(
                span,
                format!("host `{}` can run nothing", host.id),
                "give it at least one slot and one connection".into(),
            );
        }
    }
}

fn check_teams(contract: &Contract, spans: &Spans, report: &mut ReportDiagnostic<'_>) {
    for (team, span) in contract.teams.iter().zip(&spans.teams) {
        if team.share_weight == 0 {
            report(
                span,
                format!("team `{}` has no share", team.name),
                "give it a share_weight of at least 1".into(),
            );
        }
    }
}
