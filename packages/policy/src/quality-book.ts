import {type InstanceId} from '@valehitch/core';
import {
	addObservation, addSums, decayTo, type DecayedSums,
} from './decayed-sums.js';
import {type QualityDigest, type QualityEntry, type QualityKey} from './quality-digest.js';
import {type Estimate, estimate, type Prior} from './quality-estimate.js';

/** Whose book it is and how it forgets. */
export type QualityBookOptions = {
	readonly instance: InstanceId;
	/** When the instance started, in milliseconds since 1970. */
	readonly startedAt: number;
	/** Milliseconds in which the weight of an observation halves; 6 hours unless given. */
	readonly halfLife?: number;
	/** The most entries kept over all instances; 20,000 unless given. The estimate that was changed longest ago is dropped. */
	readonly maximumEntries?: number;
};

/** An observation of a version. */
export type QualityObservation = QualityKey & {
	/** From 0 to 1. */
	readonly value: number;
	/** When the observed request ran, in milliseconds since 1970. */
	readonly ranAt: number;
};

/** What an estimate starts from and for when it is wanted. */
export type EstimateOptions = {
	readonly prior: Prior;
	/** Milliseconds since 1970. */
	readonly now: number;
};

/** For whom sums are added up, and when. */
export type OthersOptions = {
	readonly except: Pick<QualityDigest, 'instance' | 'startedAt'>;
	/** Milliseconds since 1970. */
	readonly now: number;
};

type Source = Pick<QualityDigest, 'instance' | 'startedAt'>;

/** The sums of one estimate, by source. */
type Kept = {
	readonly key: QualityKey;
	readonly bySource: Map<string, DecayedSums>;
};

const defaultHalfLife = 21_600_000;
const defaultMaximumEntries = 20_000;
const leastWeight = 0.001;
const roundingMargin = 0.999;
const othersSource = 'others';

/**
Quality estimates by class and version, from the observations of this instance and the digests of others.

@example
```ts
const book = new QualityBook({instance, startedAt});
book.add({model, version, qualityClass: 'yard/lookup', measure: 'rating', value: 0.9, ranAt});
book.estimate(key, {prior: {value: 0.82}, now}).lowerBound;
```
*/
export class QualityBook {
	readonly #source: Source;
	readonly #ownSource: string;
	readonly #halfLife: number;
	readonly #maximumEntries: number;
	/** By key; the order is that of the last change. */
	readonly #kept = new Map<string, Kept>();
	#size = 0;

	constructor({instance, startedAt, halfLife = defaultHalfLife, maximumEntries = defaultMaximumEntries}: QualityBookOptions) {
		this.#source = {instance, startedAt};
		this.#ownSource = sourceText(this.#source);
		this.#halfLife = halfLife;
		this.#maximumEntries = maximumEntries;
	}

	/** How many entries are kept. */
	get size(): number {
		return this.#size;
	}

	/**
	Adds an observation of this instance.

	@param observation The observation; one whose value is not from 0 to 1 is passed over.
	@returns Whether it was added.
	*/
	add(observation: QualityObservation): boolean {
		const {value, ranAt} = observation;
		if (!(value >= 0 && value <= 1) || !Number.isFinite(ranAt)) {
			return false;
		}

		const earlier = this.#kept.get(keyText(observation))?.bySource.get(this.#ownSource);
		this.#put(observation, {source: this.#ownSource, sums: addObservation(earlier, {value, at: ranAt, halfLife: this.#halfLife})});
		return true;
	}

	/**
	Takes the digest of another instance; one that came before changes nothing.

	@param digest The digest.
	@returns How many entries were new.
	*/
	merge(digest: QualityDigest): number {
		const source = sourceText(digest);
		if (source === this.#ownSource) {
			return 0;
		}

		let taken = 0;
		for (const entry of digest.entries) {
			const earlier = this.#kept.get(keyText(entry))?.bySource.get(source);
			if (earlier === undefined || entry.sums.count > earlier.count) {
				this.#put(entry, {source, sums: entry.sums});
				taken += 1;
			}
		}

		return taken;
	}

	/**
	Takes sums over all other instances from the one that adds them up, each in place of the one taken before unless that one still weighs more; not to be mixed with `merge`.

	@param entries What `others` gave there.
	@param now Milliseconds since 1970.
	*/
	replaceOthers(entries: Iterable<QualityEntry>, now: number): void {
		const moment = {at: now, halfLife: this.#halfLife};
		for (const entry of entries) {
			const earlier = this.#kept.get(keyText(entry))?.bySource.get(othersSource);
			if (earlier === undefined || decayTo(entry.sums, moment).weight >= decayTo(earlier, moment).weight * roundingMargin) {
				this.#put(entry, {source: othersSource, sums: entry.sums});
			}
		}
	}

	/**
	Adds up the sums of all instances but one, for that one.

	@param keys The entries wanted.
	@param options The instance that gets them, and the time.
	@returns The entries of which something is known, for `replaceOthers`.
	*/
	others(keys: Iterable<QualityKey>, {except, now}: OthersOptions): readonly QualityEntry[] {
		const excepted = sourceText(except);
		const entries: QualityEntry[] = [];
		for (const wanted of keys) {
			const kept = this.#kept.get(keyText(wanted));
			const parts = [...kept?.bySource ?? []].filter(([source]) => source !== excepted).map(([, sums]) => sums);
			if (kept !== undefined && parts.length > 0) {
				entries.push({...kept.key, sums: addSums(parts, {at: now, halfLife: this.#halfLife})});
			}
		}

		return entries;
	}

	/**
	Gives this instance's own sums for others.

	@param keys The entries wanted; all unless given.
	@returns The digest.
	*/
	digest(keys?: Iterable<QualityKey>): QualityDigest {
		const entries: QualityEntry[] = [];
		for (const wanted of keys ?? [...this.#kept.values()].map(({key}) => key)) {
			const kept = this.#kept.get(keyText(wanted));
			const sums = kept?.bySource.get(this.#ownSource);
			if (kept !== undefined && sums !== undefined) {
				entries.push({...kept.key, sums});
			}
		}

		return {...this.#source, entries};
	}

	/**
	Adds up an estimate's sums over all instances.

	@param key The estimate.
	@param now Milliseconds since 1970.
	@returns The sums at that time.
	*/
	sums(key: QualityKey, now: number): DecayedSums {
		return addSums(this.#kept.get(keyText(key))?.bySource.values() ?? [], {at: now, halfLife: this.#halfLife});
	}

	/**
	Estimates a quality or share.

	@param key What is estimated.
	@param options The prior and the time.
	@returns The estimate.
	*/
	estimate(key: QualityKey, {prior, now}: EstimateOptions): Estimate {
		return estimate(this.sums(key, now), prior);
	}

	/**
	Forgets what has lost all but a thousandth of its weight.

	@param now Milliseconds since 1970.
	@returns How many entries were dropped.
	*/
	forget(now: number): number {
		const sizeBefore = this.#size;
		for (const [text, {bySource}] of this.#kept) {
			for (const [source, sums] of bySource) {
				if (decayTo(sums, {at: now, halfLife: this.#halfLife}).weight < leastWeight) {
					this.#drop(text, source);
				}
			}
		}

		return sizeBefore - this.#size;
	}

	#put(key: QualityKey, {source, sums}: {readonly source: string; readonly sums: DecayedSums}): void {
		const text = keyText(key);
		const kept = this.#kept.get(text) ?? {key: keyOf(key), bySource: new Map<string, DecayedSums>()};
		const sizeBefore = kept.bySource.size;
		kept.bySource.set(source, sums);
		this.#size += kept.bySource.size - sizeBefore;
		this.#kept.delete(text);
		this.#kept.set(text, kept);
		for (const [oldest, {bySource}] of this.#kept) {
			if (this.#size <= this.#maximumEntries || oldest === text) {
				break;
			}

			this.#kept.delete(oldest);
			this.#size -= bySource.size;
		}
	}

	#drop(text: string, source: string): void {
		const bySource = this.#kept.get(text)?.bySource;
		if (bySource?.delete(source) === true) {
			this.#size -= 1;
		}

		if (bySource?.size === 0) {
			this.#kept.delete(text);
		}
	}
}

function keyOf({model, version, qualityClass, measure}: QualityKey): QualityKey {
	return {
		model, version, qualityClass, measure,
	};
}

function sourceText({instance, startedAt}: Source): string {
	return `${instance}#${startedAt}`;
}

function keyText({qualityClass, model, version, measure}: QualityKey): string {
	return `${qualityClass}|${model}@${version}|${measure}`;
}
