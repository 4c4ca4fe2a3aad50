import {Args} from '@oclif/core';
import {failure} from '@valehitch/core';
import {OperatorCommand} from '../_operator-command.js';
import {readDecisionFiles} from '../trace/_read-decision-files.js';
import {tellRequest} from '../trace/_tell-request.js';

/** Tells what happened to one request of a gateway, from the logs of its instances. */
export class Trace extends OperatorCommand {
	static override readonly summary = 'Tell what happened to a request, the cause first.';
	static override readonly description = 'Reads the decision logs of the gateway\'s instances. Each bounds its lines, and keeps failures in preference; `lines-left-out` tells how many are missing.';
	static override readonly strict = false;
	static override readonly args = {
		request: Args.string({description: 'The caller\'s id of the request.', required: true}),
		file: Args.string({description: 'Log files.', required: true}),
	};

	static override readonly examples = ['<%= config.bin %> trace 9c41d07be2a35f68 logs/*.log'];

	/**
	Reads the logs and prints the story.

	@returns The lines.
	*/
	async run(): Promise<readonly string[]> {
		const {argv, args} = await this.parse(Trace);
		const read = await readDecisionFiles(argv.slice(1).map(String), (file, lines) => {
			this.logToStderr(`${file}: ${lines} lines could not be read`);
		});
		const decisions = this.unwrap(read);
		const story = tellRequest(args.request, decisions);
		if (story.length === 0) {
			this.fail(failure('not-found', `Got no line about request ${args.request} in ${argv.length - 1} files, wanted the logs of the instance that took it`));
		}

		for (const line of story) {
			this.log(line);
		}

		return story;
	}
}
