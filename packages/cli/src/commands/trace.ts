import {Args} from '@oclif/core';
import {failure} from '@valehitch/core';
import {OperatorCommand} from '../_operator-command.js';
import {readDecisionFiles} from '../trace/_read-decision-files.js';
import {traceRequest} from '../trace/_trace-request.js';

/** Reconstructs what happened to one request of a gateway from the logs of its instances. */
export class Trace extends OperatorCommand {
	static override readonly summary = 'Show what happened to a request, starting with the cause.';
	static override readonly description = 'Reads the decision logs of the gateway\'s instances. Instances limit their log lines and drop failures last; `lines-left-out` counts the lines dropped.';
	static override readonly strict = false;
	static override readonly args = {
		request: Args.string({description: 'The id that the caller gave the request.', required: true}),
		file: Args.string({description: 'Log files.', required: true}),
	};

	static override readonly examples = ['<%= config.bin %> trace 9c41d07be2a35f68 logs/*.log'];

	/**
	Reads the logs and prints the report.

	@returns The lines of the report.
	*/
	async run(): Promise<readonly string[]> {
		const {argv, args} = await this.parse(Trace);
		const read = await readDecisionFiles(argv.slice(1).map(String), (file, lines) => {
			this.logToStderr(`${file}: ${lines} lines could not be read`);
		});
		const decisions = this.unwrap(read);
		const report = traceRequest(args.request, decisions);
		if (report.length === 0) {
			this.fail(failure('not-found', `Got no line about request ${args.request} in ${argv.length - 1} files, wanted the logs of the instance that handled it`));
		}

		for (const line of report) {
			this.log(line);
		}

		return report;
	}
}
