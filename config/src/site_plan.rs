//! The `[plan]` section of the operator's file: the plan for the loss of sites.
use oakhollow_sites::{ClassId, Failover, Plan, Site, SiteId, TrafficClass};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Sites and traffic classes by name. Each class is a workload, or `workload/tenant`.
///
/// ```
/// use oakhollow_config::OperatorConfig;
/// let text = |failover: &str, refuse_first: &str, floor: f64| format!(r#"[plan]
/// refuse_first = ["{refuse_first}"]
/// [plan.calls]
/// order = {{ payoff = 5.0, floor = {floor} }}
/// search = {{ payoff = 1.0 }}
/// [plan.sites]
/// lj = {{ room = 100.0, goes = {failover}, load = {{ order = 80.0, search = 10.0 }} }}
/// mb = {{ room = 60.0, load = {{ order = 70.0 }} }}
/// "#);
/// let read = |failover: &str, refuse_first: &str, floor: f64| {
///     OperatorConfig::from_toml(&text(failover, refuse_first, floor), 8)
/// };
/// let error = |failover: &str, refuse_first: &str, floor: f64| {
///     read(failover, refuse_first, floor).map(|_| ()).unwrap_err()
/// };
/// assert!(read("\"room\"", "search", 0.2).unwrap().site_plan().is_some());
/// assert_eq!(error("{ kp = 1.0 }", "search", 0.2), "line 7: plan.sites.lj.goes: there is no site \"kp\"");
/// assert_eq!(error("{ mb = 0.5 }", "search", 0.2), "line 7: plan.sites.lj.goes: shares add up to 0.5, not to 1");
/// assert_eq!(error("\"room\"", "sarch", 0.2), "line 2: plan.refuse_first: there is no class \"sarch\"");
/// let floors = error("\"room\"", "search", 0.9);
/// assert_eq!(floors, "line 8: plan.sites.mb.room: the floors of its own load take 63, more than its room");
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitePlanConfig {
    sites: BTreeMap<String, SiteConfig>,
    #[serde(rename = "calls")]
    classes: BTreeMap<String, ClassConfig>,
    #[serde(default)]
    refuse_first: Vec<String>,
    #[serde(default, rename = "price")]
    cross_site_cost: f64,
    #[serde(default = "default_one", rename = "most")]
    max_foreign_share: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct SiteConfig {
    #[serde(rename = "room")]
    capacity: f64,
    #[serde(default)]
    reserve: f64,
    #[serde(default, rename = "goes")]
    failover: FailoverConfig,
    #[serde(default)]
    load: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
enum FailoverConfig {
    Word(FailoverWord),
    Shares(BTreeMap<String, f64>),
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FailoverWord {
    #[serde(rename = "room")]
    ByCapacity,
    #[serde(rename = "nowhere")]
    Drop,
}

impl Default for FailoverConfig {
    fn default() -> FailoverConfig {
        FailoverConfig::Word(FailoverWord::ByCapacity)
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassConfig {
    payoff: f64,
    #[serde(default = "default_one")]
    work: f64,
    #[serde(default)]
    floor: f64,
}

fn default_one() -> f64 {
    1.0
}

/// The path of the invalid key below `plan`, and the reason.
pub(crate) type PlanError = (Vec<String>, String);

impl SitePlanConfig {
    /// Checks the values and replaces names by ids.
    pub(crate) fn plan(&self) -> Result<Plan, PlanError> {
        let error =
            |key: &[&str], reason: String| (key.iter().map(|part| part.to_string()).collect(), reason);
        let fraction = |key: &[&str], value: f64| match (0.0..=1.0).contains(&value) {
            true => Ok(value),
            false => Err(error(key, format!("must be from 0 to 1, not {value}"))),
        };
        let positive = |key: &[&str], value: f64| match value > 0.0 && value.is_finite() {
            true => Ok(value),
            false => Err(error(key, format!("must be over 0, not {value}"))),
        };
        let class_id = |name: &String| self.classes.keys().position(|known| known == name).map(ClassId);
        let site_id = |name: &String| self.sites.keys().position(|known| known == name).map(SiteId);
        let unknown_class = |key: &[&str], name: &String| error(key, format!("there is no class {name:?}"));
        let mut classes = Vec::new();
        for (name, config) in &self.classes {
            classes.push(TrafficClass {
                name: name.clone(),
                payoff: positive(&["calls", name, "payoff"], config.payoff)?,
                work: positive(&["calls", name, "work"], config.work)?,
                floor: fraction(&["calls", name, "floor"], config.floor)?,
            });
        }
        let mut sites = Vec::new();
        for (name, config) in &self.sites {
            let key = ["sites", name, "goes"];
            let failover = match &config.failover {
                FailoverConfig::Word(FailoverWord::ByCapacity) => Failover::ByCapacity,
                FailoverConfig::Word(FailoverWord::Drop) => Failover::Drop,
                FailoverConfig::Shares(shares) => {
                    let mut targets = Vec::new();
                    for (other, share) in shares {
                        let id = site_id(other)
                            .ok_or_else(|| error(&key, format!("there is no site {other:?}")))?;
                        if other == name {
                            return Err(error(&key, "a site's load can't go to itself".into()));
                        }
                        targets.push((id, fraction(&key, *share)?));
                    }
                    let sum: f64 = shares.values().sum();
                    if (sum - 1.0).abs() > 1e-6 {
                        return Err(error(&key, format!("shares add up to {sum}, not to 1")));
                    }
                    Failover::Shares(targets)
                }
            };
            let mut load = vec![0.0; classes.len()];
            for (class, rate) in &config.load {
                let key = ["sites", name, "load"];
                let id = class_id(class).ok_or_else(|| unknown_class(&key, class))?;
                if !(*rate >= 0.0 && rate.is_finite()) {
                    return Err(error(&key, format!("{class}: must be a number from 0 up, not {rate}")));
                }
                load[id.0] = *rate;
            }
            let capacity = positive(&["sites", name, "room"], config.capacity)?;
            let floors: f64 =
                classes.iter().zip(&load).map(|(class, rate)| class.floor * class.work * rate).sum();
            if floors > capacity {
                let reason = format!("the floors of its own load take {floors}, more than its room");
                return Err(error(&["sites", name, "room"], reason));
            }
            let reserve = fraction(&["sites", name, "reserve"], config.reserve)?;
            sites.push(Site { name: name.clone(), capacity, reserve, failover, load });
        }
        let mut refuse_first = Vec::new();
        for name in &self.refuse_first {
            let id = class_id(name).ok_or_else(|| unknown_class(&["refuse_first"], name))?;
            if refuse_first.contains(&id) {
                return Err(error(&["refuse_first"], format!("{name:?} appears twice")));
            }
            refuse_first.push(id);
        }
        if !(self.cross_site_cost >= 0.0 && self.cross_site_cost.is_finite()) {
            return Err(error(
                &["price"],
                format!("must be a number from 0 up, not {}", self.cross_site_cost),
            ));
        }
        Ok(Plan {
            sites,
            classes,
            refuse_first,
            cross_site_cost: self.cross_site_cost,
            max_foreign_share: fraction(&["most"], self.max_foreign_share)?,
        })
    }
}
