import {request as openRequest} from 'node:http';
import {setTimeoutAfterPoll, type Relay, watchHead} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type Dialect} from './dialect.js';

/** Options of {@linkcode checkServerIdentity}. */
export type CheckServerIdentityOptions = {
	readonly dialect: Pick<Dialect, 'identityHeaders' | 'isAnswerOf'>;
	/** The path of the health check of its service. */
	readonly healthPath: string;
	/** The instance through which the server is reached; undefined for this instance's own links. */
	readonly relay: Pick<Relay, 'singleUse'> | undefined;
	/** The time within which a connection must open, in milliseconds; that of the answer by default. */
	readonly connectTimeout?: number;
	/** The time within which an answer must arrive, in milliseconds. */
	readonly timeout: number;
	/** Aborted when the process of the server is known to have ended; by default that is not known. */
	readonly processEnd?: AbortSignal | undefined;
};

/** Whether the process at an address is the given server; `unknown` without an answer in time. */
export type ServerIdentity = 'same' | 'other' | 'unknown';

/**
Asks the process at the address of a server whether it is that server, by a health check that no other server answers.

One that is silent after it has accepted the connection may go on. The check is not repeated on another connection, which a later process might accept.

@param server The server.
@param options The health check, and the way to the server.
@returns The answer.
@example
```ts
await checkServerIdentity(server, {dialect, healthPath: '/healthz', relay: undefined, timeout: 400});
```
*/
export async function checkServerIdentity(server: ServerRecord, {dialect, healthPath, relay, timeout, connectTimeout = timeout, processEnd}: CheckServerIdentityOptions): Promise<ServerIdentity> {
	return new Promise(resolve => {
		const {id, host, port} = server;
		const request = openRequest({
			host, port, method: 'GET', path: healthPath, agent: relay?.singleUse ?? false, setHost: false, headers: dialect.identityHeaders(server).flat(), signal: processEnd,
		});
		const headProblem = watchHead(request);
		const settle = (identity: ServerIdentity): void => {
			stopTimeout();
			stopConnectTimeout();
			resolve(identity);
			request.destroy();
		};

		const stopTimeout = setTimeoutAfterPoll(timeout, () => {
			settle('unknown');
		});
		const stopConnectTimeout = setTimeoutAfterPoll(connectTimeout, () => {
			settle('unknown');
		});
		request.on('socket', socket => {
			if (socket.connecting) {
				socket.once('connect', stopConnectTimeout);
			} else {
				stopConnectTimeout();
			}
		});
		request.on('response', ({statusCode = 0, headers}) => {
			if (headProblem() !== undefined) {
				settle('unknown');
				return;
			}

			settle(dialect.isAnswerOf(id, {status: statusCode, headers}) ? 'same' : 'other');
		});
		// Nothing listens there any more, or it cannot be reached.
		request.on('error', () => {
			settle('unknown');
		});
		request.end();
	});
}
