import {randomUUID} from 'node:crypto';
import {Args, Flags} from '@oclif/core';
import {postCommand} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

const path = '/v1/orders';

/** Orders an engine to drain. */
export class Drain extends OperatorCommand {
	static override readonly summary = 'Order an engine to drain: it finishes its requests and announces that it accepts no more.';
	static override readonly description = 'Returns before the engine has obeyed. An engine that does not know the role refuses. If a response was lost, run again with the same --order-id.';
	static override readonly args = {server: Args.string({description: 'The engine.', required: true})};
	static override readonly flags = {
		...targetFlags,
		role: Flags.string({summary: 'The name of the engine role that stands for draining.', default: 'drain'}),
		'order-id': Flags.string({summary: 'The id of the order; random by default.'}),
	};

	static override readonly examples = ['<%= config.bin %> drain engine-3'];

	/**
	Submits the order.

	@returns The committed order.
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
