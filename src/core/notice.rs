//! Numbered events for the log. `docs/EVENTS.md` lists the same numbers.

macro_rules! notices {
    ($($number:literal $variant:ident $level:ident $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Notice {
            $(#[doc = $text] $variant,)*
        }

        impl Notice {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Notice] = &[$(Notice::$variant,)*];

            /// Returns the number of the event.
            pub fn number(self) -> u16 {
                match self { $(Notice::$variant => $number,)* }
            }

            /// Returns the text of the event.
            pub fn text(self) -> &'static str {
                match self { $(Notice::$variant => $text,)* }
            }

            /// Returns the severity of the event.
            pub fn level(self) -> Level {
                match self { $(Notice::$variant => Level::$level,)* }
            }
        }
    };
}

/// The severity of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// An operator has to act.
    Error,
    /// An operator should investigate.
    Warn,
    /// Normal operation.
    Info,
}

notices! {
    // 1000: the process.
    1001 Started Info "The process has started.";
    1002 Stopping Info "A graceful shutdown has begun.";
    1003 Stopped Info "The graceful shutdown is complete.";
    1004 StopTimedOut Error "The graceful shutdown timed out and was cut short.";
    1005 StopForced Warn "A second signal cut the graceful shutdown short.";
    1006 Reloaded Info "The settings were reloaded.";
    1007 ReloadIncomplete Warn "The settings were reloaded, but some changes need a restart.";
    1008 ReloadRefused Error "The changed settings are invalid; the previous settings stay in force.";
    // 2000: membership.
    2001 PeerJoined Info "A VM has joined the view.";
    2002 PeerSuspected Warn "A VM is suspected to have failed because its heartbeats stopped.";
    2003 PeerLost Warn "A VM has left the view.";
    2004 IncarnationRaised Warn "Another VM knows a later incarnation of this VM because the wall clock was set back; this run took a higher one.";
    // 3000: configuration.
    3001 ConfigurationApplied Info "A configuration is in force.";
    3002 ConfigurationRefused Error "A configuration object was refused.";
    3003 PlatformUnreachable Warn "The platform does not answer.";
    3004 PlatformReachable Info "The platform answers again.";
    3005 ConfigurationRepaired Warn "An invalid or outdated record at the platform was replaced.";
    3006 ConfigurationDiverged Error "A record differs from the one in force at the same generation.";
    3007 PlanStored Info "A plan was stored.";
    3008 PlanConfirmed Info "A plan was confirmed.";
    3009 PlanRefused Warn "A plan or confirmation was refused.";
    3010 PlanOutcomeUnknown Warn "The outcome of a confirmation is unknown.";
    3011 RampAdvanced Info "The share of a returning data centre was raised.";
    // 4000: flows.
    4001 FlowHistoryStarted Info "The flow history of a service starts at this VM.";
    4002 FlowHistoryReceived Info "The flow history of a service is complete.";
    4003 FlowChangeActivated Info "New flows use the newest lookup tables, which all VMs have confirmed.";
    4004 FlowChangeUnconfirmed Warn "New flows use the newest lookup tables, which some VMs did not confirm in time.";
    // 5000: requests.
    5001 TicketsTakenOver Info "This VM has taken over the tickets of a stopping VM.";
    5002 TicketsLost Warn "A graceful shutdown ended before another VM had taken over all tickets and answers.";
    // 6000: capacity.
    6001 BackendCold Warn "A backend server is treated as cold.";
    6002 OwnershipGained Info "This VM now allocates the slots of a backend server.";
    6003 OwnershipReleased Info "This VM has handed the slots of a backend server over to another VM.";
    6004 OwnershipLapsed Warn "This VM lost the slots of a backend server because promises were not renewed.";
    // 7000: steering by tag.
    7001 FlowPlaced Info "A new flow was sent to a backend server.";
    7002 FlowReset Info "A client was sent a reset because its flow has ended.";
    7003 PacketDropped Info "A packet was dropped; the client retransmits it.";
    7004 BackendDead Warn "A backend server does not respond; its flows were reset.";
    7005 BackendRevived Info "A backend server that was considered dead accepts connections again.";
    7006 BackendEnded Info "The store no longer lists a backend server, or lists a later run of it; its flows were reset.";
    7007 StoreUpdateApplied Info "An update from the store is in force on this VM.";
    7008 Ready Info "This VM serves new flows.";
    7009 NotReady Warn "This VM cannot serve new flows and reports this to the routers.";
    7010 StoreLost Warn "The store does not answer this VM.";
    7011 StoreRegained Info "The store answers this VM again.";
    7012 PeerFound Info "Another VM was heard from.";
    7013 PeerSilent Warn "Another VM is no longer heard from.";
    7014 LinesSuppressed Info "Log lines of one event were suppressed in the last second.";
    7015 DataCentreTakenOver Warn "The routers send the clients of a data centre to other data centres.";
    7016 HandshakesFailing Info "Flows to a backend server fail to open; new flows go to other backend servers.";
    7017 StoreRestored Warn "The store was restored from an older copy and has lost its last changes.";
    7018 ConfigurationHeldBack Warn "A configuration that is older than the active one was not activated.";
    7019 BackendsDoubted Warn "A restored store lists backend servers that drain, have left or have started again; they get no new flows.";
    7022 PathLost Warn "Handshakes with backend servers of a data centre are not answered; new flows go to other data centres.";
    7023 PathRestored Info "The path to a data centre works again.";
    7025 ResponsesTooFast Info "A backend server responds far faster than it can work; new flows go to other backend servers.";
    7026 EvacuationBegun Info "A data centre is evacuated; it gets no new flows.";
    7027 EvacuationEnded Info "A data centre is no longer evacuated.";
    7028 EvacuationDoubted Warn "A restored store lists an evacuation that had ended; operators have a moment to remove it again.";
    7029 ObjectMalformed Warn "An object of the store is not used; the others are.";
    7030 AnswerMalformed Warn "An answer of the store cannot be read; the call is repeated.";
}
