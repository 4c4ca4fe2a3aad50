import {type AnswerOf, type Command} from '@valehitch/control';
import {
	type Clock, type Failure, failure, type InstanceId,
} from '@valehitch/core';
import {type PeerAddress} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';
import {fromResultReply} from '../result-reply.js';
import {
	type ControlReply, type InForce, type LeaderQuestion, type LedgerMessage, type LedgerPage, type OrderList,
} from './messages.js';

/** What a client of the control role needs. */
export type ControlClientOptions = {
	readonly clock: Clock;
	/** Asks one control instance; a failure where no reply came in time. */
	readonly ask: (to: PeerAddress, message: LeaderQuestion) => Promise<Either<Failure, ControlReply<unknown>>>;
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

/**
Passes commands and questions to the leader of the control role: the one it knows first, then the others, with the leader that they name.

Every command is idempotent by its own id, so that one whose answer was lost is sent again.

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

	/** Asks which zones still wait for the current revision. */
	async inForce(): Promise<Either<Failure, InForce>> {
		const result = await this.#request({scope: 'control', type: 'in-force'}, {});
		return result.map(body => body as InForce);
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
		let last = failure('no-quorum', 'Got no control instance, wanted at least one');
		while (clock.monotonic() < deadline) {
			for (const target of this.#targets()) {
				const result = await this.#askOne(target, message);
				const failed = result.isLeft() ? result.extract() : undefined;
				if (failed?.kind !== 'no-quorum') {
					return result;
				}

				mayHaveRun ||= failed.outcome === 'unknown';
				last = failed;
				if (clock.monotonic() >= deadline) {
					break;
				}
			}

			await wait(pauseMilliseconds);
		}

		return Left({...last, outcome: mayHaveRun ? 'unknown' : 'notRun', retryAfterMilliseconds: last.retryAfterMilliseconds ?? defaultTimeoutMilliseconds});
	}

	async #askOne(target: PeerAddress, message: LeaderQuestion): Promise<Either<Failure, unknown>> {
		const reply = await this.#options.ask(target, message);
		if (reply.isLeft()) {
			this.#leader = this.#leader === target.instance ? undefined : this.#leader;
			return reply;
		}

		const {result, leader} = reply.extract() as ControlReply<unknown>;
		this.#leader = leader;
		return fromResultReply(result);
	}

	#targets(): readonly PeerAddress[] {
		const {control, first} = this.#options;
		const order = [this.#leader, first];
		return control.toSorted((left, right) => rankOf(left, order) - rankOf(right, order));
	}
}

function rankOf({instance}: PeerAddress, order: ReadonlyArray<InstanceId | undefined>): number {
	const rank = order.indexOf(instance);
	return rank === -1 ? order.length : rank;
}
