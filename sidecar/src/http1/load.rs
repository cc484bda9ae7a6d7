//! What a server tells of its load with an answer. The platform's protocol has no header for it; this one is ours:
//! `Load-Report: busy_reqs=3,pending=1,cpu_share=0.4`, the names being those of `report.columns`.
use super::head::Head;
use crate::dispatcher::LoadReport;
use oakhollow::types::ServerLoad;
use oakhollow_terms::REPORT_VALUES;

const LOAD: &str = "Load-Report";
/// A report is short: guards against working through a header of many kilobytes with each answer.
const MOST_FIGURES: usize = 8;

/// Reads an answer's report. One with anything odd in it tells nothing: half a report is worse than none.
pub fn report(head: &Head) -> LoadReport {
    match head.only(LOAD) {
        Ok(None) => LoadReport::Absent,
        Ok(Some(text)) => read(text).map_or(LoadReport::Malformed, LoadReport::Valid),
        Err(_) => LoadReport::Malformed,
    }
}

fn read(text: &str) -> Option<ServerLoad> {
    let mut report = ServerLoad::default();
    let mut figures = text.split(',');
    for part in figures.by_ref().take(MOST_FIGURES) {
        let (name, figure) = part.split_once('=')?;
        let figure = Some(ServerLoad::plausible(figure.trim().parse().ok()?)?);
        let slot = match name.trim() {
            "busy_reqs" => &mut report.open_calls,
            "pending" => &mut report.queued_calls,
            "cpu_share" => &mut report.cpu_utilization,
            other if REPORT_VALUES.contains(&other) => continue, // not read
            _ => return None,
        };
        if std::mem::replace(slot, figure).is_some() {
            return None;
        }
    }
    figures.next().is_none().then_some(report)
}

#[cfg(test)]
mod tests {
    use super::read;

    #[test]
    fn a_whole_report_is_read_and_an_odd_one_tells_nothing() {
        let whole = read("busy_reqs=3.5, pending=1,svc_ms=40").unwrap();
        assert_eq!(
            (whole.open_calls, whole.queued_calls, whole.cpu_utilization),
            (Some(3.5), Some(1.0), None)
        );
        let odd = [
            "",
            "busy_reqs",
            "busy_reqs=",
            "busy_reqs=-1",
            "busy_reqs=NaN",
            "busy_reqs=inf",
            "busy_reqs=1e300",
        ];
        let odd = odd.into_iter().chain(["load=3", "busy_reqs=1,busy_reqs=2", "busy_reqs=1,,"]);
        odd.for_each(|text| assert!(read(text).is_none(), "{text:?}"));
        assert!(read(&"svc_ms=1,".repeat(99)).is_none());
    }
}
