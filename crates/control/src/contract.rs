//! What a new contract does to the rows of the configuration.
//!
//! A contract replaces the one before it. Nothing of it comes into force if any part of it cannot:
//! a host that leaves must be drained, and a pool that leaves must be empty. A team that leaves takes
//! its keys with it. A host keeps the pool that operators moved it to.

use model::Config;
use model::ConfigRow;
use model::Contract;
use model::HostRow;
use model::HostState;
use model::host::HostSpec;
use model::key::KeyHolder;
use model::key::KeyState;

use crate::error::ChangeError;

/// Rows that `contract` changes, or why it cannot be in force.
pub fn contract_rows(config: &Config, contract: &Contract) -> Result<Vec<ConfigRow>, ChangeError> {
    check_owners(config, contract)?;
    let mut rows = vec![ConfigRow::Contract(contract.clone())];
    for spec in &contract.hosts {
        rows.extend(listed_host(config, contract, spec)?);
    }
    rows.extend(left_hosts(config, contract)?);
    check_pools(config, contract)?;
    rows.extend(left_keys(config, contract));
    Ok(rows)
}

/// Queues, pools and hosts have one owner each.
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

/// Row of a host that the contract lists, if it changes.
fn listed_host(
    config: &Config,
    contract: &Contract,
    spec: &HostSpec,
) -> Result<Option<ConfigRow>, ChangeError> {
    let Some(held) = config.host(&spec.id) else {
        let row = HostRow::new(contract.customer.clone(), spec.clone());
        return Ok(Some(ConfigRow::Host(row)));
    };
    if held.customer != contract.customer {
        return invalid(format!("host `{}` belongs to `{}`", spec.id, held.customer));
    }
    check_listed_pool(config, contract, spec, held)?;
    let next = HostSpec { pool: held.spec.pool.clone(), ..spec.clone() };
    if next == held.spec {
        return Ok(None);
    }
    if next.address != held.spec.address && !is_idle(held) {
        return invalid(format!(
            "host `{0}` is {1}, and its address can change only while it is drained: \
             `savorypitch host drain {0}` first",
            spec.id, held.state
        ));
    }
    let row = HostRow { spec: next, epoch: held.epoch + 1, ..held.clone() };
    Ok(Some(ConfigRow::Host(row)))
}

/// A contract lists the pool that a host starts in; a host that is there already has to be moved.
fn check_listed_pool(
    config: &Config,
    contract: &Contract,
    spec: &HostSpec,
    held: &HostRow,
) -> Result<(), ChangeError> {
    let before = config.contract(&contract.customer);
    let listed = before.and_then(|before| before.hosts.iter().find(|other| other.id == spec.id));
    let is_relisted = listed.is_some_and(|listed| listed.pool != spec.pool);
    let target = held.move_to.as_ref().unwrap_or(&held.spec.pool);
    if is_relisted && *target != spec.pool {
        return invalid(format!(
            "host `{0}` is in pool `{1}`, and a contract does not move it: \
             `savorypitch host move {0} {2}` first",
            spec.id, target, spec.pool
        ));
    }
    Ok(())
}

/// Removals of the hosts that the contract no longer lists.
fn left_hosts(config: &Config, contract: &Contract) -> Result<Vec<ConfigRow>, ChangeError> {
    let mut rows = Vec::new();
    let held = config.hosts.iter().filter(|host| host.customer == contract.customer);
    for host in held {
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

/// Every host that stays is in a pool that stays.
fn check_pools(config: &Config, contract: &Contract) -> Result<(), ChangeError> {
    let stays = |host: &&HostRow| contract.hosts.iter().any(|spec| spec.id == *host.id());
    let held = config.hosts.iter().filter(|host| host.customer == contract.customer);
    for host in held.filter(stays) {
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

/// Withdrawals of the keys of teams that the contract no longer has.
fn left_keys(config: &Config, contract: &Contract) -> Vec<ConfigRow> {
    let keys = config.keys.iter().filter(|key| key.state == KeyState::Granted);
    let left = keys.filter(|key| match &key.holder {
        KeyHolder::Team(team) => {
            team.customer == contract.customer && contract.team(&team.team).is_none()
        }
        KeyHolder::Operator => false,
    });
    left.map(|key| {
        let mut key = key.clone();
        key.state = KeyState::Withdrawn;
        ConfigRow::Key(key)
    })
    .collect()
}

/// True if nothing of savorypitch runs on the host.
fn is_idle(host: &HostRow) -> bool {
    matches!(host.state, HostState::Drained | HostState::Failed)
}

fn invalid<T>(reason: String) -> Result<T, ChangeError> {
    Err(ChangeError::Invalid { reason })
}
