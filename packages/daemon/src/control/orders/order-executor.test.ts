import {type EngineOrder, type OrderId, type OrderRecord} from '@valehitch/control';
import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {listen} from '../../entry/_test-listen.js';
import {httpEngineClient} from './engine-client.js';
import {OrderExecutor} from './order-executor.js';

const server = 'engine-1' as ServerId;
const order: OrderRecord = {
	orderId: 'o1' as OrderId, server, order: {type: 'set-role', role: 'decode'} satisfies EngineOrder, fencing: {term: 1, sequence: 1}, issuedAt: 0, outcome: 'open',
};

function ignore(): void {
	// No command is answered.
}

test('an order is not sent if the lease of the leader ends while the connection to the engine opens', async t => {
	const received: Array<string | undefined> = [];
	const address = await listen(t, (request, response) => {
		received.push(request.method);
		response.end('{"models":[]}');
	});
	let hasLease = true;
	const sent = new Promise(resolve => {
		const executor = new OrderExecutor({
			clock: {monotonic: () => 10, now: () => new Date(0)},
			timeline: {
				record(event) {
					// The lease ends after the check before the send.
					hasLease = event !== 'order-sent';
				},
			},
			control: {
				isLeader: () => true, leaseValidUntil: () => hasLease ? 1000 : undefined, propose: async () => new Promise<never>(ignore), state: () => ({openOrders: () => [order]}),
			},
			findEngine: () => ({address, checksFencing: true}),
			engineClient: {
				...httpEngineClient,
				async send(...call) {
					const outcome = await httpEngineClient.send(...call);
					resolve(outcome.type);
					return outcome;
				},
			},
		});
		executor.tick();
		executor.tick();
	});
	t.is(await sent, 'failed');
	t.deepEqual(received, ['GET']);
});
