//! Formats replay reports as a table.

use crate::run::ReplayReport;

/// Formats reports as a table: a heading, then one line per report with notes on faults and recovery below it.
pub fn render_table(reports: &[ReplayReport]) -> String {
    let mut text = format!(
        "{:<8} {:<9} {:>8} {:>8} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6}\n",
        "trace",
        "policy",
        "gap max",
        "gap p99",
        "util",
        "bytes",
        "msgs",
        "done",
        "refused",
        "retries",
        "sent",
        "hits"
    );
    for report in reports {
        text.push_str(&format!(
            "{:<8} {:<9} {:>8.2} {:>8.2} {:>7.4} {:>7.0} {:>6.1} {:>6} {:>8} {:>8} {:>6.3} {:>6.3}\n",
            report.trace,
            report.policy,
            report.gap_largest,
            report.gap_p99,
            report.utilisation,
            report.control_bytes,
            report.control_messages,
            report.done,
            report.refused,
            report.retries,
            report.sent_ratio,
            report.prefix_hits
        ));
        if report.unfinished > 0 {
            text.push_str(&format!("  FAULT: {} requests had no answer at the end\n", report.unfinished));
        }
        if let (Some(millis), Some(bytes), Some(gap)) =
            (report.recovery_millis, report.recovery_bytes, report.recovery_gap)
        {
            text.push_str(&format!(
                "  recovery: {millis:.1} ms to the next grant, {bytes} bytes, gap after {gap:.2}\n"
            ));
        }
    }
    text
}
