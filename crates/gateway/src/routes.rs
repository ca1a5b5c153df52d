//! Routing data of the gateway, derived from the configuration once for each version.

use std::sync::Arc;
use std::time::Duration;

use model::Config;
use model::ConfigVersion;
use model::Contract;
use model::QueueId;
use model::contract::Queue;

use crate::backends::Backend;
use crate::backends::ServiceBackends;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::WaitQueueLimits;

/// Wait queues and backend servers of one version of the configuration.
#[derive(Default)]
pub struct Routes {
    /// Version of the configuration; zero before the first.
    pub version: ConfigVersion,
    /// One wait queue for each queue, sorted by name.
    pub wait_queues: Vec<Arc<WaitQueue>>,
    /// Backend servers of all hosts, whatever their state, sorted by host.
    pub backends: Vec<Arc<Backend>>,
}

impl Routes {
    /// Builds the routes of `config`. Reuses the wait queues and backend servers of `previous` that
    /// have not changed, so that waiting requests, connections and health are retained.
    pub fn build(config: &Config, previous: &Self) -> Self {
        let backends: Vec<Arc<Backend>> = config
            .hosts
            .iter()
            .map(|host| {
                let existing = previous
                    .backend(host.id())
                    .filter(|backend| backend.address == host.spec.address);
                existing
                    .cloned()
                    .unwrap_or_else(|| Arc::new(Backend::new(host.id().clone(), host.spec.address)))
            })
            .collect();
        let mut routes = Self { version: config.version, wait_queues: Vec::new(), backends };
        for contract in &config.contracts {
            for queue in &contract.queues {
                let service = Arc::new(routes.service(config, contract, &queue.service));
                routes.wait_queues.push(previous.wait_queue_for(queue, service));
            }
        }
        routes.wait_queues.sort_by(|a, b| a.queue.cmp(&b.queue));
        routes
    }

    /// Returns the wait queue of a queue.
    pub fn wait_queue(&self, queue: &str) -> Option<&Arc<WaitQueue>> {
        let index =
            self.wait_queues.binary_search_by(|wait_queue| (*wait_queue.queue).cmp(queue)).ok()?;
        Some(&self.wait_queues[index])
    }

    fn backend(&self, host: &str) -> Option<&Arc<Backend>> {
        let index = self.backends.binary_search_by(|backend| (*backend.host).cmp(host)).ok()?;
        Some(&self.backends[index])
    }

    fn service(&self, config: &Config, contract: &Contract, name: &str) -> ServiceBackends {
        let mut service = ServiceBackends {
            unavailable_max: contract.service(name).map_or(0, |service| service.unavailable_max),
            ..ServiceBackends::default()
        };
        for host in config.hosts_of(contract, name) {
            if !host.state.is_schedulable() {
                service.unavailable += 1;
                continue;
            }
            service.backends.extend(self.backend(host.id()).cloned());
        }
        service
    }

    fn wait_queue_for(&self, queue: &Queue, service: Arc<ServiceBackends>) -> Arc<WaitQueue> {
        let queue_limits = WaitQueueLimits {
            waiting_max: queue.waiting_max,
            wait_max: Duration::from_millis(queue.wait_max_ms),
        };
        if let Some(wait_queue) = self
            .wait_queue(&queue.name)
            .filter(|wait_queue| wait_queue.queue_limits == queue_limits)
        {
            wait_queue.set_service(service);
            return wait_queue.clone();
        }
        let name: QueueId = queue.name.clone();
        Arc::new(WaitQueue::new(name, queue_limits, service))
    }
}
