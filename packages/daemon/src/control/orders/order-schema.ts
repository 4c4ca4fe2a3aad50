import {type EngineOrder, type OrderId} from '@valehitch/control';
import {type ServerId, typedSchema} from '@valehitch/core';
import * as z from 'zod';

/** What an operator posts to issue an order. */
export type OrderRequest = {
	/** Names the order; a resend under the same id gets the first answer. */
	readonly orderId: OrderId;
	readonly server: ServerId;
	readonly order: EngineOrder;
};

const name = z.string().min(1).max(128);
const loaded = {model: name, version: name};

/** The schema of `POST /v1/orders`; unknown fields are refused. */
export const orderRequestSchema: z.ZodType<OrderRequest> = typedSchema<OrderRequest>(z.strictObject({
	orderId: name,
	server: name,
	order: z.discriminatedUnion('type', [
		z.strictObject({type: z.literal('load'), ...loaded}),
		z.strictObject({type: z.literal('unload'), ...loaded}),
		z.strictObject({type: z.literal('set-role'), role: name}),
	]),
}));
