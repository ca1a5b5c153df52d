//! The configuration rows that a new contract changes.
//!
//! A contract replaces the previous one of its customer as a whole, and is refused as a whole if
//! any part of it cannot become active: a removed host must be drained, and a removed pool must
//! have no hosts. The keys of a removed team are withdrawn. A host stays in the pool to which
//! operators have moved it, whatever pool the contract lists.

use model::Config;
use model::ConfigRow;
use model::Contract;
use model::HostRow;
use model::HostState;
use model::host::HostSpec;
use model::key::KeyHolder;
use model::key::KeyState;

use crate::error::ChangeError;

/// Returns the rows that `contract` changes, or the reason why it cannot become active.
pub fn contract_rows(config: &Config, contract: &Contract) -> Result<Vec<ConfigRow>, ChangeError> {
    check_owners(config, contract)?;
    let mut rows = vec![ConfigRow::Contract(contract.clone())];
    for spec in &contract.hosts {
        rows.extend(changed_host(config, contract, spec)?);
    }
    rows.extend(removed_hosts(config, contract)?);
    check_pools(config, contract)?;
    rows.extend(withdrawn_keys(config, contract));
    Ok(rows)
}

/// Checks that no queue or pool belongs to another customer.
fn check_owners(config: &Config, contract: &Contract) -> Result<(), ChangeError> {
    let others = || config.contracts.iter().filter(|c| c.customer != contract.customer);
    for queue in &contract.queues {
        if let Some(other) = others().find(|other| other.queue(&queue.name).is_some()) {
            return invalid(format!("queue `{}` belongs to `{}`", queue.name, other.customer));
        }
    }
    for pool in &contract.pools {
        if let Some(other) = others().find(|other| other.pool(&pool.name).is_some()) {
            return invalid(format!("pool `{}` belongs to `{}`", pool.name, other.customer));
        }
    }
    Ok(())
}

/// Returns the new row of a host in the contract; `None` if the row does not change.
fn changed_host(
    config: &Config,
    contract: &Contract,
    spec: &HostSpec,
) -> Result<Option<ConfigRow>, ChangeError> {
    let Some(current) = config.host(&spec.id) else {
        let row = HostRow::new(contract.customer.clone(), spec.clone());
        return Ok(Some(ConfigRow::Host(row)));
    };
    if current.customer != contract.customer {
        return invalid(format!("host `{}` belongs to `{}`", spec.id, current.customer));
    }
    check_pool_unchanged(config, contract, spec, current)?;
    let next = HostSpec { pool: current.spec.pool.clone(), ..spec.clone() };
    if next == current.spec {
        return Ok(None);
    }
    if next.address != current.spec.address && !is_idle(current) {
        return invalid(format!(
            "host `{0}` is {1}, and its address can change only while it is drained: \
             `savorypitch host drain {0}` first",
            spec.id, current.state
        ));
    }
    let row = HostRow { spec: next, epoch: current.epoch + 1, ..current.clone() };
    Ok(Some(ConfigRow::Host(row)))
}

/// Checks that the contract does not move an existing host: it may list another pool than before
/// only if the host is in that pool or moving there. A contract lists the pool in which a host
/// starts; afterwards only a move changes the pool.
fn check_pool_unchanged(
    config: &Config,
    contract: &Contract,
    spec: &HostSpec,
    current: &HostRow,
) -> Result<(), ChangeError> {
    let previous = config.contract(&contract.customer);
    let listed =
        previous.and_then(|previous| previous.hosts.iter().find(|other| other.id == spec.id));
    let is_relisted = listed.is_some_and(|listed| listed.pool != spec.pool);
    let target = current.move_to.as_ref().unwrap_or(&current.spec.pool);
    if is_relisted && *target != spec.pool {
        return invalid(format!(
            "host `{0}` is in pool `{1}`, and a contract does not move it: \
             `savorypitch host move {0} {2}` first",
            spec.id, target, spec.pool
        ));
    }
    Ok(())
}

/// Returns the removals of the hosts that the contract no longer lists.
fn removed_hosts(config: &Config, contract: &Contract) -> Result<Vec<ConfigRow>, ChangeError> {
    let mut rows = Vec::new();
    let current = config.hosts.iter().filter(|host| host.customer == contract.customer);
    for host in current {
        if contract.hosts.iter().any(|spec| spec.id == *host.id()) {
            continue;
        }
        if !is_idle(host) {
            return invalid(format!(
                "host `{0}` is {1}, and only a drained host can leave the contract: \
                 `savorypitch host drain {0}` first",
                host.id(),
                host.state
            ));
        }
        rows.push(ConfigRow::Removed(ConfigRow::Host(host.clone()).name()));
    }
    Ok(rows)
}

/// Checks that the contract keeps the pools of all remaining hosts and the pools to which they
/// move.
fn check_pools(config: &Config, contract: &Contract) -> Result<(), ChangeError> {
    let is_kept = |host: &&HostRow| contract.hosts.iter().any(|spec| spec.id == *host.id());
    let current = config.hosts.iter().filter(|host| host.customer == contract.customer);
    for host in current.filter(is_kept) {
        let mut pools = std::iter::once(&host.spec.pool).chain(&host.move_to);
        if let Some(pool) = pools.find(|pool| contract.pool(pool).is_none()) {
            return invalid(format!(
                "pool `{pool}` cannot leave the contract: host `{0}` is in it or on its way; \
                 `savorypitch host move {0} POOL` first",
                host.id()
            ));
        }
    }
    Ok(())
}

/// Returns the withdrawals of the keys whose team the contract no longer has.
fn withdrawn_keys(config: &Config, contract: &Contract) -> Vec<ConfigRow> {
    let keys = config.keys.iter().filter(|key| key.state == KeyState::Granted);
    let keys_to_withdraw = keys.filter(|key| match &key.holder {
        KeyHolder::Team(team) => {
            team.customer == contract.customer && contract.team(&team.team).is_none()
        }
        KeyHolder::Operator => false,
    });
    keys_to_withdraw
        .map(|key| {
            let mut key = key.clone();
            key.state = KeyState::Withdrawn;
            ConfigRow::Key(key)
        })
        .collect()
}

/// True if no work of savorypitch runs on the host.
fn is_idle(host: &HostRow) -> bool {
    matches!(host.state, HostState::Drained | HostState::Failed)
}

fn invalid<T>(reason: String) -> Result<T, ChangeError> {
    Err(ChangeError::Invalid { reason })
}
