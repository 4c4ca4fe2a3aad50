import {type TimelineEvent} from '@valehitch/core';
import {formatSubject, formatTimestamp} from './_describe-event.js';
import {pageScript} from './_page-script.js';
import {pageStyle} from './_page-style.js';

const stepWidth = 26;
const laneHeight = 110;
const labelWidth = 200;
const headerHeight = 34;
const markerRadius = 5;
const stepsPerTick = 5;
const markerOffset = 88;
const maximumLabelLength = 25;
const timeOfDayStart = 11;
const timeOfDayEnd = 23;

type PlacedEvent = {
	readonly event: TimelineEvent;
	readonly index: number;
	readonly x: number;
	readonly y: number;
};

/** Renders a self-contained HTML page that loads nothing from the network: a lane for each process, with events spaced evenly from left to right, and a searchable table. */
export function renderTimelinePage(events: readonly TimelineEvent[]): string {
	const lanes = listLanes(events);
	const placedEvents = events.map((event, index) => ({
		event, index, x: labelWidth + (stepWidth * (index + 0.5)), y: headerHeight + (laneHeight * lanes.indexOf(laneKey(event))) + markerOffset,
	}));
	const width = labelWidth + (stepWidth * (events.length + 5));
	const height = headerHeight + (laneHeight * lanes.length);
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Timeline of ${events.length} events</title>
<style>${pageStyle}</style>
<header>
<h1>Timeline</h1>
<p>${events.length} events of ${lanes.length} processes${formatTimeRange(events)}. Events are evenly spaced; times are in UTC. Click an event to follow its request or change.</p>
<input id="search" type="search" placeholder="Search events" aria-label="Search events">
</header>
<div id="lanes">
<svg width="${width}" height="${height}" role="img" aria-label="A lane for each process">
${lanes.map((lane, index) => renderLane(lane, {index, width})).join('\n')}
${placedEvents.filter(({index}) => index % stepsPerTick === 0).map(placedEvent => renderTick(placedEvent, height)).join('\n')}
<polyline id="trace" points=""></polyline>
${placedEvents.map(placedEvent => renderEvent(placedEvent)).join('\n')}
</svg>
<div id="names" style="height:${height}px">${lanes.map(lane => renderLaneName(lane)).join('')}</div>
</div>
<table>
<thead><tr><th>Time</th><th>Process</th><th>Event</th><th>Subject</th></tr></thead>
<tbody>
${placedEvents.map(placedEvent => renderRow(placedEvent)).join('\n')}
</tbody>
</table>
<script>${pageScript}</script>
</html>
`;
}

function listLanes(events: readonly TimelineEvent[]): readonly string[] {
	return [...new Set(events.map(event => laneKey(event)))].toSorted((left, right) => left.localeCompare(right));
}

/** The key starts with the zone, so that the lanes of a zone are adjacent when sorted. */
function laneKey({zone, instance}: TimelineEvent): string {
	return `${zone}\n${instance}`;
}

function formatTimeRange(events: readonly TimelineEvent[]): string {
	const [first] = events;
	const last = events.at(-1);
	return first === undefined || last === undefined ? '' : `, from ${formatTimestamp(first)} to ${formatTimestamp(last)}`;
}

function renderLane(lane: string, {index, width}: {readonly index: number; readonly width: number}): string {
	const top = headerHeight + (laneHeight * index);
	const line = top + markerOffset;
	return `<rect class="lane${index % 2 === 0 ? '' : ' odd'}" x="0" y="${top}" width="${width}" height="${laneHeight}"><title>${escapeText(lane)}</title></rect>`
		+ `<line class="axis" x1="${labelWidth}" x2="${width}" y1="${line}" y2="${line}"></line>`;
}

function renderLaneName(lane: string): string {
	const [zone = '', instance = ''] = lane.split('\n');
	return `<div class="name" style="height:${laneHeight}px"><b>${escapeText(instance)}</b><span>${escapeText(zone)}</span></div>`;
}

function renderTick({event, x}: PlacedEvent, height: number): string {
	const timeOfDay = new Date(event.stamp.wall).toISOString().slice(timeOfDayStart, timeOfDayEnd);
	return `<line class="tick" x1="${x}" x2="${x}" y1="${headerHeight}" y2="${height}"></line><text class="clock" x="${x}" y="${headerHeight - 12}">${timeOfDay}</text>`;
}

function renderEvent({event, index, x, y}: PlacedEvent): string {
	const title = `${formatTimestamp(event)} ${event.event} ${formatSubject(event)}`;
	return `<g class="event ${eventCategory(event)}" data-index="${index}" data-x="${x}" data-y="${y}" data-key="${escapeText(correlationKey(event))}">`
		+ `<title>${escapeText(title)}</title><circle cx="${x}" cy="${y}" r="${markerRadius}"></circle>`
		+ `<text transform="translate(${x + 3} ${y - 9}) rotate(-42)">${escapeText(eventLabel(event))}</text></g>`;
}

function renderRow({event, index}: PlacedEvent): string {
	const cells = [formatTimestamp(event), event.instance, event.event, formatSubject(event)];
	return `<tr data-index="${index}" data-key="${escapeText(correlationKey(event))}" class="${eventCategory(event)}">${cells.map(cell => `<td>${escapeText(cell)}</td>`).join('')}</tr>`;
}

/** Adds the server to the name of an event that has a server but no request. */
function eventLabel({event, server, requestId}: TimelineEvent): string {
	const label = server === undefined || requestId !== undefined ? event : `${event} ${server}`;
	return label.length > maximumLabelLength ? `${label.slice(0, maximumLabelLength - 1)}…` : label;
}

/** The key that correlates events: the request, else the change, else the revision. */
function correlationKey({requestId, changeId, revision}: TimelineEvent): string {
	return requestId ?? changeId ?? (revision === undefined ? '' : `revision ${revision}`);
}

function eventCategory({event}: TimelineEvent): string {
	return event.split('-')[0] ?? '';
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
