import {getStatus} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';
import {formatCell, formatTable} from '../_table.js';

const firstColumns: readonly string[] = ['server', 'zone', 'kind'];

/** Prints the status of an instance. */
export class Status extends OperatorCommand {
	static override readonly summary = 'Print the status of an instance and the backend servers it knows.';
	static override readonly flags = targetFlags;
	static override readonly examples = ['<%= config.bin %> status --server http://127.0.0.1:8082'];

	/**
	Fetches and prints the status.

	@returns The status as returned by the instance.
	*/
	async run(): Promise<Readonly<Record<string, unknown>>> {
		const {flags} = await this.parse(Status);
		const status = this.unwrap(await getStatus(flags));
		const {servers, ...facts} = status;
		for (const [name, value] of Object.entries(facts)) {
			this.log(`${formatCell(name)}: ${formatCell(value)}`);
		}

		this.#printServers(Array.isArray(servers) ? servers : []);
		return status;
	}

	#printServers(servers: readonly unknown[]): void {
		const rows = servers.map(server => ({...(server as Record<string, unknown>)}));
		const columns = [...new Set([...firstColumns, ...rows.flatMap(row => Object.keys(row))])];
		this.log('');
		for (const line of rows.length > 0 ? formatTable(rows, columns) : ['No backend servers']) {
			this.log(line);
		}
	}
}
