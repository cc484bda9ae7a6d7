//! The ids of requests, without sockets.
use oakhollow_sidecar::http1::request_ids::{IdConflict, RequestIds};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Guards against an id that can never be used again, and against one that is used twice at a time.
#[test]
fn an_id_is_free_again_once_its_request_has_ended() {
    let (ids, now) = (Arc::<RequestIds>::default(), Instant::now());
    let first = ids.register("a", now);
    assert!(matches!(ids.register("a", now), Err(IdConflict::Open)) && ids.register("b", now).is_ok());
    drop(first);
    assert!(ids.register("a", now).is_ok());
}

/// Guards against a second run of a request that may have run, and against memory that grows with each of them.
#[test]
fn ids_of_requests_that_may_have_run_are_remembered_within_bounds() {
    let (ids, now) = (Arc::<RequestIds>::default(), Instant::now());
    let remember = |id: &str, at| match ids.register(id, at) {
        Ok(registered) => registered.release().remember(at),
        Err(conflict) => panic!("{id}: {conflict:?}"),
    };
    remember("a", now);
    assert!(matches!(ids.register("a", now + Duration::from_secs(599)), Err(IdConflict::MayHaveRun)));
    assert!(ids.register("a", now + Duration::from_secs(600)).is_ok());
    remember("b", now);
    (0..100_000).for_each(|number| remember(&format!("n{number}"), now));
    assert!(ids.register("b", now).is_ok() && ids.register("n99999", now).is_err());
    let still_remembered = (0..100_000).filter(|number| ids.register(&format!("n{number}"), now).is_err());
    assert_eq!(still_remembered.count(), 16 * 512);
}
