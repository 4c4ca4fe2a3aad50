import {randomUUID} from 'node:crypto';
import {Args, Flags} from '@oclif/core';
import {postCommand} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const path = '/v1/orders';

/** Has an engine drain. */
export class Drain extends OperatorCommand {
	static override readonly summary = 'Order an engine to drain: it finishes its work and announces that it takes no more.';
	static override readonly description = 'The answer comes before the engine obeys. An engine that does not know the role refuses. Use the same --order-id after a lost answer.';
	static override readonly args = {server: Args.string({description: 'The engine.', required: true})};
	static override readonly flags = {
		...targetFlags,
		role: Flags.string({summary: 'The role that the engine knows for draining.', default: 'drain'}),
		'order-id': Flags.string({summary: 'Names the order; random by default.'}),
	};

	static override readonly examples = ['<%= config.bin %> drain engine-3'];

	/**
	Sends the order.

	@returns The order as it was committed.
	*/
	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(Drain);
		const orderId = flags['order-id'] ?? randomUUID();
		this.logToStderr(`Order ${orderId}`);
		const answer = this.unwrap(await postCommand(flags, {path, body: {orderId, server: args.server, order: {type: 'set-role', role: flags.role}}}));
		this.log(`Ordered ${args.server} to drain`);
		return answer;
	}
}
