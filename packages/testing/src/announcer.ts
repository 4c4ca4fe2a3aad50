import {setTimeout as delay} from 'node:timers/promises';
import {
	type Announcement, type ModelId, type ServerId, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import * as z from 'zod';
import {sendRequest} from './send-request.js';

/** Options for `startAnnouncer`. */
export type AnnouncerOptions = {
	/** Addresses of the daemons' `listen.backends` endpoints, tried in order. */
	readonly daemons: readonly string[];
	/** The key that backend servers authenticate with. */
	readonly key: string;
	readonly server: string;
	readonly zone: string;
	/** The address at which the server accepts requests. */
	readonly address: string;
	/** For an engine: its loaded versions, such as `tag-small@1.0`, or a function called for each announcement; none by default. */
	readonly models?: readonly string[] | (() => readonly string[]);
	/** Whether it refuses orders older than the last one it executed; false by default. */
	readonly checksFencing?: boolean;
	/** For a plain service: its name. Without it, an engine is announced. */
	readonly service?: string | undefined;
	readonly capacity: number;
	/** Returns the number of requests in progress. */
	readonly active: () => number;
};

/** A running announcer. */
export type Announcer = {
	/** Announces the shutdown and keeps renewing that state; resolves after each daemon was tried at most once. */
	readonly announceShutdown: () => Promise<void>;
	/** Stops announcing without notice, as a crash would. */
	readonly stop: () => Promise<void>;
};

const retryMilliseconds = 200;
const responseTimeoutMilliseconds = 2000;
const responseSchema = z.object({renewAfterMilliseconds: z.number().positive()});

/**
Announces a server to one of the daemons and renews the announcement at the interval that the daemon requests.

@param options The server to announce and the daemons to announce it to.
@returns The running announcer.
@example
```ts
const announcer = startAnnouncer({
	daemons: ['http://127.0.0.1:8081'], key: 'backend-key', server: 'engine-1', zone: 'prairie-south-a',
	address: engine.address, models: ['tag-small@1.0'], capacity: 8, active: engine.active,
});
await announcer.stop();
```
*/
export function startAnnouncer(options: AnnouncerOptions): Announcer {
	const stopped = new AbortController();
	const sender = new AnnouncementSender(options, stopped.signal);
	const ended = renewUntilStopped(sender, stopped.signal);
	return {
		async announceShutdown() {
			sender.shuttingDown = true;
			await sender.announce();
		},
		async stop() {
			stopped.abort();
			await ended;
		},
	};
}

class AnnouncementSender {
	shuttingDown = false;
	readonly #options: AnnouncerOptions;
	readonly #signal: AbortSignal;
	readonly #startedAt = Date.now();
	#sequence = 0;
	/** Index of the daemon to try first. */
	#currentDaemon = 0;

	constructor(options: AnnouncerOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
	}

	/** Tries the daemons in order; returns the milliseconds until the next renewal, or undefined if all failed. */
	async announce(remainingTries: number = this.#options.daemons.length): Promise<number | undefined> {
		const daemon = this.#options.daemons[this.#currentDaemon];
		if (remainingTries === 0 || daemon === undefined || this.#signal.aborted) {
			return undefined;
		}

		const renewAfter = await this.#post(daemon);
		if (renewAfter !== undefined) {
			return renewAfter;
		}

		this.#currentDaemon = (this.#currentDaemon + 1) % this.#options.daemons.length;
		return this.announce(remainingTries - 1);
	}

	async #post(daemon: string): Promise<number | undefined> {
		try {
			const {status, body} = await sendRequest(`${daemon}/v1/announcements`, {
				method: 'POST',
				headers: {authorization: `Bearer ${this.#options.key}`},
				body: JSON.stringify(this.#nextAnnouncement()),
				signal: this.#signal,
				timeoutMilliseconds: responseTimeoutMilliseconds,
			});
			return status === 200 ? responseSchema.parse(JSON.parse(body)).renewAfterMilliseconds : undefined;
		} catch {
			return undefined;
		}
	}

	#nextAnnouncement(): Announcement {
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

async function renewUntilStopped(sender: AnnouncementSender, signal: AbortSignal): Promise<void> {
	for await (const renewAfter of renewals(sender, signal)) {
		await sleep(renewAfter, signal);
	}
}

async function * renewals(sender: AnnouncementSender, signal: AbortSignal): AsyncGenerator<number> {
	while (!signal.aborted) {
		yield sender.announce().then(renewAfter => renewAfter ?? retryMilliseconds);
	}
}

async function sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await delay(milliseconds, undefined, {signal});
	} catch {
		// Stopped while waiting; the loop checks the signal.
	}
}
