import {type InstanceId, type ServerId} from '@valehitch/core';

/** The combined report of the control instances about a server; `unknown` if no responding one reports it. */
export type ServerLiveness = 'alive' | 'silent' | 'unknown';

/**
The liveness of servers as reported by each control instance. A server is silent if all responding control instances report it as silent.

A control instance that is partitioned from the others misses the announcements that servers send to them, so its report alone is not sufficient.

@example
```ts
const liveness = new ServerLivenessTable();
liveness.report(server, {source, isSilent: true});
liveness.of(server); // 'silent'
```
*/
export class ServerLivenessTable {
	readonly #reports = new Map<ServerId, Map<InstanceId, boolean>>();
	readonly #unresponsive = new Set<InstanceId>();

	/**
	Records the report of a control instance about a server.

	@param server The server.
	@param report The control instance, and whether, according to it, no control instance has received an announcement of the server for a long time.
	*/
	report(server: ServerId, {source, isSilent}: {readonly source: InstanceId; readonly isSilent: boolean}): void {
		const reports = this.#reports.get(server) ?? new Map<InstanceId, boolean>();
		this.#reports.set(server, reports.set(source, isSilent));
	}

	/**
	Records that a control instance is not responding. Its reports are ignored until it responds again.

	@param source The control instance.
	*/
	markUnresponsive(source: InstanceId): void {
		this.#unresponsive.add(source);
	}

	/**
	Records that a control instance responds.

	@param source The control instance.
	@param options `isWhole`: whether it sent its full state, which replaces its earlier reports.
	*/
	markResponsive(source: InstanceId, {isFullState}: {readonly isFullState: boolean}): void {
		this.#unresponsive.delete(source);
		if (!isFullState) {
			return;
		}

		for (const reports of this.#reports.values()) {
			reports.delete(source);
		}
	}

	/**
	Removes the reports about a server.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#reports.delete(server);
	}

	/**
	Returns the combined report of the responding control instances about a server.

	@param server The server.
	@returns `alive` if any of them reports it as alive, and `silent` if all control instances that report it consider it silent.
	*/
	of(server: ServerId): ServerLiveness {
		let liveness: ServerLiveness = 'unknown';
		for (const [source, isSilent] of this.#reports.get(server) ?? []) {
			if (this.#unresponsive.has(source)) {
				continue;
			}

			if (!isSilent) {
				return 'alive';
			}

			liveness = 'silent';
		}

		return liveness;
	}

	/**
	Checks whether the last report of any control instance about a server was alive. Unresponsive ones are included, because control instances report only changes.

	@param server The server.
	@returns Whether there is such a report.
	*/
	isReportedAlive(server: ServerId): boolean {
		const reports = this.#reports.get(server)?.values() ?? [];
		return [...reports].includes(false);
	}
}
