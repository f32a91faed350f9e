//! Calls to the platform's store, over HTTP.

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
    Connector, //
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
        PlatformFormat,
        StoreRequest, //
    },
};
use crate::{
    core::steering::{
        store::{
            Kind,
            StoreAnswer,
            StoreCall, //
        },
        store_reader::Step,
    },
    kernel::clock::Millis,
};

/// How long an answer may take beyond what the call asks for.
const ANSWER_TIMEOUT: Millis = Millis(700);

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a VM looks whether it has anything to register or look up.
const REGISTRATION_PAUSE: Duration = Duration::from_millis(500);

/// The largest answer in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Starts to follow one kind of object.
pub fn spawn<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>, kind: Kind) {
    actix_rt::spawn(follow(Rc::clone(vm), kind));
}

async fn follow<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>, kind: Kind) {
    let mut client = connect();
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
        let answer = answer(&vm, &client, &call).await;
        if answer == StoreAnswer::NoAnswer {
            // The connection may have gone silent; the next call gets another.
            client = connect();
        }
        let now = vm.clock.now();
        vm.steering.borrow_mut().on_answer(&call, answer, sent, now);
        vm.act();
    }
}

fn connect() -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT);
    Client::builder()
        .disable_timeout()
        .connector(connector)
        .finish()
}

/// Starts to tell the store where VMs may be found, and to look that up.
pub fn spawn_registration<F: PlatformFormat + 'static>(vm: &Rc<EntryVm<F>>) {
    actix_rt::spawn(register(Rc::clone(vm)));
}

async fn register<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    loop {
        sleep(REGISTRATION_PAUSE).await;
        let now = vm.clock.now();
        let call = vm.steering.borrow_mut().next_registration(now);
        let Some(call) = call else {
            continue;
        };
        let answer = answer(&vm, &connect(), &call).await;
        let now = vm.clock.now();
        vm.steering.borrow_mut().on_registration(answer, now);
    }
}

async fn answer<F: PlatformFormat>(
    vm: &EntryVm<F>,
    client: &Client,
    call: &StoreCall,
) -> StoreAnswer {
    let request = vm.format.store_request(call);
    let limit = Duration::from_millis((ANSWER_TIMEOUT + call.wait()).0);
    let subject = call.subject();
    let sending = Box::pin(send(client, vm.settings.store, request));
    let ended = select(sending, Box::pin(vm.resumed.notified()));
    let answer = match timeout(limit, ended).await {
        Ok(Either::Right(_)) => StoreAnswer::NoAnswer,
        Ok(Either::Left((Ok((status, body)), _))) => vm.format.read_answer(call, status, &body),
        Ok(Either::Left((Err(e), _))) => {
            tracing::debug!(subject, error = %e, "the store gave no answer");
            StoreAnswer::NoAnswer
        }
        Err(_) => {
            tracing::debug!(subject, "the store gave no answer in time");
            StoreAnswer::NoAnswer
        }
    };
    vm.metrics.count_call(subject, &answer);
    answer
}

async fn send(
    client: &Client,
    store: SocketAddrV4,
    request: StoreRequest,
) -> Result<(u16, Bytes), Box<dyn Error>> {
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
    let body = response.body().limit(MAX_ANSWER).await?;
    Ok((response.status().as_u16(), body))
}
