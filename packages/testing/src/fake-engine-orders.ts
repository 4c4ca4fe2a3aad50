import {text} from 'node:stream/consumers';
import * as z from 'zod';
import {type Exchange, sendJson} from './_fake-server.js';

/** An order that a fake engine obeyed. */
export type ObeyedOrder = z.infer<typeof orderSchema>;

const orderSchema = z.object({
	orderId: z.string(),
	term: z.int(),
	sequence: z.int(),
	order: z.discriminatedUnion('type', [
		z.object({type: z.literal('load'), model: z.string(), version: z.string()}),
		z.object({type: z.literal('unload'), model: z.string(), version: z.string()}),
		z.object({type: z.literal('set-role'), role: z.string()}),
	]),
});

/**
The orders of a fake engine: `POST /v1/orders`, `GET /v1/state`, and `GET /test/orders` for what it obeyed.

@example
```ts
const orders = new FakeEngineOrders({models, checksFencing: true});
await orders.answer(exchange);
```
*/
export class FakeEngineOrders {
	/** What it obeyed, in order. */
	readonly obeyed: ObeyedOrder[] = [];
	readonly #models: Set<string>;
	readonly #checksFencing: boolean;
	#role = 'both';

	/**
	@param options The versions it has loaded, such as `tag-small@1.0`, which orders change; and whether it refuses an order that is older than the last one.
	*/
	constructor({models, checksFencing}: {readonly models: Set<string>; readonly checksFencing: boolean}) {
		this.#models = models;
		this.#checksFencing = checksFencing;
	}

	/**
	Answers a call about orders.

	@param exchange The call.
	@returns Whether it was one.
	*/
	async answer({request, response}: Exchange): Promise<boolean> {
		switch (`${request.method} ${request.url}`) {
			case 'POST /v1/orders': {
				const order = orderSchema.parse(JSON.parse(await text(request)));
				const isTaken = this.#take(order);
				sendJson(response, {status: isTaken ? 200 : 409, body: {orderId: order.orderId, taken: isTaken}});
				return true;
			}

			case 'GET /v1/state': {
				const last = this.obeyed.at(-1);
				const models = [...this.#models].map(loaded => {
					const [model, version] = loaded.split('@');
					return {model, version};
				});
				sendJson(response, {
					status: 200, body: {
						models, role: this.#role, ...(last && this.#checksFencing && {lastOrder: {orderId: last.orderId, term: last.term, sequence: last.sequence}}),
					},
				});
				return true;
			}

			case 'GET /test/orders': {
				sendJson(response, {status: 200, body: this.obeyed});
				return true;
			}

			default: {
				return false;
			}
		}
	}

	#take(order: ObeyedOrder): boolean {
		const last = this.obeyed.at(-1);
		const age = last === undefined ? 1 : (order.term - last.term || order.sequence - last.sequence);
		if (this.#checksFencing && age <= 0) {
			return age === 0;
		}

		this.obeyed.push(order);
		this.#obey(order.order);
		return true;
	}

	#obey(order: ObeyedOrder['order']): void {
		if (order.type === 'set-role') {
			this.#role = order.role;
		} else if (order.type === 'load') {
			this.#models.add(`${order.model}@${order.version}`);
		} else {
			this.#models.delete(`${order.model}@${order.version}`);
		}
	}
}
