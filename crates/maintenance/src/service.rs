//! The hosts of a service and how many of them are available.

use model::Config;
use model::CustomerId;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::RackId;
use model::ServiceId;
use model::StopReason;
use model::ZoneId;
use model::contract::Service;

use crate::budget::is_available;

/// The hosts of each service, computed once for a whole planning step.
#[derive(Clone, Debug)]
pub struct HostsByService {
    /// Groups, sorted by customer and service.
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    customer: CustomerId,
    service: ServiceId,
    /// Positions of the hosts in `Config::hosts`.
    hosts: Vec<usize>,
}

impl HostsByService {
    /// Groups the hosts of `config`. The groups stay valid as long as no host changes its pool.
    pub fn new(config: &Config) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for (index, row) in config.hosts.iter().enumerate() {
            let Some(service) = config.service_of(row) else {
                continue;
            };
            let key = (&row.customer, &service.name);
            match groups.binary_search_by(|group| (&group.customer, &group.service).cmp(&key)) {
                Ok(position) => groups[position].hosts.push(index),
                Err(position) => {
                    let customer = row.customer.clone();
                    let service = service.name.clone();
                    groups.insert(position, Group { customer, service, hosts: vec![index] });
                }
            }
        }
        Self { groups }
    }

    fn hosts(&self, customer: &CustomerId, service: &ServiceId) -> &[usize] {
        let key = (customer, service);
        let found =
            self.groups.binary_search_by(|group| (&group.customer, &group.service).cmp(&key));
        found.map_or(&[], |index| &self.groups[index].hosts)
    }
}

/// A service and its hosts at one moment.
pub struct ServiceSnapshot<'a> {
    /// The service, as the contract describes it.
    pub service: &'a Service,
    config: &'a Config,
    positions: &'a [usize],
    unavailable: &'a [HostId],
}

impl<'a> ServiceSnapshot<'a> {
    /// Returns the service to which `pool` belongs; `None` for a spare pool.
    pub fn of(
        config: &'a Config,
        hosts_by_service: &'a HostsByService,
        pool: &str,
        unavailable: &'a [HostId],
    ) -> Option<Self> {
        let (contract, pool) = config.pool(pool)?;
        let service = contract.service(pool.service.as_ref()?)?;
        let positions = hosts_by_service.hosts(&contract.customer, &service.name);
        Some(Self { service, config, positions, unavailable })
    }

    /// Returns the hosts of the service.
    pub fn hosts(&self) -> impl Iterator<Item = &'a HostRow> + use<'a> {
        let config = self.config;
        self.positions.iter().map(move |index| &config.hosts[*index])
    }

    /// Returns how many hosts are not available.
    pub fn unavailable_count(&self) -> u32 {
        self.hosts().filter(|row| !is_available(row, self.unavailable)).count() as u32
    }

    /// Returns the zone in which hosts are drained or rebooted for a wave; `None` if there is none.
    pub fn zone_under_maintenance(&self) -> Option<&'a ZoneId> {
        let is_under_maintenance = |row: &&HostRow| matches!(row.reason, Some(StopReason::Wave(_)));
        let row =
            self.hosts().filter(is_under_maintenance).find(|row| row.state != HostState::Failed);
        row.map(|row| &row.spec.zone)
    }

    /// Returns the part of the budget to reserve for failures while `candidate` is under
    /// maintenance: the number of available hosts in the largest rack, `candidate` not counted,
    /// limited to what the budget allows in addition to one host under maintenance.
    pub fn failure_reserve(&self, candidate: &HostRow) -> u32 {
        let mut racks: Vec<&RackId> = self
            .hosts()
            .filter(|row| is_available(row, self.unavailable) && row.id() != candidate.id())
            .map(|row| &row.spec.rack)
            .collect();
        racks.sort();
        let largest = racks.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap_or(0);
        (largest as u32).min(self.service.unavailable_max.saturating_sub(1))
    }
}
