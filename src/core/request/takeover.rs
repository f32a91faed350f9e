//! Takes ticket tables over from a VM that is stopping.

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
                from: sender,
                to,
                table,
            } if to == cx.view.me.incarnation => self.take_over(cx, issuer, sender, table),
            RequestMessage::HandOverAnswer {
                issuer,
                number,
                answer,
            } => {
                if self.tables.take_pending(&issuer, number) {
                    self.finish_ticket(cx, &issuer, number, answer);
                }
                cx.send(from, RequestMessage::AnswerAck { issuer, number });
            }
            RequestMessage::TableAck { issuer } => {
                if let Some(handover) = &mut self.handover {
                    handover.on_table_ack(&issuer);
                }
            }
            RequestMessage::AnswerAck { issuer, number } => {
                if let Some(handover) = &mut self.handover {
                    handover.on_answer_ack(issuer, number);
                }
            }
            _ => {}
        }
    }

    pub(super) fn take_over(
        &mut self,
        cx: &mut Cx<'_>,
        issuer: Issuer,
        sender: Issuer,
        table: TableExport,
    ) {
        let is_known = self.tables.table(&issuer).is_some();
        if self.stopping && !is_known {
            return;
        }
        let to = sender.vm.clone();
        if self.tables.take_over(cx.now, issuer.clone(), sender, table) {
            cx.count(Counter::TicketTableTakenOver);
            cx.note(Notice::TicketsTakenOver, issuer.to_string());
            self.tables.announce(cx);
        }
        cx.send(&to, RequestMessage::TableAck { issuer });
    }

    pub(super) fn finish_orphans(&mut self, cx: &mut Cx<'_>) {
        for (issuer, number) in self.tables.take_orphans(cx.view) {
            let answer = Answer::unknown(UnknownReason::VmGone);
            self.finish_ticket(cx, &issuer, number, answer);
        }
    }
}
