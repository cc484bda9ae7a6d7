//! Parses the load report that an endpoint sends with an answer. The platform's protocol has no header for it; this
//! one is oakhollow's own: `Load-Report: busy_reqs=3,pending=1,cpu_share=0.4`, with the names of `report.columns`.
use super::head::Head;
use crate::dispatcher::LoadReport;
use oakhollow::types::ServerLoad;
use oakhollow_config::LOAD_REPORT_COLUMNS;

const LOAD_REPORT_HEADER: &str = "Load-Report";
/// The most values in a report. Guards against parsing a header of many kilobytes with each answer.
const MAX_VALUES: usize = 8;

/// Reads an answer's load report. A report with anything malformed in it is dropped whole, since a partial report would
/// be worse than none.
pub fn report(head: &Head) -> LoadReport {
    match head.single(LOAD_REPORT_HEADER) {
        Ok(None) => LoadReport::Absent,
        Ok(Some(text)) => parse(text).map_or(LoadReport::Malformed, LoadReport::Valid),
        Err(_) => LoadReport::Malformed,
    }
}

fn parse(text: &str) -> Option<ServerLoad> {
    let mut report = ServerLoad::default();
    let mut values = text.split(',');
    for part in values.by_ref().take(MAX_VALUES) {
        let (name, value) = part.split_once('=')?;
        let value = Some(ServerLoad::plausible(value.trim().parse().ok()?)?);
        let field = match name.trim() {
            "busy_reqs" => &mut report.open_calls,
            "pending" => &mut report.queued_calls,
            "cpu_share" => &mut report.cpu_utilization,
            other if LOAD_REPORT_COLUMNS.contains(&other) => continue, // a known column that is not used
            _ => return None,
        };
        if std::mem::replace(field, value).is_some() {
            return None;
        }
    }
    values.next().is_none().then_some(report)
}

#[cfg(test)]
mod tests {
    use super::parse;

    #[test]
    fn a_valid_report_is_parsed_and_a_malformed_one_is_dropped() {
        let whole = parse("busy_reqs=3.5, pending=1,svc_ms=40").unwrap();
        assert_eq!(
            (whole.open_calls, whole.queued_calls, whole.cpu_utilization),
            (Some(3.5), Some(1.0), None)
        );
        let malformed = [
            "",
            "busy_reqs",
            "busy_reqs=",
            "busy_reqs=-1",
            "busy_reqs=NaN",
            "busy_reqs=inf",
            "busy_reqs=1e300",
        ];
        let malformed = malformed.into_iter().chain(["load=3", "busy_reqs=1,busy_reqs=2", "busy_reqs=1,,"]);
        malformed.for_each(|text| assert!(parse(text).is_none(), "{text:?}"));
        assert!(parse(&"svc_ms=1,".repeat(99)).is_none());
    }
}
