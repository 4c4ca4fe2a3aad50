import {type Command, type CommandAnswer, ControlState} from '@valehitch/control';
import {
	type Bill, type Clock, type EffectiveConfiguration, type Failure, type InstanceId, type ZoneId,
} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type SubscribeMessage, type SubscribeReply} from '../distribution/messages.js';
import {type Member} from '../member.js';
import {type Timeline} from '../timeline.js';
import {type InForce, type LedgerMessage, type LedgerPage} from './messages.js';

const ledgerPageSize = 1000;

type Subscriber = {
	readonly member: Member;
	readonly revision: number;
	readonly seenAt: number;
};

/** What the host of the control role needs. */
export type ControlHostOptions = {
	readonly clock: Clock;
	readonly timeline: Timeline;
	/** Milliseconds after which a silent subscriber's lease has run out. */
	readonly leaseMilliseconds: number;
};

/**
Hosts the control role on one instance, in memory; stands in until the replicated log is there.

@example
```ts
const host = new ControlHost({clock, timeline, leaseMilliseconds: 5000});
```
*/
export class ControlHost {
	readonly #state = new ControlState();
	#index = 0;
	readonly #subscribers = new Map<InstanceId, Subscriber>();
	readonly #options: ControlHostOptions;

	constructor(options: ControlHostOptions) {
		this.#options = options;
	}

	/** The configuration that was committed last. */
	get effective(): EffectiveConfiguration {
		return this.#state.effective;
	}

	/**
	Reads a page of the ledger.

	@param question The workspace and how many bills to pass over.
	@returns The page.
	*/
	ledger({workspace, after}: LedgerMessage): LedgerPage {
		const bills: Bill[] = [];
		let index = 0;
		for (const bill of this.#state.bills) {
			index++;
			if (index <= after || (workspace !== undefined && bill.workspace !== workspace)) {
				continue;
			}

			bills.push(bill);
			if (bills.length === ledgerPageSize) {
				return {bills, next: index};
			}
		}

		return {bills};
	}

	/**
	Answers a subscriber and notes what is in force there.

	@param message What the subscriber said.
	@returns What is new for it.
	*/
	subscribe({member, revision}: SubscribeMessage): SubscribeReply {
		this.#subscribers.set(member.instance, {member, revision, seenAt: this.#options.clock.monotonic()});
		const {effective} = this.#state;
		const members = this.#current().map(subscriber => subscriber.member);
		return {
			revision: effective.revision,
			members,
			...(effective.revision > revision && {effective}),
		};
	}

	/**
	Carries out a command.

	@param command The command.
	@returns What it gave.
	*/
	propose(command: Command): Either<Failure, CommandAnswer> {
		const before = this.#state.effective.revision;
		const result = this.#state.apply(command, {term: 1, index: ++this.#index});
		if (this.#state.effective.revision !== before) {
			this.#options.timeline.record('configuration-committed', {revision: this.#state.effective.revision});
		}

		return result;
	}

	/** Which zones still wait for the current revision. */
	inForce(): InForce {
		const waitingFor = new Set<ZoneId>();
		for (const {member, revision} of this.#current()) {
			if (revision < this.#state.effective.revision) {
				waitingFor.add(member.zone);
			}
		}

		return {complete: waitingFor.size === 0, waitingFor: [...waitingFor]};
	}

	#current(): Subscriber[] {
		const oldest = this.#options.clock.monotonic() - this.#options.leaseMilliseconds;
		for (const [instance, {seenAt}] of this.#subscribers) {
			if (seenAt < oldest) {
				this.#subscribers.delete(instance);
			}
		}

		return [...this.#subscribers.values()];
	}
}
