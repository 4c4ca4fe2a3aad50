/** The style sheet of the timeline page. */
export const pageStyle = `
:root { color-scheme: light; font: 14px/1.4 system-ui, sans-serif; }
body { margin: 0; color: #1c2430; background: #fff; }
header { padding: 12px 16px; }
h1 { font-size: 20px; margin: 0; }
p { margin: 4px 0 8px; color: #4a5668; }
input { font: inherit; width: 320px; padding: 4px 8px; border: 1px solid #9aa5b4; border-radius: 4px; }
#lanes { position: relative; overflow-x: auto; border-block: 1px solid #c9d1db; max-height: 70vh; }
#lanes svg { display: block; }
#names { position: sticky; left: 0; width: 160px; margin-top: var(--up); padding-top: 34px; box-sizing: border-box; background: #fff; border-right: 1px solid #c9d1db; }
.name { box-sizing: border-box; padding: 64px 8px 0; }
.name b, .name span { display: block; line-height: 1.25; overflow: hidden; text-overflow: ellipsis; white-space: nowrap; }
.name span { color: #66748a; font-size: 12px; }
.lane { fill: #fff; }
.lane.odd { fill: #f3f6fa; }
.axis { stroke: #9aa5b4; }
.tick { stroke: #e1e7ee; }
.clock { font-size: 11px; fill: #66748a; text-anchor: middle; }
.event { cursor: pointer; fill: #5b6b80; }
.event text { font-size: 10px; }
.event.instance, .event.leader, .event.replica { fill: #7a3fa8; }
.event.configuration, .event.rollout, .event.version { fill: #b8550a; }
.event.server, .event.order { fill: #0b7285; }
.event.request { fill: #1558b0; }
.event.bill, .event.claim { fill: #2b7a2b; }
.event.chosen circle { stroke: #d6003c; stroke-width: 3; }
.event.faded { opacity: 0.15; }
#trace { fill: none; stroke: #d6003c; stroke-width: 1.5; pointer-events: none; }
table { border-collapse: collapse; width: 100%; font-size: 13px; }
th, td { text-align: left; padding: 3px 16px; vertical-align: top; border-bottom: 1px solid #e1e7ee; }
td:nth-child(-n+3) { white-space: nowrap; }
td:last-child { overflow-wrap: anywhere; }
tr.chosen { background: #ffe9ef; }
tr[hidden] { display: none; }
`;
