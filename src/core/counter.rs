//! Counters behind the metrics, one for each reason to refuse or to retry.

macro_rules! counters {
    ($($variant:ident, $name:literal, $help:literal;)*) => {
        /// A counted event, described by the help text of its metric.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Counter {
            $(#[doc = $help] $variant,)*
        }

        impl Counter {
            /// All counters, in the order of their declaration.
            pub const ALL: &'static [Counter] = &[$(Counter::$variant,)*];

            /// Returns the metric's name, without the project's prefix.
            pub fn name(self) -> &'static str {
                match self { $(Counter::$variant => $name,)* }
            }

            /// Returns the metric's help text.
            pub fn help(self) -> &'static str {
                match self { $(Counter::$variant => $help,)* }
            }
        }
    };
}

counters! {
    // Flows.
    PacketForwarded, "packets_forwarded", "Packets sent to a backend server.";
    PacketMalformed, "packets_malformed", "Packets dropped because they could not be decoded.";
    PacketUnknownService, "packets_unknown_service", "Packets dropped because no service has their address.";
    PacketRelayed, "packets_relayed", "Packets relayed to another VM.";
    FlowOpened, "flows_opened", "New flows assigned to a backend server.";
    FlowRefused, "flows_refused", "New flows refused because no backend server can take them.";
    FlowBroken, "flows_broken", "Established flows that lost their backend server.";
    PacketHeld, "packets_held", "Packets kept until other VMs have told where flows live.";
    PacketHoldOverflow, "packets_hold_overflow", "Packets dropped because too many were held.";
    PacketStale, "packets_stale", "Packets that open a flow, dropped because they may have waited out a pause of this VM.";
    FlowPinned, "flows_pinned", "New flows registered with the homes of their bucket.";
    FlowGuessed, "flows_guessed", "Packets placed by the lookup table because no VM was sure.";
    FlowTableFull, "flow_table_full", "Flows not recorded because the flow table was full.";
    FlowAnswerSkipped, "flow_answers_skipped", "Answers to other VMs skipped because of the control budget.";
    // Requests.
    RequestAnswered, "requests_answered", "Requests answered by a backend server.";
    RequestRefusedNoSlot, "requests_refused_no_slot", "Requests refused because every slot was busy.";
    RequestRefusedNoBackend, "requests_refused_no_backend", "Requests refused because no backend server takes new work.";
    RequestRefusedNoService, "requests_refused_no_service", "Requests refused because no service has their name.";
    RequestRefusedStopping, "requests_refused_stopping", "Requests refused because the VM is stopping.";
    RequestRefusedDeadline, "requests_refused_deadline", "Requests refused because their deadline passed before they were sent.";
    RequestRefusedShed, "requests_refused_shed", "Requests refused because backend servers were overloaded.";
    RequestRefusedNotConnected, "requests_refused_not_connected", "Requests refused because no connection to a backend server could be made.";
    RequestRefusedTicketExpired, "requests_refused_ticket_expired", "Requests refused because their ticket had expired unused.";
    RequestTicketNeeded, "requests_refused_ticket_needed", "Non-idempotent requests refused because they had no ticket.";
    RequestTicketInvalid, "requests_refused_ticket_invalid", "Requests refused because their ticket could not be read.";
    RequestTicketMismatch, "requests_refused_ticket_mismatch", "Requests refused because their ticket belongs to another request.";
    RequestBodyTooLarge, "requests_refused_body_too_large", "Non-idempotent requests refused because of the size of their body.";
    RequestUnknownTimeout, "requests_unknown_timeout", "Requests whose outcome is unknown because the answer did not come in time.";
    RequestUnknownConnectionLost, "requests_unknown_connection_lost", "Requests whose outcome is unknown because a connection was lost.";
    RequestUnknownVmGone, "requests_unknown_vm_gone", "Requests whose outcome is unknown because the VM that ran them is gone.";
    RequestUnknownDataCentreOut, "requests_unknown_data_centre_out", "Requests whose outcome is unknown because a data centre was taken out.";
    RequestUnknownStopping, "requests_unknown_stopping", "Requests with a ticket that a stopping VM did not take.";
    RequestUnknownTicketForgotten, "requests_unknown_ticket_forgotten", "Requests whose outcome is unknown because their ticket is too old.";
    RequestUnknownAnswerForgotten, "requests_unknown_answer_forgotten", "Requests that ended and whose answer is no longer kept.";
    RequestRetriedNotConnected, "requests_retried_not_connected", "Retries because no connection to a backend server could be made.";
    RequestRetriedShed, "requests_retried_shed", "Retries because a backend server was overloaded.";
    RequestRetriedLate, "requests_retried_late", "Retries because a backend server got the request after its deadline.";
    RequestRetriedLost, "requests_retried_lost", "Retries of idempotent requests because no answer came.";
    RequestRetryDenied, "requests_retry_denied", "Retries not made because the retry budget was spent.";
    RequestQueued, "requests_queued", "Requests that waited for a slot.";
    RequestQueueFull, "requests_queue_full", "Requests refused because too many waited for a slot.";
    RequestCancelled, "requests_cancelled", "Requests cancelled because their caller was gone.";
    CallerGone, "callers_gone", "Callers who were gone before their answer.";
    AttemptOutcomeLate, "attempt_outcomes_late", "Answers of backend servers that came after the request had ended.";
    RequestRelayed, "requests_relayed", "Requests relayed to the VM that decides about their ticket.";
    RequestRelayRepeated, "request_relays_repeated", "Repeats of relayed requests that were not answered.";
    RelayedRequestLate, "relayed_requests_late", "Relayed requests that arrived after their deadline.";
    RelayedAnswerLate, "relayed_answers_late", "Answers to relayed requests that had ended.";
    TicketIssued, "tickets_issued", "Tickets issued.";
    TicketRepeated, "tickets_repeated", "Repeats of a request with the same ticket.";
    TicketTableTakenOver, "ticket_tables_taken_over", "Ticket tables taken over from stopping VMs.";
    // Capacity.
    SlotAsked, "slots_asked", "Slots asked of other VMs.";
    SlotAskDenied, "slot_asks_denied", "Asks for a slot that the owner denied.";
    SlotAskLost, "slot_asks_lost", "Asks for a slot that got no answer.";
    SlotRefusedBusy, "slots_refused_busy", "Acquisitions refused because every slot was busy.";
    SlotRefusedNoBackend, "slots_refused_no_backend", "Acquisitions refused because no backend server takes new work.";
    AllowanceFellShed, "allowances_fell_shed", "Backend servers taken for cold because they shed a request.";
    AllowanceFellLost, "allowances_fell_lost", "Backend servers taken for cold because an answer did not come.";
    AllowanceFellUnreachable, "allowances_fell_unreachable", "Backend servers taken for cold because they could not be reached.";
    AllowanceFellSlow, "allowances_fell_slow", "Backend servers taken for cold because answers became slow.";
    AllowanceFellRestarted, "allowances_fell_restarted", "Backend servers taken for cold because an answer named a new run.";
    OwnershipGained, "ownerships_gained", "Backend servers whose slots this VM began to hand out.";
    OwnershipLapsed, "ownerships_lapsed", "Backend servers lost because promises were not renewed in time.";
    OwnershipReleased, "ownerships_released", "Backend servers handed to another VM.";
    // Intents and configuration.
    ConfigurationApplied, "configurations_applied", "Generations that took effect on this VM.";
    ConfigurationRefused, "configuration_objects_refused", "Objects refused in records that the platform held.";
    ConfigurationStale, "configurations_stale", "Records ignored because their generation was not above the one in force.";
    ConfigurationDiverged, "configurations_diverged", "Records ignored because they differ from the one in force at the same generation.";
    ConfigurationRepaired, "configurations_repaired", "Records replaced because the platform held a bad or older one.";
    PlatformCalled, "platform_calls", "Calls to the platform, a watch counted as one.";
    PlatformNoAnswer, "platform_no_answer", "Calls to the platform that had no answer.";
    PlatformConflict, "platform_conflicts", "Conditional writes refused because the object had changed.";
    PlatformRefused, "platform_refused", "Calls that the platform refused.";
    PlanMade, "plans_made", "Plans stored for operators.";
    PlanConfirmed, "plans_confirmed", "Confirmations that took effect or had taken effect before.";
    PlanRefusedInvalid, "plans_refused_invalid", "Intents refused because the objects make no sense.";
    PlanRefusedUnknown, "plans_refused_unknown", "Calls refused because no such plan is stored.";
    PlanRefusedSuperseded, "plans_refused_superseded", "Confirmations refused because another plan was confirmed first.";
    PlanRefusedPlatform, "plans_refused_platform", "Operators' calls given up because the platform did not answer.";
    PlanOutcomeUnknown, "plans_outcome_unknown", "Confirmations whose outcome could not be learnt in time.";
    PlanRetryNoAnswer, "plan_retries_no_answer", "Operators' calls repeated at the platform after no answer.";
    PlanRetryConflict, "plan_retries_conflict", "Operators' calls repeated at the platform after a conflict.";
    PlanRetryStale, "plan_retries_stale", "Operators' calls repeated at the platform after a read that was out of date.";
    RampAdvanced, "ramps_advanced", "Steps by which this VM raised a returning data centre's share.";
    RampRetried, "ramps_retried", "Ramp steps tried again after a conflict or no answer.";
    ConfigurationFetched, "configurations_fetched", "Requests to a peer for its configuration.";
    // The process.
    EventOverflow, "events_overflow", "Packets and messages dropped because the engine's queue was full.";
    ActionOverflow, "actions_overflow", "Packets and messages dropped because a service's queue was full.";
    PacketOverflow, "packets_overflow", "Packets dropped because the socket's send buffer was full.";
    // Peers.
    PeerMalformed, "peer_messages_malformed", "Messages of peers dropped because they could not be decoded.";
    PeerForEarlierRun, "peer_messages_for_earlier_run", "Messages of peers dropped because they were meant for an earlier run of this VM.";
    PeerNameClash, "peer_name_clashes", "Heartbeats dropped because another VM uses this VM's name.";
    PeerBeyondLimit, "peers_beyond_limit", "Heartbeats dropped because the view is full.";
    PeerOverflow, "peer_messages_overflow", "Messages to peers dropped because a queue was full.";
}

/// The values of all counters of one process.
#[derive(Clone, Debug)]
pub struct Counters {
    /// Invariant: one entry for each variant, indexed by its discriminant.
    counts: Vec<u64>,
}

impl Default for Counters {
    fn default() -> Counters {
        Counters {
            counts: vec![0; Counter::ALL.len()],
        }
    }
}

impl Counters {
    /// Adds one to `counter`.
    pub fn add(&mut self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Adds `n` to `counter`.
    pub fn add_many(&mut self, counter: Counter, n: u64) {
        self.counts[counter as usize] += n;
    }

    /// Returns the value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }
}
