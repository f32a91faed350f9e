//! The platform's object API: versions, conditional writes and watches.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use actix_web::{
    App,
    HttpRequest,
    HttpResponse,
    HttpServer,
    web, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

/// How often a watch looks for a change.
const WATCH_POLL: Duration = Duration::from_millis(20);

/// An object with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// Increases with each write to any object.
    pub version: u64,
    /// The value.
    pub value: Value,
}

#[derive(Default)]
struct Store {
    last_version: u64,
    objects: BTreeMap<String, Object>,
}

type Shared = Arc<Mutex<Store>>;

#[derive(Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    #[serde(rename = "timeout-ms")]
    timeout_ms: Option<u64>,
}

/// Serves the API at `listen`.
///
/// # Errors
///
/// Fails if `listen` cannot be bound.
pub async fn serve(listen: SocketAddr) -> io::Result<()> {
    let store = Shared::default();
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Arc::clone(&store)))
            .route("/v1/objects/{kind}/{name}", web::get().to(get))
            .route("/v1/objects/{kind}/{name}", web::put().to(put))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await
}

async fn get(
    store: web::Data<Shared>,
    key: web::Path<(String, String)>,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    let key = format!("{}/{}", key.0, key.1);
    let polls = query.timeout_ms.unwrap_or(0) / WATCH_POLL.as_millis() as u64;
    for _ in 0..polls {
        if version(&store, &key) != query.after.unwrap_or(0) {
            break;
        }
        actix_rt::time::sleep(WATCH_POLL).await;
    }
    if query
        .after
        .is_some_and(|after| after == version(&store, &key))
    {
        return HttpResponse::NotModified().finish();
    }
    let store = store.lock().unwrap_or_else(PoisonError::into_inner);
    match store.objects.get(&key) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put(
    store: web::Data<Shared>,
    key: web::Path<(String, String)>,
    req: HttpRequest,
    value: web::Json<Value>,
) -> HttpResponse {
    let key = format!("{}/{}", key.0, key.1);
    let expected = req
        .headers()
        .get("if-match")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse::<u64>().ok());
    let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
    let current = store.objects.get(&key).map_or(0, |o| o.version);
    if expected.is_some_and(|expected| expected != current) {
        return HttpResponse::PreconditionFailed().finish();
    }
    store.last_version += 1;
    let object = Object {
        version: store.last_version,
        value: value.into_inner(),
    };
    store.objects.insert(key, object.clone());
    HttpResponse::Ok().json(object)
}

fn version(store: &Shared, key: &str) -> u64 {
    let store = store.lock().unwrap_or_else(PoisonError::into_inner);
    store.objects.get(key).map_or(0, |o| o.version)
}
