import {type TimelineEvent} from '@valehitch/core';
import {describeSubject, describeTime} from './_describe-event.js';
import {pageScript} from './_page-script.js';
import {pageStyle} from './_page-style.js';

const stepWidth = 26;
const laneHeight = 110;
const labelWidth = 200;
const headHeight = 34;
const dotRadius = 5;
const stepsPerTick = 5;
const dotDepth = 88;
const longestLabel = 25;
const clockStart = 11;
const clockEnd = 23;

type Placed = {
	readonly event: TimelineEvent;
	readonly index: number;
	readonly x: number;
	readonly y: number;
};

/** Makes a page of its own, without anything from the network: a lane for each process, one step to the right for each event, and a list that can be searched. */
export function timelinePage(events: readonly TimelineEvent[]): string {
	const lanes = lanesOf(events);
	const placed = events.map((event, index) => ({
		event, index, x: labelWidth + (stepWidth * (index + 0.5)), y: headHeight + (laneHeight * lanes.indexOf(laneOf(event))) + dotDepth,
	}));
	const width = labelWidth + (stepWidth * (events.length + 5));
	const height = headHeight + (laneHeight * lanes.length);
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Time line of ${events.length} events</title>
<style>${pageStyle}</style>
<header>
<h1>Time line</h1>
<p>${events.length} events of ${lanes.length} processes${spanOf(events)}. One step to the right is one event; times are in UTC. Click an event to follow its request or change.</p>
<input id="search" type="search" placeholder="Search events" aria-label="Search events">
</header>
<div id="lanes">
<svg width="${width}" height="${height}" role="img" aria-label="A lane for each process">
${lanes.map((lane, index) => laneMarks(lane, {index, width})).join('\n')}
${placed.filter(({index}) => index % stepsPerTick === 0).map(place => tickMark(place, height)).join('\n')}
<polyline id="trace" points=""></polyline>
${placed.map(place => eventMark(place)).join('\n')}
</svg>
<div id="names" style="height:${height}px">${lanes.map(lane => nameMark(lane)).join('')}</div>
</div>
<table>
<thead><tr><th>Time</th><th>Process</th><th>Event</th><th>About</th></tr></thead>
<tbody>
${placed.map(place => rowMark(place)).join('\n')}
</tbody>
</table>
<script>${pageScript}</script>
</html>
`;
}

function lanesOf(events: readonly TimelineEvent[]): readonly string[] {
	return [...new Set(events.map(event => laneOf(event)))].toSorted((left, right) => left.localeCompare(right));
}

/** The zone comes first, so that the lanes of a zone stand together. */
function laneOf({zone, instance}: TimelineEvent): string {
	return `${zone}\n${instance}`;
}

function spanOf(events: readonly TimelineEvent[]): string {
	const [first] = events;
	const last = events.at(-1);
	return first === undefined || last === undefined ? '' : `, from ${describeTime(first)} to ${describeTime(last)}`;
}

function laneMarks(lane: string, {index, width}: {readonly index: number; readonly width: number}): string {
	const top = headHeight + (laneHeight * index);
	const line = top + dotDepth;
	return `<rect class="lane${index % 2 === 0 ? '' : ' odd'}" x="0" y="${top}" width="${width}" height="${laneHeight}"><title>${escapeText(lane)}</title></rect>`
		+ `<line class="axis" x1="${labelWidth}" x2="${width}" y1="${line}" y2="${line}"></line>`;
}

function nameMark(lane: string): string {
	const [zone = '', instance = ''] = lane.split('\n');
	return `<div class="name" style="height:${laneHeight}px"><b>${escapeText(instance)}</b><span>${escapeText(zone)}</span></div>`;
}

function tickMark({event, x}: Placed, height: number): string {
	const clock = new Date(event.stamp.wall).toISOString().slice(clockStart, clockEnd);
	return `<line class="tick" x1="${x}" x2="${x}" y1="${headHeight}" y2="${height}"></line><text class="clock" x="${x}" y="${headHeight - 12}">${clock}</text>`;
}

function eventMark({event, index, x, y}: Placed): string {
	const title = `${describeTime(event)} ${event.event} ${describeSubject(event)}`;
	return `<g class="event ${familyOf(event)}" data-index="${index}" data-x="${x}" data-y="${y}" data-key="${escapeText(keyOf(event))}">`
		+ `<title>${escapeText(title)}</title><circle cx="${x}" cy="${y}" r="${dotRadius}"></circle>`
		+ `<text transform="translate(${x + 3} ${y - 9}) rotate(-42)">${escapeText(labelOf(event))}</text></g>`;
}

function rowMark({event, index}: Placed): string {
	const cells = [describeTime(event), event.instance, event.event, describeSubject(event)];
	return `<tr data-index="${index}" data-key="${escapeText(keyOf(event))}" class="${familyOf(event)}">${cells.map(cell => `<td>${escapeText(cell)}</td>`).join('')}</tr>`;
}

/** An event about a server alone says which. */
function labelOf({event, server, requestId}: TimelineEvent): string {
	const label = server === undefined || requestId !== undefined ? event : `${event} ${server}`;
	return label.length > longestLabel ? `${label.slice(0, longestLabel - 1)}…` : label;
}

/** What ties events together: the request, else the change, else the revision. */
function keyOf({requestId, changeId, revision}: TimelineEvent): string {
	return requestId ?? changeId ?? (revision === undefined ? '' : `revision ${revision}`);
}

function familyOf({event}: TimelineEvent): string {
	return event.split('-')[0] ?? '';
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
