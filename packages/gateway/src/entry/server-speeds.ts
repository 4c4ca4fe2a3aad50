import {type ServerId} from '@valehitch/core';
import {
	predictFirstEvent, type ServerSpeed, ServerSpeedEstimator, type SpeedSample,
} from '@valehitch/routing';
import {type SpeedReports} from './entry-servers-options.js';

const noSpeeds: ReadonlyMap<ServerId, ServerSpeed> = new Map();

/**
The speeds of the servers of a deployment whose entry instances tell each other the times to the first event; otherwise no server has a speed.

@example
```ts
const speeds = new ServerSpeeds(loads);
speeds.speedsOf([server], now).get(server);
```
*/
export class ServerSpeeds {
	readonly #reports: SpeedReports;
	readonly #estimator = new ServerSpeedEstimator();

	/**
	@param reports The times to the first event over all entry instances.
	*/
	constructor(reports: SpeedReports) {
		this.#reports = reports;
	}

	/**
	Returns the speeds of servers, relative to the mean of those given.

	@param servers The servers of one service.
	@param now Milliseconds on the monotonic clock.
	@returns The speeds of those whose speed is known.
	*/
	speedsOf(servers: readonly ServerId[], now: number): ReadonlyMap<ServerId, ServerSpeed> {
		if (this.#reports.slownessOf === undefined) {
			return noSpeeds;
		}

		const slownesses = servers.map(server => this.#slownessOf(server));
		const meanSlowness = harmonicMean(slownesses);
		const speeds = new Map<ServerId, ServerSpeed>();
		for (const [index, server] of servers.entries()) {
			const speed = this.#estimator.speedOf(server, {slowness: slownesses[index], meanSlowness, now});
			if (speed !== undefined) {
				speeds.set(server, speed);
			}
		}

		return speeds;
	}

	/**
	Returns the time to the first event that a server of mean speed would take for a prompt with the work that now waits at a server.

	@param server The server.
	@param calm The time at an idle server of mean speed, in milliseconds.
	@returns Milliseconds; undefined if the work is not known.
	*/
	expectedFirstEvent(server: ServerId, calm: number): number | undefined {
		const work = this.#reports.workAt?.(server);
		return work === undefined ? undefined : predictFirstEvent({...work, slowness: 1}, {calm});
	}

	/**
	Records the times to the first event of an answer.

	@param server The server.
	@param sample The observed and expected times, and the time in milliseconds on the monotonic clock.
	*/
	record(server: ServerId, {observed, expected, now}: SpeedSample & {readonly now: number}): void {
		this.#reports.recordSample?.(server, {observed, expected});
		this.#estimator.record(server, {observed, expected, now});
	}

	/**
	Forgets a server whose process has ended.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#estimator.forget(server);
	}

	#slownessOf(server: ServerId): number | undefined {
		const slowness = this.#reports.slownessOf?.(server);
		return slowness !== undefined && slowness > 0 && Number.isFinite(slowness) ? slowness : undefined;
	}
}

/** Returns the slowness of a server of mean speed; 1 if none is known. */
function harmonicMean(slownesses: ReadonlyArray<number | undefined>): number {
	let count = 0;
	let speeds = 0;
	for (const slowness of slownesses) {
		if (slowness !== undefined) {
			count++;
			speeds += 1 / slowness;
		}
	}

	return count === 0 ? 1 : count / speeds;
}
