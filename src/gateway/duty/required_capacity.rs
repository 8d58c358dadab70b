//! What one holder keeps in the store about its orders for the next.

use serde::{Deserialize, Serialize};

use crate::platform::{StoreClient, Topic};

/// Topic in which needs are kept, by service.
const FLEET_TOPIC: Topic = Topic("keyed.fleet");

/// What later holders need to know of a service's targets.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(super) struct RequiredCapacity {
    /// Targets that must be left when a failure domain loses its reclaimable
    /// ones; `None` before the first orders.
    pub(super) needed: Option<u32>,
}

/// Reads what earlier holders kept; `None` if the store cannot tell.
pub(super) async fn read(store: &StoreClient, service: &str) -> Option<RequiredCapacity> {
    let newest = match store.newest(FLEET_TOPIC).await {
        Ok(newest) => newest,
        Err(error) => {
            tracing::info!("ordering: the kept need cannot be read: {error}");
            return None;
        }
    };
    let record = newest.records.iter().find(|record| *record.key == *service);
    let value = record.and_then(|record| record.value.as_deref());
    match value
        .map(serde_json::from_slice::<RequiredCapacity>)
        .transpose()
    {
        Ok(kept) => Some(kept.unwrap_or_default()),
        Err(error) => {
            tracing::error!("ordering: the kept need is not one: {error}");
            Some(RequiredCapacity::default())
        }
    }
}

/// Keeps a need for later holders; false if the store did not take it.
pub(super) async fn write(store: &StoreClient, service: &str, needed: Option<u32>) -> bool {
    let value = serde_json::to_vec(&RequiredCapacity { needed }).unwrap_or_default();
    match store.append(FLEET_TOPIC, service, &value, None).await {
        Ok(_) => true,
        Err(error) => {
            tracing::info!("ordering: need not kept: {error}");
            false
        }
    }
}
