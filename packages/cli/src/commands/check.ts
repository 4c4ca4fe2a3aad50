import process from 'node:process';
import {Args} from '@oclif/core';
import {formatProblem, type DocumentProblem} from '@valehitch/settings';
import {checkFile} from '../_check-file.js';
import {OperatorCommand} from '../_operator-command.js';

/** What `check --json` prints. */
export type CheckResult = {
	readonly ok: boolean;
	readonly problems: readonly DocumentProblem[];
};

/** Checks settings files and configurations without any instance. */
export class Check extends OperatorCommand {
	static override readonly summary = 'Check settings files and configurations.';
	static override readonly description = 'Tells the two apart by their top keys and prints each problem as FILE:LINE:COLUMN. Exits with 1 when there is one.';
	static override readonly strict = false;
	static override readonly args = {file: Args.string({description: 'The files to check.', required: true})};
	static override readonly examples = ['<%= config.bin %> check entry.yaml configuration.yaml'];

	/**
	Checks each file.

	@returns All problems; they are printed too.
	*/
	async run(): Promise<CheckResult> {
		const {argv} = await this.parse(Check);
		const results = await Promise.all(argv.map(async file => checkFile(String(file))));
		const problems = results.flatMap(result => result.swap().orDefault([]));
		for (const problem of problems) {
			this.log(formatProblem(problem));
		}

		if (problems.length > 0) {
			process.exitCode = 1;
		}

		return {ok: problems.length === 0, problems};
	}
}
