//! Delivers final answers, exactly one per request.

use crate::core::{
    action::Action,
    cx::Cx,
    request::{
        Answer,
        CallId,
        Issuer,
        RequestMessage,
        Requests,
        UnknownReason,
        Waiter,
        job::Recipient, //
    },
};

/// Maximum size of an answer sent to another VM, in bytes.
const MAX_RELAYED_ANSWER_BYTES: usize = 7 << 20;

impl Requests {
    /// Delivers the answers of finished requests.
    pub(super) fn deliver_answers(&mut self, cx: &mut Cx<'_>) {
        for finished in self.runner.take_finished() {
            match finished.recipient {
                Recipient::Call(call) => answer_call(cx, call, finished.answer),
                Recipient::Ticket { issuer, number } => {
                    self.finish_ticket(cx, &issuer, number, finished.answer);
                }
            }
        }
    }

    pub(super) fn finish_ticket(
        &mut self,
        cx: &mut Cx<'_>,
        issuer: &Issuer,
        number: u64,
        answer: Answer,
    ) {
        let Some(table) = self.tables.table(issuer) else {
            return;
        };
        for waiter in table.finish(number, &answer) {
            self.reply(cx, &waiter, answer.clone());
        }
        if let Some(handover) = &mut self.handover {
            handover.add_answer(issuer.clone(), number, answer);
        }
    }

    pub(super) fn reply(&mut self, cx: &mut Cx<'_>, waiter: &Waiter, answer: Answer) {
        match waiter {
            Waiter::Call(call) => {
                if self.waiting.remove(call).is_some() {
                    answer_call(cx, *call, answer);
                }
            }
            Waiter::Peer { vm, relay } => {
                let answer = if answer.size() > MAX_RELAYED_ANSWER_BYTES {
                    Answer::unknown(UnknownReason::AnswerForgotten)
                } else {
                    answer
                };
                cx.send(vm, RequestMessage::RelayedAnswer { id: *relay, answer });
            }
        }
    }

    /// Answers ticket waiters whose deadline has passed.
    pub(super) fn expire_waiting(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let due: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in due {
            self.relays.cancel(call);
            let answer = Answer::unknown(UnknownReason::Timeout);
            self.reply(cx, &Waiter::Call(call), answer);
        }
    }
}

/// Sends the final answer of a call.
pub(super) fn answer_call(cx: &mut Cx<'_>, call: CallId, answer: Answer) {
    cx.count(answer.counter());
    cx.act(Action::Answer { call, answer });
}
