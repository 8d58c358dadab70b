//! Required capacity of each service, stored for later holders of the duty
//! lease.

use serde::{Deserialize, Serialize};

use crate::platform::{StoreClient, Topic};

/// Topic of the required capacities, keyed by service.
const FLEET_TOPIC: Topic = Topic("keyed.fleet");

/// Required capacity of a service, on which the service's last orders were based.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct RequiredCapacity {
    /// Number of targets that must remain when any one failure domain loses its
    /// reclaimable targets; `None` before the first orders.
    pub(super) needed: Option<u32>,
}

/// Reads the capacity that earlier holders stored; `None` if the store cannot
/// be read. A value that cannot be decoded counts as not stored.
pub(super) async fn read(store: &StoreClient, service: &str) -> Option<RequiredCapacity> {
    let newest = match store.newest(FLEET_TOPIC).await {
        Ok(newest) => newest,
        Err(error) => {
            tracing::info!("ordering: cannot read required capacity: {error}");
            return None;
        }
    };
    let record = newest.records.iter().find(|record| *record.key == *service);
    let value = record.and_then(|record| record.value.as_deref());
    match value
        .map(serde_json::from_slice::<RequiredCapacity>)
        .transpose()
    {
        Ok(stored) => Some(stored.unwrap_or_default()),
        Err(error) => {
            tracing::error!("ordering: cannot decode required capacity: {error}");
            Some(RequiredCapacity::default())
        }
    }
}

/// Stores the required capacity for later holders. Returns the era of the store in which
/// it was written, or `None` if the write failed.
pub(super) async fn write(store: &StoreClient, service: &str, needed: Option<u32>) -> Option<u64> {
    let value = serde_json::to_vec(&RequiredCapacity { needed }).unwrap_or_default();
    match store.append(FLEET_TOPIC, service, &value, None).await {
        Ok(appended) => Some(appended.end.era),
        Err(error) => {
            tracing::info!("ordering: cannot store required capacity: {error}");
            None
        }
    }
}
