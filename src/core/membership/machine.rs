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
            PAUSE_THRESHOLD,
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

/// A VM that is contacted at startup to join the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Name of the VM.
    pub id: VmId,
    /// TCP address for messages from peers.
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
    /// Creates a state machine that knows only this VM and the seeds.
    pub fn open(me: Vm, seeds: Vec<Seed>, now: Time) -> Membership {
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

    /// Detects a pause of this process. Must be called before each event.
    ///
    /// After a pause the other members become suspects instead of being
    /// removed, because their heartbeats may have been missed during the pause.
    pub fn detect_pause(&mut self, now: Time) {
        let paused = now.since(self.last_event) >= PAUSE_THRESHOLD;
        self.last_event = now;
        if !paused {
            return;
        }
        let view = Arc::make_mut(&mut self.view);
        view.resumed = now;
        view.version += 1;
        let suspect_time = now - SUSPECT_AFTER;
        for member in &mut view.members {
            member.last_heard = member.last_heard.max(suspect_time);
            member.last_confirmed = member.last_confirmed.max(suspect_time);
            if member.vm.id != view.me.id && member.state == MemberState::Alive {
                member.state = MemberState::Suspect;
            }
        }
        self.next_heartbeat = now;
    }

    /// Announces a new configuration at once instead of with the next periodic
    /// heartbeat.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.next_heartbeat = cx.now;
        self.tick(cx);
    }

    /// Announces the graceful shutdown of this VM.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        let view = Arc::make_mut(&mut self.view);
        if let Ok(index) = view.position(&view.me.id) {
            view.members[index].state = MemberState::Leaving;
            view.version += 1;
        }
        self.next_heartbeat = cx.now;
        self.tick(cx);
    }

    /// Updates the states of the members and sends heartbeats that are due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.update_member_states(cx);
        if cx.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = cx.now + HEARTBEAT_INTERVAL;
        self.refresh_own_entry(cx);
        for to in self.heartbeat_targets() {
            self.send_heartbeat(cx, &to);
        }
    }

    /// Handles a message from another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: MembershipMessage) {
        match msg {
            MembershipMessage::Heartbeat {
                vm,
                generation,
                leaving,
                heard_incarnation,
            } => {
                let heartbeat = Heartbeat {
                    vm,
                    generation,
                    leaving,
                    heard_incarnation,
                };
                self.on_heartbeat(cx, heartbeat);
            }
            MembershipMessage::Members { vms } => self.on_members(cx, vms),
            MembershipMessage::Superseded { known } => self.on_superseded(cx, from, known),
        }
    }

    fn on_heartbeat(&mut self, cx: &mut Cx<'_>, heartbeat: Heartbeat) {
        if heartbeat.vm.id == self.view.me.id {
            cx.count(Counter::PeerNameClash);
            return;
        }
        match self.view.position(&heartbeat.vm.id) {
            Ok(index) => self.on_member_heartbeat(cx, index, heartbeat),
            Err(_) => self.add_member(cx, heartbeat),
        }
    }

    fn on_member_heartbeat(&mut self, cx: &mut Cx<'_>, index: usize, heartbeat: Heartbeat) {
        let known = self.view.members[index].vm.incarnation;
        if heartbeat.vm.incarnation < known {
            let to = heartbeat.vm.id.clone();
            cx.send(&to, MembershipMessage::Superseded { known });
            return;
        }
        if heartbeat.vm.incarnation > known {
            Arc::make_mut(&mut self.view).members.remove(index);
            self.add_member(cx, heartbeat);
            return;
        }
        let hears_this_run = heartbeat.heard_incarnation == self.view.me.incarnation;
        let view = Arc::make_mut(&mut self.view);
        let member = &mut view.members[index];
        member.last_heard = cx.now;
        member.generation = heartbeat.generation;
        if hears_this_run {
            member.last_confirmed = cx.now;
        }
        let state = member_state(member, heartbeat.leaving, cx.now);
        if state != member.state {
            member.state = state;
            view.version += 1;
        }
    }

    fn add_member(&mut self, cx: &mut Cx<'_>, heartbeat: Heartbeat) {
        if self.view.members.len() >= MAX_MEMBERS {
            cx.count(Counter::PeerBeyondLimit);
            return;
        }
        let to = heartbeat.vm.id.clone();
        let state = if heartbeat.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        self.insert(
            cx,
            Member {
                vm: heartbeat.vm,
                state,
                last_heard: cx.now,
                last_confirmed: cx.now,
                generation: heartbeat.generation,
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
            // A VM known only from others is suspected until its own heartbeat
            // arrives. Until then it is sent heartbeats but is not alive.
            let suspect_time = cx.now - SUSPECT_AFTER;
            self.insert(
                cx,
                Member {
                    vm,
                    state: MemberState::Suspect,
                    last_heard: suspect_time,
                    last_confirmed: suspect_time,
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
        if let Ok(index) = view.position(&view.me.id) {
            view.members[index].vm.incarnation = next;
        }
        view.version += 1;
        self.next_heartbeat = cx.now;
    }

    fn insert(&mut self, cx: &mut Cx<'_>, member: Member) {
        let view = Arc::make_mut(&mut self.view);
        let Err(index) = view.position(&member.vm.id) else {
            return;
        };
        cx.note(Notice::PeerJoined, member.vm.id.as_str());
        view.members.insert(index, member);
        view.version += 1;
    }

    fn refresh_own_entry(&mut self, cx: &Cx<'_>) {
        let view = Arc::make_mut(&mut self.view);
        if let Ok(index) = view.position(&view.me.id) {
            let me = &mut view.members[index];
            me.last_heard = cx.now;
            me.last_confirmed = cx.now;
            me.generation = cx.cfg.generation;
        }
    }

    fn update_member_states(&mut self, cx: &mut Cx<'_>) {
        let has_state_change = |m: &&Member| {
            let lost = cx.now.since(m.last_heard) >= LOST_AFTER;
            lost || member_state(m, m.state == MemberState::Leaving, cx.now) != m.state
        };
        if self.view.others().any(|m| has_state_change(&m)) {
            self.apply_state_changes(cx);
        }
    }

    fn apply_state_changes(&mut self, cx: &mut Cx<'_>) {
        let view = Arc::make_mut(&mut self.view);
        let me = view.me.id.clone();
        let now = cx.now;
        view.members.retain_mut(|m| {
            if m.vm.id == me {
                return true;
            }
            if now.since(m.last_heard) >= LOST_AFTER {
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

    fn heartbeat_targets(&self) -> Vec<VmId> {
        let seeds = self.seeds.iter().map(|s| &s.id);
        let members = self.view.others().map(|m| &m.vm.id);
        let mut targets: Vec<VmId> = seeds.chain(members).cloned().collect();
        targets.sort();
        targets.dedup();
        targets.retain(|id| *id != self.view.me.id);
        targets
    }

    fn send_heartbeat(&self, cx: &mut Cx<'_>, to: &VmId) {
        let heard_incarnation = self
            .view
            .member(to)
            .filter(|m| cx.now.since(m.last_heard) < SUSPECT_AFTER)
            .map(|m| m.vm.incarnation)
            .unwrap_or_default();
        cx.send(
            to,
            MembershipMessage::Heartbeat {
                vm: self.view.me.clone(),
                generation: cx.cfg.generation,
                leaving: self.leaving,
                heard_incarnation,
            },
        );
    }
}

struct Heartbeat {
    vm: Vm,
    generation: Generation,
    leaving: bool,
    heard_incarnation: Incarnation,
}

fn member_state(member: &Member, leaving: bool, now: Time) -> MemberState {
    if leaving {
        return MemberState::Leaving;
    }
    let silent = now.since(member.last_heard) >= SUSPECT_AFTER;
    let unconfirmed = now.since(member.last_confirmed) >= SUSPECT_AFTER;
    if silent || unconfirmed {
        return MemberState::Suspect;
    }
    MemberState::Alive
}
