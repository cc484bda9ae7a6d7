//! Members and keepers with a wire between them, and what must hold at every moment.
use crate::words::{document, WITHIN};
use oakhollow_accord::*;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A fault put into the rules, which whoever explores must find.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Crooked {
    Not,
    /// The time of a lease is counted from its answer.
    FromTheAnswer,
    /// A keeper that was started again grants and clears at once.
    WakesAtOnce,
    /// It says that it knows a version and does not keep to it.
    IgnoresWhatWaits,
}

#[derive(Clone)]
pub struct Instance {
    pub member: Member,
    pub life: u64,
    /// What it acts on, as the shell was last told.
    pub acts_on: BTreeSet<Version>,
    pub until: Micros,
    /// By how much its clock runs faster than the true time, as a part.
    pub pace: f64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Message {
    ToKeeper(usize, (u32, u64), Word),
    ToMember(usize, usize, u64, Word),
}

#[derive(Clone)]
pub struct World {
    pub now: f64,
    pub keepers: Vec<Keeper>,
    pub keeper_pace: Vec<f64>,
    pub instances: Vec<Instance>,
    /// What has just been said.
    pub said: Vec<Message>,
    pub crooked: Crooked,
}

fn judge() -> Judge {
    Arc::new(|_: &[Arc<str>]| Ok(()))
}

impl World {
    pub fn new(keepers: usize, instances: usize, crooked: Crooked) -> World {
        let keeper = Keeper::new(Micros(0), WITHIN);
        let mut world = World {
            now: 0.0,
            keepers: vec![keeper; keepers],
            keeper_pace: vec![0.0; keepers],
            instances: Vec::new(),
            said: Vec::new(),
            crooked,
        };
        for _ in 0..instances {
            let member = world.member();
            world.instances.push(Instance {
                member,
                life: 1,
                acts_on: BTreeSet::new(),
                until: Micros(0),
                pace: 0.0,
            });
        }
        world
    }

    fn member(&self) -> Member {
        Member::new((0..self.keepers.len() as u32).map(InstanceId).collect(), WITHIN, judge())
    }

    pub fn member_time(&self, at: usize) -> Micros {
        Micros((self.now * (1.0 + self.instances[at].pace)) as u64)
    }

    pub fn keeper_time(&self, at: usize) -> Micros {
        Micros((self.now * (1.0 + self.keeper_pace[at])) as u64)
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        let instance = &mut self.instances[at];
        for action in actions {
            match action {
                Action::Say(to, word) => {
                    self.said.push(Message::ToKeeper(to.0 as usize, (at as u32, instance.life), word))
                }
                Action::Act => {
                    let keeps_to = instance.member.keeps_to().map(|(version, _)| *version);
                    instance.acts_on = match self.crooked {
                        Crooked::IgnoresWhatWaits => keeps_to.take(1).collect(),
                        _ => keeps_to.collect(),
                    };
                }
                Action::Log(_) => {}
            }
        }
        let until = instance.member.until();
        if self.crooked != Crooked::FromTheAnswer || until > instance.until {
            instance.until = until;
        }
    }

    pub fn write(&mut self, at: usize, number: u64) {
        let (now, mut actions) = (self.member_time(at), Vec::new());
        self.instances[at].member.written(now, document(number), &mut actions);
        self.carry_out(at, actions);
    }

    pub fn wake(&mut self) {
        for at in 0..self.instances.len() {
            let (now, mut actions) = (self.member_time(at), Vec::new());
            self.instances[at].member.woke(now, &mut actions);
            self.carry_out(at, actions);
        }
        for at in 0..self.keepers.len() {
            let (now, mut out) = (self.keeper_time(at), Vec::new());
            self.keepers[at].woke(now, &mut out);
            self.keeper_says(at, out);
        }
    }

    fn keeper_says(&mut self, at: usize, out: Vec<(Holder, Word)>) {
        let said =
            out.into_iter().map(|(to, word)| Message::ToMember(to.instance.0 as usize, at, to.life, word));
        self.said.extend(said);
    }

    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::ToKeeper(at, (instance, life), word) => {
                let (now, mut out) = (self.keeper_time(at), Vec::new());
                let from = Holder { instance: InstanceId(instance), life };
                self.keepers[at].on(now, from, word, &mut out);
                self.keeper_says(at, out);
            }
            Message::ToMember(at, from, life, word) => {
                if self.instances[at].life != life {
                    return;
                }
                let (now, mut actions) = (self.member_time(at), Vec::new());
                let before = self.instances[at].member.until();
                self.instances[at].member.on(now, InstanceId(from as u32), word, &mut actions);
                let renewed = self.instances[at].member.until() > before;
                self.carry_out(at, actions);
                if self.crooked == Crooked::FromTheAnswer && renewed {
                    self.instances[at].until = now + WITHIN;
                }
            }
        }
    }

    pub fn restart_keeper(&mut self, at: usize) {
        let now = self.keeper_time(at);
        let within = if self.crooked == Crooked::WakesAtOnce { Micros(0) } else { WITHIN };
        self.keepers[at] = Keeper::new(now, within);
    }

    pub fn restart_instance(&mut self, at: usize, number: u64) {
        let member = self.member();
        let instance = &mut self.instances[at];
        (instance.member, instance.life) = (member, instance.life + 1);
        (instance.acts_on, instance.until) = (BTreeSet::new(), Micros(0));
        self.write(at, number);
    }

    pub fn acts(&self, at: usize) -> bool {
        self.instances[at].until > self.member_time(at)
    }

    /// One that acts together with this one, and shares no version with it that both keep to: each may do what the
    /// other's rules forbid.
    pub fn contradicts(&self, at: usize) -> Option<usize> {
        let own = &self.instances[at].acts_on;
        let mut others = (0..self.instances.len()).filter(|other| *other != at && self.acts(*other));
        if !self.acts(at) {
            return None;
        }
        others.find(|other| self.instances[*other].acts_on.is_disjoint(own))
    }
}
