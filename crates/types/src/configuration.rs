//! The configuration model: the contents of the platform's configuration document after validation.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::admission::Priority;
use crate::identity::{Epoch, NodeAddress, Revision};
use crate::names::{ClassName, DeploymentName, ServiceName, SiteName, ZoneName};

/// Whether the deployment is started for the first time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Formation {
    /// No call was ever served: a group whose configured targets all start without stored state has lost no claims.
    New,
    /// Calls were served before: a group formed without stored state must assume that claims were lost.
    #[default]
    Existing,
}

/// A site and its zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteConfiguration {
    /// The site.
    pub name: SiteName,
    /// Its zones.
    pub zones: Vec<ZoneName>,
}

/// One target: a back end and the node that runs beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetConfiguration {
    /// The peer address of the node beside the back end.
    pub node: NodeAddress,
    /// Its site.
    pub site: SiteName,
    /// Its zone.
    pub zone: ZoneName,
    /// Calls that the back end can run concurrently; the initial value of the concurrency limit.
    pub slots: u32,
    /// Connections that the back end accepts.
    pub connections: u32,
}

/// A class of calls: the requests that belong to it and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassConfiguration {
    /// The class.
    pub name: ClassName,
    /// The methods that match, in upper case; empty matches all.
    pub methods: Vec<String>,
    /// The path prefix that matches, below the service's own prefix; the longest match wins.
    pub path_prefix: String,
    /// The importance of the class.
    pub priority: Priority,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// The time after which a caller is assumed to have given up, if the call itself gives no deadline.
    pub deadline: Duration,
    /// Retry tokens that the first edge assigns to a root call of this class.
    pub retry_budget: u16,
    /// The maximum ratio of retries to first attempts, in percent.
    pub retry_ratio_percent: u8,
    /// Whether responses are large downloads, which are limited by bytes in flight as well as by count.
    pub large_answers: bool,
}

/// A service and its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfiguration {
    /// The service.
    pub name: ServiceName,
    /// `Host` values that select the service; the first path segment equal to its name selects it too.
    pub hosts: Vec<String>,
    /// The number of slots that the service's keys are hashed to; fixed for the lifetime of the deployment.
    pub slot_count: u16,
    /// How long a claim is retained after its call ended.
    pub claim_retention: Duration,
    /// The maximum number of claims that one voter retains for the service.
    pub claim_capacity: u32,
    /// The maximum size of a response that is recorded with a claim for replay, in bytes.
    pub replay_limit_bytes: u32,
    /// Status codes with which a back end reports that it refused a call before running it.
    pub refused_before_running: Vec<u16>,
    /// The minimum time that the service needs to respond; a call with less time left is refused before any work.
    pub minimum_time: Duration,
    /// The maximum time that a call waits in a gate's queue.
    pub queue_timeout: Duration,
    /// The share of slots of each site when the service's groups are first formed, in percent.
    pub site_shares: BTreeMap<SiteName, u8>,
    /// The epoch below which no group of the service may start.
    pub minimum_epoch: Epoch,
    /// Its classes, matched by longest path prefix.
    pub classes: Vec<ClassConfiguration>,
    /// Its targets.
    pub targets: Vec<TargetConfiguration>,
}

/// A complete, validated configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The deployment that it configures.
    pub deployment: DeploymentName,
    /// Its revision.
    pub revision: Revision,
    /// Whether the deployment starts for the first time.
    pub formation: Formation,
    /// The sites.
    pub sites: Vec<SiteConfiguration>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceConfiguration>,
}

impl ServiceConfiguration {
    /// The class of a request, by the longest path prefix among the classes whose methods match.
    ///
    /// `path` is the path below the service's own prefix and starts with `/`.
    pub fn classify(&self, method: &str, path: &str) -> Option<&ClassConfiguration> {
        self.classes
            .iter()
            .filter(|class| class.methods.is_empty() || class.methods.iter().any(|allowed| allowed == method))
            .filter(|class| path.starts_with(class.path_prefix.as_str()))
            .max_by_key(|class| class.path_prefix.len())
    }

    /// The class called `name`.
    pub fn class(&self, name: &ClassName) -> Option<&ClassConfiguration> {
        self.classes.iter().find(|class| &class.name == name)
    }

    /// The targets at `site`.
    pub fn targets_at<'a>(&'a self, site: &'a SiteName) -> impl Iterator<Item = &'a TargetConfiguration> + 'a {
        self.targets.iter().filter(move |target| &target.site == site)
    }
}
