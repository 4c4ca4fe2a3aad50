import {type ZoneId} from '@valehitch/core';
import {type Evacuations, evacuatedZones, noEvacuations} from '../servers/evacuations.js';
import {type ServerRecord} from '../servers/server-record.js';

/**
The evacuations known to an entry instance. A control instance that lags behind may report earlier ones, which are ignored.

@example
```ts
const known = new KnownEvacuations();
known.update({revision: 1, zones: [{zone, isEvacuated: true, revision: 1}]});
known.zones.has(zone); // true
```
*/
export class KnownEvacuations {
	#evacuations: Evacuations = noEvacuations;
	#zones: ReadonlySet<ZoneId> = new Set();

	/** The revision of the evacuations. */
	get revision(): number {
		return this.#evacuations.revision;
	}

	/** The zones whose servers get no requests. */
	get zones(): ReadonlySet<ZoneId> {
		return this.#zones;
	}

	/**
	Applies the evacuations that a control instance reports.

	@param evacuations The evacuations.
	@returns The zones whose evacuation ended, or `undefined` if the evacuations are not newer than the known ones.
	*/
	update(evacuations: Evacuations): ReadonlySet<ZoneId> | undefined {
		if (evacuations.revision <= this.#evacuations.revision) {
			return undefined;
		}

		const previous = this.#zones;
		this.#evacuations = evacuations;
		this.#zones = evacuatedZones(evacuations);
		return new Set([...previous].filter(zone => !this.#zones.has(zone)));
	}

	/**
	Checks whether servers may get no requests because all of them are in evacuated zones.

	@param servers The servers.
	@returns Whether that is so; false without servers.
	*/
	includesAll(servers: ReadonlyArray<Pick<ServerRecord, 'zone'>>): boolean {
		return servers.length > 0 && servers.every(({zone}) => this.#zones.has(zone));
	}
}
