import {Args} from '@oclif/core';
import {getExplanation} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';
import {formatCell} from '../_table.js';

/** Prints the routing decisions for a request. */
export class Explain extends OperatorCommand {
	static override readonly summary = 'Print why a request was routed to its model, version and server.';
	static override readonly description = 'Instances keep the decisions for their most recent requests only; the timeline in the logs has all of them.';
	static override readonly args = {request: Args.string({description: 'The Valehitch-Request-Id of the response.', required: true})};
	static override readonly flags = targetFlags;
	static override readonly examples = ['<%= config.bin %> explain 0b2c7d1e-entry-1'];

	/**
	Fetches and prints the decisions.

	@returns The decisions as returned by the instance.
	*/
	async run(): Promise<Readonly<Record<string, unknown>>> {
		const {args, flags} = await this.parse(Explain);
		const found = this.unwrap(await getExplanation(flags, args.request));
		for (const [name, value] of Object.entries(found)) {
			if (Array.isArray(value)) {
				this.log(`${formatCell(name)}:`);
				for (const step of value as readonly unknown[]) {
					this.log(`  ${formatStep(step)}`);
				}

				continue;
			}

			this.log(`${formatCell(name)}: ${formatCell(value)}`);
		}

		return found;
	}
}

function formatStep(step: unknown): string {
	return typeof step === 'object' && step !== null
		? Object.entries(step).map(([name, value]) => `${formatCell(name)} ${formatCell(value)}`).join(', ')
		: formatCell(step);
}
