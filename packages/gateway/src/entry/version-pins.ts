import {type VersionId} from '@valehitch/core';

/** Options of {@linkcode VersionPins}. */
export type VersionPinsOptions = {
	/** The idle time after which a session ends, in milliseconds. */
	readonly sessionMilliseconds: number;
	/** The maximum number of tracked sessions; 20,000 by default, which takes about 3 MB. */
	readonly maximumSessions?: number;
};

type Pin = {
	readonly version: VersionId;
	readonly at: number;
};

/**
Tracks the version that each session last ran on.

@example
```ts
const pins = new VersionPins({sessionMilliseconds: 5000});
pins.pin('crew-7', version, now);
pins.versionOf('crew-7', now);
```
*/
export class VersionPins {
	readonly #options: Required<VersionPinsOptions>;
	readonly #pins = new Map<string, Pin>();

	constructor(options: VersionPinsOptions) {
		this.#options = {maximumSessions: 20_000, ...options};
	}

	/**
	Returns the version of a session.

	@param session The session.
	@param now Milliseconds on the monotonic clock.
	@returns The version; undefined if the session is unknown or has ended.
	*/
	versionOf(session: string, now: number): VersionId | undefined {
		const pin = this.#pins.get(session);
		return pin !== undefined && now - pin.at < this.#options.sessionMilliseconds ? pin.version : undefined;
	}

	/**
	Records a request of a session.

	@param session The session.
	@param version The version that the request runs on.
	@param now Milliseconds on the monotonic clock.
	*/
	pin(session: string, version: VersionId, now: number): void {
		this.#pins.delete(session);
		this.#pins.set(session, {version, at: now});
		const oldest = this.#pins.keys().next();
		if (this.#pins.size > this.#options.maximumSessions && !oldest.done) {
			this.#pins.delete(oldest.value);
		}
	}
}
