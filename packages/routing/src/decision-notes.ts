import {type ModelId, type ServerId} from '@valehitch/core';
import {type ServerVerdict} from './decision-history.js';

/** A step of the routing of a request, with what it was based on. */
export type DecisionNote = {
	/** Milliseconds on the monotonic clock. */
	readonly at: number;
	/** What was decided: `chosen` or `no-server` by the choice of a server, `held`, `released` or `rejected` by a queue, or how the request ended, such as `refused`. */
	readonly kind: string;
	readonly model?: ModelId | undefined;
	/** The server that was chosen. */
	readonly server?: ServerId | undefined;
	/** The servers that were considered, and why each was or was not chosen. */
	readonly considered?: readonly ServerVerdict[] | undefined;
	/** What else the decision was based on, such as the share that was used up; kept as it is, and formatted only when an operator asks. */
	readonly facts?: Readonly<Record<string, string | number | boolean | undefined>> | undefined;
};

/** The limits of {@linkcode DecisionNotes}. */
export type DecisionNotesOptions = {
	/** The share of the sends whose notes are kept although nothing else calls for it, from 0 to 1; 0 by default. */
	readonly sampledShare?: number;
	/** The maximum number of requests; the oldest one is evicted first; 256 by default. */
	readonly capacity?: number;
	/** The maximum number of notes of a request; the last note replaces the one before it from then on; 16 by default. */
	readonly maximumNotes?: number;
};

/**
Keeps why the latest requests went where they went: all that were refused or held, and a sampled share of the others. Answers `valehitch why`.

The load it is made for is that of small instances whose processors are all taken: a send that is not sampled costs an addition and a look-up, and nothing is formatted before an operator asks.

@example
```ts
const notes = new DecisionNotes({sampledShare: 0.01});
notes.record(request, {at: now, kind: 'held', facts: {priority: 1, roomMilliseconds: 120}});
notes.get(request);
```
*/
export class DecisionNotes {
	readonly #sampledShare: number;
	readonly #capacity: number;
	readonly #maximumNotes: number;
	readonly #notes = new Map<string, DecisionNote[]>();
	/** Grows by the share with each send; a whole one is spent on a sample. */
	#credit = 0;

	constructor({sampledShare = 0, capacity = 256, maximumNotes = 16}: DecisionNotesOptions = {}) {
		this.#sampledShare = sampledShare;
		this.#capacity = capacity;
		this.#maximumNotes = maximumNotes;
	}

	/** The number of requests with notes. */
	get size(): number {
		return this.#notes.size;
	}

	/**
	Records a note, whether the request is sampled or not.

	@param request The id of the request.
	@param note The note.
	*/
	record(request: string, note: DecisionNote): void {
		const notes = this.#notes.get(request);
		if (notes === undefined) {
			this.#add(request, note);
		} else if (notes.length < this.#maximumNotes) {
			notes.push(note);
		} else {
			notes[notes.length - 1] = note;
		}
	}

	/**
	Decides whether a note about the next send of a request is to be recorded. Ask before the note is made, so that it is made only if it is kept.

	@param request The id of the request.
	@returns Whether the send is sampled or the request has notes already.
	*/
	samples(request: string): boolean {
		this.#credit += this.#sampledShare;
		if (this.#credit < 1) {
			return this.#notes.has(request);
		}

		this.#credit--;
		return true;
	}

	/**
	Checks whether a request has notes, to which more may be added.

	@param request The id of the request.
	@returns Whether it has some.
	*/
	has(request: string): boolean {
		return this.#notes.has(request);
	}

	/**
	Returns the notes of a request.

	@param request The id of the request.
	@returns The notes in the order of the decisions; undefined if there are none or they were evicted.
	*/
	get(request: string): readonly DecisionNote[] | undefined {
		return this.#notes.get(request);
	}

	#add(request: string, note: DecisionNote): void {
		const oldest = this.#notes.keys().next();
		if (this.#notes.size >= this.#capacity && !oldest.done) {
			this.#notes.delete(oldest.value);
		}

		this.#notes.set(request, [note]);
	}
}
