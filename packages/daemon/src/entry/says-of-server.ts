import {type AttemptOutput} from './attempt-output.js';
import {type ServerConnections} from './server-connections.js';

/**
Returns whether the end of an attempt says anything about its server. One that was not run does not, nor one that was never sent while the daemon's own links are in doubt.

@param output The last output of the attempt.
@param connections The links to backend servers.
@returns Whether it does.
@example
```ts
saysOfServer({type: 'never-sent', message: 'connect ECONNREFUSED'}, connections);
```
*/
export function saysOfServer({type}: AttemptOutput, {links}: Pick<ServerConnections, 'links'>): boolean {
	return type !== 'not-run' && (type !== 'never-sent' || links.areConnected);
}
