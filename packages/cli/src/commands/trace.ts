import {readFile} from 'node:fs/promises';
import {Args} from '@oclif/core';
import {failure} from '@valehitch/core';
import {EitherAsync} from 'purify-ts';
import {OperatorCommand} from '../_operator-command.js';
import {type Decision, readDecisions} from '../trace/_decision.js';
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
		const decisions: Decision[] = [];
		for (const file of argv.slice(1)) {
			decisions.push(...await this.#readFile(String(file)));
		}

		const story = tellRequest(args.request, decisions);
		if (story.length === 0) {
			this.fail(failure('not-found', `Got no line about request ${args.request} in ${argv.length - 1} files, wanted the logs of the instance that took it`));
		}

		for (const line of story) {
			this.log(line);
		}

		return story;
	}

	async #readFile(file: string): Promise<readonly Decision[]> {
		const text = await EitherAsync<Error, string>(async () => readFile(file, 'utf8')).run();
		const {decisions, unreadable} = readDecisions(this.unwrap(text.mapLeft(({message}) => failure('not-found', `Got an error (${message}), wanted a log file that can be read`))));
		if (unreadable > 0) {
			this.logToStderr(`${file}: ${unreadable} lines could not be read`);
		}

		return decisions;
	}
}
