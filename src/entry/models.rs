//! Listing of models: `GET /v1/models` and `GET /v1/models/{model}`.

use salvo::{Request, Response, http::Method};

use crate::{
    entry::{
        answer::{ModelBody, ModelListBody},
        auth::KeyDigest,
        context::EntryContext,
        error::{Error, Result},
        reply::Reply,
        router::ServiceIndex,
    },
    ledger::{KeyEntry, ServiceEntry},
};

const MODELS_PATH: &str = "/v1/models";

/// Whether a request is for the list of models or for one model.
pub(super) fn is_models_path(request: &Request) -> bool {
    model_of(request.uri().path()).is_some()
}

/// Returns the model name in the path of a request for one model, an empty string
/// for the path of the list of models, and `None` for any other path.
fn model_of(path: &str) -> Option<&str> {
    let suffix = path.strip_prefix(MODELS_PATH)?.trim_end_matches('/');
    if suffix.is_empty() {
        return Some(suffix);
    }
    suffix.strip_prefix('/')
}

/// Responds with the models that the caller may use: those of all services with
/// an open route to engines, and those of the service that the caller's key
/// belongs to.
///
/// # Errors
///
/// Returns [`Error::MethodNotAllowed`] for methods other than `GET`,
/// [`Error::InvalidKey`] for an unknown key, [`Error::MissingKey`] without a key if
/// no service has an open route to engines, and [`Error::ModelNotFound`] if the
/// caller may use no model of the requested name.
pub(super) fn answer(
    index: &ServiceIndex,
    context: &EntryContext,
    request: &Request,
    digest: Option<KeyDigest>,
    key: Option<&KeyEntry>,
    response: &mut Response,
) -> Result<()> {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return Err(Error::MethodNotAllowed {
            path: path.to_owned(),
            method: request.method().to_string(),
            allow: "GET".to_owned(),
        });
    }
    if digest.is_some() && key.is_none() {
        return Err(Error::InvalidKey);
    }
    let mut services = index.open_services();
    if let Some(key) = key {
        let service = context
            .ledger()
            .read(|ledger| ledger.service(&key.service).cloned());
        services.retain(|open| open.document.service != key.service);
        services.extend(service);
    }
    if services.is_empty() && key.is_none() {
        return Err(Error::MissingKey);
    }
    let mut models = Vec::new();
    for service in &services {
        append_models(&mut models, service);
    }
    let name = model_of(path).unwrap_or_default();
    let body = if name.is_empty() {
        serde_json::to_vec(&ModelListBody {
            object: "list",
            data: models,
        })
    } else {
        let found = models.into_iter().find(|model| model.id == name);
        serde_json::to_vec(&found.ok_or_else(|| Error::ModelNotFound {
            model: name.to_owned(),
        })?)
    };
    Reply::json(body.unwrap_or_default()).write(response);
    Ok(())
}

/// Appends the models of a service, each followed by its adapters as
/// `MODEL:ADAPTER`.
fn append_models(models: &mut Vec<ModelBody>, service: &ServiceEntry) {
    let owner = &service.document.team;
    for model in &service.document.models {
        let mut names = vec![model.name.to_string()];
        names.extend(model.adapters.iter().map(|a| format!("{}:{a}", model.name)));
        for id in names {
            models.push(ModelBody {
                id,
                object: "model",
                created: 0,
                owned_by: owner.clone(),
            });
        }
    }
}
