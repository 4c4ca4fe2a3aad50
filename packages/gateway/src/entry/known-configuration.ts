import {type Clock, type Failure, type InstanceId} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {decodeConfigurationParts} from '../configuration/decode-configuration-parts.js';
import {DocumentHistory} from '../configuration/document-history.js';
import {type EncodedConfiguration} from '../configuration/encode-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {type ConfigurationDocument} from '../control/gateway-state.js';
import {type WatchReply} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';

/** Options of {@linkcode KnownConfiguration}. */
export type KnownConfigurationOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Parses a configuration document. */
	readonly parse: (document: string) => Either<Failure, RoutingConfiguration>;
	/** Called with each configuration that comes into use. */
	readonly onAdopted: (configuration: RoutingConfiguration) => void;
	/** Called when the configuration in use is known to have been the newest one, with the time in milliseconds on the monotonic clock. */
	readonly onConfirmed: (at: number) => void;
	/** Waits for a number of milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

/** Where a reply came from, and what it confirms. */
export type ConfigurationSource = {
	/** The control instance. */
	readonly source: InstanceId;
	/** The time at which the configuration of the reply was the newest one, in milliseconds on the monotonic clock; undefined if unknown. */
	readonly confirmedAt: number | undefined;
};

/** The documents that are kept: a reply may describe its changes from a version that another reply has replaced meanwhile. */
const historyCount = 4;
const historyCharacters = 4 * 1024 * 1024;
/** The pause between two adoptions, as a multiple of the time that the first one took, so that a burst of changes leaves most of the process to requests. */
const pauseFactor = 3;
/** The longest pause, in milliseconds; well below the time within which a change has to apply. */
const maximumPauseMilliseconds = 500;

/**
The configuration that an entry instance goes by, as several control instances report it.

Of a burst of changes, the first one is adopted at once and then the newest one after each pause, since a large configuration takes long to parse.

@example
```ts
const configuration = new KnownConfiguration({clock, log, parse, onAdopted, onConfirmed, wait});
configuration.update(reply, {source, confirmedAt});
configuration.table?.findRoute(host, path);
```
*/
export class KnownConfiguration {
	readonly #options: KnownConfigurationOptions;
	readonly #documents = new DocumentHistory({maximumCount: historyCount, maximumCharacters: historyCharacters});
	/** When each version that is not in use yet was last the newest one. */
	readonly #confirmations = new Map<number, number>();
	#table: RouteTable | undefined;
	#needsWhole = false;
	#pausedUntil = Number.NEGATIVE_INFINITY;
	/** The newest document that waits for the end of the pause, and the control instance that sent it. */
	#pending: {readonly document: ConfigurationDocument; readonly source: InstanceId} | undefined;

	constructor(options: KnownConfigurationOptions) {
		this.#options = options;
	}

	/** The configuration in use; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** The version of the newest document that was received, whether it is in use or not; undefined if a whole document is needed. */
	get version(): number | undefined {
		return this.#needsWhole ? undefined : this.#documents.newest?.version;
	}

	/**
	Adopts the configuration of a reply if it is newer, now or after the pause that follows another one.

	@param reply The reply of a control instance.
	@param origin Where it came from, and what it confirms.
	*/
	update({configuration, encodedConfiguration}: Pick<WatchReply, 'configuration' | 'encodedConfiguration'>, {source, confirmedAt}: ConfigurationSource): void {
		const reported = encodedConfiguration ?? configuration;
		if (reported !== undefined && reported.version > this.#newestVersion) {
			this.#receive(reported, source);
		}

		this.#confirm(reported?.version ?? this.#newestVersion, confirmedAt);
	}

	get #newestVersion(): number {
		return this.#documents.newest?.version ?? Number.NEGATIVE_INFINITY;
	}

	#receive(reported: ConfigurationDocument | EncodedConfiguration, source: InstanceId): void {
		if ('document' in reported) {
			this.#record(reported, source);
			return;
		}

		const base = this.#documents.ofVersion(reported.base);
		if (base?.version !== reported.base) {
			// The next poll names the version that is held by now.
			return;
		}

		decodeConfigurationParts(reported, base).caseOf({
			Left: ({message}) => {
				this.#needsWhole = true;
				this.#options.log('configuration-refused', {reason: message, source}, 'error');
			},
			Right: document => {
				this.#record(document, source);
			},
		});
	}

	#record(document: ConfigurationDocument, source: InstanceId): void {
		this.#documents.record(document);
		this.#needsWhole = false;
		const pause = this.#pausedUntil - this.#options.clock.monotonic();
		const isWaiting = this.#pending !== undefined;
		this.#pending = {document, source};
		if (pause <= 0) {
			this.#adoptPending();
		} else if (!isWaiting) {
			void this.#adoptAfter(pause);
		}
	}

	async #adoptAfter(pause: number): Promise<void> {
		await this.#options.wait(pause);
		this.#adoptPending();
	}

	#adoptPending(): void {
		const pending = this.#pending;
		this.#pending = undefined;
		if (pending !== undefined) {
			this.#adopt(pending.document, pending.source);
		}
	}

	#adopt({document}: ConfigurationDocument, source: InstanceId): void {
		const {clock, parse, log, onAdopted} = this.#options;
		const startedAt = clock.monotonic();
		parse(document).caseOf({
			Left({message}) {
				log('configuration-refused', {reason: message, source}, 'error');
			},
			Right: configuration => {
				this.#table = new RouteTable(configuration);
				this.#confirmUsed();
				onAdopted(configuration);
				log('configuration-adopted', {version: configuration.version, routes: configuration.routes.length, source});
			},
		});
		const now = clock.monotonic();
		this.#pausedUntil = now + Math.min(maximumPauseMilliseconds, pauseFactor * (now - startedAt));
	}

	/** Records that a version was the newest one; a configuration that this instance cannot read, or has not received, may have revoked a key. */
	#confirm(version: number, confirmedAt: number | undefined): void {
		if (confirmedAt !== undefined) {
			this.#confirmations.set(version, Math.max(confirmedAt, this.#confirmations.get(version) ?? Number.NEGATIVE_INFINITY));
			this.#confirmUsed();
		}
	}

	#confirmUsed(): void {
		const usedVersion = this.#table?.version ?? Number.NEGATIVE_INFINITY;
		for (const [version, confirmedAt] of this.#confirmations) {
			if (version <= usedVersion) {
				this.#confirmations.delete(version);
				this.#options.onConfirmed(confirmedAt);
			}
		}
	}
}
