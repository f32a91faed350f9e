//! The membership state machine.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use crate::{
    core::{
        counter::Counter,
        cx::Cx,
        membership::{
            HEARTBEAT_INTERVAL,
            LOST_AFTER,
            MAX_MEMBERS,
            PAUSE_LIMIT,
            SUSPECT_AFTER,
            message::MembershipMessage,
            view::{
                Member,
                MemberState,
                View,
                Vm, //
            }, //
        },
        names::{
            Generation,
            Incarnation,
            VmId, //
        },
        notice::Notice,
    },
    kernel::clock::Time,
};

/// An address at which a VM may be found at start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The VM's name.
    pub id: VmId,
    /// The TCP address for messages of peers.
    pub peer_address: SocketAddr,
}

/// The membership state machine.
#[derive(Debug)]
pub struct Membership {
    view: Arc<View>,
    seeds: Vec<Seed>,
    next_heartbeat: Time,
    last_event: Time,
    leaving: bool,
}

impl Membership {
    /// Starts with the VMs that the settings name.
    pub fn new(me: Vm, seeds: Vec<Seed>, now: Time) -> Membership {
        Membership {
            view: Arc::new(View::new(me, now)),
            seeds,
            next_heartbeat: now,
            last_event: now,
            leaving: false,
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Notices a pause of this process. To be called before each event.
    ///
    /// After a pause the other members get a new chance to be heard: their
    /// silence may have been this VM's own.
    pub fn detect_pause(&mut self, now: Time) {
        let paused = now.since(self.last_event) >= PAUSE_LIMIT;
        self.last_event = now;
        if !paused {
            return;
        }
        let view = Arc::make_mut(&mut self.view);
        view.resumed = now;
        view.version += 1;
        let last_chance = now - SUSPECT_AFTER;
        for member in &mut view.members {
            member.heard = member.heard.max(last_chance);
            member.confirmed = member.confirmed.max(last_chance);
            if member.vm.id != view.me.id && member.state == MemberState::Alive {
                member.state = MemberState::Suspect;
            }
        }
        self.next_heartbeat = now;
    }

    /// Spreads word of a new configuration without waiting for the next
    /// heartbeat.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.next_heartbeat = cx.now;
        self.tick(cx);
    }

    /// Announces the planned stop of this VM.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        let view = Arc::make_mut(&mut self.view);
        if let Ok(at) = view.position(&view.me.id) {
            view.members[at].state = MemberState::Leaving;
            view.version += 1;
        }
        self.next_heartbeat = cx.now;
        self.tick(cx);
    }

    /// Ages the members and sends due heartbeats.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.age_members(cx);
        if cx.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = cx.now + HEARTBEAT_INTERVAL;
        self.refresh_me(cx);
        for to in self.targets() {
            self.send_heartbeat(cx, &to);
        }
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: MembershipMessage) {
        match msg {
            MembershipMessage::Heartbeat {
                vm,
                generation,
                leaving,
                hears,
            } => {
                let beat = Heartbeat {
                    vm,
                    generation,
                    leaving,
                    hears,
                };
                self.on_heartbeat(cx, beat);
            }
            MembershipMessage::Members { vms } => self.on_members(cx, vms),
            MembershipMessage::Superseded { known } => self.on_superseded(cx, from, known),
        }
    }

    fn on_heartbeat(&mut self, cx: &mut Cx<'_>, beat: Heartbeat) {
        if beat.vm.id == self.view.me.id {
            cx.count(Counter::PeerNameClash);
            return;
        }
        match self.view.position(&beat.vm.id) {
            Ok(at) => self.on_known(cx, at, beat),
            Err(_) => self.on_joined(cx, beat),
        }
    }

    fn on_known(&mut self, cx: &mut Cx<'_>, at: usize, beat: Heartbeat) {
        let known = self.view.members[at].vm.incarnation;
        if beat.vm.incarnation < known {
            let to = beat.vm.id.clone();
            cx.send(&to, MembershipMessage::Superseded { known });
            return;
        }
        if beat.vm.incarnation > known {
            Arc::make_mut(&mut self.view).members.remove(at);
            self.on_joined(cx, beat);
            return;
        }
        let hears_me = beat.hears == self.view.me.incarnation;
        let view = Arc::make_mut(&mut self.view);
        let member = &mut view.members[at];
        member.heard = cx.now;
        member.generation = beat.generation;
        if hears_me {
            member.confirmed = cx.now;
        }
        let state = member_state(member, beat.leaving, cx.now);
        if state != member.state {
            member.state = state;
            view.version += 1;
        }
    }

    fn on_joined(&mut self, cx: &mut Cx<'_>, beat: Heartbeat) {
        if self.view.members.len() >= MAX_MEMBERS {
            cx.count(Counter::PeerBeyondLimit);
            return;
        }
        let to = beat.vm.id.clone();
        let state = if beat.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        self.insert(
            cx,
            Member {
                vm: beat.vm,
                state,
                heard: cx.now,
                confirmed: cx.now,
                generation: beat.generation,
            },
        );
        let vms = self.view.others().map(|m| m.vm.clone()).collect();
        cx.send(&to, MembershipMessage::Members { vms });
        self.send_heartbeat(cx, &to);
    }

    fn on_members(&mut self, cx: &mut Cx<'_>, vms: Vec<Vm>) {
        for vm in vms {
            let known = vm.id == self.view.me.id || self.view.member(&vm.id).is_some();
            if known || self.view.members.len() >= MAX_MEMBERS {
                continue;
            }
            // Hearsay makes a VM worth a heartbeat, not a member that takes
            // duties: it is suspected until it speaks for itself.
            let last_chance = cx.now - SUSPECT_AFTER;
            self.insert(
                cx,
                Member {
                    vm,
                    state: MemberState::Suspect,
                    heard: last_chance,
                    confirmed: last_chance,
                    generation: Generation::default(),
                },
            );
        }
    }

    fn on_superseded(&mut self, cx: &mut Cx<'_>, from: &VmId, known: Incarnation) {
        if known <= self.view.me.incarnation {
            return;
        }
        let next = Incarnation(known.0 + 1);
        cx.note(
            Notice::IncarnationRaised,
            format!("{from} knows incarnation {known}; this run takes {next}"),
        );
        let view = Arc::make_mut(&mut self.view);
        view.me.incarnation = next;
        if let Ok(at) = view.position(&view.me.id) {
            view.members[at].vm.incarnation = next;
        }
        view.version += 1;
        self.next_heartbeat = cx.now;
    }

    fn insert(&mut self, cx: &mut Cx<'_>, member: Member) {
        let view = Arc::make_mut(&mut self.view);
        let Err(at) = view.position(&member.vm.id) else {
            return;
        };
        cx.note(Notice::PeerJoined, member.vm.id.as_str());
        view.members.insert(at, member);
        view.version += 1;
    }

    fn refresh_me(&mut self, cx: &Cx<'_>) {
        let view = Arc::make_mut(&mut self.view);
        if let Ok(at) = view.position(&view.me.id) {
            let me = &mut view.members[at];
            me.heard = cx.now;
            me.confirmed = cx.now;
            me.generation = cx.cfg.generation;
        }
    }

    fn age_members(&mut self, cx: &mut Cx<'_>) {
        let due = |m: &&Member| {
            let silent = cx.now.since(m.heard) >= LOST_AFTER;
            silent || member_state(m, m.state == MemberState::Leaving, cx.now) != m.state
        };
        if self.view.others().any(|m| due(&m)) {
            self.change_aged(cx);
        }
    }

    fn change_aged(&mut self, cx: &mut Cx<'_>) {
        let view = Arc::make_mut(&mut self.view);
        let me = view.me.id.clone();
        let now = cx.now;
        view.members.retain_mut(|m| {
            if m.vm.id == me {
                return true;
            }
            if now.since(m.heard) >= LOST_AFTER {
                cx.note(Notice::PeerLost, m.vm.id.as_str());
                return false;
            }
            let state = member_state(m, m.state == MemberState::Leaving, now);
            if state != m.state && state == MemberState::Suspect {
                cx.note(Notice::PeerSuspected, m.vm.id.as_str());
            }
            m.state = state;
            true
        });
        view.version += 1;
    }

    fn targets(&self) -> Vec<VmId> {
        let seeds = self.seeds.iter().map(|s| &s.id);
        let members = self.view.others().map(|m| &m.vm.id);
        let mut targets: Vec<VmId> = seeds.chain(members).cloned().collect();
        targets.sort();
        targets.dedup();
        targets.retain(|id| *id != self.view.me.id);
        targets
    }

    fn send_heartbeat(&self, cx: &mut Cx<'_>, to: &VmId) {
        let hears = self
            .view
            .member(to)
            .filter(|m| cx.now.since(m.heard) < SUSPECT_AFTER)
            .map(|m| m.vm.incarnation)
            .unwrap_or_default();
        cx.send(
            to,
            MembershipMessage::Heartbeat {
                vm: self.view.me.clone(),
                generation: cx.cfg.generation,
                leaving: self.leaving,
                hears,
            },
        );
    }
}

struct Heartbeat {
    vm: Vm,
    generation: Generation,
    leaving: bool,
    hears: Incarnation,
}

fn member_state(member: &Member, leaving: bool, now: Time) -> MemberState {
    if leaving {
        return MemberState::Leaving;
    }
    let silent = now.since(member.heard) >= SUSPECT_AFTER;
    let deaf = now.since(member.confirmed) >= SUSPECT_AFTER;
    if silent || deaf {
        return MemberState::Suspect;
    }
    MemberState::Alive
}
