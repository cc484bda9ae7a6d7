//! The plan for the loss of sites, as the operator's file words it.
use oakhollow_sites::{ClassId, Failover, Plan, Site, SiteId, TrafficClass};
use serde::Deserialize;
use std::collections::BTreeMap;

/// As written: sites and classes of calls by name. Each class is a workload, or `workload/customer`.
///
/// ```
/// use oakhollow_terms::OperatorConfig;
/// let text = |goes: &str, first: &str, floor: f64| format!(r#"[plan]
/// refuse_first = ["{first}"]
/// [plan.calls]
/// order = {{ payoff = 5.0, floor = {floor} }}
/// search = {{ payoff = 1.0 }}
/// [plan.sites]
/// lj = {{ room = 100.0, goes = {goes}, load = {{ order = 80.0, search = 10.0 }} }}
/// mb = {{ room = 60.0, load = {{ order = 70.0 }} }}
/// "#);
/// let fault = |goes: &str, first: &str, floor: f64| OperatorConfig::from_toml(&text(goes, first, floor), 8).map(|_| ()).unwrap_err();
/// assert!(OperatorConfig::from_toml(&text("\"room\"", "search", 0.2), 8).unwrap().site_plan().is_some());
/// assert_eq!(fault("{ kp = 1.0 }", "search", 0.2), "line 7: plan.sites.lj.goes: there is no site \"kp\"");
/// assert_eq!(fault("{ mb = 0.5 }", "search", 0.2), "line 7: plan.sites.lj.goes: shares add up to 0.5, not to 1");
/// assert_eq!(fault("\"room\"", "sarch", 0.2), "line 2: plan.refuse_first: no calls are named \"sarch\"");
/// assert_eq!(fault("\"room\"", "search", 0.9), "line 8: plan.sites.mb.room: the floors of its own load take 63, more than it has");
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitePlanConfig {
    sites: BTreeMap<String, PlannedSite>,
    calls: BTreeMap<String, PlannedCalls>,
    #[serde(default)]
    refuse_first: Vec<String>,
    #[serde(default)]
    price: f64,
    #[serde(default = "one")]
    most: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedSite {
    room: f64,
    #[serde(default)]
    reserve: f64,
    #[serde(default)]
    goes: Way,
    #[serde(default)]
    load: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
enum Way {
    Named(Word),
    Shares(BTreeMap<String, f64>),
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Word {
    Room,
    Nowhere,
}

impl Default for Way {
    fn default() -> Way {
        Way::Named(Word::Room)
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannedCalls {
    payoff: f64,
    #[serde(default = "one")]
    work: f64,
    #[serde(default)]
    floor: f64,
}

fn one() -> f64 {
    1.0
}

/// The key at fault, by its parts below `plan`, and why.
pub(crate) type Fault = (Vec<String>, String);

impl SitePlanConfig {
    pub(crate) fn plan(&self) -> Result<Plan, Fault> {
        let fault = |key: &[&str], why: String| (key.iter().map(|part| part.to_string()).collect(), why);
        let part = |key: &[&str], figure: f64| match (0.0..=1.0).contains(&figure) {
            true => Ok(figure),
            false => Err(fault(key, format!("must be from 0 to 1, not {figure}"))),
        };
        let positive = |key: &[&str], figure: f64| match figure > 0.0 && figure.is_finite() {
            true => Ok(figure),
            false => Err(fault(key, format!("must be over 0, not {figure}"))),
        };
        let calls_id = |name: &String| self.calls.keys().position(|known| known == name).map(ClassId);
        let site_id = |name: &String| self.sites.keys().position(|known| known == name).map(SiteId);
        let unknown_calls = |key: &[&str], name: &String| fault(key, format!("no calls are named {name:?}"));
        let mut calls = Vec::new();
        for (name, written) in &self.calls {
            calls.push(TrafficClass {
                name: name.clone(),
                payoff: positive(&["calls", name, "payoff"], written.payoff)?,
                work: positive(&["calls", name, "work"], written.work)?,
                floor: part(&["calls", name, "floor"], written.floor)?,
            });
        }
        let mut sites = Vec::new();
        for (name, written) in &self.sites {
            let key = ["sites", name, "goes"];
            let goes = match &written.goes {
                Way::Named(Word::Room) => Failover::ByCapacity,
                Way::Named(Word::Nowhere) => Failover::Drop,
                Way::Shares(shares) => {
                    let mut to = Vec::new();
                    for (other, share) in shares {
                        let id = site_id(other)
                            .ok_or_else(|| fault(&key, format!("there is no site {other:?}")))?;
                        if other == name {
                            return Err(fault(&key, "a site's load can't go to itself".into()));
                        }
                        to.push((id, part(&key, *share)?));
                    }
                    let sum: f64 = shares.values().sum();
                    if (sum - 1.0).abs() > 1e-6 {
                        return Err(fault(&key, format!("shares add up to {sum}, not to 1")));
                    }
                    Failover::Shares(to)
                }
            };
            let mut load = vec![0.0; calls.len()];
            for (of, rate) in &written.load {
                let key = ["sites", name, "load"];
                let id = calls_id(of).ok_or_else(|| unknown_calls(&key, of))?;
                if !(*rate >= 0.0 && rate.is_finite()) {
                    return Err(fault(&key, format!("{of}: must be a number from 0 up, not {rate}")));
                }
                load[id.0] = *rate;
            }
            let room = positive(&["sites", name, "room"], written.room)?;
            let floors: f64 =
                calls.iter().zip(&load).map(|(calls, rate)| calls.floor * calls.work * rate).sum();
            if floors > room {
                let why = format!("the floors of its own load take {floors}, more than it has");
                return Err(fault(&["sites", name, "room"], why));
            }
            let reserve = part(&["sites", name, "reserve"], written.reserve)?;
            sites.push(Site { name: name.clone(), capacity: room, reserve, failover: goes, load });
        }
        let mut first = Vec::new();
        for name in &self.refuse_first {
            let id = calls_id(name).ok_or_else(|| unknown_calls(&["refuse_first"], name))?;
            if first.contains(&id) {
                return Err(fault(&["refuse_first"], format!("{name:?} stands twice")));
            }
            first.push(id);
        }
        if !(self.price >= 0.0 && self.price.is_finite()) {
            return Err(fault(&["price"], format!("must be a number from 0 up, not {}", self.price)));
        }
        Ok(Plan {
            sites,
            classes: calls,
            refuse_first: first,
            cross_site_cost: self.price,
            max_foreign_share: part(&["most"], self.most)?,
        })
    }
}
