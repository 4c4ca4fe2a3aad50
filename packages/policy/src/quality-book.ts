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
	/** The most entries kept over all instances; 20,000 unless given. The one that was changed longest ago is dropped. */
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

type Source = Pick<QualityDigest, 'instance' | 'startedAt'>;
type KeptEntry = QualityEntry & {readonly source: string};

const defaultHalfLife = 21_600_000;
const defaultMaximumEntries = 20_000;

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
	readonly #halfLife: number;
	readonly #maximumEntries: number;
	/** By source and key; the order is that of the last change. */
	readonly #entries = new Map<string, KeptEntry>();
	/** The sources that have an entry, by key. */
	readonly #sourcesOf = new Map<string, Set<string>>();

	constructor({instance, startedAt, halfLife = defaultHalfLife, maximumEntries = defaultMaximumEntries}: QualityBookOptions) {
		this.#source = {instance, startedAt};
		this.#halfLife = halfLife;
		this.#maximumEntries = maximumEntries;
	}

	/** How many entries are kept. */
	get size(): number {
		return this.#entries.size;
	}

	/**
	Adds an observation of this instance.

	@param observation The observation; one whose value is not from 0 to 1 is passed over.
	@returns Whether it was added.
	*/
	add(observation: QualityObservation): boolean {
		const {value, ranAt, ...key} = observation;
		if (!(value >= 0 && value <= 1) || !Number.isFinite(ranAt)) {
			return false;
		}

		const source = sourceText(this.#source);
		const earlier = this.#entries.get(entryText(source, key))?.sums;
		this.#put({...key, source, sums: addObservation(earlier, {value, at: ranAt, halfLife: this.#halfLife})});
		return true;
	}

	/**
	Takes the digest of another instance; one that came before changes nothing.

	@param digest The digest.
	@returns How many entries were new.
	*/
	merge(digest: QualityDigest): number {
		const source = sourceText(digest);
		if (source === sourceText(this.#source)) {
			return 0;
		}

		let taken = 0;
		for (const entry of digest.entries) {
			const earlier = this.#entries.get(entryText(source, entry))?.sums;
			if (earlier === undefined || entry.sums.count > earlier.count) {
				this.#put({...entry, source});
				taken += 1;
			}
		}

		return taken;
	}

	/**
	Takes the sums of all other instances from the one that adds them up, in place of those taken before; not to be mixed with `merge`.

	@param digest What `totals` gave there.
	*/
	replaceOthers(digest: QualityDigest): void {
		const own = sourceText(this.#source);
		for (const [text, entry] of this.#entries) {
			if (entry.source !== own) {
				this.#drop(text, entry);
			}
		}

		const source = sourceText(digest);
		for (const entry of digest.entries) {
			this.#put({...entry, source});
		}
	}

	/**
	Adds up the sums of all instances but one, for that one.

	@param except The instance that gets them.
	@param now Milliseconds since 1970.
	@returns A digest for `replaceOthers`.
	*/
	totals(except: InstanceId, now: number): QualityDigest {
		const excepted = `${except}#`;
		const parts = new Map<string, KeptEntry[]>();
		for (const entry of this.#entries.values()) {
			if (!entry.source.startsWith(excepted)) {
				const key = keyText(entry);
				parts.set(key, [...(parts.get(key) ?? []), entry]);
			}
		}

		const entries: QualityEntry[] = [];
		for (const [first, ...rest] of parts.values()) {
			if (first !== undefined) {
				const sums = addSums([first, ...rest].map(part => part.sums), {at: now, halfLife: this.#halfLife});
				entries.push({...withoutSource(first), sums});
			}
		}

		return {...this.#source, entries};
	}

	/**
	Gives this instance's own sums for others.

	@param keys The entries wanted; all unless given.
	@returns The digest.
	*/
	digest(keys?: Iterable<QualityKey>): QualityDigest {
		const source = sourceText(this.#source);
		const entries: QualityEntry[] = [];
		for (const key of keys ?? this.#keysOf(source)) {
			const entry = this.#entries.get(entryText(source, key));
			if (entry !== undefined) {
				entries.push(withoutSource(entry));
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
		const parts: DecayedSums[] = [];
		for (const source of this.#sourcesOf.get(keyText(key)) ?? []) {
			const entry = this.#entries.get(entryText(source, key));
			if (entry !== undefined) {
				parts.push(entry.sums);
			}
		}

		return addSums(parts, {at: now, halfLife: this.#halfLife});
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
		let dropped = 0;
		for (const [text, entry] of this.#entries) {
			if (decayTo(entry.sums, {at: now, halfLife: this.#halfLife}).weight < 0.001) {
				this.#drop(text, entry);
				dropped += 1;
			}
		}

		return dropped;
	}

	#put(entry: KeptEntry): void {
		const text = entryText(entry.source, entry);
		this.#entries.delete(text);
		this.#entries.set(text, entry);
		const key = keyText(entry);
		const sources = this.#sourcesOf.get(key) ?? new Set();
		sources.add(entry.source);
		this.#sourcesOf.set(key, sources);
		for (const [oldest, dropped] of this.#entries) {
			if (this.#entries.size <= this.#maximumEntries) {
				break;
			}

			this.#drop(oldest, dropped);
		}
	}

	#drop(text: string, entry: KeptEntry): void {
		this.#entries.delete(text);
		const key = keyText(entry);
		const sources = this.#sourcesOf.get(key);
		sources?.delete(entry.source);
		if (sources?.size === 0) {
			this.#sourcesOf.delete(key);
		}
	}

	* #keysOf(source: string): Iterable<QualityKey> {
		for (const entry of this.#entries.values()) {
			if (entry.source === source) {
				yield entry;
			}
		}
	}
}

function withoutSource({model, version, qualityClass, measure, sums}: KeptEntry): QualityEntry {
	return {
		model, version, qualityClass, measure, sums,
	};
}

function sourceText({instance, startedAt}: Source): string {
	return `${instance}#${startedAt}`;
}

function keyText({qualityClass, model, version, measure}: QualityKey): string {
	return `${qualityClass}|${model}@${version}|${measure}`;
}

function entryText(source: string, key: QualityKey): string {
	return `${source}|${keyText(key)}`;
}
