//! Workloads numbered once and for all, through all the settings that a sidecar is told: an open call keeps the rules that
//! it began with by its number. No sockets, no clock.
use oakhollow::types::*;

/// A workload's number, and that of its twin for calls whose body is not kept: nothing of those may be sent twice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Numbers {
    pub usual: WorkloadId,
    pub long: WorkloadId,
}

/// All that was ever offered. One record for each different workload of a file: as many as a person writes.
#[derive(Default)]
pub struct Generations(Vec<Workload>);

impl Generations {
    /// Takes what holds from now on: the same terms with all workloads in them by number, and the numbers of those that
    /// are offered, in their order.
    pub fn take(&mut self, terms: Terms) -> (Terms, Vec<Numbers>) {
        let mut number = |workload: Workload| {
            let known = self.0.iter().position(|other| *other == workload);
            WorkloadId(known.unwrap_or_else(|| {
                self.0.push(workload);
                self.0.len() - 1
            }))
        };
        let numbers: Vec<Numbers> = terms
            .workloads
            .iter()
            .map(|workload| Numbers {
                usual: number(workload.clone()),
                long: number(Workload { kind: Kind::OnceOnly, ..workload.clone() }),
            })
            .collect();
        let offered = |at| numbers.iter().any(|one| one.usual.0 == at || one.long.0 == at);
        // What is not offered any more must not count among the dearest.
        let payoff = |at, workload: &Workload| if offered(at) { workload.payoff } else { 0.0 };
        let all = self.0.iter().enumerate();
        let workloads = all.map(|(at, one)| Workload { payoff: payoff(at, one), ..one.clone() }).collect();
        (Terms { workloads, ..terms }, numbers)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_terms::{read, Place};

    fn terms(workloads: &[(&str, f64)]) -> Terms {
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
    fn what_is_the_same_keeps_its_number_and_what_is_dropped_keeps_its_rules() {
        let mut generations = Generations::default();
        let (_, first) = generations.take(terms(&[("read_like", 1.0), ("read_like", 9.0)]));
        let (all, second) = generations.take(terms(&[("non_idempotent", 1.0), ("read_like", 1.0)]));
        assert_eq!(second[1], first[0]);
        // A call of the dropped one is still what it was, and counts for nothing.
        let dropped = &all.workloads[first[1].usual.0];
        assert_eq!((dropped.kind, dropped.payoff), (Kind::Repeatable, 0.0));
        assert_eq!(all.workloads[second[0].usual.0].kind, Kind::OnceOnly);
        assert!(second.iter().all(|one| all.workloads[one.long.0].kind == Kind::OnceOnly));
        // Back again, it has the number it had.
        let (all, third) = generations.take(terms(&[("read_like", 9.0)]));
        assert_eq!((third[0], all.workloads[third[0].usual.0].payoff), (first[1], 9.0));
    }
}
