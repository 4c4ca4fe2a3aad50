import {Args, Flags} from '@oclif/core';
import {OperatorCommand} from '../_operator-command.js';
import {formatTable} from '../_table.js';
import {readDecisionFiles} from '../trace/_read-decision-files.js';
import {type LossSummary, summarizeLosses} from '../trace/_sum-losses.js';

const lossColumns: readonly string[] = ['cause', 'requests', 'percent', 'meaning', 'routes', 'examples'];
const modelColumns: readonly string[] = ['route', 'model', 'answered', 'confidence', 'steppedOn'];
const defaultLatenessMilliseconds = 2000;

/** Counts the lost and late requests of a gateway by cause, from the logs of its instances. */
export class Losses extends OperatorCommand {
	static override readonly summary = 'Count the lost and late requests by cause.';
	static override readonly description = 'Reads the decision logs of the gateway\'s instances. A second table shows model use by route. The logs don\'t tell which prompts servers processed again.';
	static override readonly strict = false;
	static override readonly args = {file: Args.string({description: 'Log files.', required: true})};
	static override readonly flags = {
		late: Flags.integer({
			summary: 'The time to the response, or to the first event of a stream, after which a request counts as late, in milliseconds.', default: defaultLatenessMilliseconds, min: 1,
		}),
	};

	static override readonly examples = ['<%= config.bin %> losses --late 2000 logs/*.log'];

	/**
	Reads the logs and prints the tables.

	@returns The summary.
	*/
	async run(): Promise<LossSummary> {
		const {argv, flags} = await this.parse(Losses);
		const decisions = await readDecisionFiles(argv.map(String), (file, lines) => {
			this.logToStderr(`${file}: ${lines} lines could not be read`);
		});
		const summary = summarizeLosses(this.unwrap(decisions), flags);
		this.log(`${summary.requests} requests`);
		for (const line of [...formatTable(summary.losses, lossColumns), '', ...formatTable(summary.models, modelColumns)]) {
			this.log(line);
		}

		return summary;
	}
}
