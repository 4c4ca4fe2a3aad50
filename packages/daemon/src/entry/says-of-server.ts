import {type ServiceLinks} from '@valehitch/routing';
import {type AttemptOutput} from './attempt-output.js';

/**
Returns whether the end of an attempt says anything about its server. One that was not run or not sent any more does not, one that goes on neither, nor one that was never sent while the daemon's own links are in doubt.

@param output The last output of the attempt.
@param links The links to the servers of the same group.
@returns Whether it does.
@example
```ts
saysOfServer({type: 'never-sent', message: 'connect ECONNREFUSED'}, connections.links.of(group));
```
*/
export function saysOfServer({type}: AttemptOutput, {areConnected}: Pick<ServiceLinks, 'areConnected'>): boolean {
	return type !== 'not-run' && type !== 'silent' && type !== 'withheld' && (type !== 'never-sent' || areConnected);
}
