import {type Clock, type InstanceId, type ZoneId} from '@valehitch/core';
import {type SubscribeMessage} from '../distribution/messages.js';
import {type Member} from '../member.js';
import {type InForce, type SubscriberReport} from './messages.js';

type Subscriber = {
	readonly member: Member;
	readonly revision: number;
	readonly seenAt: number;
};

/** How long a subscriber counts. */
export type SubscribersOptions = {
	readonly clock: Clock;
	/** Milliseconds after which a silent subscriber's lease has run out. */
	readonly leaseMilliseconds: number;
};

/**
The instances that ask this one for the configuration, and what is in force there.

@example
```ts
const subscribers = new Subscribers({clock, leaseMilliseconds: 5000});
```
*/
export class Subscribers {
	readonly #options: SubscribersOptions;
	readonly #subscribers = new Map<InstanceId, Subscriber>();

	constructor(options: SubscribersOptions) {
		this.#options = options;
	}

	/** The members that were heard within their lease. */
	get members(): readonly Member[] {
		return this.#current().map(({member}) => member);
	}

	/**
	Notes what a subscriber said.

	@param message What it said.
	*/
	note({member, revision}: SubscribeMessage): void {
		this.#subscribers.set(member.instance, {member, revision, seenAt: this.#options.clock.monotonic()});
	}

	/** What this instance knows, for the leader. */
	report(): readonly SubscriberReport[] {
		const now = this.#options.clock.monotonic();
		return this.#current().map(({member, revision, seenAt}) => ({member, revision, age: now - seenAt}));
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

/**
Which zones still wait for a revision, by the newest report of each subscriber.

@param reports What the control instances know.
@param options The revision, and the zones whose control instance did not answer.
@returns The zones.
@example
```ts
toInForce(subscribers.report(), {revision: 3, unheard: []});
```
*/
export function toInForce(reports: readonly SubscriberReport[], {revision, unheard}: {readonly revision: number; readonly unheard: readonly ZoneId[]}): InForce {
	const newest = new Map<InstanceId, SubscriberReport>();
	for (const report of reports) {
		const known = newest.get(report.member.instance);
		if (known === undefined || report.age < known.age) {
			newest.set(report.member.instance, report);
		}
	}

	const late = [...newest.values()].filter(report => report.revision < revision);
	const waitingFor = new Set([...unheard, ...late.map(({member}) => member.zone)]);
	return {complete: waitingFor.size === 0, waitingFor: [...waitingFor]};
}
