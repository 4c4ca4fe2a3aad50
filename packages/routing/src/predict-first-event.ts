import {type ServerWork} from './pool-picture.js';

/** The prompt whose first event is predicted. */
export type PredictFirstEventOptions = {
	/** The time to the first event of this prompt at an idle server of mean speed if nothing of it is cached, in milliseconds. */
	readonly calm: number;
	/** The part of that time that the cached parts of the prompt save at this server, in milliseconds; 0 by default. */
	readonly cached?: number;
};

/**
Predicts the time to the first event of a prompt at a server, from the prompts that wait there and from the prompt itself.

It answers a load under which the time to process prompts is scarce before anything else. The answers that are generated add nothing of their own: they slow prompts down through the measured slowness.

@param work The work in progress at the server; undefined if it is unknown, which counts as none.
@param options The prompt.
@returns Milliseconds.
@example
```ts
predictFirstEvent({reading: 300, streams: 4, slowness: 2}, {calm: 100}); // 800
```
*/
export function predictFirstEvent(work: ServerWork | undefined, {calm, cached = 0}: PredictFirstEventOptions): number {
	const own = Math.max(0, calm - Math.max(0, cached));
	return work === undefined ? own : work.slowness * (Math.max(0, work.reading) + own);
}
