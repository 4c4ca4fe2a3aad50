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

/** Validates settings files and configurations offline. */
export class Check extends OperatorCommand {
	static override readonly summary = 'Validate settings files and configurations.';
	static override readonly description = 'Tells the two apart by their top-level keys and prints each problem as FILE:LINE:COLUMN. Exits with 1 if there are any problems.';
	static override readonly strict = false;
	static override readonly args = {file: Args.string({description: 'The files to check.', required: true})};
	static override readonly examples = ['<%= config.bin %> check entry.yaml configuration.yaml'];

	/**
	Validates each file and prints the problems.

	@returns Whether all files are valid, and the problems.
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
