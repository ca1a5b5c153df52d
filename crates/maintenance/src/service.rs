//! Hosts of a service, as its budget sees them.

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

/// Which hosts belong to which service, so that one step looks each host up once.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Groups, sorted by customer and service.
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    customer: CustomerId,
    service: ServiceId,
    /// Positions among the hosts of the configuration.
    hosts: Vec<usize>,
}

impl Layout {
    /// Layout of `config`; it holds for as long as no host changes its pool.
    pub fn new(config: &Config) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for (index, row) in config.hosts.iter().enumerate() {
            let Some(service) = config.service_of(row) else {
                continue;
            };
            let wanted = (&row.customer, &service.name);
            match groups.binary_search_by(|group| (&group.customer, &group.service).cmp(&wanted)) {
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
        let wanted = (customer, service);
        let found =
            self.groups.binary_search_by(|group| (&group.customer, &group.service).cmp(&wanted));
        found.map_or(&[], |index| &self.groups[index].hosts)
    }
}

/// A service with its hosts at one moment.
pub struct ServiceNow<'a> {
    /// The service.
    pub service: &'a Service,
    config: &'a Config,
    positions: &'a [usize],
    absent: &'a [HostId],
}

impl<'a> ServiceNow<'a> {
    /// Service that `pool` serves; `None` for a spare pool.
    pub fn of(
        config: &'a Config,
        layout: &'a Layout,
        pool: &str,
        absent: &'a [HostId],
    ) -> Option<Self> {
        let (contract, pool) = config.pool(pool)?;
        let service = contract.service(pool.service.as_ref()?)?;
        let positions = layout.hosts(&contract.customer, &service.name);
        Some(Self { service, config, positions, absent })
    }

    /// Hosts of the service.
    pub fn hosts(&self) -> impl Iterator<Item = &'a HostRow> + use<'a> {
        let config = self.config;
        self.positions.iter().map(move |index| &config.hosts[*index])
    }

    /// Hosts that are not available.
    pub fn unavailable(&self) -> u32 {
        self.hosts().filter(|row| !is_available(row, self.absent)).count() as u32
    }

    /// Zone in which planned work is going on.
    pub fn zone_in_work(&self) -> Option<&'a ZoneId> {
        let planned = |row: &&HostRow| matches!(row.reason, Some(StopReason::Wave(_)));
        let row = self.hosts().filter(planned).find(|row| row.state != HostState::Failed);
        row.map(|row| &row.spec.zone)
    }

    /// Places to keep free while `candidate` is out: the available hosts of the largest rack, as far
    /// as the budget can cover it beside one host in work.
    pub fn reserve_beside(&self, candidate: &HostRow) -> u32 {
        let mut racks: Vec<&RackId> = self
            .hosts()
            .filter(|row| is_available(row, self.absent) && row.id() != candidate.id())
            .map(|row| &row.spec.rack)
            .collect();
        racks.sort();
        let largest = racks.chunk_by(|a, b| a == b).map(<[_]>::len).max().unwrap_or(0);
        (largest as u32).min(self.service.unavailable_max.saturating_sub(1))
    }
}
