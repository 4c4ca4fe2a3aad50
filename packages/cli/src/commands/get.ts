import {getConfiguration, type CurrentConfiguration} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

/** Prints the configuration in force. */
export class Get extends OperatorCommand {
	static override readonly summary = 'Print the configuration in force.';
	static override readonly description = 'Prints the document to standard output, in a form that apply accepts, and its revision to standard error; with --json, prints everything in one object.';
	static override readonly flags = targetFlags;
	static override readonly examples = ['<%= config.bin %> get > configuration.json'];

	/**
	Fetches and prints the configuration.

	@returns The configuration with its revision and rollouts.
	*/
	async run(): Promise<CurrentConfiguration> {
		const {flags} = await this.parse(Get);
		const current = this.unwrap(await getConfiguration(flags));
		this.logToStderr(`Revision ${current.revision}`);
		this.log(JSON.stringify(current.document, undefined, 2));
		return current;
	}
}
