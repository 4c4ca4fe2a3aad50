import {type ExecutedRequest, type FakeBackendResponse} from '@valehitch/testing';

const unframedEvery = 3;
const truncatedEvery = 7;
const eventsBeforeEnd = 2;

/**
Returns how a backend server of a soak frames its response, and whether it ends it inside an event. It depends on the id of the request alone, so that it takes nothing from the random source.

@param run The request.
@param isFirstRun Whether no server has executed the request before.
@returns The framing and the truncation.
@example
```ts
responseShape(run, true); // {isUnframed: true}
```
*/
export function responseShape({id, model}: Pick<ExecutedRequest, 'id' | 'model'>, isFirstRun: boolean): Pick<FakeBackendResponse, 'isUnframed' | 'truncation'> {
	const number = Number(id.split('-').at(-1));
	const isTruncated = model !== undefined && isFirstRun && number % truncatedEvery === 0;
	return {
		isUnframed: number % unframedEvery === 0,
		...(isTruncated && {truncation: {by: 'end', after: eventsBeforeEnd, isInsideEvent: true}}),
	};
}
