//! The phases of the process as a table: what ends each, and what is done then.

/// The phases of the process. The log names them by their identifiers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Listening, and not accepting yet.
    Starting,
    /// Accepting and serving clients.
    Serving,
    /// After the stop signal: `/ready` reports not ready, but clients that connect or stay are served. The clients of
    /// another sidecar that leaves soon after may have no other sidecar to go to.
    Leaving,
    /// No connection is accepted; open requests are finished, and each answer ends its connection.
    Finishing,
    /// The process exits.
    Over,
}

/// What may end a phase, or change something within it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Event {
    /// The listeners are bound; during a handover, also the list is known and sending is allowed.
    Bound,
    /// The stop signal has come.
    StopRequested,
    /// The configuration file has changed.
    FileChanged,
    /// The time for which clients are still served after the stop signal is over.
    ServingTimeOver,
    /// No client connection is left.
    ConnectionsClosed,
    /// The longest that any request may take has passed.
    TimeLimitReached,
    /// A worker, or the main thread's own tasks, has failed.
    WorkerFailed,
}

impl Event {
    /// The event's name in the log.
    pub fn log_name(self) -> &'static str {
        match self {
            Event::Bound => "Bound",
            Event::StopRequested => "Told",
            Event::FileChanged => "Changed",
            Event::ServingTimeOver => "Spent",
            Event::ConnectionsClosed => "Empty",
            Event::TimeLimitReached => "Overdue",
            Event::WorkerFailed => "Lost",
        }
    }
}

/// What a transition does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Action {
    StartAccepting,
    /// Reports not ready and, if there is a successor, stops accepting.
    StartLeaving,
    /// Reads the configuration file again.
    Reload,
    StopAccepting,
    Nothing,
}

/// The transitions. A pair of phase and event that is not listed changes nothing.
const TRANSITIONS: &[(Phase, Event, Phase, Action)] = &[
    (Phase::Starting, Event::Bound, Phase::Serving, Action::StartAccepting),
    (Phase::Serving, Event::StopRequested, Phase::Leaving, Action::StartLeaving),
    (Phase::Serving, Event::FileChanged, Phase::Serving, Action::Reload),
    (Phase::Leaving, Event::FileChanged, Phase::Leaving, Action::Reload),
    (Phase::Leaving, Event::ServingTimeOver, Phase::Finishing, Action::StopAccepting),
    (Phase::Finishing, Event::ConnectionsClosed, Phase::Over, Action::Nothing),
    (Phase::Finishing, Event::TimeLimitReached, Phase::Over, Action::Nothing),
    // A process that lost a worker ends: a supervisor can only restart one that has exited.
    (Phase::Serving, Event::WorkerFailed, Phase::Over, Action::Nothing),
    (Phase::Leaving, Event::WorkerFailed, Phase::Over, Action::Nothing),
    (Phase::Finishing, Event::WorkerFailed, Phase::Over, Action::Nothing),
];

/// The phase that follows and what is done when the event happens in this phase; none if it changes nothing.
pub fn transition(phase: Phase, event: Event) -> Option<(Phase, Action)> {
    let row = TRANSITIONS.iter().find(|(from, trigger, ..)| *from == phase && *trigger == event);
    row.map(|(_, _, next_phase, action)| (*next_phase, *action))
}
