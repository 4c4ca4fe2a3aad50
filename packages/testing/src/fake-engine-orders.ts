import {text} from 'node:stream/consumers';
import * as z from 'zod';
import {type Exchange, sendJson} from './_fake-server.js';

/** An order that a fake engine executed. */
export type ExecutedOrder = z.infer<typeof orderSchema>;

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
Order endpoints of a fake engine: `POST /v1/orders`, `GET /v1/state`, and `GET /test/orders`, which lists the executed orders.

@example
```ts
const orders = new FakeEngineOrders({models, checksFencing: true});
await orders.answer(exchange);
```
*/
export class FakeEngineOrders {
	/** The executed orders, oldest first. */
	readonly executed: ExecutedOrder[] = [];
	readonly #models: Set<string>;
	readonly #checksFencing: boolean;
	#role = 'both';

	/**
	@param options The loaded versions, such as `tag-small@1.0`, a set that orders modify; and whether an order older than the last executed one is refused.
	*/
	constructor({models, checksFencing}: {readonly models: Set<string>; readonly checksFencing: boolean}) {
		this.#models = models;
		this.#checksFencing = checksFencing;
	}

	/**
	Handles a request to one of the order endpoints.

	@param exchange The request and its response.
	@returns Whether the request was for one of these endpoints.
	*/
	async handle({request, response}: Exchange): Promise<boolean> {
		switch (`${request.method} ${request.url}`) {
			case 'POST /v1/orders': {
				const order = orderSchema.parse(JSON.parse(await text(request)));
				const accepted = this.#accept(order);
				sendJson(response, {status: accepted ? 200 : 409, body: {orderId: order.orderId, taken: accepted}});
				return true;
			}

			case 'GET /v1/state': {
				const last = this.executed.at(-1);
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
				sendJson(response, {status: 200, body: this.executed});
				return true;
			}

			default: {
				return false;
			}
		}
	}

	#accept(order: ExecutedOrder): boolean {
		const last = this.executed.at(-1);
		const fencingOrder = last === undefined ? 1 : (order.term - last.term || order.sequence - last.sequence);
		if (this.#checksFencing && fencingOrder <= 0) {
			return fencingOrder === 0;
		}

		this.executed.push(order);
		this.#execute(order.order);
		return true;
	}

	#execute(order: ExecutedOrder['order']): void {
		if (order.type === 'set-role') {
			this.#role = order.role;
		} else if (order.type === 'load') {
			this.#models.add(`${order.model}@${order.version}`);
		} else {
			this.#models.delete(`${order.model}@${order.version}`);
		}
	}
}
