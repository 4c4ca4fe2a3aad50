import {type InstanceId} from '@valehitch/core';
import {
	addObservation, addSums, decayTo, type DecayedSums,
} from './decayed-sums.js';
import {type QualityDigest, type QualityEntry, type QualityKey} from './quality-digest.js';
import {type Estimate, estimate, type Prior} from './quality-estimate.js';

/** Options of `QualityStore`. */
export type QualityStoreOptions = {
	readonly instance: InstanceId;
	/** When the instance started, as Unix time in milliseconds. */
	readonly startedAt: number;
	/** The half-life of an observation's weight, in milliseconds. Defaults to 6 hours. */
	readonly halfLife?: number;
	/** The maximum number of entries over all instances. Defaults to 20,000. When it is exceeded, the least recently updated estimate is dropped. */
	readonly maximumEntries?: number;
};

/** An observation of a version. */
export type QualityObservation = QualityKey & {
	/** From 0 to 1. */
	readonly value: number;
	/** When the observed request ran, as Unix time in milliseconds. */
	readonly ranAt: number;
};

/** The prior of an estimate and the time for which it is made. */
export type EstimateOptions = {
	readonly prior: Prior;
	/** Unix time in milliseconds. */
	readonly now: number;
};

/** The instance that an aggregate leaves out, and the time of the aggregate. */
export type AggregateOptions = {
	readonly except: Pick<QualityDigest, 'instance' | 'startedAt'>;
	/** Unix time in milliseconds. */
	readonly now: number;
};

type Source = Pick<QualityDigest, 'instance' | 'startedAt'>;

/** The sums of one estimate, by source. */
type StoredEstimate = {
	readonly key: QualityKey;
	readonly bySource: Map<string, DecayedSums>;
};

const defaultHalfLife = 21_600_000;
const defaultMaximumEntries = 20_000;
const minimumWeight = 0.001;
const roundingMargin = 0.999;
const aggregateSource = 'others';

/**
Quality estimates by request class and version, from the observations of this instance and the digests of other instances.

@example
```ts
const store = new QualityStore({instance, startedAt});
store.add({model, version, qualityClass: 'yard/lookup', measure: 'rating', value: 0.9, ranAt});
store.estimate(key, {prior: {value: 0.82}, now}).lowerBound;
```
*/
export class QualityStore {
	readonly #source: Source;
	readonly #ownSource: string;
	readonly #halfLife: number;
	readonly #maximumEntries: number;
	/** The estimates by key, the least recently updated first. */
	readonly #estimates = new Map<string, StoredEstimate>();
	#size = 0;

	constructor({instance, startedAt, halfLife = defaultHalfLife, maximumEntries = defaultMaximumEntries}: QualityStoreOptions) {
		this.#source = {instance, startedAt};
		this.#ownSource = sourceKey(this.#source);
		this.#halfLife = halfLife;
		this.#maximumEntries = maximumEntries;
	}

	/** The number of entries. */
	get size(): number {
		return this.#size;
	}

	/**
	Adds an observation of this instance.

	@param observation The observation. Ignored if its value is not from 0 to 1 or its time is not finite.
	@returns Whether it was added.
	*/
	add(observation: QualityObservation): boolean {
		const {value, ranAt} = observation;
		if (!(value >= 0 && value <= 1) || !Number.isFinite(ranAt)) {
			return false;
		}

		const previous = this.#estimates.get(estimateKey(observation))?.bySource.get(this.#ownSource);
		this.#store(observation, {source: this.#ownSource, sums: addObservation(previous, {value, at: ranAt, halfLife: this.#halfLife})});
		return true;
	}

	/**
	Merges the digest of another instance. Duplicated and outdated digests have no effect.

	@param digest The digest.
	@returns The number of updated entries.
	*/
	merge(digest: QualityDigest): number {
		const source = sourceKey(digest);
		if (source === this.#ownSource) {
			return 0;
		}

		let updated = 0;
		for (const entry of digest.entries) {
			const previous = this.#estimates.get(estimateKey(entry))?.bySource.get(source);
			if (previous === undefined || entry.sums.count > previous.count) {
				this.#store(entry, {source, sums: entry.sums});
				updated += 1;
			}
		}

		return updated;
	}

	/**
	Stores the sums over all other instances, as aggregated by another instance. An entry replaces the previous one unless the previous one weighs more. Must not be combined with `merge`.

	@param entries The result of `aggregateExcept` on the aggregating instance.
	@param now Unix time in milliseconds.
	*/
	replaceAggregate(entries: Iterable<QualityEntry>, now: number): void {
		const moment = {at: now, halfLife: this.#halfLife};
		for (const entry of entries) {
			const previous = this.#estimates.get(estimateKey(entry))?.bySource.get(aggregateSource);
			if (previous === undefined || decayTo(entry.sums, moment).weight >= decayTo(previous, moment).weight * roundingMargin) {
				this.#store(entry, {source: aggregateSource, sums: entry.sums});
			}
		}
	}

	/**
	Adds the sums of all instances except one, for that instance.

	@param keys The keys of the entries to return.
	@param options The instance to leave out, and the time.
	@returns The entries that have observations, for `replaceAggregate`.
	*/
	aggregateExcept(keys: Iterable<QualityKey>, {except, now}: AggregateOptions): readonly QualityEntry[] {
		const excepted = sourceKey(except);
		const entries: QualityEntry[] = [];
		for (const key of keys) {
			const stored = this.#estimates.get(estimateKey(key));
			const parts = [...stored?.bySource ?? []].filter(([source]) => source !== excepted).map(([, sums]) => sums);
			if (stored !== undefined && parts.length > 0) {
				entries.push({...stored.key, sums: addSums(parts, {at: now, halfLife: this.#halfLife})});
			}
		}

		return entries;
	}

	/**
	Returns this instance's own sums.

	@param keys The keys of the entries to return. Defaults to all.
	@returns The digest.
	*/
	digest(keys?: Iterable<QualityKey>): QualityDigest {
		const entries: QualityEntry[] = [];
		for (const key of keys ?? [...this.#estimates.values()].map(({key}) => key)) {
			const stored = this.#estimates.get(estimateKey(key));
			const sums = stored?.bySource.get(this.#ownSource);
			if (stored !== undefined && sums !== undefined) {
				entries.push({...stored.key, sums});
			}
		}

		return {...this.#source, entries};
	}

	/**
	Adds the sums of an estimate over all instances.

	@param key The key of the estimate.
	@param now Unix time in milliseconds.
	@returns The sums, decayed to the given time.
	*/
	sums(key: QualityKey, now: number): DecayedSums {
		return addSums(this.#estimates.get(estimateKey(key))?.bySource.values() ?? [], {at: now, halfLife: this.#halfLife});
	}

	/**
	Estimates a quality or share.

	@param key The key of the estimate.
	@param options The prior and the time.
	@returns The estimate.
	*/
	estimate(key: QualityKey, {prior, now}: EstimateOptions): Estimate {
		return estimate(this.sums(key, now), prior);
	}

	/**
	Removes entries whose weight has decayed below 0.001.

	@param now Unix time in milliseconds.
	@returns The number of removed entries.
	*/
	evictDecayed(now: number): number {
		const sizeBefore = this.#size;
		for (const [text, {bySource}] of this.#estimates) {
			for (const [source, sums] of bySource) {
				if (decayTo(sums, {at: now, halfLife: this.#halfLife}).weight < minimumWeight) {
					this.#delete(text, source);
				}
			}
		}

		return sizeBefore - this.#size;
	}

	#store(key: QualityKey, {source, sums}: {readonly source: string; readonly sums: DecayedSums}): void {
		const text = estimateKey(key);
		const stored = this.#estimates.get(text) ?? {key: pickKey(key), bySource: new Map<string, DecayedSums>()};
		const sizeBefore = stored.bySource.size;
		stored.bySource.set(source, sums);
		this.#size += stored.bySource.size - sizeBefore;
		this.#estimates.delete(text);
		this.#estimates.set(text, stored);
		for (const [oldest, {bySource}] of this.#estimates) {
			if (this.#size <= this.#maximumEntries || oldest === text) {
				break;
			}

			this.#estimates.delete(oldest);
			this.#size -= bySource.size;
		}
	}

	#delete(text: string, source: string): void {
		const bySource = this.#estimates.get(text)?.bySource;
		if (bySource?.delete(source) === true) {
			this.#size -= 1;
		}

		if (bySource?.size === 0) {
			this.#estimates.delete(text);
		}
	}
}

function pickKey({model, version, qualityClass, measure}: QualityKey): QualityKey {
	return {
		model, version, qualityClass, measure,
	};
}

function sourceKey({instance, startedAt}: Source): string {
	return `${instance}#${startedAt}`;
}

function estimateKey({qualityClass, model, version, measure}: QualityKey): string {
	return `${qualityClass}|${model}@${version}|${measure}`;
}
