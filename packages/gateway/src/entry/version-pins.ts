import {type VersionId} from '@valehitch/core';

/** How long sessions are remembered. */
export type VersionPinsOptions = {
	/** The time without a request after which a session has ended, in milliseconds. */
	readonly sessionMilliseconds: number;
	/** The most sessions that are remembered; 20,000 by default, about 3 MB. */
	readonly maximumSessions?: number;
};

type Pin = {
	readonly version: VersionId;
	readonly at: number;
};

/**
Remembers on which version each session ran last.

@example
```ts
const pins = new VersionPins({sessionMilliseconds: 5000});
pins.note('crew-7', version, now);
pins.of('crew-7', now);
```
*/
export class VersionPins {
	readonly #options: Required<VersionPinsOptions>;
	readonly #pins = new Map<string, Pin>();

	constructor(options: VersionPinsOptions) {
		this.#options = {maximumSessions: 20_000, ...options};
	}

	/**
	The version of a session.

	@param session The session.
	@param now Milliseconds on the monotonic clock.
	@returns The version; undefined where the session is not known or has ended.
	*/
	of(session: string, now: number): VersionId | undefined {
		const pin = this.#pins.get(session);
		return pin !== undefined && now - pin.at < this.#options.sessionMilliseconds ? pin.version : undefined;
	}

	/**
	Notes a request of a session.

	@param session The session.
	@param version The version that it runs on.
	@param now Milliseconds on the monotonic clock.
	*/
	note(session: string, version: VersionId, now: number): void {
		this.#pins.delete(session);
		this.#pins.set(session, {version, at: now});
		const oldest = this.#pins.keys().next();
		if (this.#pins.size > this.#options.maximumSessions && !oldest.done) {
			this.#pins.delete(oldest.value);
		}
	}
}
