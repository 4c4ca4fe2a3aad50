import {type Failure, type InstanceId} from '@valehitch/core';
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
	readonly log: DecisionLog;
	/** Parses a configuration document. */
	readonly parse: (document: string) => Either<Failure, RoutingConfiguration>;
	/** Called with each configuration that comes into use. */
	readonly onAdopted: (configuration: RoutingConfiguration) => void;
};

/** The documents that are kept: a reply may describe its changes from a version that another reply has replaced meanwhile. */
const historyCount = 4;
const historyCharacters = 4 * 1024 * 1024;

/**
The configuration that an entry instance goes by, as several control instances report it.

@example
```ts
const configuration = new KnownConfiguration({log, parse, onAdopted});
configuration.update(reply, source);
configuration.table?.findRoute(host, path);
```
*/
export class KnownConfiguration {
	readonly #options: KnownConfigurationOptions;
	readonly #documents = new DocumentHistory({maximumCount: historyCount, maximumCharacters: historyCharacters});
	#table: RouteTable | undefined;
	#needsWhole = false;

	constructor(options: KnownConfigurationOptions) {
		this.#options = options;
	}

	/** The configuration in use; undefined before the first one. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** The version of the newest document that was received, whether it could be used or not; undefined if a whole document is needed. */
	get version(): number | undefined {
		return this.#needsWhole ? undefined : this.#documents.newest?.version;
	}

	/**
	Adopts the configuration of a reply if it is newer.

	@param reply The reply of a control instance.
	@param source The control instance.
	@returns Whether the configuration in use is at least as new as that of the reply.
	*/
	update({configuration, encodedConfiguration}: Pick<WatchReply, 'configuration' | 'encodedConfiguration'>, source: InstanceId): boolean {
		const reported = encodedConfiguration ?? configuration;
		const newestVersion = this.#documents.newest?.version ?? Number.NEGATIVE_INFINITY;
		if (reported !== undefined && reported.version > newestVersion) {
			this.#receive(reported, source);
		}

		const usedVersion = this.#table?.version ?? Number.NEGATIVE_INFINITY;
		return usedVersion >= (reported?.version ?? newestVersion);
	}

	#receive(reported: ConfigurationDocument | EncodedConfiguration, source: InstanceId): void {
		if ('document' in reported) {
			this.#adopt(reported, source);
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
				this.#adopt(document, source);
			},
		});
	}

	#adopt(received: ConfigurationDocument, source: InstanceId): void {
		const {parse, log, onAdopted} = this.#options;
		this.#documents.record(received);
		this.#needsWhole = false;
		parse(received.document).caseOf({
			Left({message}) {
				log('configuration-refused', {reason: message, source}, 'error');
			},
			Right: configuration => {
				this.#table = new RouteTable(configuration);
				onAdopted(configuration);
				log('configuration-adopted', {version: configuration.version, routes: configuration.routes.length, source});
			},
		});
	}
}
