import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock, type Failure} from '@valehitch/core';
import {answerProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {answerJson} from '../../answer-json.js';
import {type ControlClient} from '../control-client.js';
import {type OrderRequest, orderRequestSchema} from './order-schema.js';

/** What the calls on orders work with. */
export type OrdersContext = {
	readonly clock: Clock;
	readonly control: ControlClient;
};

const maximumBytes = 65_536;
const acceptedStatus = 202;

/**
Issues an order for an operator: `POST /v1/orders`; the answer comes when it is committed, not when it is obeyed.

@param request The operator's request.
@param response The response.
@param context What the call works with.
@example
```ts
await issueOrder(request, response, {clock, control});
```
*/
export async function issueOrder(request: IncomingMessage, response: ServerResponse, {clock, control}: OrdersContext): Promise<void> {
	const body = await readBody(request, maximumBytes);
	const wanted = body.chain(bytes => parseOrder(bytes));
	if (wanted.isLeft()) {
		answerProblem(response, wanted.extract());
		return;
	}

	const result = await control.propose({type: 'issue-order', ...wanted.unsafeCoerce(), at: clock.now().getTime()});
	result.caseOf({
		Left(failed) {
			answerProblem(response, failed);
		},
		Right({order}) {
			answerJson(response, order, {status: acceptedStatus});
		},
	});
}

/**
Lists the open orders and the completed ones of late: `GET /v1/orders`.

@param response The response.
@param context What the call works with.
@example
```ts
await listOrders(response, {clock, control});
```
*/
export async function listOrders(response: ServerResponse, {control}: OrdersContext): Promise<void> {
	const result = await control.orders();
	result.caseOf({
		Left(failed) {
			answerProblem(response, failed);
		},
		Right(orders) {
			answerJson(response, orders);
		},
	});
}

function parseOrder(bytes: Uint8Array): Either<Failure, OrderRequest> {
	return parseJsonBody({bytes, schema: orderRequestSchema}, {notJson: 'Got a body that is not JSON, wanted an order'});
}
