import {type HandleOutcomeOptions} from './handle-outcome-options.js';
import {type OutcomeStep} from './outcome-step.js';
import {unknownOutcome} from './unknown-outcome.js';

/**
Handles a connection that broke while the server was processing the request.

@param message What happened.
@param options The request and the server.
@returns The next step of the request.
@example
```ts
const step = await handleLoss('i-1 did not answer (lost)', options);
```
*/
export async function handleLoss(message: string, {suspect, results, models, server}: Pick<HandleOutcomeOptions, 'suspect' | 'results' | 'models' | 'server'>): Promise<OutcomeStep> {
	const finding = await suspect.recordLoss(server);
	results.recordLoss(server, {model: models.current, finding});
	return unknownOutcome(message);
}
