//! Calls to the platform's store, over HTTP.

use std::{
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

use super::{
    format::PlatformFormat,
    node::Node, //
};
use crate::{
    core::steering::{
        reading::Step,
        store::{
            Kind,
            StoreAnswer,
            StoreCall, //
        },
    },
    kernel::clock::Millis,
};

/// How long an answer may take beyond what the call asks for.
const ANSWER_TIMEOUT: Millis = Millis(700);

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The largest answer in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Starts to follow one kind of object.
pub fn spawn<F: PlatformFormat + 'static>(node: &Rc<Node<F>>, kind: Kind) {
    actix_rt::spawn(follow(Rc::clone(node), kind));
}

async fn follow<F: PlatformFormat + 'static>(node: Rc<Node<F>>, kind: Kind) {
    let mut client = connect();
    loop {
        let step = node.steering.borrow_mut().next_call(kind, node.clock.now());
        let call = match step {
            Step::Wait(span) => {
                sleep(Duration::from_millis(span.0)).await;
                continue;
            }
            Step::Call(call) => call,
        };
        let sent = node.clock.now();
        let answer = answer(&node, &client, &call).await;
        if answer == StoreAnswer::NoAnswer {
            // The connection may have gone silent; the next call gets another.
            client = connect();
        }
        node.metrics.count_call(kind, &answer);
        let now = node.clock.now();
        node.steering
            .borrow_mut()
            .on_answer(&call, answer, sent, now);
        node.act();
    }
}

fn connect() -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT);
    Client::builder()
        .disable_timeout()
        .connector(connector)
        .finish()
}

async fn answer<F: PlatformFormat>(
    node: &Node<F>,
    client: &Client,
    call: &StoreCall,
) -> StoreAnswer {
    let path = node.format.store_path(call);
    let url = format!("http://{}{path}", node.settings.store);
    let limit = Duration::from_millis((ANSWER_TIMEOUT + call.wait()).0);
    match timeout(limit, get(client, url)).await {
        Ok(Ok((status, body))) => node.format.read_answer(call, status, &body),
        Ok(Err(e)) => {
            tracing::info!(kind = %call.kind(), error = %e, "the store gave no answer");
            StoreAnswer::NoAnswer
        }
        Err(_) => {
            tracing::info!(kind = %call.kind(), "the store gave no answer in time");
            StoreAnswer::NoAnswer
        }
    }
}

async fn get(client: &Client, url: String) -> Result<(u16, Bytes), Box<dyn std::error::Error>> {
    let mut response = client.get(url).send().await?;
    let body = response.body().limit(MAX_ANSWER).await?;
    Ok((response.status().as_u16(), body))
}
