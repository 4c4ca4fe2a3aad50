import {getConfiguration, type CurrentConfiguration} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';

/** Prints the configuration in force. */
export class Get extends OperatorCommand {
	static override readonly summary = 'Print the configuration in force.';
	static override readonly description = 'Prints the document on the standard output, ready for apply, and its revision on the standard error; with --json all in one object.';
	static override readonly flags = targetFlags;
	static override readonly examples = ['<%= config.bin %> get > configuration.json'];

	/**
	Reads and prints the configuration.

	@returns The configuration with its revision and roll-outs.
	*/
	async run(): Promise<CurrentConfiguration> {
		const {flags} = await this.parse(Get);
		const current = this.unwrap(await getConfiguration(flags));
		this.logToStderr(`Revision ${current.revision}`);
		this.log(JSON.stringify(current.document, undefined, 2));
		return current;
	}
}
