//! Serves the routers' readiness probe and the metrics over HTTP.

use std::{
    convert::Infallible,
    io,
    rc::Rc,
    time::Duration, //
};

use actix_http::{
    HttpService,
    Request,
    Response,
    StatusCode, //
};
use actix_rt::net::TcpListener;
use actix_service::{
    IntoServiceFactory,
    Service,
    ServiceFactory,
    fn_service, //
};

use super::{
    entry_vm::EntryVm, //
    format::PlatformFormat,
};

/// The HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Starts the HTTP servers for the readiness probe and the metrics.
///
/// # Errors
///
/// Fails if the address for readiness probes cannot be bound.
pub async fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) -> io::Result<()> {
    let probe_listener = TcpListener::bind(vm.settings.ready).await?;
    let state = Rc::clone(vm);
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .h1(fn_service(move |req: Request| {
            let response = respond(&state, &req);
            async move { Ok::<_, Infallible>(response) }
        })
        .into_factory())
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| io::Error::other("failed to start the readiness service"))?;
    let service = Rc::new(service);
    actix_rt::spawn(accept(probe_listener, Rc::clone(&service)));
    // Without the metrics listener the VM still steers.
    match TcpListener::bind(vm.settings.metrics).await {
        Ok(metrics) => {
            actix_rt::spawn(accept(metrics, service));
        }
        Err(e) => tracing::error!(
            address = %vm.settings.metrics,
            error = %e,
            "failed to bind the metrics listener; set another address in [listen] metrics"
        ),
    }
    Ok(())
}

async fn accept<S>(listener: TcpListener, service: Rc<S>)
where
    S: Service<actix_rt::net::TcpStream> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    if service.call(stream).await.is_err() {
                        tracing::debug!("an HTTP connection ended with an error");
                    }
                });
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to accept an HTTP connection");
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn respond<F: PlatformFormat>(vm: &EntryVm<F>, req: &Request) -> Response<String> {
    if req.path() == METRICS_PATH {
        return Response::new(StatusCode::OK).set_body(metrics(vm));
    }
    if req.path() != vm.format.readiness_path() {
        let text = format!("ask for {} or {METRICS_PATH}\n", vm.format.readiness_path());
        return Response::new(StatusCode::NOT_FOUND).set_body(text);
    }
    if vm.steering.borrow().is_ready() {
        return Response::new(StatusCode::OK).set_body("ready\n".to_owned());
    }
    Response::new(StatusCode::SERVICE_UNAVAILABLE).set_body("not ready\n".to_owned())
}

fn metrics<F>(vm: &EntryVm<F>) -> String {
    let lost_lines = vm.lost_lines.dropped_lines();
    let now = vm.clock.now();
    vm.metrics.encode(&vm.steering.borrow(), lost_lines, now)
}
