//! Selection of routing, queueing and role policies.

use serde::Deserialize;

use crate::policy::routing::RouteMethod;

/// Policies for routing, queueing and engine roles.
///
/// The values other than the defaults are simple baselines that the default
/// policies are measured against.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Method of choosing the target of a request.
    pub routing: RouteMethod,
    /// Order in which queued requests are served.
    pub queue: QueueOrder,
    /// Division of mixed engines between prefill and decode.
    pub division: Division,
    /// Method of changing the roles of engines.
    pub roles: RoleControl,
}

/// Order in which queued requests are served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// Weighted fair queueing between client accounts, by the tokens served to
    /// each.
    #[default]
    Fair,
    /// In order of arrival.
    FirstCome,
}

/// Division of mixed engines between prefill and decode.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// Mixed engines are divided according to the demand for each phase.
    #[default]
    Planned,
    /// No division: each engine runs both phases of its requests.
    Whole,
}

/// Method of changing the roles of engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RoleControl {
    /// Roles change where the expected gain exceeds the cost of the change.
    #[default]
    Planned,
    /// Roles never change.
    Fixed,
}
