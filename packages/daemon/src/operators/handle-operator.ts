import {type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {failure} from '@valehitch/core';
import {sendProblem} from '@valehitch/transport';
import {answerJson} from '../answer-json.js';
import {bearerDigest} from '../bearer.js';
import {issueOrder, listOrders} from '../control/orders/handle-orders.js';
import {applyConfiguration} from './apply-configuration.js';
import {changeRollout} from './change-rollout.js';
import {injectLinkFaults} from './inject-link-faults.js';
import {respondWithDecisions, explainPath} from './explain.js';
import {type OperatorContext} from './operator-context.js';

/**
Handles a request on the operator port.

@param request The request.
@param response The response.
@param context The components that the operator port uses.
@example
```ts
await handleOperator(request, response, context);
```
*/
export async function handleOperator(request: IncomingMessage, response: ServerResponse, context: OperatorContext): Promise<void> {
	if (!context.base.settings.keys.operators.includes(bearerDigest(request) ?? '')) {
		sendProblem(response, failure('unauthenticated', 'Missing or unknown operator key; send Authorization: Bearer KEY'));
		return;
	}

	const url = new URL(request.url ?? '/', 'http://operators.invalid');
	const route = `${request.method ?? ''} ${url.pathname}`;
	if (request.method === 'GET' && url.pathname.startsWith(explainPath)) {
		await respondWithDecisions(response, url.pathname, context);
		return;
	}

	switch (route) {
		case 'GET /v1/configuration': {
			answerConfiguration(response, context);
			return;
		}

		case 'PUT /v1/configuration': {
			await applyConfiguration(request, response, context);
			return;
		}

		case 'POST /v1/faults/links': {
			await injectLinkFaults(request, response, context.base);
			return;
		}

		case 'GET /v1/status': {
			await answerStatus(response, context);
			return;
		}

		case 'GET /v1/ledger': {
			await answerLedger(url, response, context);
			return;
		}

		case 'POST /v1/rollouts': {
			await changeRollout(request, response, context);
			return;
		}

		case 'POST /v1/orders': {
			await issueOrder(request, response, {clock: context.base.clock, control: context.control});
			return;
		}

		case 'GET /v1/orders': {
			await listOrders(response, {clock: context.base.clock, control: context.control});
			return;
		}

		case 'GET /v1/timeline': {
			answerTimeline(url, response, context);
			return;
		}

		default: {
			sendProblem(response, failure('not-found', `No route for ${route}; docs/API.md lists the routes`));
		}
	}
}

function answerConfiguration(response: ServerResponse, {distribution}: OperatorContext): void {
	const current = distribution.effective();
	answerJson(response, current, {headers: {ETag: `"${current.revision}"`}});
}

async function answerStatus(response: ServerResponse, context: OperatorContext): Promise<void> {
	const {base: {settings, network}, distribution, entry: {requests}} = context;
	const inForce = await distribution.inForce();
	answerJson(response, {
		instance: settings.instance,
		zone: settings.zone,
		roles: settings.roles,
		revision: distribution.effective().revision,
		evacuatedZones: distribution.effective().document.evacuatedZones ?? [],
		isolated: distribution.active()?.isolated ?? true,
		leader: distribution.leader(),
		inProgress: requests.inProgress,
		stopping: requests.stopping,
		inForce: inForce ?? {complete: false, waitingFor: []},
		waitingFor: inForce?.waitingFor ?? [],
		members: distribution.members().length,
		traffic: network.traffic,
		process: {...toCpuUsage(process.cpuUsage()), residentBytes: process.memoryUsage.rss()},
		servers: distribution.servers.available().map(({announcement, inFlight, state, load}) => ({
			...announcement, inFlight, state, load,
		})),
	});
}

function toCpuUsage({user, system}: {readonly user: number; readonly system: number}): {readonly cpuMicroseconds: number} {
	return {cpuMicroseconds: user + system};
}

async function answerLedger(url: URL, response: ServerResponse, {control}: OperatorContext): Promise<void> {
	const after = readAfter(url, response);
	if (after === undefined) {
		return;
	}

	const page = await control.ledger({
		workspace: url.searchParams.get('workspace') ?? undefined, after, isRefused: url.searchParams.get('refused') === 'true',
	});
	page.caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right(bills) {
			answerJson(response, bills);
		},
	});
}

function answerTimeline(url: URL, response: ServerResponse, {base: {events}}: OperatorContext): void {
	const after = readAfter(url, response);
	if (after !== undefined) {
		answerJson(response, events.readAfter(after));
	}
}

/** Reads the query parameter `after`. If it is not a non-negative integer, sends an error response and returns undefined. */
function readAfter(url: URL, response: ServerResponse): number | undefined {
	const text = url.searchParams.get('after') ?? '0';
	const after = Number(text);
	if (Number.isSafeInteger(after) && after >= 0) {
		return after;
	}

	sendProblem(response, failure('malformed-request', `after: got ${text}, expected a non-negative integer`));
	return undefined;
}
