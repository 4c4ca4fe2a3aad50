import {Args, Flags} from '@oclif/core';
import {failure} from '@valehitch/core';
import {match} from 'ts-pattern';
import {getConfiguration, postCommand} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';
import {formatTable} from '../_table.js';

const columns: readonly string[] = ['rollout', 'status', 'stage', 'stageStartedAt', 'reason'];
const path = '/v1/rollouts';

type VersionReference = {readonly model: string; readonly version: string};

/** Shows, stops or advances rollouts. */
export class Rollout extends OperatorCommand {
	static override readonly summary = 'Show the rollouts, or stop or advance one.';
	static override readonly description = 'A stopped version immediately gets no new requests. An advance names the stage that it leaves, so that two operators do not advance twice.';
	static override readonly args = {
		action: Args.string({description: 'The action.', options: ['show', 'stop', 'advance'], default: 'show'}),
		model: Args.string({description: 'The model; required for stop and advance.'}),
		version: Args.string({description: 'The version; required for stop and advance.'}),
	};

	static override readonly flags = {
		...targetFlags,
		reason: Flags.string({summary: 'The reason for the stop.', default: 'stopped by an operator'}),
		'from-stage': Flags.integer({summary: 'The index of the stage to leave; by default the current stage.', min: 0}),
	};

	static override readonly examples = ['<%= config.bin %> rollout', '<%= config.bin %> rollout stop tag-small 1.1 --reason "odd answers"'];

	/**
	Shows the rollouts, or changes one.

	@returns The rollouts, or the response to the change.
	*/
	async run(): Promise<unknown> {
		const {args: {action, model, version}, flags} = await this.parse(Rollout);
		const {rollouts} = this.unwrap(await getConfiguration(flags));
		const progressByVersion = {...rollouts as Readonly<Record<string, Readonly<Record<string, unknown>>>>};
		if (action === 'show') {
			const rows = Object.entries(progressByVersion).map(([rollout, progress]) => ({rollout, ...progress}));
			for (const line of rows.length > 0 ? formatTable(rows, columns) : ['No rollouts']) {
				this.log(line);
			}

			return rollouts;
		}

		const target = this.#requireVersion(model, version);
		const body = match(action)
			.with('stop', () => ({...target, action: 'stop', reason: flags.reason}))
			.otherwise(() => ({...target, action: 'advance', fromStage: flags['from-stage'] ?? progressByVersion[`${target.model}@${target.version}`]?.stage ?? 0}));
		const answer = this.unwrap(await postCommand(flags, {path, body}));
		this.log(`${action === 'stop' ? 'Stopped' : 'Advanced'} ${target.model} ${target.version}`);
		return answer;
	}

	#requireVersion(model: string | undefined, version: string | undefined): VersionReference {
		return model === undefined || version === undefined
			? this.fail(failure('malformed-request', 'Got no model or no version, wanted both for this action'))
			: {model, version};
	}
}
