//! Workloads numbered once and for all, through all the settings that a sidecar is told: an open call keeps the rules that
//! it began with by its number. No sockets, no clock.
use fnv::FnvHashMap;
use oakhollow::types::*;

/// A workload's number, and that of its twin for calls whose body is not kept: nothing of those may be sent twice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WorkloadIds {
    pub buffered: WorkloadId,
    pub streamed: WorkloadId,
}

/// What a call that began under a workload as it was may still do, where it allows what is now forbidden.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Left {
    FirstHops,
    Nothing,
}

impl Left {
    /// None if what was allowed then is allowed now; `now` is the workload of that name, if it is offered still.
    fn of(then: Idempotency, now: Option<Idempotency>) -> Option<Left> {
        match (then, now) {
            (_, None) => Some(Left::Nothing),
            (Idempotency::NonIdempotent, _) | (_, Some(Idempotency::Idempotent)) => None,
            (then, Some(now)) if then == now => None,
            // Repeats in another group, or after a shorter memory, may be told for no repeat.
            _ => Some(Left::FirstHops),
        }
    }
}

/// A workload by name and kind, numbered once and for all.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default, Debug)]
pub struct ClassId(usize);

/// All names that were ever offered, with their kinds.
#[derive(Default)]
pub struct Classes(Vec<(String, Idempotency)>);

impl Classes {
    /// The numbers of what is offered from now on, in order, and what is left to calls of all others.
    pub fn take(&mut self, offered: &[(String, Idempotency)]) -> (Vec<ClassId>, FnvHashMap<ClassId, Left>) {
        let new = offered.iter().filter(|one| !self.0.contains(one)).cloned().collect::<Vec<_>>();
        self.0.extend(new);
        let number = |one| ClassId(self.0.iter().position(|other| other == one).unwrap_or_default());
        let numbers = offered.iter().map(number).collect();
        let now = |name: &String| offered.iter().find(|(other, _)| other == name).map(|(_, kind)| *kind);
        let all = self.0.iter().enumerate();
        let left = all.filter_map(|(at, (name, kind))| Some((ClassId(at), Left::of(*kind, now(name))?)));
        (numbers, left.collect())
    }
}

/// All that was ever offered. One record for each different workload of a file: as many as a person writes.
#[derive(Default)]
pub struct Generations(Vec<Workload>);

impl Generations {
    /// Takes what holds from now on: the same terms with all workloads in them by number, and the numbers of those that
    /// are offered, in their order.
    pub fn take(&mut self, terms: BalancerConfig) -> (BalancerConfig, Vec<WorkloadIds>) {
        let mut number = |workload: Workload| {
            let known = self.0.iter().position(|other| *other == workload);
            WorkloadId(known.unwrap_or_else(|| {
                self.0.push(workload);
                self.0.len() - 1
            }))
        };
        let numbers: Vec<WorkloadIds> = terms
            .workloads
            .iter()
            .map(|workload| WorkloadIds {
                buffered: number(workload.clone()),
                streamed: number(Workload { idempotency: Idempotency::NonIdempotent, ..workload.clone() }),
            })
            .collect();
        let offered = |at| numbers.iter().any(|one| one.buffered.0 == at || one.streamed.0 == at);
        // What is not offered any more must not count among the dearest.
        let payoff = |at, workload: &Workload| if offered(at) { workload.payoff } else { 0.0 };
        let all = self.0.iter().enumerate();
        let workloads = all.map(|(at, one)| Workload { payoff: payoff(at, one), ..one.clone() }).collect();
        (BalancerConfig { workloads, ..terms }, numbers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_terms::{read, Place};

    fn terms(workloads: &[(&str, f64)]) -> BalancerConfig {
        let class = |(semantics, payoff): &(&str, f64)| {
            format!(
                r#"{{"name":"{semantics}{payoff}","quoted_time_s":1,"abandon_time_s":2,"payoff":{payoff},"semantics":"{semantics}"}}"#
            )
        };
        let classes: Vec<String> = workloads.iter().map(class).collect();
        let json = format!(
            r#"{{"me":0,"balancers":1,"bounds":{{"most_hops":2}},"rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5}},"workloads":[{}]}}"#,
            classes.join(",")
        );
        read::<Place>(json.as_bytes()).expect("settings").terms
    }

    #[test]
    fn open_calls_keep_what_is_not_forbidden_by_now() {
        let (view, tagged) = (Idempotency::Idempotent, |ms| Idempotency::ByKey {
            scope: DedupScope::Cell,
            window: Micros::millis(ms),
        });
        let named = |all: &[(&str, Idempotency)]| {
            all.iter().map(|(name, kind)| (name.to_string(), *kind)).collect::<Vec<_>>()
        };
        let mut classes = Classes::default();
        let (first, left) =
            classes.take(&named(&[("view", view), ("save", tagged(5)), ("pay", Idempotency::NonIdempotent)]));
        assert!(left.is_empty());
        let (second, left) =
            classes.take(&named(&[("view", Idempotency::NonIdempotent), ("save", tagged(4))]));
        let of = |class| left.get(&class).copied();
        assert_eq!(
            first.iter().map(|class| of(*class)).collect::<Vec<_>>(),
            [Some(Left::FirstHops), Some(Left::FirstHops), Some(Left::Nothing)]
        );
        assert!(second.iter().all(|class| of(*class).is_none()));
        assert_eq!(classes.take(&named(&[("view", view), ("save", view), ("pay", view)])).1.len(), 0);
    }

    #[test]
    fn what_is_the_same_keeps_its_number_and_what_is_dropped_keeps_its_rules() {
        let mut generations = Generations::default();
        let (_, first) = generations.take(terms(&[("read_like", 1.0), ("read_like", 9.0)]));
        let (all, second) = generations.take(terms(&[("non_idempotent", 1.0), ("read_like", 1.0)]));
        assert_eq!(second[1], first[0]);
        // A call of the dropped one is still what it was, and counts for nothing.
        let dropped = &all.workloads[first[1].buffered.0];
        assert_eq!((dropped.idempotency, dropped.payoff), (Idempotency::Idempotent, 0.0));
        assert_eq!(all.workloads[second[0].buffered.0].idempotency, Idempotency::NonIdempotent);
        assert!(second
            .iter()
            .all(|one| all.workloads[one.streamed.0].idempotency == Idempotency::NonIdempotent));
        // Back again, it has the number it had.
        let (all, third) = generations.take(terms(&[("read_like", 9.0)]));
        assert_eq!((third[0], all.workloads[third[0].buffered.0].payoff), (first[1], 9.0));
    }
}
