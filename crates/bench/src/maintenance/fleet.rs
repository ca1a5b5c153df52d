//! Fleets of the sizes that are measured.

use model::Change;
use model::Config;
use model::ConfigRow;
use model::Contract;
use model::HostRow;
use model::contract::Pool;
use model::contract::Profile;
use model::contract::Service;
use model::host::HostSpec;

/// Hosts in a rack.
const RACK_SIZE: usize = 4;
/// Zones of each of the seven regions.
const REGION_ZONES: [usize; 7] = [3, 3, 3, 2, 2, 2, 2];

/// Shape of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Customers.
    pub customers: usize,
    /// Pools of a customer that serve, each a service of its own.
    pub services: usize,
    /// Hosts of all customers.
    pub hosts: usize,
    /// Hosts of each customer's spare pool.
    pub spares: usize,
    /// Hosts of a service that may be unavailable at once.
    pub unavailable_max: u32,
    /// Availability zones over which a customer's hosts are spread, if not by region.
    pub zones: Option<usize>,
}

/// Two clusters of five services with ten hosts each, and four spare hosts each.
pub const TODAY: Shape =
    Shape { customers: 2, services: 5, hosts: 108, spares: 4, unavailable_max: 3, zones: Some(3) };

/// 1,600 hosts in 187 pools over 17 zones in 7 regions.
pub const TARGET: Shape =
    Shape { customers: 11, services: 16, hosts: 1_600, spares: 8, unavailable_max: 2, zones: None };

impl Shape {
    /// A fleet of this shape with another number of hosts, and pools in proportion.
    pub fn scaled(self, hosts: usize) -> Self {
        let customers = (self.customers * hosts).div_ceil(self.hosts).max(1);
        Self { customers, hosts, ..self }
    }

    /// Pools of all customers.
    pub fn pools(self) -> usize {
        self.customers * (self.services + 1)
    }
}

/// Configuration of a fleet in which everything serves.
pub fn config(shape: Shape, profile: Profile) -> Config {
    let mut rows = Vec::new();
    let mut number = 0;
    for customer in 0..shape.customers {
        let left = shape.hosts - number;
        let own = left / (shape.customers - customer);
        let mut contract = contract(customer, shape, profile);
        let zones = zones(customer, shape);
        for index in 0..own {
            contract.hosts.push(host(customer, index, own, number, &zones, shape));
            number += 1;
        }
        for spec in &contract.hosts {
            rows.push(ConfigRow::Host(HostRow::new(contract.customer.clone(), spec.clone())));
        }
        rows.push(ConfigRow::Contract(contract));
    }
    Config::from_rows(1, rows)
}

/// Configuration after a change of `rows`.
pub fn after(config: &Config, rows: Vec<ConfigRow>) -> Config {
    let version = config.version + 1;
    let change = Change { version, rows, author: String::new(), operation_id: None, digest: None };
    config.with_change(change).expect("the change follows")
}

fn contract(customer: usize, shape: Shape, profile: Profile) -> Contract {
    let service_names: Vec<_> =
        (0..shape.services).map(|index| format!("c{customer:02}-s{index:02}")).collect();
    let services = service_names
        .iter()
        .map(|name| Service { name: name.as_str().into(), unavailable_max: shape.unavailable_max });
    let mut pools: Vec<Pool> = service_names
        .iter()
        .map(|name| Pool { name: name.as_str().into(), service: Some(name.as_str().into()) })
        .collect();
    pools.push(Pool { name: spare(customer).into(), service: None });
    Contract {
        customer: format!("c{customer:02}").into(),
        profile,
        services: services.collect(),
        queues: Vec::new(),
        teams: Vec::new(),
        pools,
        hosts: Vec::new(),
    }
}

fn spare(customer: usize) -> String {
    format!("c{customer:02}-spare")
}

fn zones(customer: usize, shape: Shape) -> Vec<String> {
    if let Some(count) = shape.zones {
        return (0..count).map(|zone| format!("z{zone:02}")).collect();
    }
    let region = customer % REGION_ZONES.len();
    let first: usize = REGION_ZONES[..region].iter().sum();
    (first..first + REGION_ZONES[region]).map(|zone| format!("z{zone:02}")).collect()
}

/// Hosts are dealt to pools in turn, so that a rack holds hosts of several services.
fn host(
    customer: usize,
    index: usize,
    own: usize,
    number: usize,
    zones: &[String],
    shape: Shape,
) -> HostSpec {
    let pool = if index + shape.spares >= own {
        spare(customer)
    } else {
        format!("c{customer:02}-s{:02}", index % shape.services)
    };
    let rack = index / RACK_SIZE;
    let zone = &zones[rack % zones.len()];
    HostSpec {
        id: format!("h{number:05}").into(),
        pool: pool.into(),
        address: ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 80).into(),
        zone: zone.as_str().into(),
        rack: format!("c{customer:02}-r{rack:03}").into(),
        slots: 8,
        connections_max: 64,
        processors: 16,
        memory_mib: 32_768,
        accelerators: 0,
    }
}
