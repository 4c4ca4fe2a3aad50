import {setTimeout as delay} from 'node:timers/promises';

/** Options of {@linkcode sendSteadily}. */
export type SendSteadilyOptions<Answer> = {
	/** How many requests are sent a second. */
	readonly perSecond: number;
	/** How long requests are sent, in milliseconds. */
	readonly duration: number;
	/** Sends a request. */
	readonly send: (index: number) => Promise<Answer>;
};

/**
Sends requests at a steady rate, whatever becomes of them.

@param options The rate, the duration and how to send a request.
@returns The answers, once all have arrived.
@example
```ts
await sendSteadily({perSecond: 40, duration: 4000, send: async index => sendQuery(index)});
```
*/
export async function sendSteadily<Answer>({perSecond, duration, send}: SendSteadilyOptions<Answer>): Promise<readonly Answer[]> {
	const answers: Array<Promise<Answer>> = [];
	const startedAt = performance.now();
	const count = Math.round(perSecond * duration / 1000);
	while (answers.length < count) {
		answers.push(send(answers.length));
		const nextAt = startedAt + (answers.length * 1000 / perSecond);
		await delay(Math.max(0, nextAt - performance.now()));
	}

	return Promise.all(answers);
}
