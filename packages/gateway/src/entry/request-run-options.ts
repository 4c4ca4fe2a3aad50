import {type ServerResponse} from 'node:http';
import {type HeldBytes} from '@valehitch/routing';
import {type Relay} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type AnswerPatience} from './answer-patience.js';
import {type AuthorizedRequest} from './authorize-request.js';
import {type GatewayRequest} from './gateway-request.js';
import {type SendLoad} from './tracked-server.js';

/** An authorized request of a caller, with its body. */
export type RequestRunOptions = {
	readonly request: GatewayRequest;
	readonly body: Uint8Array;
	readonly response: ServerResponse;
	readonly authorized: AuthorizedRequest;
	/** The bytes that are held for the request, its body among them; the caller of the run releases them. */
	readonly held: HeldBytes;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** A send of a request to a server. */
export type StartedSend = {
	/** The number of the send among those of the request. */
	readonly number: number;
	readonly server: ServerRecord;
	/** The instance through which the server is reached; undefined for this instance's own links. */
	readonly relay?: Relay | undefined;
	/** The load of the send; undefined if it is no longer counted. */
	readonly load?: SendLoad;
	/** The time to the first event that was expected at the send of a server of mean speed, in milliseconds; undefined if it was not known. */
	readonly expected?: number | undefined;
	/** When the request was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
	/** How long the head of the answer is waited for; undefined for a stream that was kept. */
	readonly patience?: AnswerPatience | undefined;
};
