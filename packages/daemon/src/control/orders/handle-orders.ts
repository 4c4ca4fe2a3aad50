import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock, type Failure} from '@valehitch/core';
import {sendProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {answerJson} from '../../answer-json.js';
import {type ControlClient} from '../control-client.js';
import {type OrderRequest, orderRequestSchema} from './order-request.js';

/** The dependencies of the order handlers. */
export type OrdersContext = {
	readonly clock: Clock;
	readonly control: ControlClient;
};

const maximumBytes = 65_536;
const acceptedStatus = 202;

/**
Issues an order to an engine: `POST /v1/orders`. The response is sent when the order is committed, not when the engine has executed it.

@param request The operator's request.
@param response The response.
@param context The clock and the control client.
@example
```ts
await issueOrder(request, response, {clock, control});
```
*/
export async function issueOrder(request: IncomingMessage, response: ServerResponse, {clock, control}: OrdersContext): Promise<void> {
	const body = await readBody(request, maximumBytes);
	const order = body.chain(bytes => parseOrder(bytes));
	if (order.isLeft()) {
		sendProblem(response, order.extract());
		return;
	}

	const result = await control.propose({type: 'issue-order', ...order.unsafeCoerce(), at: clock.now().getTime()});
	result.caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right({order: issued}) {
			answerJson(response, issued, {status: acceptedStatus});
		},
	});
}

/**
Lists the open and the recently completed orders: `GET /v1/orders`.

@param response The response.
@param context The clock and the control client.
@example
```ts
await listOrders(response, {clock, control});
```
*/
export async function listOrders(response: ServerResponse, {control}: OrdersContext): Promise<void> {
	const result = await control.orders();
	result.caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right(orders) {
			answerJson(response, orders);
		},
	});
}

function parseOrder(bytes: Uint8Array): Either<Failure, OrderRequest> {
	return parseJsonBody({bytes, schema: orderRequestSchema}, {invalidJsonMessage: 'The body is not JSON; expected an order'});
}
