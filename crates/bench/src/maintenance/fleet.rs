//! Builds the configurations of the simulated fleets.

use model::Change;
use model::Config;
use model::ConfigRow;
use model::Contract;
use model::HostRow;
use model::contract::Pool;
use model::contract::Profile;
use model::contract::Service;
use model::host::HostSpec;

/// Number of hosts in a rack.
const RACK_SIZE: usize = 4;
/// Number of availability zones of each region.
const REGION_ZONES: [usize; 7] = [3, 3, 3, 2, 2, 2, 2];

/// Shape of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of customers.
    pub customers: usize,
    /// Number of services of each customer, with one pool each.
    pub services: usize,
    /// Number of hosts of all customers, spare hosts included.
    pub hosts: usize,
    /// Number of hosts in the spare pool of each customer.
    pub spares: usize,
    /// Number of hosts of a service that may be unavailable at a time.
    pub unavailable_max: u32,
    /// Number of availability zones over which the hosts of each customer are spread; `None` if
    /// each customer uses the zones of one region.
    pub zones: Option<usize>,
}

/// Today's fleet: two customers, each with five services of ten hosts and four spare hosts.
pub const TODAY: Shape =
    Shape { customers: 2, services: 5, hosts: 108, spares: 4, unavailable_max: 3, zones: Some(3) };

/// Target fleet: 1,600 hosts in 187 pools over 17 zones in 7 regions.
pub const TARGET: Shape =
    Shape { customers: 11, services: 16, hosts: 1_600, spares: 8, unavailable_max: 2, zones: None };

impl Shape {
    /// Returns this shape with another number of hosts, and with customers and pools in proportion.
    pub fn scaled(self, hosts: usize) -> Self {
        let customers = (self.customers * hosts).div_ceil(self.hosts).max(1);
        Self { customers, hosts, ..self }
    }

    /// Returns the number of pools of all customers.
    pub fn pools(self) -> usize {
        self.customers * (self.services + 1)
    }
}

/// Returns the configuration of a fleet whose hosts are all serving.
pub fn config(shape: Shape, profile: Profile) -> Config {
    let mut rows = Vec::new();
    let mut next_number = 0;
    for customer in 0..shape.customers {
        let remaining = shape.hosts - next_number;
        let customer_hosts = remaining / (shape.customers - customer);
        let mut contract = contract(customer, shape, profile);
        let zone_names = customer_zones(customer, shape);
        for index in 0..customer_hosts {
            contract.hosts.push(host(
                customer,
                index,
                customer_hosts,
                next_number,
                &zone_names,
                shape,
            ));
            next_number += 1;
        }
        for spec in &contract.hosts {
            rows.push(ConfigRow::Host(HostRow::new(contract.customer.clone(), spec.clone())));
        }
        rows.push(ConfigRow::Contract(contract));
    }
    Config::from_rows(1, rows)
}

/// Returns the next version of `config`, in which `rows` are changed.
pub fn with_rows(config: &Config, rows: Vec<ConfigRow>) -> Config {
    let version = config.version + 1;
    let change = Change { version, rows, author: String::new(), operation_id: None, digest: None };
    config.with_change(change).expect("the change has the next version")
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
    pools.push(Pool { name: spare_pool_name(customer).into(), service: None });
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

fn spare_pool_name(customer: usize) -> String {
    format!("c{customer:02}-spare")
}

fn customer_zones(customer: usize, shape: Shape) -> Vec<String> {
    if let Some(count) = shape.zones {
        return (0..count).map(|zone| format!("z{zone:02}")).collect();
    }
    let region = customer % REGION_ZONES.len();
    let first: usize = REGION_ZONES[..region].iter().sum();
    (first..first + REGION_ZONES[region]).map(|zone| format!("z{zone:02}")).collect()
}

/// Returns the host with an index among the hosts of its customer.
///
/// Successive hosts belong to different pools, so that a rack has hosts of several services.
fn host(
    customer: usize,
    index: usize,
    customer_hosts: usize,
    number: usize,
    zone_names: &[String],
    shape: Shape,
) -> HostSpec {
    let pool = if index + shape.spares >= customer_hosts {
        spare_pool_name(customer)
    } else {
        format!("c{customer:02}-s{:02}", index % shape.services)
    };
    let rack = index / RACK_SIZE;
    let zone = &zone_names[rack % zone_names.len()];
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
