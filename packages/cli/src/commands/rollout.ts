import {Args, Flags} from '@oclif/core';
import {failure} from '@valehitch/core';
import {match} from 'ts-pattern';
import {getConfiguration, postCommand} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';
import {formatTable} from '../_table.js';

const columns: readonly string[] = ['rollout', 'status', 'stage', 'stageStartedAt', 'reason'];
const path = '/v1/rollouts';

type Named = {readonly model: string; readonly version: string};

/** Shows, stops or advances roll-outs. */
export class Rollout extends OperatorCommand {
	static override readonly summary = 'Show the roll-outs, or stop or advance one.';
	static override readonly description = 'A stopped version gets no new work at once. Advancing names the stage it leaves, so that two operators do not advance twice.';
	static override readonly args = {
		action: Args.string({description: 'What to do.', options: ['show', 'stop', 'advance'], default: 'show'}),
		model: Args.string({description: 'The model; for stop and advance.'}),
		version: Args.string({description: 'The version; for stop and advance.'}),
	};

	static override readonly flags = {
		...targetFlags,
		reason: Flags.string({summary: 'Why it is stopped.', default: 'stopped by an operator'}),
		'from-stage': Flags.integer({summary: 'The index of the stage that it leaves; by default the one in force.', min: 0}),
	};

	static override readonly examples = ['<%= config.bin %> rollout', '<%= config.bin %> rollout stop tag-small 1.1 --reason "odd answers"'];

	/**
	Shows or changes.

	@returns The roll-outs, or the answer to the change.
	*/
	async run(): Promise<unknown> {
		const {args: {action, model, version}, flags} = await this.parse(Rollout);
		const {rollouts} = this.unwrap(await getConfiguration(flags));
		const known = {...rollouts as Readonly<Record<string, Readonly<Record<string, unknown>>>>};
		if (action === 'show') {
			const rows = Object.entries(known).map(([rollout, progress]) => ({rollout, ...progress}));
			for (const line of rows.length > 0 ? formatTable(rows, columns) : ['No roll-outs']) {
				this.log(line);
			}

			return rollouts;
		}

		const named = this.#named(model, version);
		const body = match(action)
			.with('stop', () => ({...named, action: 'stop', reason: flags.reason}))
			.otherwise(() => ({...named, action: 'advance', fromStage: flags['from-stage'] ?? known[`${named.model}@${named.version}`]?.stage ?? 0}));
		const answer = this.unwrap(await postCommand(flags, {path, body}));
		this.log(`${action === 'stop' ? 'Stopped' : 'Advanced'} ${named.model} ${named.version}`);
		return answer;
	}

	#named(model: string | undefined, version: string | undefined): Named {
		return model === undefined || version === undefined
			? this.fail(failure('malformed-request', 'Got no model and version, wanted both for this action'))
			: {model, version};
	}
}
