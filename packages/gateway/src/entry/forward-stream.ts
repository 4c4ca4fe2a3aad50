import {type FallbackStream} from './fallback-answer.js';
import {handleLoss} from './handle-loss.js';
import {type HandleOutcomeOptions} from './handle-outcome-options.js';
import {type OutcomeStep} from './outcome-step.js';
import {relayStream} from './relay-stream.js';
import {StallWatch} from './stall-watch.js';
import {unknownOutcome} from './unknown-outcome.js';

/** A stream to forward, whose head has arrived. */
export type StartedStream = Pick<FallbackStream, 'received' | 'head' | 'latency'>;

/**
Forwards a stream to the caller: one that has just begun, one that was kept as a fallback, or one that has stalled and goes on.

@param stream The stream.
@param options The request and the server.
@returns The next step of the request.
@example
```ts
const step = await forwardStream({received, head, latency}, options);
```
*/
export async function forwardStream({received, head, latency}: StartedStream, options: HandleOutcomeOptions): Promise<OutcomeStep> {
	const {message, framing, isComplete} = received;
	const {context, request, suspect, route, results, models} = options;
	const {answer, events, server, send, hasEnded, onStreamStart, startHandover, onFirstEvent, keepStalled, isSuperseded, isTooLate} = options;
	onStreamStart();
	const stopHandover = startHandover();
	const stall = watchPauses(options);
	const headers = context.dialect.answerHeaders(message);
	const end = await relayStream({
		message,
		isComplete,
		response: answer.response,
		events,
		buffer: answer.buffer,
		held: context.memory.open(),
		mayHold: bytes => context.memory.mayCollect(bytes),
		onExcess(reason) {
			results.recordExcess(server, reason);
		},
		clock: context.clock,
		stallTimeout: route.isResumable ? stall.targetGap : 0,
		isStalled: paused => stall.isStalled(paused),
		onData(now) {
			context.servers.recordData(server.id, now);
		},
		onEvents(count, now) {
			options.progress.recordEvents(count, now);
		},
		onFirstEvent() {
			onFirstEvent();
			answer.beginStream(message.statusCode ?? 0, headers);
		},
	});
	stopHandover();
	if (end === 'complete') {
		// A caller that resumes after the last event receives no further event, but still the head of the answer.
		answer.beginStream(message.statusCode ?? 0, headers);
		suspect.recordAnswered();
		results.recordSuccess(server, {model: models.current, latency});
		return {
			type: 'streamed', send, confidence: head.confidence, framing, leftoverBytes: events.incomplete.byteLength,
		};
	}

	if (hasEnded() || end === 'caller-left') {
		return {type: 'ended'};
	}

	const reason = `The stream of ${server.id} is ${end}`;
	if (isSuperseded()) {
		events.discardIncomplete();
		return unknownOutcome(reason);
	}

	if (isTooLate()) {
		events.discardIncomplete();
		results.recordFailure(server, models.current);
		return unknownOutcome(reason);
	}

	context.log('request-resumed', {
		request: request.id, fingerprint: suspect.fingerprint, parts: suspect.parts, server: server.id, startedAt: server.startedAt,
		send, end, lastEvent: events.lastEventId, framing, leftoverBytes: events.incomplete.byteLength,
	}, 'warn');
	const {incomplete} = events;
	events.discardIncomplete();
	if (end === 'broken') {
		return handleLoss(reason, options);
	}

	if (end === 'not-held') {
		return unknownOutcome(reason);
	}

	results.recordStall(server, models.current);
	keepStalled({
		send, server, model: models.current, received, head, latency, incomplete,
	});
	return unknownOutcome(reason);
}

/** Watches the pauses of a stream; a server that may only be silent for a moment gets no further requests meanwhile. */
function watchPauses({context, request, route, results, server, relay, send, deadlineAt, patience, progress, canResumeElsewhere}: HandleOutcomeOptions): StallWatch {
	return new StallWatch(context, {
		server,
		route,
		isRelayed: relay !== undefined,
		deadlineAt,
		resumeTime: patience?.answerTime ?? 0,
		canResumeElsewhere,
		onDecision({type, reason}, paused) {
			progress.recordStep('pauses');
			context.log('request-paused', {
				request: request.id, server: server.id, send, decision: type, reason, paused: Math.round(paused), timeLeft: Math.round(deadlineAt - context.clock.monotonic()),
			}, 'warn');
			if (reason === 'may-go-on') {
				results.record(server, 'silent');
			}
		},
	});
}
