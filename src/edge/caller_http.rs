//! Translates between callers' HTTP requests and responses and the engine's types.

use actix_web::{
    HttpRequest as WebRequest, HttpResponse as WebResponse, HttpResponseBuilder,
    http::{
        StatusCode,
        header, //
    },
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};

use crate::{
    core::{
        names::ServiceId,
        request::{
            Answer,
            Call,
            CallId,
            HttpRequest,
            HttpResponse,
            NotRunReason,
            UnknownReason, //
        },
    },
    edge::headers::{
        self,
        OUTCOME_HEADER,
        RETRY_AFTER_MS_HEADER,
        TICKET_HEADER,
        TIMEOUT_HEADER, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The timeout of a request without a timeout header.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);

/// The maximum timeout of a request.
const MAX_TIMEOUT: Millis = Millis::from_secs(600);

/// An error in a caller's request. Its text is sent to the caller.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BadRequest {
    /// The timeout is not a number or out of range.
    #[display("{TIMEOUT_HEADER} must be a whole number from 1 to 600000")]
    Timeout,
    /// The Host header does not name a service.
    #[display("name the service in the Host header")]
    Host,
    /// The ticket is not valid text.
    #[display("{TICKET_HEADER} must be the text of a ticket")]
    Ticket,
}

/// Converts a request into a call with the given ID, received at `now`.
///
/// # Errors
///
/// Fails if a header is missing or malformed.
pub fn read(id: CallId, now: Time, req: &WebRequest, body: Bytes) -> Result<Call, BadRequest> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    Ok(Call {
        id,
        service: read_service(req)?,
        ticket: read_ticket(req)?,
        deadline: now + read_timeout(req)?,
        request: HttpRequest {
            method: req.method().as_str().to_owned(),
            path: path.to_owned(),
            headers: headers::end_to_end(req.headers()),
            body,
        },
    })
}

fn read_service(req: &WebRequest) -> Result<ServiceId, BadRequest> {
    let host = req.headers().get(header::HOST).ok_or(BadRequest::Host)?;
    let host = host.to_str().map_err(|_| BadRequest::Host)?;
    let name = host.split(':').next().unwrap_or_default();
    if name.is_empty() {
        return Err(BadRequest::Host);
    }
    Ok(ServiceId::new(name))
}

fn read_ticket(req: &WebRequest) -> Result<Option<String>, BadRequest> {
    let Some(value) = req.headers().get(TICKET_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadRequest::Ticket)?;
    Ok(Some(text.to_owned()))
}

fn read_timeout(req: &WebRequest) -> Result<Millis, BadRequest> {
    let Some(value) = req.headers().get(TIMEOUT_HEADER) else {
        return Ok(DEFAULT_TIMEOUT);
    };
    let text = value.to_str().map_err(|_| BadRequest::Timeout)?;
    let timeout = text.parse().map_err(|_| BadRequest::Timeout)?;
    if timeout == 0 || timeout > MAX_TIMEOUT.0 {
        return Err(BadRequest::Timeout);
    }
    Ok(Millis(timeout))
}

/// Returns the response to a malformed request.
pub fn reject(reason: BadRequest) -> WebResponse {
    reject_with(StatusCode::BAD_REQUEST, &reason.to_string())
}

/// Converts the engine's final answer into a response.
pub fn write(answer: Answer) -> WebResponse {
    match answer {
        Answer::Answered(response) => to_web_response(response),
        Answer::NotRun {
            reason,
            retry_after,
        } => not_run(reason, retry_after),
        Answer::Unknown { reason } => unknown(reason),
        Answer::TicketNeeded { ticket } => {
            response_builder(StatusCode::PRECONDITION_REQUIRED, "rejected")
                .insert_header((TICKET_HEADER, ticket))
                .body("repeat the request with this ticket\n")
        }
        Answer::TicketInvalid => reject_with(
            StatusCode::BAD_REQUEST,
            "the ticket cannot be read; ask for a new one",
        ),
        Answer::TicketMismatch => reject_with(
            StatusCode::CONFLICT,
            "the ticket was used for another request; ask for a new one",
        ),
        Answer::BodyTooLarge => reject_with(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body of a non-idempotent request may have 4 MiB; send less",
        ),
    }
}

fn not_run(reason: NotRunReason, retry_after: Millis) -> WebResponse {
    let mut answer = response_builder(StatusCode::SERVICE_UNAVAILABLE, "not-run");
    answer.insert_header((header::RETRY_AFTER, ceil_seconds(retry_after)));
    answer.insert_header((RETRY_AFTER_MS_HEADER, retry_after.0.to_string()));
    if reason == NotRunReason::Stopping {
        answer.force_close();
    }
    answer.body(format!("not run: {reason}\n"))
}

fn unknown(reason: UnknownReason) -> WebResponse {
    let mut answer = response_builder(StatusCode::GATEWAY_TIMEOUT, "unknown");
    if reason == UnknownReason::Stopping {
        answer.force_close();
    }
    answer.body(format!("outcome unknown: {reason}\n"))
}

fn reject_with(status: StatusCode, remedy: &str) -> WebResponse {
    response_builder(status, "rejected").body(format!("rejected: {remedy}\n"))
}

fn response_builder(status: StatusCode, outcome: &'static str) -> HttpResponseBuilder {
    let mut answer = WebResponse::build(status);
    answer.insert_header((OUTCOME_HEADER, outcome));
    answer
}

fn to_web_response(response: HttpResponse) -> WebResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = WebResponse::build(status);
    for header in &response.headers {
        answer.append_header((header.name.as_str(), header.value.as_ref()));
    }
    answer.body(response.body)
}

fn ceil_seconds(delay: Millis) -> String {
    delay.0.div_ceil(1_000).max(1).to_string()
}
