import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Histogram buckets in seconds, which cover the shortest plain answers to the longest streams. */
const latencyBuckets = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6];

/**
The counters and histograms of a gateway process. Label values come from fixed sets, so that the number of time series is bounded.

@example
```ts
const metrics = createGatewayMetrics();
metrics.refusals.inc({kind: 'no-server'});
await metrics.registry.metrics();
```
*/
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;

/**
Creates the metrics of a gateway process.

@returns The metrics, all of them zero.
@example
```ts
createGatewayMetrics().requests.inc({kind: 'safe', outcome: 'answered'});
```
*/
export function createGatewayMetrics() {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		requests: new Counter({
			name: 'valehitch_requests_total', help: 'Requests that ended, by kind of route and outcome', labelNames: ['kind', 'outcome'], registers,
		}),
		refusals: new Counter({
			name: 'valehitch_refusals_total', help: 'Requests answered with an error of our own, by error kind', labelNames: ['kind'], registers,
		}),
		excessiveAnswers: new Counter({
			name: 'valehitch_excessive_answers_total', help: 'Answers of backend servers that were cut off because they had more bytes than they may have', registers,
		}),
		closedConnections: new Counter({
			name: 'valehitch_closed_connections_total', help: 'Connections of callers that were closed other than after an answer, by reason', labelNames: ['reason'], registers,
		}),
		unhandledRequests: new Counter({
			name: 'valehitch_unhandled_requests_total', help: 'Requests that were read and not sent to a server, since their connection was closed before', registers,
		}),
		attempts: new Counter({
			name: 'valehitch_attempts_total', help: 'Sends to backend servers, by result', labelNames: ['result'], registers,
		}),
		secondSends: new Counter({
			name: 'valehitch_second_sends_total', help: 'Sends beside an earlier one without an answer, by the reason', labelNames: ['reason'], registers,
		}),
		escalations: new Counter({
			name: 'valehitch_escalations_total', help: 'Answers dropped for one of a larger model', registers,
		}),
		firstModels: new Counter({
			name: 'valehitch_first_models_total', help: 'Requests for models, by the reason for the model that they begin with', labelNames: ['reason'], registers,
		}),
		firstByte: new Histogram({
			name: 'valehitch_first_byte_seconds', help: 'Time from a request to the first byte of its answer', labelNames: ['kind'], buckets: latencyBuckets, registers,
		}),
		duration: new Histogram({
			name: 'valehitch_request_seconds', help: 'Time from a request to the end of its answer', labelNames: ['kind'], buckets: latencyBuckets, registers,
		}),
		commands: new Counter({
			name: 'valehitch_commands_total', help: 'Commands proposed to the replicated log, by type and result', labelNames: ['type', 'result'], registers,
		}),
		announcements: new Counter({
			name: 'valehitch_announcements_total', help: 'Announcements of backend servers, by state', labelNames: ['state'], registers,
		}),
		missedNotices: new Counter({
			name: 'valehitch_missed_notices_total', help: 'Notices of a shutdown that another control instance did not take in time', registers,
		}),
		outdatedRecords: new Counter({
			name: 'valehitch_outdated_records_total', help: 'Records of a control instance that say less than what is known of the server', registers,
		}),
		outdatedStates: new Counter({
			name: 'valehitch_outdated_states_total', help: 'Times that control instances were asked for a current state and none came in time', registers,
		}),
		replyTransit: new Histogram({
			name: 'valehitch_reply_transit_seconds', help: 'Time that polls and their replies took besides being held at the control instance', buckets: latencyBuckets, registers,
		}),
		evacuatedZones: new Gauge({
			name: 'valehitch_evacuated_zones', help: 'Availability zones whose backend servers get no requests by order of the operator', registers,
		}),
		limitedServers: new Gauge({
			name: 'valehitch_limited_servers', help: 'Backend servers whose answers name a rate limit', registers,
		}),
		heldRequests: new Gauge({
			name: 'valehitch_held_requests', help: 'Requests held because more urgent ones compete for the same servers', registers,
		}),
		releases: new Counter({
			name: 'valehitch_releases_total', help: 'Requests that were held, by the reason why their hold ended', labelNames: ['reason'], registers,
		}),
		holdTime: new Histogram({
			name: 'valehitch_hold_seconds', help: 'Time for which requests were held', buckets: latencyBuckets, registers,
		}),
		rejections: new Counter({
			name: 'valehitch_rejections_total', help: 'Requests rejected on arrival because no server can meet their deadlines', registers,
		}),
		borrowedSends: new Counter({
			name: 'valehitch_borrowed_sends_total', help: 'Sends to backend servers with rate limits that other entry instances lent', registers,
		}),
		heldBytes: new Gauge({
			name: 'valehitch_held_bytes', help: 'Bytes of requests and answers that this instance holds, at the last exchange of loads', registers,
		}),
		pausedAnswers: new Counter({
			name: 'valehitch_paused_answers_total', help: 'Times that a server was not read because the caller of its answer reads slowly and no more may be buffered', registers,
		}),
		tunnels: new Counter({
			name: 'valehitch_tunnels_total', help: 'Connections to backend servers opened through other instances, by result', labelNames: ['result'], registers,
		}),
		relayedConnections: new Counter({
			name: 'valehitch_relayed_connections_total', help: 'Connections to backend servers requested by other instances, by result', labelNames: ['result'], registers,
		}),
		unreachableServers: new Gauge({
			name: 'valehitch_unreachable_servers', help: 'Backend servers that were unreachable since the last new connection to any of them', registers,
		}),
		pauses: new Counter({
			name: 'valehitch_requested_pauses_total', help: 'Answers by which a backend server asked for a time without requests', registers,
		}),
		workReports: new Counter({
			name: 'valehitch_work_reports_total', help: 'Reports of work to control instances, by result', labelNames: ['result'], registers,
		}),
		pictureAge: new Gauge({
			name: 'valehitch_pool_picture_age_seconds', help: 'Mean age of what is known of the work of other entry instances, as of the last time that it was known', registers,
		}),
		watches: new Counter({
			name: 'valehitch_watches_total', help: 'Polls of control instances, by result', labelNames: ['result'], registers,
		}),
	};
}
