//! Workload ids that stay the same through every change of settings, so that an open request's workload id still refers
//! to the rules under which the request began. Holds no sockets and reads no clock.
use fnv::FnvHashMap;
use oakhollow::types::*;

/// The two ids of a workload: for requests whose body is buffered, and for those whose body is streamed. A streamed
/// request may never be sent twice.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WorkloadIds {
    pub buffered: WorkloadId,
    pub streamed: WorkloadId,
}

/// The restriction on a request that began under an earlier version of its workload, if that version allowed more than
/// the current one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Restriction {
    /// Only first attempts may be sent.
    FirstAttemptOnly,
    /// No attempt may be sent.
    NoAttempts,
}

impl Restriction {
    /// The restriction on requests of a workload that was of idempotency `before`; none if everything that was
    /// allowed is still allowed. `after` is that of the workload with the same name, if there still is one.
    fn between(before: Idempotency, after: Option<Idempotency>) -> Option<Restriction> {
        match (before, after) {
            (_, None) => Some(Restriction::NoAttempts),
            (Idempotency::NonIdempotent, _) | (_, Some(Idempotency::Idempotent)) => None,
            (before, Some(after)) if before == after => None,
            // With another scope or a shorter window, servers may not recognise a repeat as one.
            _ => Some(Restriction::FirstAttemptOnly),
        }
    }
}

/// The id of a workload's name and idempotency; it never changes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default, Debug)]
pub struct ClassId(usize);

/// All pairs of workload name and idempotency that the settings have ever had.
#[derive(Default)]
pub struct KnownClasses(Vec<(String, Idempotency)>);

impl KnownClasses {
    /// Takes the workloads of new settings. Returns their ids, in order, and the restrictions on open requests of all
    /// others.
    pub fn update(
        &mut self, current: &[(String, Idempotency)],
    ) -> (Vec<ClassId>, FnvHashMap<ClassId, Restriction>) {
        let added = current.iter().filter(|workload| !self.0.contains(workload)).cloned().collect::<Vec<_>>();
        self.0.extend(added);
        let id = |workload| ClassId(self.0.iter().position(|other| other == workload).unwrap_or_default());
        let ids = current.iter().map(id).collect();
        let current_idempotency = |name: &String| {
            current.iter().find(|(other, _)| other == name).map(|(_, idempotency)| *idempotency)
        };
        let all_classes = self.0.iter().enumerate();
        let restrictions = all_classes.filter_map(|(index, (name, idempotency))| {
            Some((ClassId(index), Restriction::between(*idempotency, current_idempotency(name))?))
        });
        (ids, restrictions.collect())
    }
}

/// All workloads that the settings have ever had. They grow only by what an operator writes, so none is ever removed.
#[derive(Default)]
pub struct KnownWorkloads(Vec<Workload>);

impl KnownWorkloads {
    /// Takes new settings. Returns them with every workload there ever was, indexed by id, and the ids of their own
    /// workloads, in order.
    pub fn update(&mut self, config: BalancerConfig) -> (BalancerConfig, Vec<WorkloadIds>) {
        let mut id_of = |workload: Workload| {
            let known = self.0.iter().position(|other| *other == workload);
            WorkloadId(known.unwrap_or_else(|| {
                self.0.push(workload);
                self.0.len() - 1
            }))
        };
        let ids: Vec<WorkloadIds> = config
            .workloads
            .iter()
            .map(|workload| WorkloadIds {
                buffered: id_of(workload.clone()),
                streamed: id_of(Workload { idempotency: Idempotency::NonIdempotent, ..workload.clone() }),
            })
            .collect();
        let is_current = |index| ids.iter().any(|ids| ids.buffered.0 == index || ids.streamed.0 == index);
        // A dropped workload must not raise the highest payoff.
        let payoff = |index, workload: &Workload| if is_current(index) { workload.payoff } else { 0.0 };
        let all_workloads = self.0.iter().enumerate();
        let workloads = all_workloads
            .map(|(index, workload)| Workload { payoff: payoff(index, workload), ..workload.clone() })
            .collect();
        (BalancerConfig { workloads, ..config }, ids)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_config::{read_json, Settings};

    /// Settings with workloads of these semantics and payoffs; the name of each is made of both.
    fn balancer_config(workloads: &[(&str, f64)]) -> BalancerConfig {
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
        read_json::<Settings>(json.as_bytes()).expect("settings").balancer
    }

    #[test]
    fn open_requests_are_restricted_to_what_the_current_workload_still_allows() {
        let (idempotent, by_key) = (Idempotency::Idempotent, |ms| Idempotency::ByKey {
            scope: DedupScope::Cell,
            window: Micros::millis(ms),
        });
        let named = |all: &[(&str, Idempotency)]| {
            all.iter().map(|(name, idempotency)| (name.to_string(), *idempotency)).collect::<Vec<_>>()
        };
        let mut classes = KnownClasses::default();
        let (first, restrictions) = classes.update(&named(&[
            ("view", idempotent),
            ("save", by_key(5)),
            ("pay", Idempotency::NonIdempotent),
        ]));
        assert!(restrictions.is_empty());
        let (second, restrictions) =
            classes.update(&named(&[("view", Idempotency::NonIdempotent), ("save", by_key(4))]));
        let restriction_of = |class| restrictions.get(&class).copied();
        assert_eq!(
            first.iter().map(|class| restriction_of(*class)).collect::<Vec<_>>(),
            [
                Some(Restriction::FirstAttemptOnly),
                Some(Restriction::FirstAttemptOnly),
                Some(Restriction::NoAttempts)
            ]
        );
        assert!(second.iter().all(|class| restriction_of(*class).is_none()));
        assert_eq!(
            classes
                .update(&named(&[("view", idempotent), ("save", idempotent), ("pay", idempotent)]))
                .1
                .len(),
            0
        );
    }

    #[test]
    fn an_unchanged_workload_keeps_its_id_and_a_dropped_one_its_rules() {
        let mut known_workloads = KnownWorkloads::default();
        let (_, first) = known_workloads.update(balancer_config(&[("read_like", 1.0), ("read_like", 9.0)]));
        let (all, second) =
            known_workloads.update(balancer_config(&[("non_idempotent", 1.0), ("read_like", 1.0)]));
        assert_eq!(second[1], first[0]);
        // A request of the dropped workload keeps its idempotency, and has no payoff.
        let dropped = &all.workloads[first[1].buffered.0];
        assert_eq!((dropped.idempotency, dropped.payoff), (Idempotency::Idempotent, 0.0));
        assert_eq!(all.workloads[second[0].buffered.0].idempotency, Idempotency::NonIdempotent);
        assert!(second
            .iter()
            .all(|one| all.workloads[one.streamed.0].idempotency == Idempotency::NonIdempotent));
        // A workload that returns gets its former id.
        let (all, third) = known_workloads.update(balancer_config(&[("read_like", 9.0)]));
        assert_eq!((third[0], all.workloads[third[0].buffered.0].payoff), (first[1], 9.0));
    }
}
