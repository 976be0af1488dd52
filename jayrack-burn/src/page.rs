//! The report as a single HTML page for phone screens.
//!
//! The page loads with one request and needs no script. It shows first the objectives that are
//! burning, then the daemons that are behind on configuration, then the open plans with buttons to
//! confirm or drop them.
use std::fmt::Write;

use crate::{
    chart,
    report::{BurnState, FleetRow},
};

/// Maximum number of rows in each list; the number of omitted rows is shown.
pub const MAX_ROWS: usize = 40;

/// Maximum number of objectives with a chart; the others appear in the table only.
pub const MAX_CHARTS: usize = 6;

/// Maximum number of open plans shown; the number of omitted plans follows.
pub const MAX_PLANS: usize = 12;

/// Maximum number of effects shown of one plan.
pub const MAX_EFFECTS: usize = 8;

/// A daemon that has not applied the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BehindRow {
    /// Data centre and address of the daemon.
    pub member: String,
    /// Version in force on the daemon.
    pub version: u64,
}

/// An open plan that waits for an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanRow {
    /// Identifier of the plan.
    pub id: String,
    /// Team that stated the intent.
    pub team: String,
    /// Changes that the plan makes, one sentence each.
    pub effects: Vec<String>,
    /// Proof that a submitted form came from this page, against cross-site request forgery.
    pub csrf_token: String,
}

/// Content of the page.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PageContent {
    /// Version in force on the daemon that serves the page.
    pub version: u64,
    /// Number of daemons on which that version is in force.
    pub on: usize,
    /// Number of all daemons.
    pub of: usize,
    /// Whether the platform log answers.
    pub log_is_up: bool,
    /// Objectives, burning ones first.
    pub burn: Vec<FleetRow>,
    /// Daemons that are behind.
    pub behind: Vec<BehindRow>,
    /// Open plans.
    pub plans: Vec<PlanRow>,
    /// Daemons that did not answer.
    pub missing: Vec<String>,
    /// Whether the reader may confirm and drop plans.
    pub may_change: bool,
}

const STYLE: &str = "body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:8px;max-width:360px;color:#222}\
h1{font-size:20px;margin:4px 0}h2{font-size:17px;margin:16px 0 4px}svg{max-width:100%;height:auto}\
table{border-collapse:collapse;width:100%;font-size:13px}td,th{padding:2px 3px;text-align:right}\
td:first-child,th:first-child{text-align:left}.burning{color:#be1e1e;font-weight:700}.slow{color:#a35f00;font-weight:700}\
.met{color:#28824a}.idle{color:#666}ul{padding-left:18px;margin:4px 0}form{display:inline}\
button{font-size:16px;padding:8px 18px;margin:6px 8px 6px 0}code{overflow-wrap:anywhere}\
.plan{border:1px solid #ccc;border-radius:6px;padding:6px;margin:6px 0}";

/// Renders the page.
pub fn render(content: &PageContent) -> String {
    let mut page = String::with_capacity(16 * 1024);
    page.push_str("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">");
    let _ = write!(
        page,
        "<title>jayrack report</title><style>{STYLE}</style></head><body>"
    );
    push_burn(&mut page, content);
    push_version_in_force(&mut page, content);
    push_plans(&mut page, content);
    push_table(&mut page, &content.burn);
    page.push_str("</body></html>");
    page
}

fn push_burn(page: &mut String, content: &PageContent) {
    let burning = content.burn.iter().filter(|row| is_burning(row)).count();
    match burning {
        0 => page.push_str("<h1 class=\"met\">No objective is burning</h1>"),
        count => {
            let _ = write!(
                page,
                "<h1 class=\"burning\">Burning: {}</h1>",
                with_noun(count, "objective")
            );
        }
    }
    for row in content.burn.iter().take(MAX_CHARTS) {
        let class = css_class(row.state);
        let names = format!("{} / {}", row.service, row.rank);
        let _ = write!(
            page,
            "<p class=\"{class}\">{}: {}<br>",
            escape(&names),
            row.state.name()
        );
        page.push_str(&chart::draw(row).unwrap_or_default());
        page.push_str("</p>");
    }
    if !content.burn.is_empty() {
        page.push_str("<small>Bars: 5 minutes, 1 hour, 6 hours, 3 days; a full bar is a burn rate of 14.4.</small>");
    }
    if !content.missing.is_empty() {
        let _ = write!(
            page,
            "<p>No answer from {}: ",
            with_noun(content.missing.len(), "daemon")
        );
        push_names(page, &content.missing, ", ");
        page.push_str("</p>");
    }
}

fn push_version_in_force(page: &mut String, content: &PageContent) {
    let _ = write!(
        page,
        "<h2>Version {} in force on {} of {}</h2>",
        content.version, content.on, content.of
    );
    if !content.log_is_up {
        page.push_str("<p class=\"burning\">The platform log does not answer.</p>");
    }
    if content.behind.is_empty() {
        return;
    }
    page.push_str("<ul>");
    for row in content.behind.iter().take(MAX_ROWS) {
        let _ = write!(page, "<li>{} at {}</li>", escape(&row.member), row.version);
    }
    push_omitted_count(page, content.behind.len(), MAX_ROWS);
    page.push_str("</ul>");
}

fn push_plans(page: &mut String, content: &PageContent) {
    let _ = write!(
        page,
        "<h2>{}</h2>",
        with_noun(content.plans.len(), "open plan")
    );
    for plan in content.plans.iter().take(MAX_PLANS) {
        push_plan(page, plan, content.may_change);
    }
    push_omitted_count(page, content.plans.len(), MAX_PLANS);
}

fn push_plan(page: &mut String, plan: &PlanRow, may_change: bool) {
    let id = escape(&plan.id);
    let _ = write!(
        page,
        "<div class=\"plan\"><code>{id}</code> by {}<ul>",
        escape(&plan.team)
    );
    for effect in plan.effects.iter().take(MAX_EFFECTS) {
        let _ = write!(page, "<li>{}</li>", escape(effect));
    }
    push_omitted_count(page, plan.effects.len(), MAX_EFFECTS);
    page.push_str("</ul>");
    if may_change {
        for (verb, label) in [("confirm", "Confirm"), ("drop", "Drop")] {
            let _ = write!(
                page,
                "<form method=\"post\" action=\"/report/plans/{id}/{verb}\"><input type=\"hidden\" name=\"check\" value=\"{}\"><button>{label}</button></form>",
                escape(&plan.csrf_token)
            );
        }
    }
    page.push_str("</div>");
}

fn push_table(page: &mut String, rows: &[FleetRow]) {
    if rows.is_empty() {
        return;
    }
    page.push_str(
        "<h2>Burn by window</h2><table><tr><th>service / rank<th>5m<th>1h<th>6h<th>3d</tr>",
    );
    for row in rows.iter().take(MAX_ROWS) {
        let names = format!("{} / {}", row.service, row.rank);
        let _ = write!(
            page,
            "<tr class=\"{}\"><td>{}",
            css_class(row.state),
            escape(&names)
        );
        for burn in &row.windows {
            let _ = write!(page, "<td>{:.1}", burn.rate);
        }
        page.push_str("</tr>");
    }
    page.push_str("</table>");
    push_omitted_count(page, rows.len(), MAX_ROWS);
}

fn push_names(page: &mut String, names: &[String], separator: &str) {
    for (index, name) in names.iter().take(MAX_ROWS).enumerate() {
        if index > 0 {
            page.push_str(separator);
        }
        page.push_str(&escape(name));
    }
    push_omitted_count(page, names.len(), MAX_ROWS);
}

fn push_omitted_count(page: &mut String, length: usize, shown: usize) {
    if length > shown {
        let _ = write!(page, " and {} more", length - shown);
    }
}

fn is_burning(row: &FleetRow) -> bool {
    matches!(row.state, BurnState::Burning | BurnState::Slow)
}

fn css_class(state: BurnState) -> &'static str {
    match state {
        BurnState::Burning => "burning",
        BurnState::Slow => "slow",
        BurnState::Met => "met",
        BurnState::Idle => "idle",
    }
}

/// Formats a count with its noun, which is in the plural unless the count is 1.
fn with_noun(count: usize, noun: &str) -> String {
    match count {
        1 => format!("1 {noun}"),
        count => format!("{count} {noun}s"),
    }
}

/// Escapes the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            other => escaped.push(other),
        }
    }
    escaped
}
