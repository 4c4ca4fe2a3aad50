import {setTimeout as delay} from 'node:timers/promises';
import {
	type Announcement, type ModelId, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import * as z from 'zod';
import {sendRequest} from './send-request.js';

/** What an announcer says, and to whom. */
export type AnnouncerOptions = {
	/** Addresses of daemons' `listen.backends`, tried in turn. */
	readonly daemons: readonly string[];
	/** The back ends' key. */
	readonly key: string;
	readonly server: string;
	readonly zone: string;
	/** The server's own address. */
	readonly address: string;
	/** For an engine: its versions, such as `tag-small@1.0`, or what gives them at each announcement; none by default. */
	readonly models?: readonly string[] | (() => readonly string[]);
	/** Whether it refuses orders that are older than the last; false by default. */
	readonly checksFencing?: boolean;
	/** For a plain service: its name; an engine by default. */
	readonly service?: string | undefined;
	readonly capacity: number;
	/** Gives the requests in progress. */
	readonly active: () => number;
};

/** A running announcer. */
export type Announcer = {
	/** Announces that the server shuts down, and keeps renewing that; resolves after one try over all daemons. */
	readonly announceShutdown: () => Promise<void>;
	/** Ends the announcements without a word, as a crash would. */
	readonly stop: () => Promise<void>;
};

const retryMilliseconds = 200;
const answerTimeoutMilliseconds = 2000;
const answerSchema = z.object({renewAfterMilliseconds: z.number().positive()});

/**
Announces a server to one of the daemons, and renews as the daemon says.

@param options What to say, and to whom.
@returns The running announcer.
@example
```ts
const announcer = startAnnouncer({daemons: ['http://127.0.0.1:8081'], key: 'backend-key', server: 'engine-1', zone: 'prairie-south-a', address: engine.address, models: ['tag-small@1.0'], capacity: 8, active: engine.active});
await announcer.stop();
```
*/
export function startAnnouncer(options: AnnouncerOptions): Announcer {
	const stopped = new AbortController();
	const round = new Announcing(options, stopped.signal);
	const ended = renewUntilStopped(round, stopped.signal);
	return {
		async announceShutdown() {
			round.shuttingDown = true;
			await round.announce();
		},
		async stop() {
			stopped.abort();
			await ended;
		},
	};
}

class Announcing {
	shuttingDown = false;
	readonly #options: AnnouncerOptions;
	readonly #signal: AbortSignal;
	readonly #startedAt = Date.now();
	#sequence = 0;
	/** The index of the daemon that is tried first. */
	#current = 0;

	constructor(options: AnnouncerOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
	}

	/** Tries the daemons in turn; gives the milliseconds to the next renewal, or undefined when all failed. */
	async announce(tries: number = this.#options.daemons.length): Promise<number | undefined> {
		const daemon = this.#options.daemons[this.#current];
		if (tries === 0 || daemon === undefined || this.#signal.aborted) {
			return undefined;
		}

		const renewAfter = await this.#post(daemon);
		if (renewAfter !== undefined) {
			return renewAfter;
		}

		this.#current = (this.#current + 1) % this.#options.daemons.length;
		return this.announce(tries - 1);
	}

	async #post(daemon: string): Promise<number | undefined> {
		try {
			const {status, body} = await sendRequest(`${daemon}/v1/announcements`, {
				method: 'POST',
				headers: {authorization: `Bearer ${this.#options.key}`},
				body: JSON.stringify(this.#next()),
				signal: this.#signal,
				timeoutMilliseconds: answerTimeoutMilliseconds,
			});
			return status === 200 ? answerSchema.parse(JSON.parse(body)).renewAfterMilliseconds : undefined;
		} catch {
			return undefined;
		}
	}

	#next(): Announcement {
		const {server, zone, service, address, models = [], capacity, active, checksFencing = false} = this.#options;
		return {
			server: toId<ServerId>(server),
			zone: toId<ZoneId>(zone),
			kind: service === undefined ? 'engine' : 'service',
			address,
			models: (typeof models === 'function' ? models() : models).map(loaded => {
				const [model = '', version = ''] = loaded.split('@');
				return {model: toId<ModelId>(model), version: toId<VersionId>(version)};
			}),
			...(service !== undefined && {service: toId<ServiceId>(service)}),
			capacity,
			active: active(),
			checksFencing,
			shuttingDown: this.shuttingDown,
			sequence: this.#sequence++,
			startedAt: this.#startedAt,
		};
	}
}

async function renewUntilStopped(round: Announcing, signal: AbortSignal): Promise<void> {
	for await (const renewAfter of renewals(round, signal)) {
		await pause(renewAfter, signal);
	}
}

async function * renewals(round: Announcing, signal: AbortSignal): AsyncGenerator<number> {
	while (!signal.aborted) {
		yield round.announce().then(renewAfter => renewAfter ?? retryMilliseconds);
	}
}

async function pause(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await delay(milliseconds, undefined, {signal});
	} catch {
		// Stopped while waiting; the loop looks at the signal.
	}
}
