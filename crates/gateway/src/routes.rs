//! What the path needs of a configuration, built once for each version.

use std::sync::Arc;
use std::time::Duration;

use model::Config;
use model::ConfigVersion;
use model::Contract;
use model::QueueId;
use model::contract::Queue;

use crate::backends::Backend;
use crate::backends::Service;
use crate::waiting::Line;
use crate::waiting::LineBounds;

/// Lines and backend servers of one version of the configuration.
#[derive(Default)]
pub struct Routes {
    /// Version.
    pub version: ConfigVersion,
    /// Lines, sorted by queue.
    pub lines: Vec<Arc<Line>>,
    /// Backend servers of all hosts in any state, sorted by host.
    pub backends: Vec<Arc<Backend>>,
}

impl Routes {
    /// Routes of `config`; lines and backend servers that are the same are taken from `last`.
    pub fn build(config: &Config, last: &Self) -> Self {
        let backends: Vec<Arc<Backend>> = config
            .hosts
            .iter()
            .map(|host| {
                let known = last.backend(host.id()).filter(|b| b.address == host.spec.address);
                known
                    .cloned()
                    .unwrap_or_else(|| Arc::new(Backend::new(host.id().clone(), host.spec.address)))
            })
            .collect();
        let mut routes = Self { version: config.version, lines: Vec::new(), backends };
        for contract in &config.contracts {
            for queue in &contract.queues {
                let service = Arc::new(routes.service(config, contract, &queue.service));
                routes.lines.push(last.line_for(queue, service));
            }
        }
        routes.lines.sort_by(|a, b| a.queue.cmp(&b.queue));
        routes
    }

    /// Line of a queue.
    pub fn line(&self, queue: &str) -> Option<&Arc<Line>> {
        let index = self.lines.binary_search_by(|line| (*line.queue).cmp(queue)).ok()?;
        Some(&self.lines[index])
    }

    fn backend(&self, host: &str) -> Option<&Arc<Backend>> {
        let index = self.backends.binary_search_by(|backend| (*backend.host).cmp(host)).ok()?;
        Some(&self.backends[index])
    }

    fn service(&self, config: &Config, contract: &Contract, name: &str) -> Service {
        let mut service = Service {
            unavailable_max: contract.service(name).map_or(0, |s| s.unavailable_max),
            ..Service::default()
        };
        for host in config.hosts_of(contract, name) {
            if !host.state.takes_work() {
                service.unavailable += 1;
                continue;
            }
            service.backends.extend(self.backend(host.id()).cloned());
        }
        service
    }

    fn line_for(&self, queue: &Queue, service: Arc<Service>) -> Arc<Line> {
        let bounds = LineBounds {
            waiting_max: queue.waiting_max,
            wait_max: Duration::from_millis(queue.wait_max_ms),
        };
        if let Some(line) = self.line(&queue.name).filter(|line| line.bounds == bounds) {
            line.set_service(service);
            return line.clone();
        }
        let name: QueueId = queue.name.clone();
        Arc::new(Line::new(name, bounds, service))
    }
}
