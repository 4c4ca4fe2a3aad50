import {type EngineOrder, type OrderId} from '@valehitch/control';
import {type ServerId, typedSchema} from '@valehitch/core';
import * as z from 'zod';

/** The body of `POST /v1/orders`. */
export type OrderRequest = {
	/** The id of the order. Sending the same id again returns the first result. */
	readonly orderId: OrderId;
	readonly server: ServerId;
	readonly order: EngineOrder;
};

const name = z.string().min(1).max(128);
const modelVersion = {model: name, version: name};

/** The schema of `POST /v1/orders`. Unknown fields are rejected. */
export const orderRequestSchema: z.ZodType<OrderRequest> = typedSchema<OrderRequest>(z.strictObject({
	orderId: name,
	server: name,
	order: z.discriminatedUnion('type', [
		z.strictObject({type: z.literal('load'), ...modelVersion}),
		z.strictObject({type: z.literal('unload'), ...modelVersion}),
		z.strictObject({type: z.literal('set-role'), role: name}),
	]),
}));
