import {failure} from '@valehitch/core';
import {inspect} from '../_operator-client.js';
import {instanceFlags, OperatorCommand} from '../_operator-command.js';
import {formatTable} from '../_table.js';

const columns = ['server', 'service', 'zone', 'version', 'state', 'own', 'others', 'slowness', 'workAge', 'reportedAgo', 'heardAgo', 'conditions', 'notChosen'];

/** Prints what an entry instance believes of the backend servers. */
export class Beliefs extends OperatorCommand {
	static override readonly summary = 'Print what an entry instance believes of each backend server, and why it would not choose one.';
	static override readonly description = 'Ages are in milliseconds; loads are in units of a short request. A dash stands for what the instance does not know.';
	static override readonly flags = instanceFlags;
	static override readonly examples = ['<%= config.bin %> beliefs --instance 10.1.0.40:9464'];

	/**
	Fetches and prints the beliefs.

	@returns The beliefs as returned by the instance.
	*/
	async run(): Promise<Readonly<Record<string, unknown>>> {
		const {flags: {instance}} = await this.parse(Beliefs);
		const answer = this.unwrap(await inspect({instance, path: '/servers'}));
		const {servers} = answer;
		if (!Array.isArray(servers)) {
			this.fail(failure('internal', 'Got a response of an unexpected shape, wanted a list of servers'));
		}

		const rows = servers.map(server => toRow({...(server as Record<string, unknown>)}));
		for (const line of rows.length > 0 ? formatTable(rows, columns) : ['No backend servers']) {
			this.log(line);
		}

		return answer;
	}
}

function toRow({ownLoad, othersLoad, work, conditions, reportedAgo, heardAgo, workAge, ...server}: Record<string, unknown>): Readonly<Record<string, unknown>> {
	return {
		...server,
		own: rounded(ownLoad),
		others: rounded(othersLoad),
		slowness: typeof work === 'object' && work !== null && 'slowness' in work ? work.slowness : undefined,
		workAge: rounded(workAge),
		reportedAgo: rounded(reportedAgo),
		heardAgo: rounded(heardAgo),
		conditions: Array.isArray(conditions) && conditions.length > 0 ? conditions.join(', ') : undefined,
	};
}

function rounded(value: unknown): number | undefined {
	return typeof value === 'number' ? Math.round(value) : undefined;
}
