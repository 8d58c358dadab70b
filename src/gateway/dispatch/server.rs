//! Receives datagrams: queries and reports of other instances, and answers to queries of
//! this one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::sleep;

use super::{
    client::Dispatch,
    datagram::{MAX_BYTES, decode},
    frames::datagram::Body,
    planner::Planner,
};
use crate::{gateway::state::State, policy::dispatch::PlacementKey};

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receives and handles datagrams. Never returns.
pub(in crate::gateway) async fn serve(state: Arc<State>, dispatch: Arc<Dispatch>) {
    let planner = Planner::default();
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match dispatch.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram reached a host on which no process listens.
                tracing::debug!("dispatch: cannot receive: {error}");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(Some(body)) => handle(&state, &dispatch, &planner, from, body),
            Ok(None) => {}
            Err(error) => {
                metrics::counter!("dispatch_datagrams_malformed_total").increment(1);
                tracing::debug!("dispatch: malformed datagram: {error}");
            }
        }
    }
}

fn handle(
    state: &Arc<State>,
    dispatch: &Dispatch,
    planner: &Planner,
    from: SocketAddr,
    body: Body,
) {
    let key = |number| PlacementKey {
        instance: from,
        number,
    };
    match body {
        Body::Query(query) => {
            let answer = planner.place(state, key(query.number), &query);
            dispatch.send(from, answer);
        }
        Body::Notice(notice) => planner.note(state, key(notice.number), notice),
        Body::Prefilled(prefilled) => {
            let is_own = from == dispatch.own_address;
            planner.record_prefilled(state, key(prefilled.number), &prefilled, is_own);
        }
        Body::Ended(ended) => planner.end(&ended.service, key(ended.number)),
        // An attempt of this instance was counted when it failed.
        Body::Failure(_) if from == dispatch.own_address => {}
        Body::Failure(failure) => planner.record_failure(state, &failure),
        Body::Placed(placed) => dispatch.complete(placed.number, from, Body::Placed(placed)),
        Body::Refused(refused) => dispatch.complete(refused.number, from, Body::Refused(refused)),
        Body::Declined(declined) => {
            dispatch.complete(declined.number, from, Body::Declined(declined))
        }
    }
}
