//! Admission of requests: resolves the route, checks the API key and sets the
//! deadline and priority.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::{
    call::{Call, Caller},
    catalog::{Account, Catalog, Route},
    gateway::{caller::reply::Refusal, state::State},
    platform::CallerHead,
};

/// Route of a request, and the client account that the caller's API key belongs to.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct Permission {
    pub(in crate::gateway) route: Arc<Route>,
    /// `None` if the route needs no key.
    pub(in crate::gateway) account: Option<Arc<Account>>,
}

/// Resolves the route of a request and checks the caller's API key.
///
/// # Errors
///
/// Fails if no route matches the host and path, or if the route needs a key and
/// the caller's is missing or unknown.
pub(in crate::gateway) fn permit(
    catalog: &Catalog,
    head: &CallerHead,
    path: &str,
) -> Result<Permission, Refusal> {
    let route = catalog.route(&head.host, path).ok_or(Refusal::NoRoute)?;
    if !catalog.needs_key(route) {
        return Ok(Permission {
            route: route.clone(),
            account: None,
        });
    }
    let account = head.key.as_deref().and_then(|key| catalog.account(key));
    Ok(Permission {
        route: route.clone(),
        account: Some(account.ok_or(Refusal::UnknownKey)?.clone()),
    })
}

/// A request whose body has been read completely.
#[derive(Debug)]
pub(in crate::gateway) struct ReceivedRequest<'a> {
    pub(in crate::gateway) head: &'a CallerHead,
    pub(in crate::gateway) parts: &'a Parts,
    pub(in crate::gateway) body: Bytes,
    pub(in crate::gateway) received_at: Instant,
    pub(in crate::gateway) caller: Caller,
}

/// Converts a received request into a [`Call`], under the latest configuration.
///
/// The caller's deadline applies only if it is shorter than the route's timeout.
/// The priority of a client account takes precedence over that of the route.
///
/// # Errors
///
/// Fails as [`permit`] does, if the route has no service, if the request has no
/// path, or if no configuration has been read yet.
pub(in crate::gateway) fn admit(
    state: &State,
    received: ReceivedRequest<'_>,
) -> Result<Call, Refusal> {
    let catalog = state.catalog().ok_or(Refusal::NotReady)?;
    let path = received.parts.uri.path();
    let permission = permit(&catalog, received.head, path)?;
    let Permission { route, account } = permission;
    let service = route
        .choose_service(rand::random())
        .ok_or(Refusal::NoTarget)?;
    let path_and_query = received.parts.uri.path_and_query();
    let timeout = received
        .head
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let priority = account
        .as_ref()
        .and_then(|account| account.priority)
        .unwrap_or(route.priority);
    Ok(Call {
        id: received.head.id.clone(),
        service: service.clone(),
        account,
        method: received.parts.method.clone(),
        path: path_and_query.ok_or(Refusal::BadRequest)?.clone(),
        headers: received.head.headers.clone(),
        body: received.body,
        prompt: received.head.prompt.clone().filter(|_| route.generates),
        resume_after: received.head.resume_after.clone(),
        priority,
        received_at: received.received_at,
        deadline: received.received_at + timeout,
        fingerprints: OnceLock::new(),
        caller: received.caller,
        route,
    })
}

/// Returns whether the latest configuration still admits a call, that is, whether
/// the current route leads to the call's service and the caller's key still belongs
/// to the call's account.
pub(in crate::gateway) fn is_still_permitted(
    state: &State,
    call: &Call,
    head: &CallerHead,
) -> bool {
    let Some(catalog) = state.catalog() else {
        return false;
    };
    match permit(&catalog, head, call.path.path()) {
        Ok(permission) => {
            permission.route.routes_to(&call.service)
                && permission.account.as_ref().map(|account| &account.name)
                    == call.account.as_ref().map(|account| &account.name)
        }
        Err(_) => false,
    }
}
