import {type EngineState, type OrderRecord, type SendOutcome} from '@valehitch/control';
import {typedSchema} from '@valehitch/core';
import {readResponseBody, sendHttpRequest} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';

/** A client for the control endpoints of engines; `address` is the base address of the engine. */
export type EngineClient = {
	/** Reads the state of the engine; returns undefined if it does not send a valid one. */
	readonly readState: (address: string, signal: AbortSignal) => Promise<EngineState | undefined>;
	/** Sends an order to the engine, unless it may not be sent any more once the connection is open. */
	readonly send: (address: string, order: OrderRecord, options: SendOrderOptions) => Promise<SendOutcome>;
};

/** Options of the sending of an order. */
export type SendOrderOptions = {
	readonly signal: AbortSignal;
	/** Checked right before the order is written. */
	readonly mayStillSend: () => boolean;
};

type Reply = {readonly status: number; readonly text: string};

const maximumResponseBytes = 1_048_576;
const conflictStatus = 409;
const name = z.string().min(1).max(128);
const stateSchema = typedSchema<EngineState>(z.object({
	models: z.array(z.object({model: name, version: name})),
	role: name.optional(),
	lastOrder: z.object({orderId: z.string(), term: z.int(), sequence: z.int()}).optional(),
}));

/** Calls engines over HTTP. Each call has its own connection, so that aborting one does not affect a later call. */
export const httpEngineClient: EngineClient = {
	async readState(address, signal) {
		const reply = await call({
			address, method: 'GET', path: '/v1/state', body: '', signal,
		});
		return reply.map(({status, text}) => status === 200 ? parseState(text) : undefined).orDefault(undefined);
	},
	async send(address, {orderId, fencing, order}, options) {
		const reply = await call({
			address, method: 'POST', path: '/v1/orders', body: JSON.stringify({orderId, ...fencing, order}), ...options,
		});
		return reply.caseOf<SendOutcome>({
			Left: detail => ({type: 'failed', detail}),
			Right: ({status, text}) => toSendOutcome(status, text),
		});
	},
};

type EngineRequest = {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly signal: AbortSignal;
	readonly mayStillSend?: () => boolean;
};

async function call({body, ...request}: EngineRequest): Promise<Either<string, Reply>> {
	const response = await sendHttpRequest({
		...request, headers: {'content-type': 'application/json'}, body: new TextEncoder().encode(body), reuseConnection: false,
	});
	const head = response.mapLeft(({message}) => message);
	if (head.isLeft()) {
		return head;
	}

	const received = head.unsafeCoerce();
	const read = await readResponseBody(received, maximumResponseBytes);
	return read.bimap(({message}) => message, bytes => ({status: received.status, text: new TextDecoder().decode(bytes)}));
}

function toSendOutcome(status: number, text: string): SendOutcome {
	if (status === conflictStatus) {
		return {type: 'refused', detail: text.slice(0, 200)};
	}

	return status >= 200 && status < 300 ? {type: 'taken'} : {type: 'failed', detail: `Got status ${status}, wanted 200 or 202`};
}

function parseState(text: string): EngineState | undefined {
	try {
		return stateSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
}
