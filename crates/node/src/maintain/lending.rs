//! Lends hosts between pools, for the customers whose spare pool is this node's duty.
//!
//! The demand for a service is the number of running and queued requests that all members report.
//! Smoothed demands are kept in memory only: a node that takes over the duty lends nothing until it
//! has observed the demand for the time over which it is smoothed.

use std::time::Duration;
use std::time::SystemTime;

use control::ChangeError;
use gateway::NodeContext;
use limits::DemandKey;
use maintenance::RowChanges;
use maintenance::lend::LendingPolicy;
use maintenance::lend::PoolDemand;
use maintenance::lend::next_loan;
use model::Config;
use model::Contract;
use model::CustomerId;
use model::PoolId;
use services::Precondition;

use super::commit_change_if;
use super::evidence::unavailable_in_service;
use super::moment;
use crate::shared::Shared;

/// Time between observations of the demand.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(5);

/// Decides on loans from the demand of the customers whose spare pool is this node's duty.
#[derive(Default)]
pub struct Lending {
    /// Demands by customer, sorted by customer.
    customers: Vec<CustomerDemands>,
    observed_at: Option<SystemTime>,
}

struct CustomerDemands {
    customer: CustomerId,
    /// Smoothed demands, sorted by pool.
    demands: Vec<PoolDemand>,
}

impl Lending {
    /// Observes the demand, and starts a loan for each customer for which one is due.
    /// `precondition` returns the precondition of a pool's duty if this node holds it.
    pub async fn tick(
        &mut self,
        shared: &Shared,
        precondition: impl Fn(&PoolId) -> Option<Precondition>,
    ) {
        let now = SystemTime::now();
        let age = self.observed_at.and_then(|at| now.duration_since(at).ok());
        if age.is_some_and(|age| age < OBSERVATION_INTERVAL) {
            return;
        }
        self.observed_at = Some(now);
        let config = shared.config();
        let spare_precondition = |contract: &Contract| {
            let spare = contract.pools.iter().find(|pool| pool.service.is_none())?;
            precondition(&spare.name)
        };
        let is_own_duty = |customer: &CustomerId| {
            config.contract(customer).is_some_and(|contract| spare_precondition(contract).is_some())
        };
        self.customers.retain(|observed| is_own_duty(&observed.customer));
        for contract in &config.contracts {
            let Some(precondition) = spare_precondition(contract) else {
                continue;
            };
            let demands = self.observe(shared, &config, contract, now);
            lend(shared, &config, contract, demands, precondition, now).await;
        }
    }

    fn observe(
        &mut self,
        shared: &Shared,
        config: &Config,
        contract: &Contract,
        now: SystemTime,
    ) -> &mut Vec<PoolDemand> {
        let found = self.customers.binary_search_by(|c| c.customer.cmp(&contract.customer));
        let index = found.unwrap_or_else(|index| {
            let customer = contract.customer.clone();
            self.customers.insert(index, CustomerDemands { customer, demands: Vec::new() });
            index
        });
        let demands = &mut self.customers[index].demands;
        let policy = LendingPolicy::of(contract.profile);
        for pool in contract.pools.iter().filter(|pool| pool.service.is_some()) {
            let hosts = demand_hosts(shared, config, contract, &pool.name);
            match demands.binary_search_by(|demand| demand.pool.cmp(&pool.name)) {
                Ok(index) => demands[index].observe(hosts, now, &policy),
                Err(index) => {
                    demands.insert(index, PoolDemand::new(pool.name.clone(), hosts, now));
                }
            }
        }
        demands
    }
}

/// Returns the demand of all members for the pool's service, in hosts of the pool. The pools of a
/// service share its demand equally.
fn demand_hosts(shared: &Shared, config: &Config, contract: &Contract, pool: &PoolId) -> f64 {
    let Some(service) = contract.pool(pool).and_then(|pool| pool.service.clone()) else {
        return 0.0;
    };
    let key = DemandKey::Service(contract.customer.clone(), service.clone()).to_string();
    let members = shared.members();
    let demand: u32 = members
        .iter()
        .filter_map(|member| {
            let found = member.counts.binary_search_by(|count| count.key.as_str().cmp(&key));
            let count = &member.counts[found.ok()?];
            Some(count.running.saturating_add(count.queued))
        })
        .sum();
    let slots: Vec<u32> = config
        .hosts
        .iter()
        .filter(|row| row.spec.pool == *pool)
        .map(|row| row.spec.slots)
        .collect();
    let slots_per_host = f64::from(slots.iter().sum::<u32>()) / slots.len().max(1) as f64;
    let serving_pools =
        contract.pools.iter().filter(|pool| pool.service.as_ref() == Some(&service));
    f64::from(demand) / slots_per_host.max(1.0) / serving_pools.count().max(1) as f64
}

/// Starts a loan, if one is due.
async fn lend(
    shared: &Shared,
    config: &Config,
    contract: &Contract,
    demands: &mut [PoolDemand],
    precondition: Precondition,
    now: SystemTime,
) {
    let policy = LendingPolicy::of(contract.profile);
    let next = |config: &Config, unavailable: &[model::HostId]| {
        let contract = config.contract(&contract.customer)?;
        next_loan(config, contract, demands, &policy, unavailable, moment(config))
    };
    let Some(planned) = next(config, &[]) else {
        return;
    };
    let Ok(unavailable) = unavailable_in_service(shared, config, planned.row.id()).await else {
        return;
    };
    let decide = |config: &Config| {
        let loan = next(config, &unavailable).filter(|loan| loan.row.id() == planned.row.id());
        let loan = loan.ok_or_else(|| ChangeError::Invalid {
            reason: "the configuration changed meanwhile".to_owned(),
        })?;
        Ok(RowChanges { hosts: vec![loan.row], waves: Vec::new() })
    };
    if commit_change_if(shared, vec![precondition], decide).await.is_err() {
        return;
    }
    shared.telemetry.count("lending.moves");
    for demand in demands {
        if demand.pool == planned.from || demand.pool == planned.to {
            demand.record_move(now);
        }
    }
}
