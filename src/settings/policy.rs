//! Choice between the decisions and the plain policies they are measured with.

use serde::Deserialize;

use crate::policy::routing::RouteMethod;

/// How requests are placed and engines are given roles.
///
/// The values other than the defaults are the plain policies that the
/// decisions are measured against.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Choice of a target.
    pub routing: RouteMethod,
    /// Order in which waiting requests are served.
    pub queue: QueueOrder,
    /// Division of mixed engines into those that prefill and those that decode.
    pub division: Division,
    /// Changes of engines' roles.
    pub roles: RoleControl,
}

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// By weighted tokens served to the client accounts.
    #[default]
    Fair,
    /// By arrival.
    FirstCome,
}

/// Division of mixed engines into those that prefill and those that decode.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// By the demand.
    #[default]
    Planned,
    /// None: each engine runs whole requests.
    Whole,
}

/// Changes of engines' roles.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum RoleControl {
    /// Where the gain exceeds the cost.
    #[default]
    Planned,
    /// None.
    Fixed,
}
