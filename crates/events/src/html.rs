//! A self-contained picture of a time line: one lane a process, one mark an event.

use std::fmt::Write;

use model::NodeId;

use crate::event::Event;

/// Width of the area that holds the marks, in pixels.
const PLOT_WIDTH_PX: f64 = 1_200.0;
/// Space to the left, for the names of the lanes, in pixels.
const LABEL_WIDTH_PX: f64 = 150.0;
/// Height of a lane, in pixels.
const LANE_HEIGHT_PX: f64 = 72.0;
/// Space above the first lane, for the time axis, in pixels.
const AXIS_HEIGHT_PX: f64 = 40.0;
/// Ticks on the time axis.
const TICKS: u64 = 8;
/// Rows of marks within a lane, so that marks at one moment do not cover each other.
const ROWS: usize = 4;
/// Colours of the groups of kinds, as name, colour and prefixes of the kinds.
const GROUPS: [Group; 7] = [
    Group { name: "node", colour: "#4c78a8", prefixes: &["node-", "peer-", "link-"] },
    Group { name: "configuration", colour: "#54a24b", prefixes: &["config-", "contract-"] },
    Group { name: "key", colour: "#e45756", prefixes: &["key-"] },
    Group { name: "host", colour: "#f58518", prefixes: &["host-", "wave-", "worker-", "loan-"] },
    Group { name: "backend server", colour: "#b279a2", prefixes: &["backend-"] },
    Group {
        name: "request and task",
        colour: "#72b7b2",
        prefixes: &["request-", "token-", "task-"],
    },
    Group { name: "other", colour: "#9d9d9d", prefixes: &[""] },
];

/// Kinds that share a colour.
struct Group {
    name: &'static str,
    colour: &'static str,
    prefixes: &'static [&'static str],
}

/// The page for `events`, which must be merged.
pub fn render_html(events: &[Event]) -> String {
    let lanes = lanes(events);
    let height = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * lanes.len() as f64 + 10.0;
    let width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + 20.0;
    let mut page = String::from(HEAD);
    let first_ms = events.first().map_or(0, |event| event.timestamp.wall_ms);
    let _ = write!(
        page,
        "<p>{} events of {} processes, from <time data-ms={first_ms}></time></p>",
        events.len(),
        lanes.len()
    );
    page.push_str("<p class=legend>");
    for group in &GROUPS {
        let _ = write!(
            page,
            "<span><i style=\"background:{}\"></i>{}</span>",
            group.colour, group.name
        );
    }
    page.push_str("</p>");
    let _ = write!(page, "<svg width={width} height={height} role=img>");
    let scale = Scale::of(events);
    push_axis(&mut page, &scale, height);
    for (index, lane) in lanes.iter().enumerate() {
        push_lane(&mut page, &scale, lane, index, events);
    }
    page.push_str("</svg>");
    push_list(&mut page, &scale, events);
    page.push_str(TAIL);
    page
}

/// One process: a node's incarnation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    node: NodeId,
    incarnation: u64,
}

impl Lane {
    fn holds(&self, event: &Event) -> bool {
        event.node == self.node && event.incarnation == self.incarnation
    }
}

fn lanes(events: &[Event]) -> Vec<Lane> {
    let mut lanes: Vec<Lane> = events
        .iter()
        .map(|event| Lane { node: event.node.clone(), incarnation: event.incarnation })
        .collect();
    lanes.sort();
    lanes.dedup();
    lanes
}

/// Maps wall time to pixels.
struct Scale {
    first_ms: u64,
    span_ms: u64,
}

impl Scale {
    fn of(events: &[Event]) -> Self {
        let first_ms = events.first().map_or(0, |event| event.timestamp.wall_ms);
        let last_ms = events.last().map_or(0, |event| event.timestamp.wall_ms);
        Self { first_ms, span_ms: last_ms.saturating_sub(first_ms).max(1) }
    }

    fn x_px(&self, wall_ms: u64) -> f64 {
        let part = wall_ms.saturating_sub(self.first_ms) as f64 / self.span_ms as f64;
        LABEL_WIDTH_PX + part * (PLOT_WIDTH_PX - 20.0) + 10.0
    }

    fn label(&self, wall_ms: u64) -> String {
        format!("+{:.3} s", wall_ms.saturating_sub(self.first_ms) as f64 / 1_000.0)
    }
}

fn push_axis(page: &mut String, scale: &Scale, height: f64) {
    for tick in 0..=TICKS {
        let wall_ms = scale.first_ms + scale.span_ms * tick / TICKS;
        let x_px = scale.x_px(wall_ms);
        let _ = write!(
            page,
            "<line class=tick x1={x_px:.1} x2={x_px:.1} y1=30 y2={height}></line>\
             <text class=axis x={x_px:.1} y=20>{}</text>",
            scale.label(wall_ms)
        );
    }
}

fn push_lane(page: &mut String, scale: &Scale, lane: &Lane, index: usize, events: &[Event]) {
    let top_px = AXIS_HEIGHT_PX + LANE_HEIGHT_PX * index as f64;
    let middle_px = top_px + LANE_HEIGHT_PX / 2.0;
    let _ = write!(
        page,
        "<line class=lane x1=0 x2={} y1={top_px} y2={top_px}></line>\
         <text class=name x=4 y={middle_px}>{}</text>\
         <text class=run x=4 y={}>run {}</text>",
        LABEL_WIDTH_PX + PLOT_WIDTH_PX,
        escape(&lane.node),
        middle_px + 15.0,
        lane.incarnation
    );
    for (count, event) in events.iter().filter(|event| lane.holds(event)).enumerate() {
        let step_px = LANE_HEIGHT_PX / (ROWS as f64 + 1.0);
        let y_px = top_px + step_px * (1 + count % ROWS) as f64;
        let _ = write!(
            page,
            "<circle cx={:.1} cy={y_px:.1} r=5 fill=\"{}\"><title>{}</title></circle>",
            scale.x_px(event.timestamp.wall_ms),
            colour(&event.kind_name()),
            escape(&describe(scale, event))
        );
    }
}

fn push_list(page: &mut String, scale: &Scale, events: &[Event]) {
    page.push_str("<table><tr><th>time</th><th>node</th><th>kind</th><th>details</th></tr>");
    for event in events {
        let kind = event.kind_name();
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td style=\"color:{}\">{}</td><td>{}</td></tr>",
            scale.label(event.timestamp.wall_ms),
            escape(&event.node),
            colour(&kind),
            escape(&kind),
            escape(&event.describe_details())
        );
    }
    page.push_str("</table>");
}

fn describe(scale: &Scale, event: &Event) -> String {
    let time = scale.label(event.timestamp.wall_ms);
    format!("{time} {} {} {}", event.node, event.kind_name(), event.describe_details())
}

fn colour(kind: &str) -> &'static str {
    let group =
        GROUPS.iter().find(|group| group.prefixes.iter().any(|prefix| kind.starts_with(prefix)));
    group.map_or("#9d9d9d", |group| group.colour)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

const HEAD: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>savorypitch time line</title><style>
body{font:14px sans-serif;margin:24px;color:#222}
svg{background:#fafafa;border:1px solid #ddd;display:block}
.tick{stroke:#e4e4e4}.lane{stroke:#ccc}.axis{font-size:11px;text-anchor:middle;fill:#666}
.name{font-weight:bold}.run{font-size:10px;fill:#888}
circle{stroke:#fff;cursor:pointer}circle:hover{stroke:#000;r:7}
.legend span{margin-right:16px}.legend i{display:inline-block;width:11px;height:11px;border-radius:6px;margin-right:5px}
#tip{position:fixed;background:#222;color:#fff;padding:6px 9px;border-radius:4px;font-size:12px;display:none;max-width:520px}
table{border-collapse:collapse;margin-top:20px;font-size:12px}td,th{text-align:left;padding:2px 14px 2px 0;border-bottom:1px solid #eee}
</style></head><body><h1>Time line</h1>"#;

const TAIL: &str = r#"<div id="tip"></div><script>
for (const time of document.querySelectorAll("time")) {
  time.textContent = new Date(Number(time.dataset.ms)).toISOString();
}
const tip = document.getElementById("tip");
for (const mark of document.querySelectorAll("circle")) {
  const text = mark.querySelector("title").textContent;
  mark.addEventListener("mousemove", (event) => {
    tip.textContent = text;
    tip.style.display = "block";
    tip.style.left = Math.min(event.clientX + 12, window.innerWidth - 540) + "px";
    tip.style.top = event.clientY + 14 + "px";
  });
  mark.addEventListener("mouseleave", () => { tip.style.display = "none"; });
}
</script></body></html>
"#;
