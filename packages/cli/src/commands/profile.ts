import {Flags} from '@oclif/core';
import {failure} from '@valehitch/core';
import {inspect} from '../_operator-client.js';
import {instanceFlags, OperatorCommand} from '../_operator-command.js';
import {formatTable} from '../_table.js';

const maximumSeconds = 30;
const millisecondsPerSecond = 1000;
const percent = 100;

type TimeShare = {
	readonly name: string;
	readonly milliseconds: number;
	readonly share: number;
};

/** Prints where the processor time of a running instance goes. */
export class Profile extends OperatorCommand {
	static override readonly summary = 'Print where the processor time of an instance goes.';
	static override readonly description = 'Samples the running process for some seconds, and sums its time by groups of modules and by functions. An instance records one profile at a time.';
	static override readonly flags = {
		...instanceFlags,
		seconds: Flags.integer({
			summary: 'The duration of the profile.', min: 1, max: maximumSeconds, default: 5,
		}),
	};

	static override readonly examples = ['<%= config.bin %> profile --instance 10.1.0.40:9464 --seconds 10'];

	/**
	Records and prints the profile.

	@returns The profile as returned by the instance.
	*/
	async run(): Promise<Readonly<Record<string, unknown>>> {
		const {flags: {instance, seconds}} = await this.parse(Profile);
		const profile = this.unwrap(await inspect({
			instance, path: `/profile?seconds=${seconds}&format=json`, durationMilliseconds: seconds * millisecondsPerSecond,
		}));
		this.#printShares('group', profile.groups);
		this.log('');
		this.#printShares('function', profile.functions);
		return profile;
	}

	#printShares(heading: string, value: unknown): void {
		if (!Array.isArray(value) || !value.every(item => isTimeShare(item))) {
			this.fail(failure('internal', 'Got a response of an unexpected shape, wanted a profile with groups and functions'));
		}

		const rows = value.map(({name, milliseconds, share}) => ({[heading]: name, ms: milliseconds.toFixed(1), '%': (share * percent).toFixed(1)}));
		for (const line of formatTable(rows, ['ms', '%', heading])) {
			this.log(line);
		}
	}
}

function isTimeShare(value: unknown): value is TimeShare {
	return typeof value === 'object' && value !== null && 'name' in value && typeof value.name === 'string'
		&& 'milliseconds' in value && typeof value.milliseconds === 'number' && 'share' in value && typeof value.share === 'number';
}
