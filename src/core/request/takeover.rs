//! Takes over the tickets of a VM that stops.

use crate::core::{
    counter::Counter,
    cx::Cx,
    names::VmId,
    notice::Notice,
    request::{
        Answer,
        Issuer,
        RequestMessage,
        Requests,
        TableExport,
        UnknownReason, //
    },
};

impl Requests {
    pub(super) fn on_hand_over_message(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        msg: RequestMessage,
    ) {
        match msg {
            RequestMessage::HandOverTable {
                issuer,
                from: giver,
                to,
                table,
            } if to == cx.view.me.incarnation => self.take_over(cx, issuer, giver, table),
            RequestMessage::HandOverAnswer {
                issuer,
                number,
                answer,
            } => {
                if self.tickets.on_kept(&issuer, number) {
                    self.finish_ticket(cx, &issuer, number, answer);
                }
                cx.send(from, RequestMessage::AnswerAck { issuer, number });
            }
            RequestMessage::TableAck { issuer } => {
                if let Some(hand_over) = &mut self.hand_over {
                    hand_over.on_taken(&issuer);
                }
            }
            RequestMessage::AnswerAck { issuer, number } => {
                if let Some(hand_over) = &mut self.hand_over {
                    hand_over.on_kept_taken(issuer, number);
                }
            }
            _ => {}
        }
    }

    pub(super) fn take_over(
        &mut self,
        cx: &mut Cx<'_>,
        issuer: Issuer,
        giver: Issuer,
        table: TableExport,
    ) {
        let had = self.tickets.table(&issuer).is_some();
        if self.stopping && !had {
            return;
        }
        let to = giver.vm.clone();
        if self.tickets.adopt(cx.now, issuer.clone(), giver, table) {
            cx.count(Counter::TicketTableTakenOver);
            cx.note(Notice::TicketsTakenOver, issuer.to_string());
            self.tickets.announce(cx);
        }
        cx.send(&to, RequestMessage::TableAck { issuer });
    }

    pub(super) fn finish_orphans(&mut self, cx: &mut Cx<'_>) {
        for (issuer, number) in self.tickets.take_orphans(cx.view) {
            let answer = Answer::unknown(UnknownReason::VmGone);
            self.finish_ticket(cx, &issuer, number, answer);
        }
    }
}
