import {type Brand} from '@valehitch/core';

/** The key that a caller gave a request which may not be repeated; unique within its workspace. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** Names one order to an engine, so that a resend can be told from a new order. */
export type OrderId = Brand<string, 'OrderId'>;
