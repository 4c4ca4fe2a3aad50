import {type Brand} from '@valehitch/core';

/** The idempotency key of a request that must run at most once; unique within its workspace. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** The id of an order to an engine, to distinguish a resend from a new order. */
export type OrderId = Brand<string, 'OrderId'>;
