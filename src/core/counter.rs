//! Counters of what was decided, one for each refusal and each retry reason.

macro_rules! counters {
    ($($variant:ident, $name:literal, $help:literal;)*) => {
        /// A decision that is counted.
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
    // Requests.
    RequestAnswered, "requests_answered", "Requests answered by a backend server.";
    RequestRefusedNoSlot, "requests_refused_no_slot", "Requests refused because every slot was busy.";
    RequestRefusedNoService, "requests_refused_no_service", "Requests refused because no service has their name.";
    RequestRefusedStopping, "requests_refused_stopping", "Requests refused because the VM is stopping.";
    RequestUnknown, "requests_outcome_unknown", "Requests whose outcome could not be learnt.";
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
    // Peers.
    PeerMalformed, "peer_messages_malformed", "Messages of peers dropped because they could not be decoded.";
    PeerForEarlierRun, "peer_messages_for_earlier_run", "Messages of peers dropped because they were meant for an earlier run of this VM.";
    PeerNameClash, "peer_name_clashes", "Heartbeats dropped because another VM uses this VM's name.";
    PeerBeyondLimit, "peers_beyond_limit", "Heartbeats dropped because the view is full.";
    PeerOverflow, "peer_messages_overflow", "Messages to peers dropped because a queue was full.";
}

/// The counts of one process.
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

    /// Returns the count of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }
}
