import {type ServerId} from '@valehitch/core';
import {type Route} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type AnswerPatience, answerPatience} from './answer-patience.js';
import {type EntryContext} from './entry-context.js';
import {extendPatience} from './extend-patience.js';
import {type KeptAnswers} from './kept-answers.js';
import {type ModelCascade} from './model-cascade.js';
import {type Placement} from './placement.js';
import {type RequestEnd} from './request-end.js';
import {type StartedSend} from './request-run-options.js';
import {type SendAllowance} from './send-allowance.js';
import {type SendOutcome} from './send-attempt.js';
import {type SendResults} from './send-results.js';
import {type UnansweredSend} from './unanswered-sends.js';

/** Options of {@linkcode SendRace}. */
export type SendRaceOptions = {
	/** The caller's id of the request. */
	readonly request: string;
	readonly route: Route;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	readonly placement: Pick<Placement, 'service' | 'exclude'>;
	readonly results: Pick<SendResults, 'record' | 'recordFailure' | 'recordStall'>;
	readonly allowance: Pick<SendAllowance, 'requireNewConnections'>;
	readonly models: Pick<ModelCascade, 'current' | 'expected'>;
	readonly end: Pick<RequestEnd, 'recordPossibleRun' | 'lastProblem'>;
	readonly kept: Pick<KeptAnswers, 'keepUnanswered' | 'unanswered' | 'discardUnanswered'>;
};

type SendRaceContext = Pick<EntryContext, 'answerTimes' | 'clock' | 'hedges' | 'log' | 'metrics' | 'poolLoads'> & {readonly servers: Pick<EntryContext['servers'], 'heardAt'>};

/**
The sends of one request that race for its answer: how long each is waited for, what is recorded when another server is asked beside it, and when one of them is answered first.

@example
```ts
const race = new SendRace(context, {request, route, deadlineAt, placement, results, allowance, models, end, kept});
const patience = race.patienceAt(server);
```
*/
export class SendRace {
	readonly #context: SendRaceContext;
	readonly #options: SendRaceOptions;
	/** The server whose late answer a second send was charged for that has not been made yet. */
	#unusedCharge: ServerId | undefined;

	constructor(context: SendRaceContext, options: SendRaceOptions) {
		this.#context = context;
		this.#options = options;
	}

	/**
	Returns how long the head of the answer of a server is waited for; longer if prompts wait there.

	@param server The server.
	@returns The times.
	*/
	patienceAt({id}: Pick<ServerRecord, 'id'>): AnswerPatience {
		const {answerTimes, poolLoads, clock} = this.#context;
		const {route, models: {current, expected}} = this.#options;
		const patience = answerPatience(route, {
			model: current, expected, times: answerTimes, now: clock.monotonic(),
		});
		return current === undefined ? patience : extendPatience(patience, {server: id, picture: poolLoads.picture(), targetLatency: route.targetLatency});
	}

	/**
	Keeps a send whose answer is late while the request is sent to another server.

	@param send The send.
	*/
	keep(send: Omit<UnansweredSend, 'wasServerHeard'>): void {
		const {server, sentAt, patience, reason} = send;
		const {clock, hedges, log, metrics, servers} = this.#context;
		const {request, deadlineAt, placement, results, allowance, end, kept} = this.#options;
		const now = clock.monotonic();
		if (reason === 'unresponsive') {
			results.record(server, 'silent');
		} else {
			hedges.withdraw(server.service, {server: server.id, now});
			this.#unusedCharge = server.id;
		}

		log('request-overdue', {
			request, server: server.id, reason, waited: Math.round(now - sentAt), lateAfter: Math.round(patience?.lateAfter ?? 0), timeLeft: Math.round(deadlineAt - now),
		}, 'warn');
		metrics.secondSends.inc({reason});
		allowance.requireNewConnections();
		end.recordPossibleRun();
		end.lastProblem = `${server.id} has not answered yet`;
		placement.exclude(server);
		kept.keepUnanswered({...send, wasServerHeard: servers.heardAt(server.id) > sentAt});
	}

	/** Records that a send has been made, by which the last charge to the allowance is used. */
	recordSent(): void {
		this.#unusedCharge = undefined;
	}

	/** Restores the allowance for a second send that was not made. */
	restoreUnused(): void {
		const {clock, hedges} = this.#context;
		if (this.#unusedCharge !== undefined) {
			hedges.restore(this.#options.placement.service, {server: this.#unusedCharge, now: clock.monotonic()});
			this.#unusedCharge = undefined;
		}
	}

	/**
	Ends the sends that were kept, because another one is answered first. Servers that sent to others while they owed this answer have failed.

	@param winner The send that is answered.
	*/
	end(winner: Pick<StartedSend, 'sentAt'>): void {
		const {clock, hedges, log, metrics} = this.#context;
		const {request, placement, results, kept} = this.#options;
		const now = clock.monotonic();
		let isWorthIt = false;
		for (const send of kept.unanswered) {
			const {server, model, reason, wasServerHeard} = send;
			isWorthIt ||= reason !== 'unresponsive' && winner.sentAt > send.sentAt;
			if (wasServerHeard) {
				results.recordFailure(server, model);
			} else if (reason !== 'unresponsive') {
				// Without its unanswered sends it would look idle, and get the next requests.
				results.record(server, 'silent');
			}

			this.recordOutcome(send, {type: 'cancelled'});
			log('request-attempt-ended', {
				request, server: server.id, result: 'overtaken', reason, waited: Math.round(now - send.sentAt),
			});
			metrics.attempts.inc({result: 'overtaken'});
		}

		if (isWorthIt) {
			hedges.recordWorthIt(placement.service, now);
		}

		kept.discardUnanswered();
	}

	/** Records the sends that were kept as stalls of their servers, because the deadline has passed. */
	expire(): void {
		const {results, kept} = this.#options;
		for (const send of kept.unanswered) {
			results.recordStall(send.server, send.model);
			this.recordOutcome(send, {type: 'cancelled'});
		}
	}

	/**
	Records the time of a send that was given up without an answer; its answer would have taken longer.

	@param send The send.
	@param outcome Its outcome; others than `cancelled` and `silent` are not recorded.
	*/
	recordOutcome({patience, sentAt, attempt}: Pick<UnansweredSend, 'patience' | 'sentAt' | 'attempt'>, {type}: Pick<SendOutcome, 'type'>): void {
		if (patience !== undefined && attempt.isSent() && (type === 'cancelled' || type === 'silent')) {
			this.#context.answerTimes.recordAbandoned(patience.key, {sentAt, now: this.#context.clock.monotonic(), unit: patience.unit});
		}
	}

	/**
	Records the time to the head of an answer.

	@param send The send; nothing is recorded of a stream that was kept.
	*/
	recordAnswered({patience, sentAt}: Pick<StartedSend, 'patience' | 'sentAt'>): void {
		if (patience !== undefined) {
			this.#context.answerTimes.recordAnswered(patience.key, {sentAt, now: this.#context.clock.monotonic(), unit: patience.unit});
		}
	}
}
