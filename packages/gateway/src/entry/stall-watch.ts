import {PauseReview, type StalledDecision} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';

/** Options of {@linkcode StallWatch}. */
export type StallWatchOptions = {
	readonly server: ServerRecord;
	readonly route: Pick<Route, 'targetGap' | 'targetLatency'>;
	/** Whether the stream comes through another instance, so that this one's own links are not used. */
	readonly isRelayed: boolean;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** The time that another server needs until the stream goes on there, in milliseconds. */
	readonly resumeTime: number;
	/** Whether the stream could go on at another server now. */
	readonly canResumeElsewhere: () => boolean;
	/** Called with each decision that differs from the one before, from the first one in a pause on. */
	readonly onDecision: (decision: StalledDecision, paused: number) => void;
};

/** The part of the context that a watch uses. */
export type StallWatchContext = Pick<EntryContext, 'clock'> & {
	readonly servers: Pick<EntryContext['servers'], 'heardAt' | 'isInDoubt'>;
	readonly links: {readonly of: (service: ServerRecord['service']) => {readonly areConnected: boolean}};
};

/**
Watches the pauses of one stream, and decides when another server is asked to go on with it.

@example
```ts
const watch = new StallWatch(context, {server, route, isRelayed: false, deadlineAt, resumeTime, canResumeElsewhere, onDecision});
watch.isStalled(1200);
```
*/
export class StallWatch {
	readonly #context: StallWatchContext;
	readonly #options: StallWatchOptions;
	readonly #review: PauseReview;

	constructor(context: StallWatchContext, options: StallWatchOptions) {
		const {route: {targetGap, targetLatency}, onDecision} = options;
		this.#context = context;
		this.#options = options;
		this.#review = new PauseReview({targetGap: targetGap ?? targetLatency, onDecision});
	}

	/** The pause from which on the watch decides, in milliseconds. */
	get targetGap(): number {
		return this.#review.targetGap;
	}

	/**
	Decides on a pause.

	@param paused The time since the last data of the stream, in milliseconds.
	@returns Whether another server is asked to go on with the stream.
	*/
	isStalled(paused: number): boolean {
		const {clock, servers, links} = this.#context;
		const {server, isRelayed, deadlineAt, resumeTime, canResumeElsewhere} = this.#options;
		const now = clock.monotonic();
		const {type} = this.#review.decide({
			now,
			paused,
			heardAt: servers.heardAt(server.id),
			timeLeft: deadlineAt - now,
			resumeTime,
			canGoElsewhere: canResumeElsewhere,
			isServerInDoubt: servers.isInDoubt(server, now) || (!isRelayed && !links.of(server.service).areConnected),
		});
		return type === 'resume-elsewhere';
	}
}
