import {type AnswerOf, type Command} from '@valehitch/control';
import {
	type Clock, type Failure, failure, type InstanceId,
} from '@valehitch/core';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';
import {fromResultReply} from '../result-reply.js';
import {
	type ControlReply, type LeaderMessage, type LeaderQuestion, type LeaderReply, type LedgerMessage, type LedgerPage, type OrderList,
} from './messages.js';

/** What a client of the control role needs. */
export type ControlClientOptions = {
	readonly clock: Clock;
	/** Asks one control instance; a failure where no reply came in time, with the outcome `notRun` where nothing was sent. */
	readonly ask: (to: PeerAddress, message: LeaderQuestion | LeaderMessage) => Promise<Either<Failure, unknown>>;
	/** The instances with the control role. */
	readonly control: readonly PeerAddress[];
	/** The instance that is asked first while no leader is known: this one where it has the control role, else one of the own zone. */
	readonly first?: InstanceId | undefined;
	/** Waits some milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

/** How long a question may take. */
export type AskOptions = {
	/** Milliseconds until the client gives up; 5000 by default. */
	readonly timeoutMilliseconds?: number;
};

const defaultTimeoutMilliseconds = 5000;
const pauseMilliseconds = 150;
const retryMilliseconds = 1000;

/**
Passes commands and questions to the leader of the control role.

Where no leader is known it asks the control instances who leads, and sends the command only then: a cut-off instance that finds none can say truly that nothing ran. A leader that does not answer is tried through the instance that named it. Every command is idempotent by its own id, so that one whose answer was lost is sent again.

@example
```ts
const result = await client.propose({type: 'record-bills', bills});
```
*/
export class ControlClient {
	readonly #options: ControlClientOptions;
	#leader: InstanceId | undefined;

	constructor(options: ControlClientOptions) {
		this.#options = options;
	}

	/** The leader that answered last. */
	get leader(): InstanceId | undefined {
		return this.#leader;
	}

	/**
	Passes a command to the control role.

	@param command The command.
	@param options How long it may take.
	@returns What it gave; `no-quorum` with the outcome `notRun` where it surely was not carried out, with `unknown` where it may have been.
	*/
	async propose<Kind extends Command>(command: Kind, options: AskOptions = {}): Promise<Either<Failure, AnswerOf<Kind>>> {
		const result = await this.#request({scope: 'control', type: 'propose', command}, options);
		return result.map(body => body as AnswerOf<Kind>);
	}

	/**
	Asks for a page of the ledger.

	@param question The workspace and the position after which to read.
	@returns The page.
	*/
	async ledger(question: Omit<LedgerMessage, 'type' | 'scope'>): Promise<Either<Failure, LedgerPage>> {
		const result = await this.#request({scope: 'control', type: 'ledger', ...question}, {});
		return result.map(body => body as LedgerPage);
	}

	/** Asks for the orders to engines. */
	async orders(): Promise<Either<Failure, OrderList>> {
		const result = await this.#request({scope: 'control', type: 'orders'}, {});
		return result.map(body => body as OrderList);
	}

	async #request(message: LeaderQuestion, {timeoutMilliseconds = defaultTimeoutMilliseconds}: AskOptions): Promise<Either<Failure, unknown>> {
		const {clock, wait} = this.#options;
		const deadline = clock.monotonic() + timeoutMilliseconds;
		let mayHaveRun = false;
		let unreached: InstanceId | undefined;
		do {
			const target = await this.#findTarget(unreached);
			const result = target === undefined ? Left(noLeader()) : await this.#ask(target, message);
			const failed = result.isLeft() ? result.extract() : undefined;
			if (failed?.kind !== 'no-quorum') {
				return result;
			}

			mayHaveRun ||= failed.outcome === 'unknown';
			unreached = target?.instance;
			await wait(pauseMilliseconds);
		} while (clock.monotonic() < deadline);

		return Left({...noLeader(), outcome: mayHaveRun ? 'unknown' : 'notRun'});
	}

	/** The leader, or the instance that named it where the leader itself did not answer. */
	async #findTarget(unreached: InstanceId | undefined): Promise<PeerAddress | undefined> {
		const known = this.#addressOf(this.#leader);
		if (known !== undefined) {
			return known;
		}

		const {control, first, ask} = this.#options;
		const order = control.toSorted((left, right) => Number(right.instance === first) - Number(left.instance === first));
		for (const asked of order) {
			const reply = await ask(asked, {scope: 'control', type: 'leader'});
			const leader = this.#addressOf((reply.orDefault({}) as LeaderReply).leader);
			if (leader !== undefined) {
				return leader.instance === unreached ? asked : leader;
			}
		}

		return undefined;
	}

	async #ask(target: PeerAddress, message: LeaderQuestion): Promise<Either<Failure, unknown>> {
		const reply = await this.#options.ask(target, message);
		if (reply.isLeft()) {
			this.#leader = undefined;
			return reply;
		}

		const {result, leader} = reply.extract() as ControlReply<unknown>;
		const isAnswered = result.ok || result.failure.kind !== 'no-quorum';
		this.#leader = isAnswered ? leader : undefined;
		return fromResultReply(result);
	}

	#addressOf(instance: InstanceId | undefined): PeerAddress | undefined {
		return this.#options.control.find(address => address.instance === instance);
	}
}

function noLeader(): Failure {
	return failure('no-quorum', 'Got no leader that answers, wanted one with a quorum', {retryAfterMilliseconds: retryMilliseconds});
}
