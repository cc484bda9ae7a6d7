//! Settings as instances agree on them: the part that is the same for all, as text, and each instance's own on top of it.
use crate::{mark, read, stricter, to_json, Place, Start};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// What of the settings is an instance's own.
const OWN: [&str; 3] = ["me", "tier", "zone"];

/// An instance's own part of the settings.
///
/// ```
/// use oakhollow_terms::Own;
/// let of = |me: u32, hops: u32| format!(r#"{{"me":{me},"balancers":2,"bounds":{{"most_hops":{hops}}},
///   "rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5}},
///   "workloads":[{{"name":"view","quoted_time_s":1,"abandon_time_s":2,"payoff":1,"semantics":"read_like"}}]}}"#);
/// let (own, first) = Own::part(&of(1, 3)).unwrap();
/// let (_, second) = Own::part(&of(0, 2)).unwrap();
/// assert_eq!(first, Own::part(&of(0, 3)).unwrap().1);
/// let place = own.place(&[first.text.as_str(), &second.text]).unwrap();
/// assert_eq!((place.terms.instance_index, place.terms.max_hops), (1, 2));
/// ```
#[derive(Clone, Default, Debug)]
pub struct Own(Map<String, Value>);

/// The part that is the same for all.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Common {
    pub text: String,
    pub hash: u64,
}

impl Own {
    /// Parts settings as text.
    pub fn part(settings: &str) -> Result<(Own, Common), String> {
        let mut all: Map<String, Value> = read(settings.as_bytes())?;
        let own = OWN.iter().filter_map(|key| Some((key.to_string(), all.remove(*key)?))).collect();
        let text = Value::Object(all).to_string();
        Ok((Own(own), Common { hash: mark(&text), text }))
    }

    /// The strictest of what is common, with this instance's own; the earliest comes first.
    pub fn place(&self, common: &[&str]) -> Result<Place, String> {
        let mut each = common.iter().map(|text| read::<Value>(text.as_bytes()));
        let first = each.next().unwrap_or(Ok(Value::Null))?;
        let mut all = each.try_fold(first, |all, one| stricter(&all, &one?))?;
        if let Value::Object(all) = &mut all {
            all.extend(self.0.clone());
        }
        Start::on_sockets(read(all.to_string().as_bytes())?)
    }
}

/// What an instance says first on a link to a keeper.
///
/// ```
/// use oakhollow_terms::Greeting;
/// let greeting = Greeting::new("n1", 7);
/// assert_eq!(Greeting::read(greeting.to_json().as_bytes()), Ok(greeting.clone()));
/// let newer = greeting.to_json().replace("\"accord\":2", "\"accord\":1");
/// assert_eq!(Greeting::read(newer.as_bytes()).unwrap_err(), "accord: 1 is not read");
/// ```
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Greeting {
    accord: u32,
    pub name: String,
    pub life: u64,
}

impl Greeting {
    const VERSION: u32 = 2;

    pub fn new(name: &str, life: u64) -> Greeting {
        Greeting { accord: Self::VERSION, name: name.into(), life }
    }

    pub fn to_json(&self) -> String {
        to_json(self)
    }

    pub fn read(line: &[u8]) -> Result<Greeting, String> {
        let greeting: Greeting = read(line)?;
        match greeting.accord {
            Self::VERSION => Ok(greeting),
            other => Err(format!("accord: {other} is not read")),
        }
    }
}
