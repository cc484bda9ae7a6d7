//! The oakhollow sidecar on sockets. [`run`] runs one sidecar from start to exit; the program `oakhollow` only
//! reads the configuration and calls it. The load-balancing decisions are those of the crate `oakhollow`: in each
//! worker one task ([`dispatcher`]) owns them, and the protocol ([`http1`]) reaches it through a queue.
//! [`lifecycle`] runs the process as a whole; the requests are carried by [`workers`], one thread each.
pub mod agreement;
pub mod console;
pub mod dispatcher;
pub mod durable_file;
pub mod endpoint_list;
pub mod endpoint_registry;
pub mod eviction;
pub mod handover;
pub mod host_clock;
pub mod http1;
pub mod lease;
pub mod lifecycle;
pub mod limits;
pub mod line_io;
pub mod list_deadline;
pub mod list_freshness;
pub mod listeners;
pub mod logging;
pub mod maintenance_store;
pub mod metrics;
pub mod monitor;
pub mod oneshot;
pub mod plan_report;
pub mod reactor;
pub mod stall_detector;
pub mod start_time;
pub mod system_errors;
pub mod tasks;
pub mod timers;
pub mod uninterrupted;
pub mod workers;
pub mod workload_ids;

pub use lifecycle::{run, signals, ControlCommand};
