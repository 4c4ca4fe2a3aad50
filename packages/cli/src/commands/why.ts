import {Args} from '@oclif/core';
import {failure} from '@valehitch/core';
import {inspect} from '../_operator-client.js';
import {instanceFlags, OperatorCommand} from '../_operator-command.js';
import {formatCell} from '../_table.js';

/** Prints why an entry instance sent a request where it went, or refused it. */
export class Why extends OperatorCommand {
	static override readonly summary = 'Print why an entry instance sent a request where it went, or refused it.';
	static override readonly description = 'Instances keep the decisions on their latest requests that were refused or held, and on a share of the others; for all others, see trace.';
	static override readonly args = {request: Args.string({description: 'The id that the caller gave the request.', required: true})};
	static override readonly flags = instanceFlags;
	static override readonly examples = ['<%= config.bin %> why 9c41d07be2a35f68 --instance 10.1.0.40:9464'];

	/**
	Fetches and prints the decisions.

	@returns The decisions as returned by the instance.
	*/
	async run(): Promise<Readonly<Record<string, unknown>>> {
		const {args, flags: {instance}} = await this.parse(Why);
		const answer = this.unwrap(await inspect({instance, path: `/decisions/${encodeURIComponent(args.request)}`}));
		const {decisions} = answer;
		if (!Array.isArray(decisions)) {
			this.fail(failure('internal', 'Got a response of an unexpected shape, wanted a list of decisions'));
		}

		for (const decision of decisions) {
			for (const line of formatDecision({...(decision as Record<string, unknown>)})) {
				this.log(line);
			}
		}

		return answer;
	}
}

function formatDecision({kind, millisecondsAgo, considered, facts, ...rest}: Record<string, unknown>): readonly string[] {
	const details = Object.entries({...rest, ...(typeof facts === 'object' ? facts : undefined)}).map(([name, value]) => `${formatCell(name)} ${formatCell(value)}`);
	const verdicts: readonly unknown[] = Array.isArray(considered) ? considered : [];
	return [
		`${formatCell(millisecondsAgo)} ms ago: ${[formatCell(kind), ...details].join(', ')}`,
		...verdicts.map(verdict => `  ${formatVerdict({...(verdict as Record<string, unknown>)})}`),
	];
}

function formatVerdict({server, verdict}: Record<string, unknown>): string {
	return `${formatCell(server)} ${formatCell(verdict)}`;
}
