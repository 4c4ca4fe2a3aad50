import {Args} from '@oclif/core';
import {failure} from '@valehitch/core';
import {readConfiguration} from '../_check-file.js';
import {type Difference, listDifferences} from '../_list-differences.js';
import {getConfiguration} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';
import {formatCell} from '../_table.js';

/** What `diff --json` prints. */
export type DiffResult = {
	readonly revision: number;
	readonly differences: readonly Difference[];
};

/** Compares a file with the configuration in force. */
export class Diff extends OperatorCommand {
	static override readonly summary = 'Show what applying a file would change.';
	static override readonly description = 'Prints the value in force after - and the value in the file after +, one per line. Exits with 0 whether or not there are differences.';
	static override readonly args = {file: Args.string({description: 'The configuration in YAML or JSON.', required: true})};
	static override readonly flags = targetFlags;
	static override readonly examples = ['<%= config.bin %> diff configuration.yaml'];

	/**
	Prints the differences.

	@returns The revision in force and the differences.
	*/
	async run(): Promise<DiffResult> {
		const {args, flags} = await this.parse(Diff);
		const read = await readConfiguration(args.file);
		const document = this.unwrap(read.mapLeft(problems => {
			this.printProblems(problems);
			return failure('invalid-configuration', `Got ${problems.length} problems in ${args.file}, wanted a valid configuration`, {details: {problems}});
		}));
		const current = this.unwrap(await getConfiguration(flags));
		const differences = listDifferences({before: current.document, after: document});
		this.logToStderr(`Against revision ${current.revision}: ${differences.length} differences`);
		for (const {path, before, after} of differences) {
			this.#printValue('-', {path, value: before});
			this.#printValue('+', {path, value: after});
		}

		return {revision: current.revision, differences};
	}

	#printValue(sign: '-' | '+', {path, value}: {readonly path: string; readonly value: unknown}): void {
		if (value !== undefined) {
			this.log(`${sign} ${formatCell(path)}: ${formatCell(value)}`);
		}
	}
}
