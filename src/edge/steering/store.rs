//! Calls the platform's store over HTTP.

use std::{
    error::Error,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use actix_rt::time::{
    sleep,
    timeout, //
};
use awc::{
    Client,
    Connector,
    http::header::HeaderMap, //
};
use bytes::Bytes;
use futures_util::future::{
    Either,
    select, //
};

use super::{
    entry_vm::EntryVm, //
    format::{
        Method,
        ParsedAnswer,
        PlatformFormat,
        StoreRequest, //
    },
};
use crate::{
    core::steering::{
        store::{
            Era,
            Kind,
            StoreAnswer,
            StoreCall, //
        },
        store_reader::Step,
    },
    kernel::clock::Millis,
};

/// The response timeout, added to the time a watch waits at the store.
const RESPONSE_TIMEOUT: Millis = Millis(700);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often the VM checks whether a registration or lookup is due.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum size of a response body in bytes.
const MAX_RESPONSE: usize = 8 << 20;

/// Starts the task that keeps the objects of one kind up to date.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, kind: Kind) {
    actix_rt::spawn(sync(Rc::clone(vm), kind));
}

async fn sync<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, kind: Kind) {
    let mut client = new_client();
    loop {
        let step = vm.steering.borrow_mut().next_call(kind, vm.clock.now());
        let call = match step {
            Step::Wait(span) => {
                sleep(Duration::from_millis(span.0)).await;
                continue;
            }
            Step::Call(call) => call,
        };
        let sent = vm.clock.now();
        let (answer, era) = call_store(&vm, &client, &call).await;
        if answer == StoreAnswer::NoAnswer {
            // The connection may be dead; the next call opens a new one.
            client = new_client();
        }
        let now = vm.clock.now();
        vm.steering
            .borrow_mut()
            .on_answer(&call, answer, era, sent, now);
        vm.run_actions();
    }
}

fn new_client() -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT);
    Client::builder()
        .disable_timeout()
        .connector(connector)
        .finish()
}

/// Starts the task that registers VM addresses at the store and looks them up.
pub fn spawn_registration<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    actix_rt::spawn(register(Rc::clone(vm)));
}

async fn register<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    loop {
        let now = vm.clock.now();
        let call = vm.steering.borrow_mut().next_registration(now);
        if let Some(call) = call {
            let (answer, _) = call_store(&vm, &new_client(), &call).await;
            let now = vm.clock.now();
            vm.steering.borrow_mut().on_registration(answer, now);
            vm.run_actions();
        }
        sleep(REGISTRATION_INTERVAL).await;
    }
}

/// Returns the answer and the era of the store, if it answered.
async fn call_store<F: PlatformFormat>(
    vm: &EntryVm<F>,
    client: &Client,
    call: &StoreCall,
) -> (StoreAnswer, Option<Era>) {
    let request = vm.format.store_request(call);
    let limit = Duration::from_millis((RESPONSE_TIMEOUT + call.wait()).0);
    let subject = call.subject();
    let response = Box::pin(send(client, vm.settings.store, request));
    let finished = select(response, Box::pin(vm.resumed.notified()));
    let response = match timeout(limit, finished).await {
        Ok(Either::Right(_)) => None,
        Ok(Either::Left((Ok(response), _))) => Some(response),
        Ok(Either::Left((Err(e), _))) => {
            tracing::debug!(subject, error = %e, "a call to the store failed");
            None
        }
        Err(_) => {
            tracing::debug!(subject, "a call to the store timed out");
            None
        }
    };
    let Some(response) = response else {
        vm.metrics.count_call(subject, &StoreAnswer::NoAnswer);
        return (StoreAnswer::NoAnswer, None);
    };
    let era = read_era(vm, &response.headers);
    let ParsedAnswer { answer, malformed } =
        vm.format
            .read_answer(call, response.status, era, &response.body);
    vm.steering.borrow_mut().on_malformed(malformed);
    vm.metrics.count_call(subject, &answer);
    (answer, Some(era))
}

/// Returns the era in the headers of a response. A store that gives none, or one
/// that cannot be read, is taken to be in the same era as before.
fn read_era<F: PlatformFormat>(vm: &EntryVm<F>, headers: &HeaderMap) -> Era {
    let value = headers.get(vm.format.era_header());
    let text = value.and_then(|v| v.to_str().ok());
    if let Some(number) = text.and_then(|t| t.trim().parse().ok()) {
        vm.store_era.set(vm.store_era.get().max(Era(number)));
        return Era(number);
    }
    let era = vm.store_era.get();
    vm.metrics.count_missing_era();
    let was_known = era > Era::default();
    if (was_known || value.is_some()) && !vm.is_era_missing.replace(true) {
        let header = vm.format.era_header();
        tracing::warn!(header, ?value, %era, "a response of the store has no valid era; check the store");
    }
    era
}

/// A response of the store.
struct Response {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

async fn send(
    client: &Client,
    store: SocketAddrV4,
    request: StoreRequest,
) -> Result<Response, Box<dyn Error>> {
    let url = format!("http://{store}{}", request.path);
    let call = match request.method {
        Method::Get => client.get(url),
        Method::Post => client.post(url),
        Method::Put => client.put(url),
    };
    let mut response = match request.body {
        Some(body) => call.send_json(&body).await?,
        None => call.send().await?,
    };
    let body = response.body().limit(MAX_RESPONSE).await?;
    Ok(Response {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        body,
    })
}
