import {type ServerResponse} from 'node:http';
import {type ServerRecord} from '../servers/server-record.js';
import {type AuthorizedRequest} from './authorize-request.js';
import {type GatewayRequest} from './gateway-request.js';
import {type SendLoad} from './held-server.js';

/** One request of a caller, authorized, with its body. */
export type RequestRunOptions = {
	readonly request: GatewayRequest;
	readonly body: Uint8Array;
	readonly response: ServerResponse;
	readonly authorized: AuthorizedRequest;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** One send of a request, and where it went. */
export type SentTo = {
	readonly server: ServerRecord;
	/** Its load there; undefined where it is counted no more. */
	readonly load?: SendLoad;
	/** Milliseconds on the monotonic clock. */
	readonly sentAt: number;
};
